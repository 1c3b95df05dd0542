"""Passive health checking from the packets of callers.

Upstreams that leave openings, the first packets of flows, unanswered are ejected: they
get no new flows for a while. What ends an open flow is stricter, see `reset_cause`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol
from zlib import crc32

from egrethook.logs import PartLog
from egrethook.upstreams.reach_evidence import ContactAge, ReachEvidence
from egrethook.upstreams.reset_cause import (
    MIN_UNANSWERED_OPENINGS,
    DomainContact,
    ResetCause,
    UnansweredRequest,
    find_reset_cause,
)
from egrethook.upstreams.upstream import Upstream

EJECTION_THRESHOLD = 2
"""Consecutive unanswered openings after which an upstream is ejected."""

DOMAIN_SUSPICION_S = 1.0
"""Time after an ejection in which one unanswered opening is enough, in seconds.

Applies to all upstreams of the failure domain, because their failures probably have
the same cause.
"""

UNANSWERED_MEMORY_S = 6.0
"""Time without a further unanswered opening that resets the count, in seconds."""

EJECTION_RANGE_S = (0.4, 2.0)
"""Initial and maximum ejection time, before jitter, in seconds."""

DOMAIN_REACHABLE_S = 1.0
"""Time for which an answer proves that its failure domain is reachable, in seconds."""

STALL_MEMORY_S = 2.0
"""Time without retransmissions after which a silence proves nothing, in seconds.

Callers retransmit at least every 1.6 s. If none does any more, the answers have arrived
or the flows go through another balancer, which hides the upstream's answers from here.
"""

SETTLING_S = 3.0
"""Time after a start or a suspension in which no upstream is gone, in seconds.

Packets that were queued meanwhile make live upstreams look silent.
"""

DOMAIN_SILENT_S = 0.15
"""Time without an answer after which a failure domain is silent, in seconds."""

_LOG = PartLog("health")


class HealthObservation(NamedTuple):
    """Result of one or more openings sent to an upstream.

    Parameters
    ----------
    answers : bool
        Whether the upstream answers.
    silent_s : float
        Time since the unanswered opening was sent, in seconds.
    """

    answers: bool
    silent_s: float = 0.0


class HealthListener(Protocol):
    """Receives this balancer's own health observations."""

    def __call__(self, upstream: Upstream, observation: HealthObservation) -> None:
        """Handle an observation of an upstream."""
        ...


RegistryAge = Callable[[], float]
"""Returns the time since the copy of the registry was confirmed, in seconds."""


def _no_gossip(domain: str) -> float | None:
    """Return None: before other balancers are met, nothing is known of any domain."""
    return None


def _just_confirmed() -> float:
    """Return 0: without a registry to follow, the copy is as good as it gets."""
    return 0.0


