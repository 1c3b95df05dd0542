"""When this process stood still, so that what it measured meanwhile shows nothing."""

from __future__ import annotations

MAX_MEASURED_GAP_S = 0.1
"""Time between two ticks above which the process stood still, in seconds."""


class Interruptions:
    """Remembers the latest time at which this process went on after it stood still."""

    def __init__(self) -> None:
        self._ticked_at = float("-inf")
        self._ended_at = float("-inf")

    def note_tick(self, now: float) -> None:
        """Record that the process runs."""
        if now - self._ticked_at > MAX_MEASURED_GAP_S:
            self._ended_at = now
        self._ticked_at = now

    def fall_into(self, since: float, now: float) -> bool:
        """Return whether the process stood still at some time in a period.

        Packets that piled up are handled before the next tick.
        """
        return since <= self._ended_at or now - self._ticked_at > MAX_MEASURED_GAP_S
