"""Deadline-ordered request queue that rejects requests it can't serve in time."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")


class Backlog(Generic[ItemT]):
    """Queue of requests, earliest deadline first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ItemT]] = []
        self._counter = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def expected_wait_s(self, service_s: float, slots: int) -> float:
        """Return the expected queueing time of a new request, in seconds."""
        return (len(self._heap) + 1) * service_s / max(1, slots)

    def offer(
        self,
        item: ItemT,
        deadline: float,
        now: float,
        *,
        service_s: float,
        slots: int,
        limit: int,
    ) -> bool:
        """Queue a request if it can be answered before its deadline.

        Parameters
        ----------
        item : object
            The request.
        deadline, now : float
            Times on the same clock, in seconds.
        service_s : float
            Average service time, in seconds.
        slots : int
            Maximum concurrent requests.
        limit : int
            Maximum queue length.

        Returns
        -------
        bool
            Whether the request was queued.
        """
        if len(self._heap) >= limit:
            return False
        if now + self.expected_wait_s(service_s, slots) + service_s > deadline:
            return False
        heapq.heappush(self._heap, (deadline, next(self._counter), item))
        return True

    def pop(self) -> ItemT | None:
        """Return the request with the earliest deadline, or None."""
        return heapq.heappop(self._heap)[2] if self._heap else None

    def remove(self, item: ItemT) -> bool:
        """Remove a request; return whether it was queued."""
        kept = [entry for entry in self._heap if entry[2] is not item]
        found = len(kept) < len(self._heap)
        if found:
            heapq.heapify(kept)
            self._heap = kept
        return found

    def expire(self, now: float) -> list[ItemT]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._heap and self._heap[0][0] <= now:
            expired.append(heapq.heappop(self._heap)[2])
        return expired

    def drain(self) -> list[ItemT]:
        """Remove and return all requests, earliest deadline first."""
        items = [entry[2] for entry in sorted(self._heap, key=lambda e: e[:2])]
        self._heap.clear()
        return items