class PassiveHealth:
    """Ejects upstreams that leave openings unanswered.

    The ejection time doubles with each further unanswered opening, and the first
    answer ends the ejection. Balancers share their observations within their failure
    domain; otherwise each of them would lose callers to every dead upstream.

    Parameters
    ----------
    name : str
        The name of this balancer; seeds the jitter of its ejection times.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._domain_ejected_at: dict[str, float] = {}
        self._listener: HealthListener | None = None
        self._domain_answered_at: dict[str, float] = {}
        self._domain_unanswered_at: dict[str, float] = {}
        self._started_at = float("-inf")
        self._unanswered_openings: dict[str, deque[tuple[int, float]]] = {}
        self._registry_age: RegistryAge = _just_confirmed
        self._gossip_age: ContactAge = _no_gossip
        self._reach_evidence = ReachEvidence()

    @property
    def reach_evidence(self) -> ReachEvidence:
        """What the openings show about each failure domain."""
        return self._reach_evidence

    def set_listener(self, listener: HealthListener) -> None:
        """Set the receiver of this balancer's observations."""
        self._listener = listener

    def set_gossip_age(self, gossip_age: ContactAge) -> None:
        """Set what tells how long ago gossip came from a failure domain."""
        self._gossip_age = gossip_age

    def set_registry_age(self, registry_age: RegistryAge) -> None:
        """Set what tells how long ago the copy of the registry was confirmed."""
        self._registry_age = registry_age

    def note_unanswered_opening(
        self,
        upstream: Upstream,
        sent_at: float,
        now: float,
        caller: int | None = None,
    ) -> None:
        """Count an opening that was not answered in time.

        It does not count if the upstream has answered another opening since: then
        the caller is gone, not the upstream.

        Parameters
        ----------
        caller : int, optional
            The caller's address, if the opening was not sent elsewhere before. A caller
            that has gone leaves all its openings, and all their tries, unanswered.
        """
        if upstream.answered_at > sent_at:
            return
        self._domain_unanswered_at[upstream.domain] = now
        if caller is not None:
            self._note_unanswered_caller(upstream.domain, caller, sent_at)
        self._reach_evidence.note_unanswered(upstream.domain, sent_at, now)
        self._count_unanswered(upstream, now - sent_at, now, from_peer=False)
        # Without recent answers from this domain, the fault may be on this side, so
        # the other balancers are not notified.
        if (
            now - self._domain_answered_at.get(upstream.domain, float("-inf"))
            < DOMAIN_REACHABLE_S
        ):
            self._notify(upstream, HealthObservation(False, now - sent_at))

    def _note_unanswered_caller(self, domain: str, caller: int, sent_at: float) -> None:
        """Remember the latest unanswered openings of different callers."""
        known = self._unanswered_openings.get(domain, ())
        others = [entry for entry in known if entry[0] != caller]
        self._unanswered_openings[domain] = deque(
            [*others, (caller, sent_at)], maxlen=MIN_UNANSWERED_OPENINGS
        )

    def forget_unanswered_openings(self) -> None:
        """Drop unanswered openings as evidence: this process stood still."""
        self._unanswered_openings.clear()

    def note_answer(self, upstream: Upstream, now: float) -> None:
        """Record an answered opening, which ends an ejection."""
        if upstream.ejected:
            self._notify(upstream, HealthObservation(True))
        upstream.answered_at = self._domain_answered_at[upstream.domain] = now
        self._note_sign_of_life(upstream, now)
        self._reinstate(upstream, now, from_peer=False)

    def note_progress(self, upstream: Upstream, now: float) -> None:
        """Record that a request on an open flow was answered, even in part."""
        upstream.stalled_since = None
        self._note_sign_of_life(upstream, now)

    def _note_sign_of_life(self, upstream: Upstream, now: float) -> None:
        upstream.alive_at = upstream.registration.alive_at = now
        self._reach_evidence.note_answer(upstream.domain, now)

    def note_stalled_request(
        self, upstream: Upstream, sent_at: float, now: float
    ) -> None:
        """Record that a caller has retransmitted a request.

        Parameters
        ----------
        sent_at : float
            When the request was first sent, in seconds.
        """
        if upstream.stalled_since is None or _has_lapsed(upstream, now):
            upstream.stalled_since = max(sent_at, upstream.alive_at)
        upstream.stall_seen_at = now

    def note_interruption(self, now: float) -> None:
        """Start afresh: this process has started or been paused."""
        self._started_at = now
        self.forget_unanswered_openings()
        self._reach_evidence.forget_unanswered()

    def reset_cause(
        self, upstream: Upstream, request: UnansweredRequest, now: float
    ) -> ResetCause | None:
        """Return why to reset an open flow, or None if its upstream may still answer.

        There is no cause just after a start or a suspension.
        """
        if now - self._started_at < SETTLING_S:
            return None
        domain = upstream.domain
        contact = DomainContact(
            self._gossip_age(domain),
            self._reach_evidence.last_answer(domain),
            self._reach_evidence.last_answer_of_any,
            [sent_at for _, sent_at in self._unanswered_openings.get(domain, ())],
            self._registry_age(),
        )
        return find_reset_cause(upstream, request, contact, now)

    def domain_silent_since(self, domain: str) -> float | None:
        """Return since when a failure domain leaves openings unanswered, if it does.

        A single one does not count, but `DOMAIN_SILENT_S` without an answer does.
        """
        answered_at = self._domain_answered_at.get(domain, self._started_at)
        unanswered_at = self._domain_unanswered_at.get(domain, float("-inf"))
        if unanswered_at - answered_at < DOMAIN_SILENT_S:
            return None
        return unanswered_at

    def note_report(
        self, upstream: Upstream, observation: HealthObservation, now: float
    ) -> None:
        """Apply an observation of another balancer of the same failure domain."""
        if observation.answers:
            self._reinstate(upstream, now, from_peer=True)
        elif upstream.answered_at < now - observation.silent_s:
            self._count_unanswered(upstream, observation.silent_s, now, from_peer=True)

    def _count_unanswered(
        self, upstream: Upstream, silent_s: float, now: float, from_peer: bool
    ) -> None:
        if now - upstream.last_unanswered_at > UNANSWERED_MEMORY_S:
            upstream.unanswered = 0
        upstream.last_unanswered_at = now
        upstream.unanswered += 1
        excess = upstream.unanswered - self._ejection_threshold(upstream, now)
        if excess < 0:
            return
        self._domain_ejected_at[upstream.domain] = now
        shortest_s, longest_s = EJECTION_RANGE_S
        ejection_s = min(longest_s, shortest_s * 2.0 ** min(excess, 8))
        upstream.ejected_until = now + ejection_s * self._jitter_factor(upstream)
        if not upstream.ejected:
            upstream.ejected = True
            _LOG.warning(
                "an upstream leaves openings unanswered.",
                upstream=upstream.name,
                silent_openings=upstream.unanswered,
                silent_ms=round(silent_s * 1000),
                from_peer=from_peer,
            )

    def _ejection_threshold(self, upstream: Upstream, now: float) -> int:
        """Return the threshold, which is lower just after an ejection in the domain."""
        domain_ejected_at = self._domain_ejected_at.get(upstream.domain, float("-inf"))
        return 1 if now - domain_ejected_at < DOMAIN_SUSPICION_S else EJECTION_THRESHOLD

    def _jitter_factor(self, upstream: Upstream) -> float:
        """Return a jitter factor from 1 to 2 that depends on the balancer's name.

        The balancers then retry a dead upstream at different times, and together
        lose one opening to it instead of one each.
        """
        digest = crc32(f"{self._name}/{upstream.name}/{upstream.unanswered}".encode())
        return 1.0 + digest / 2**32

    def _reinstate(self, upstream: Upstream, now: float, from_peer: bool) -> None:
        if upstream.ejected:
            _LOG.info(
                "an upstream answers again.",
                upstream=upstream.name,
                from_peer=from_peer,
            )
        upstream.unanswered = 0
        upstream.ejected = False
        upstream.ejected_until = now
        upstream.stalled_since = None

    def _notify(self, upstream: Upstream, observation: HealthObservation) -> None:
        if self._listener is not None:
            self._listener(upstream, observation)


def _has_lapsed(upstream: Upstream, now: float) -> bool:
    """Return whether no caller has retransmitted a request for `STALL_MEMORY_S`."""
    return now - upstream.stall_seen_at > STALL_MEMORY_S
