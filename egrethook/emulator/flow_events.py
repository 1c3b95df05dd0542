"""Virtual time: the queue of scheduled actions of a discrete-event simulation."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class EventQueue:
    """Runs actions in the order of their times, and of scheduling where these equal."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self._now

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self._now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self._now = until
