"""Clocks, and the detection of pauses of the whole process."""

from __future__ import annotations

import time
from typing import Protocol

PAUSE_THRESHOLD_S = 1.0
"""Gap between two ticks above which the process counts as paused, in seconds."""


class Clock(Protocol):
    """A monotonic time source."""

    def now(self) -> float:
        """Return the time in seconds."""
        ...


class MonotonicClock:
    """The operating system's monotonic clock."""

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()


class PauseDetector:
    """Detects that the process was stopped between two ticks.

    Parameters
    ----------
    clock : Clock
        The clock that is read at each tick.
    threshold_s : float
        The longest gap between ticks that is not a pause, in seconds.
    """

    def __init__(self, clock: Clock, threshold_s: float = PAUSE_THRESHOLD_S) -> None:
        self._clock = clock
        self._threshold_s = threshold_s
        self._last_tick = clock.now()

    def tick(self) -> float:
        """Return the length of the pause that just ended, or 0.0, in seconds."""
        now = self._clock.now()
        gap = now - self._last_tick
        self._last_tick = now
        return gap if gap > self._threshold_s else 0.0

    def check(self) -> bool:
        """Return whether the process has been paused since the last tick."""
        return self._clock.now() - self._last_tick > self._threshold_s


class SuspensionDetector:
    """Detects that the machine was suspended, which `time.monotonic` does not count.

    Parameters
    ----------
    threshold_s : float
        The shortest suspension that counts, in seconds.
    """

    def __init__(self, threshold_s: float = PAUSE_THRESHOLD_S) -> None:
        self._threshold_s = threshold_s
        self._suspended_s = _suspended_s()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of suspensions so far."""
        return self._count

    def check(self) -> float:
        """Return the length of a suspension that just ended, or 0.0, in seconds."""
        suspended_s = _suspended_s()
        pause_s = suspended_s - self._suspended_s
        self._suspended_s = suspended_s
        if pause_s < self._threshold_s:
            return 0.0
        self._count += 1
        return pause_s


def _suspended_s() -> float:
    """Return how long the machine has been suspended since its start, in seconds."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)
