"""Judges upstreams by what the packets of their flows show."""

from __future__ import annotations

from typing import NamedTuple, Protocol
from zlib import crc32

from egrethook.logs import PartLog
from egrethook.upstreams.upstream import Upstream

SILENCES = 2
"""Openings in a row without an answer after which an upstream is distrusted."""

COMMON_CAUSE_S = 1.0
"""Time after one upstream's distrust in which one silence suffices in its domain."""

SILENCE_MEMORY_S = 6.0
"""Time after which an opening without an answer no longer counts, in seconds."""

DISTRUST_S = (0.4, 2.0)
"""Shortest and longest time for which an upstream is distrusted, in seconds."""

HEARD_S = 1.0
"""Time for which an answer shows that a failure domain can be reached, in seconds."""

_LOG = PartLog("health")


class Verdict(NamedTuple):
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

    def __call__(self, upstream: Upstream, verdict: Verdict) -> None:
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
        self._distrusted_at: dict[str, float] = {}
        self._listener: HealthListener | None = None
        self._heard_at: dict[str, float] = {}

    def set_listener(self, listener: HealthListener) -> None:
        """Set who is told what this balancer has found out."""
        self._listener = listener

    def note_silence(self, upstream: Upstream, sent_at: float, now: float) -> None:
        """Count an opening that got no answer in time.

        Where the upstream has answered others since, it is the caller that has gone.
        """
        if upstream.answered_at > sent_at:
            return
        self._count_silence(upstream, now - sent_at, now, told=False)
        # Who hears from none of them may be cut off itself.
        if now - self._heard_at.get(upstream.domain, float("-inf")) < HEARD_S:
            self._tell(upstream, Verdict(False, now - sent_at))

    def note_answer(self, upstream: Upstream, now: float) -> None:
        """Count a flow that has opened."""
        if upstream.unanswered >= SILENCES:
            self._tell(upstream, Verdict(True))
        upstream.answered_at = self._heard_at[upstream.domain] = now
        self._trust(upstream, now, told=False)

    def note_report(self, upstream: Upstream, verdict: Verdict, now: float) -> None:
        """Take what another balancer of the same failure domain has found out."""
        if verdict.answers:
            self._trust(upstream, now, told=True)
        elif upstream.answered_at < now - verdict.silent_s:
            self._count_silence(upstream, verdict.silent_s, now, told=True)

    def _count_silence(
        self, upstream: Upstream, silent_s: float, now: float, told: bool
    ) -> None:
        if now - upstream.silent_at > SILENCE_MEMORY_S:
            upstream.unanswered = 0
        upstream.silent_at = now
        upstream.unanswered += 1
        excess = upstream.unanswered - self._silences_needed(upstream, now)
        if excess < 0:
            return
        self._distrusted_at[upstream.domain] = now
        shortest_s, longest_s = DISTRUST_S
        pause_s = min(longest_s, shortest_s * 2.0 ** min(excess, 8))
        upstream.distrusted_until = now + pause_s * self._spread(upstream)
        if not excess:
            _LOG.warning(
                "an upstream leaves openings unanswered.",
                upstream=upstream.name,
                silent_openings=upstream.unanswered,
                silent_ms=round(silent_s * 1000),
                told=told,
            )

    def _silences_needed(self, upstream: Upstream, now: float) -> int:
        """Return how many silences are enough: fewer while its neighbours fail too."""
        distrusted_at = self._distrusted_at.get(upstream.domain, float("-inf"))
        return 1 if now - distrusted_at < COMMON_CAUSE_S else SILENCES

    def _spread(self, upstream: Upstream) -> float:
        """Return a factor from 1 to 2 that differs between balancers.

        Balancers that try again at different times lose one opening, not one each.
        """
        point = crc32(f"{self._name}/{upstream.name}/{upstream.unanswered}".encode())
        return 1.0 + point / 2**32

    def _trust(self, upstream: Upstream, now: float, told: bool) -> None:
        if upstream.unanswered >= SILENCES:
            _LOG.info("an upstream answers again.", upstream=upstream.name, told=told)
        upstream.unanswered = 0
        upstream.distrusted_until = now

    def _tell(self, upstream: Upstream, verdict: Verdict) -> None:
        if self._listener is not None:
            self._listener(upstream, verdict)
