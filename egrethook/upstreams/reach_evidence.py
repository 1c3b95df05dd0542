"""What the openings of one balancer show about the failure domains that it reaches.

The load that this answers: a failure domain is cut off from the others while its own
upstreams are out of service. Openings go unanswered at once, long before the balancers
of the other domains count as dead.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from msgspec import Struct

MIN_UNANSWERED = 3
"""Unanswered openings since the last answer from which nothing may be reachable."""

MIN_UNANSWERED_PER_DOMAIN = 2
"""The same for a failure domain that gossip tells nothing about."""

CONTACT_SILENCE_S = 0.5
"""Time without gossip from a failure domain after which it is silent, in seconds.

A balancer gets about 1.7 digests a second from each other domain in fleets above 8
balancers, so this alone proves nothing.
"""

LASTING_SILENCE_S = 2.0
"""Time without any answer that counts although gossip is heard, in seconds.

Packets may pass in one direction only.
"""

LASTING_UNANSWERED = 6
"""Unanswered openings in that time from which it counts."""

UNANSWERED_FRESH_S = 1.5
"""Age of the newest unanswered opening up to which it tells something, in seconds."""

ANSWER_FRESH_S = 0.4
"""Age of an answer up to which it shows that an upstream is reachable, in seconds."""

MEMORY_S = 4.0
"""Time for which unanswered openings are remembered, in seconds."""

SPAN_S = 0.1
"""Time in which the unanswered openings of a domain are counted as one, in seconds."""

MAX_SPANS = 160
"""Maximum number of such spans remembered: `MEMORY_S` of four domains."""


class Belief(enum.Enum):
    """What a balancer says about the upstreams that may get new flows."""

    UNKNOWN = "unknown"
    REACHES = "reaches"
    UNREACHED = "unreached"


class OwnBelief(NamedTuple):
    """A belief and the age of the newest evidence for it, in seconds."""

    belief: Belief = Belief.UNKNOWN
    age_s: float = 0.0


class _Unanswered(Struct):
    """Openings to one domain within `SPAN_S`, the first of them sent at `sent_at`."""

    domain: str
    sent_at: float
    noted_at: float
    count: int = 1


ContactAge = Callable[[str], float | None]
"""Returns the time since a datagram came from a failure domain, in seconds.

It is None if that tells nothing: of a failure domain without known balancers, or while
this balancer may be the one that is cut off.
"""


class ReachEvidence:
    """Remembers recent unanswered openings and the last answer of each domain."""

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._unanswered: deque[_Unanswered] = deque(maxlen=MAX_SPANS)
        self._latest: dict[str, _Unanswered] = {}

    @property
    def last_answer_of_any(self) -> float:
        """When an upstream of any failure domain last answered, in seconds."""
        return max(self._answered_at.values(), default=float("-inf"))

    def last_answer(self, domain: str) -> float:
        """Return when an upstream of a failure domain last answered, in seconds."""
        return self._answered_at.get(domain, float("-inf"))

    def note_answer(self, domain: str, now: float) -> None:
        """Record an answer from an upstream of a failure domain."""
        self._answered_at[domain] = now

    def note_unanswered(self, domain: str, sent_at: float, now: float) -> None:
        """Record an opening that an upstream of a failure domain left unanswered."""
        span = self._latest.get(domain)
        # Openings from before an answer stay apart from those after it.
        earliest = max(sent_at - SPAN_S, self.last_answer(domain))
        if span is not None and earliest < span.sent_at <= sent_at:
            span.noted_at = now
            span.count += 1
            return
        span = self._latest[domain] = _Unanswered(domain, sent_at, now)
        self._unanswered.append(span)

    def forget_unanswered(self) -> None:
        """Start afresh: packets were queued here, or the domain returns."""
        self._unanswered.clear()
        self._latest.clear()

    def is_suspicious(self, now: float) -> bool:
        """Return whether the last few openings were unanswered; cheap to call."""
        count = 0
        for span in reversed(self._unanswered):
            if now - span.noted_at > UNANSWERED_FRESH_S:
                return False
            if span.sent_at <= self.last_answer(span.domain):
                return False
            count += span.count
            if count >= MIN_UNANSWERED:
                return True
        return False

    def belief(
        self, wanted: Collection[str], contact_age: ContactAge, now: float
    ) -> OwnBelief:
        """Return what the openings to some failure domains show.

        Parameters
        ----------
        wanted : collection of str
            The failure domains whose upstreams may get new flows.
        contact_age : callable
            Returns how long ago gossip came from a failure domain.
        now : float
            The current time, in seconds.
        """
        answered_at = max(
            (self.last_answer(domain) for domain in wanted), default=float("-inf")
        )
        since_answer = [
            entry
            for entry in self._unanswered
            if entry.domain in wanted
            and entry.sent_at > answered_at
            and now - entry.noted_at <= MEMORY_S
        ]
        if _shows_silence(since_answer, wanted, contact_age, now):
            return OwnBelief(Belief.UNREACHED, now - _newest(since_answer))
        if now - answered_at <= ANSWER_FRESH_S:
            return OwnBelief(Belief.REACHES, now - answered_at)
        return OwnBelief()


def _shows_silence(
    unanswered: Sequence[_Unanswered],
    wanted: Collection[str],
    contact_age: ContactAge,
    now: float,
) -> bool:
    """Return whether unanswered openings show that no domain is reachable."""
    counts = dict.fromkeys(wanted, 0)
    for span in unanswered:
        counts[span.domain] += span.count
    total = sum(counts.values())
    if total < MIN_UNANSWERED or now - _newest(unanswered) > UNANSWERED_FRESH_S:
        return False
    if all(_is_silent(counts[domain], contact_age(domain)) for domain in wanted):
        return True
    return (
        total >= LASTING_UNANSWERED
        and min(counts.values()) >= MIN_UNANSWERED_PER_DOMAIN
        and now - unanswered[0].sent_at >= LASTING_SILENCE_S
    )


def _newest(unanswered: Sequence[_Unanswered]) -> float:
    """Return when the last opening was found to be unanswered, in seconds."""
    return max(span.noted_at for span in unanswered)


def _is_silent(unanswered: int, contact_age_s: float | None) -> bool:
    if contact_age_s is None:
        return unanswered >= MIN_UNANSWERED_PER_DOMAIN
    return contact_age_s >= CONTACT_SILENCE_S
