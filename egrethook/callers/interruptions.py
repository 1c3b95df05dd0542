"""When this process stood still, so that what it measured meanwhile shows nothing."""

from __future__ import annotations

MAX_MEASURED_GAP_S = 0.1
"""Time between two ticks above which the process stood still, in seconds."""

GAP_MEMORY_S = 5.0
"""Time for which the longest gap between ticks is remembered, in seconds."""


class Interruptions:
    """Remembers the latest time at which this process went on after it stood still.

    Parameters
    ----------
    max_gap_s : float
        Time between two ticks above which the process stood still, in seconds.
    """

    def __init__(self, max_gap_s: float = MAX_MEASURED_GAP_S) -> None:
        self._max_gap_s = max_gap_s
        self._ticked_at = float("-inf")
        self._ended_at = float("-inf")
        self._packets_are_queued = False
        self._longest_gap_s = 0.0
        self._longest_gap_at = float("-inf")

    @property
    def longest_gap_s(self) -> float:
        """The longest recent time between two ticks, in seconds."""
        return self._longest_gap_s

    def note_tick(self, now: float) -> None:
        """Record that the process runs."""
        gap_s = now - self._ticked_at
        if gap_s > self._max_gap_s:
            self._ended_at = now
        if gap_s < float("inf"):
            self._note_gap(gap_s, now)
        self._ticked_at = now

    def expect_queued_packets(self) -> None:
        """Record that packets have queued before the first tick, as during a start."""
        self._packets_are_queued = True

    def is_catching_up(self, now: float) -> bool:
        """Return whether what is handled now queued while the process stood still."""
        if self._ticked_at == float("-inf"):
            return self._packets_are_queued
        return now - self._ticked_at > self._max_gap_s

    def _note_gap(self, gap_s: float, now: float) -> None:
        has_aged = now - self._longest_gap_at > GAP_MEMORY_S
        if has_aged or gap_s >= self._longest_gap_s:
            self._longest_gap_s = gap_s
            self._longest_gap_at = now

    def occurred_since(self, since: float, now: float) -> bool:
        """Return whether the process stood still at some time in a period.

        Packets that piled up are handled before the next tick.
        """
        return since <= self._ended_at or now - self._ticked_at > self._max_gap_s
