"""Judges upstreams by what the packets of their flows show."""

from __future__ import annotations

from egrethook.logs import PartLog
from egrethook.upstreams.upstream import Upstream

SILENCES = 2
"""Openings in a row without an answer after which an upstream is distrusted."""

DISTRUST_S = (0.4, 2.0)
"""Shortest and longest time for which an upstream is distrusted, in seconds."""

_LOG = PartLog("health")


class PassiveHealth:
    """Distrusts upstreams that leave openings unanswered.

    Distrust doubles with each further silence and ends with the first answer.
    """

    def note_silence(self, upstream: Upstream, now: float) -> None:
        """Count an opening that got no answer in time."""
        upstream.unanswered += 1
        excess = upstream.unanswered - SILENCES
        if excess < 0:
            return
        shortest_s, longest_s = DISTRUST_S
        pause_s = min(longest_s, shortest_s * 2.0 ** min(excess, 8))
        upstream.distrusted_until = now + pause_s
        if not excess:
            _LOG.warning(
                "an upstream leaves openings unanswered.",
                upstream=upstream.name,
                silent_openings=upstream.unanswered,
            )

    def note_answer(self, upstream: Upstream, now: float) -> None:
        """Count a flow that has opened."""
        if upstream.unanswered >= SILENCES:
            _LOG.info("an upstream answers again.", upstream=upstream.name)
        upstream.unanswered = 0
        upstream.answered_at = now
        upstream.distrusted_until = now
