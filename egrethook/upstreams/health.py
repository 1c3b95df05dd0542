"""Judges upstreams by what the packets of their flows show."""

from __future__ import annotations

from typing import NamedTuple, Protocol
from zlib import crc32

from egrethook.logs import PartLog
from egrethook.upstreams.upstream import Upstream

EJECTION_THRESHOLD = 2
"""Openings in a row without an answer after which an upstream is distrusted."""

DOMAIN_SUSPICION_S = 1.0
"""Time after one upstream's distrust in which one silence suffices in its domain."""

UNANSWERED_MEMORY_S = 6.0
"""Time after which an opening without an answer no longer counts, in seconds."""

EJECTION_RANGE_S = (0.4, 2.0)
"""Shortest and longest time for which an upstream is distrusted, in seconds."""

DOMAIN_REACHABLE_S = 1.0
"""Time for which an answer shows that a failure domain can be reached, in seconds."""

_LOG = PartLog("health")


class HealthObservation(NamedTuple):
    """What openings have shown of an upstream.

    Parameters
    ----------
    answers : bool
        Whether it answers.
    silent_s : float
        How long it has left an opening unanswered, in seconds.
    """

    answers: bool
    silent_s: float = 0.0


class HealthListener(Protocol):
    """Is told what this balancer has found out about upstreams."""

    def __call__(self, upstream: Upstream, verdict: HealthObservation) -> None:
        """Take what has been found out about an upstream."""
        ...


class PassiveHealth:
    """Distrusts upstreams that leave openings unanswered.

    Distrust doubles with each further silence and ends with the first answer. What
    one balancer finds out it tells the others of its failure domain: each of many
    would have to lose callers to each dead upstream otherwise.

    Parameters
    ----------
    name : str
        The name of this balancer; spreads the times at which balancers try an
        upstream again.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._domain_ejected_at: dict[str, float] = {}
        self._listener: HealthListener | None = None
        self._domain_answered_at: dict[str, float] = {}

    def set_listener(self, listener: HealthListener) -> None:
        """Set who is told what this balancer has found out."""
        self._listener = listener

    def note_unanswered_opening(
        self, upstream: Upstream, sent_at: float, now: float
    ) -> None:
        """Count an opening that got no answer in time.

        Where the upstream has answered others since, it is the caller that has gone.
        """
        if upstream.answered_at > sent_at:
            return
        self._count_unanswered(upstream, now - sent_at, now, from_peer=False)
        # Who hears from none of them may be cut off itself.
        if (
            now - self._domain_answered_at.get(upstream.domain, float("-inf"))
            < DOMAIN_REACHABLE_S
        ):
            self._notify(upstream, HealthObservation(False, now - sent_at))

    def note_answer(self, upstream: Upstream, now: float) -> None:
        """Count a flow that has opened."""
        if upstream.unanswered >= EJECTION_THRESHOLD:
            self._notify(upstream, HealthObservation(True))
        upstream.answered_at = self._domain_answered_at[upstream.domain] = now
        self._reinstate(upstream, now, from_peer=False)

    def note_report(
        self, upstream: Upstream, verdict: HealthObservation, now: float
    ) -> None:
        """Take what another balancer of the same failure domain has found out."""
        if verdict.answers:
            self._reinstate(upstream, now, from_peer=True)
        elif upstream.answered_at < now - verdict.silent_s:
            self._count_unanswered(upstream, verdict.silent_s, now, from_peer=True)

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
        if not excess:
            _LOG.warning(
                "an upstream leaves openings unanswered.",
                upstream=upstream.name,
                silent_openings=upstream.unanswered,
                silent_ms=round(silent_s * 1000),
                told=from_peer,
            )

    def _ejection_threshold(self, upstream: Upstream, now: float) -> int:
        """Return how many silences are enough: fewer while its neighbours fail too."""
        domain_ejected_at = self._domain_ejected_at.get(upstream.domain, float("-inf"))
        return 1 if now - domain_ejected_at < DOMAIN_SUSPICION_S else EJECTION_THRESHOLD

    def _jitter_factor(self, upstream: Upstream) -> float:
        """Return a factor from 1 to 2 that differs between balancers.

        Balancers that try again at different times lose one opening, not one each.
        """
        digest = crc32(f"{self._name}/{upstream.name}/{upstream.unanswered}".encode())
        return 1.0 + digest / 2**32

    def _reinstate(self, upstream: Upstream, now: float, from_peer: bool) -> None:
        if upstream.unanswered >= EJECTION_THRESHOLD:
            _LOG.info(
                "an upstream answers again.", upstream=upstream.name, told=from_peer
            )
        upstream.unanswered = 0
        upstream.ejected_until = now

    def _notify(self, upstream: Upstream, verdict: HealthObservation) -> None:
        if self._listener is not None:
            self._listener(upstream, verdict)
