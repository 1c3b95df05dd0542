"""Openings that wait for room at the upstreams of one service."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from typing import NamedTuple

QUEUE_FLOOR = 16
"""Openings that may always wait."""

QUEUE_WAIT_S = 0.9
"""Longest wait for room that is worth while, in seconds."""


class Waiting(NamedTuple):
    """An opening that waits; the smallest is served first.

    Parameters
    ----------
    priority : int
        0 is the highest.
    since : float
        When it arrived, in seconds.
    on_time_until : float
        Until when it can be answered within its objective, in seconds.
    flow : bytes
        The flow's key.
    """

    priority: int
    since: float
    on_time_until: float
    flow: bytes


class WaitingQueue:
    """Serves first what can still be answered within its latency objective.

    After an outage every caller returns at once. First in, first out would then
    make all of them late, those that have just come too. What is already late
    waits until the others are served, and is served within its deadline still.
    """

    def __init__(self) -> None:
        self._on_time: list[Waiting] = []
        self._late: list[Waiting] = []

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def is_full(self, busy_flows: int, flow_s: float) -> bool:
        """Return whether one more would wait longer than is worth while.

        Parameters
        ----------
        busy_flows : int
            Flows whose requests the upstreams work at now.
        flow_s : float
            How long a request takes, in seconds.
        """
        rate_per_s = busy_flows / flow_s
        return len(self) >= max(QUEUE_FLOOR, rate_per_s * QUEUE_WAIT_S)

    def push(self, opening: Waiting) -> None:
        """Let an opening wait."""
        heappush(self._on_time, opening)

    def in_order(self, now: float) -> Iterator[Waiting]:
        """Yield what is to be served next, for as long as the caller takes it."""
        while len(self):
            self._move_late(now)
            queue = self._on_time or self._late
            yield queue[0]
            heappop(queue)

    def _move_late(self, now: float) -> None:
        while self._on_time and self._on_time[0].on_time_until < now:
            heappush(self._late, heappop(self._on_time))
