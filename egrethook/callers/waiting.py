"""Openings that wait for room at the upstreams of one service."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from typing import NamedTuple

MIN_QUEUE_CAPACITY = 16
"""Openings that may always wait."""


class WaitingOpening(NamedTuple):
    """An opening that waits; the smallest is served first.

    Parameters
    ----------
    priority : int
        0 is the highest.
    since : float
        When it arrived, in seconds.
    due : float
        When its latency objective ends, in seconds.
    flow : bytes
        The flow's key.
    """

    priority: int
    arrived_at: float
    due: float
    flow: bytes


class WaitingQueue:
    """Serves first what can still be answered within its latency objective.

    After an outage every caller returns at once. First in, first out would then
    make all of them late, those that have just come too. What is already late
    waits until the others are served, and is served within its deadline still.
    """

    def __init__(self) -> None:
        self._on_time: list[WaitingOpening] = []
        self._late: list[WaitingOpening] = []

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def expected_wait_s(self, answers_per_s: float) -> float:
        """Return how long one more opening would wait, in seconds.

        Parameters
        ----------
        answers_per_s : float
            How many requests the upstreams finish in a second.
        """
        if len(self) < MIN_QUEUE_CAPACITY:
            return 0.0
        return len(self) / answers_per_s if answers_per_s else float("inf")

    def push(self, opening: WaitingOpening) -> None:
        """Let an opening wait."""
        heappush(self._on_time, opening)

    def in_order(self, now: float, service_s: float) -> Iterator[WaitingOpening]:
        """Yield what is to be served next, for as long as the caller takes it.

        Parameters
        ----------
        service_s : float
            How long an answer takes once its opening has been sent, in seconds.
        """
        while len(self):
            self._demote_late(now + service_s)
            queue = self._on_time or self._late
            yield queue[0]
            heappop(queue)

    def _demote_late(self, answered_at: float) -> None:
        while self._on_time and self._on_time[0].due < answered_at:
            heappush(self._late, heappop(self._on_time))
