"""The queue of openings that wait for capacity at one service's upstreams."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from typing import NamedTuple, Protocol

MIN_QUEUE_CAPACITY = 16
"""Queue length below which openings are accepted whatever the upstreams' rate."""


class WaitingOpening(NamedTuple):
    """A queued opening; the smallest tuple is served first.

    Parameters
    ----------
    priority : int
        The priority of its route; 0 is the highest.
    arrived_at : float
        When it arrived, in seconds.
    due : float
        When it must be answered to meet its latency objective, in seconds.
    flow : bytes
        The flow's key.
    route : str
        The name of its route.
    caller : int
        The caller's IPv4 address.
    cost_s : float
        Expected time from sending it to its answer, in seconds.
    start_by : float
        When it must be sent to meet its latency objective, in seconds.
    caller_timeout_at : float
        When the caller abandons it, in seconds.
    yields : bool
        Whether it waits among the late openings, even if it can still be on time.
    is_guaranteed : bool
        Whether it is due its guaranteed share of the room, although it is late.
    """

    priority: int
    arrived_at: float
    due: float
    flow: bytes
    route: str = ""
    caller: int = 0
    cost_s: float = 0.0
    start_by: float = float("inf")
    caller_timeout_at: float = float("inf")
    yields: bool = False
    is_guaranteed: bool = False


class OpeningQueue(Protocol):
    """The order in which the openings of one service are served."""

    def __len__(self) -> int:
        """Return the number of queued openings."""
        ...

    def expected_wait_s(
        self, answers_per_s: float, opening: WaitingOpening | None = None
    ) -> float:
        """Return the expected wait of one more opening, in seconds."""
        ...

    def push(self, opening: WaitingOpening) -> None:
        """Add an opening to the queue."""
        ...

    def in_order(self, now: float, service_s: float) -> Iterator[WaitingOpening]:
        """Yield openings in the order in which they are to be served.

        An opening is removed when the next one is requested, unless it is set aside.
        """
        ...

    def set_aside(self, opening: WaitingOpening) -> bool:
        """Keep the opening that `in_order` has yielded, because it found no room.

        Returns
        -------
        bool
            Whether another opening may find room all the same.
        """
        ...

    def take_hopeless(self, now: float) -> Iterable[WaitingOpening]:
        """Remove and return openings that can't be served before the timeout."""
        ...


class WaitingQueue:
    """Serves openings that can still meet their latency objective first.

    After an outage all callers reconnect at once. In a FIFO queue every one of them
    would miss its objective, including those that have only just arrived. Openings
    that are already late are served after the others, but before their callers'
    timeout.
    """

    def __init__(self) -> None:
        self._on_time: list[WaitingOpening] = []
        self._late: list[WaitingOpening] = []

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def expected_wait_s(
        self, answers_per_s: float, opening: WaitingOpening | None = None
    ) -> float:
        """Return the expected wait of one more opening, in seconds.

        Parameters
        ----------
        answers_per_s : float
            The rate at which the upstreams complete requests.
        opening : WaitingOpening, optional
            Ignored: the whole queue is taken to be served first.
        """
        if len(self) < MIN_QUEUE_CAPACITY:
            return 0.0
        return len(self) / answers_per_s if answers_per_s else float("inf")

    def push(self, opening: WaitingOpening) -> None:
        """Add an opening to the queue."""
        heappush(self._on_time, opening)

    def in_order(self, now: float, service_s: float) -> Iterator[WaitingOpening]:
        """Yield openings in the order in which they are to be served.

        An opening is removed when the next one is requested, so the one at which
        the iteration stops stays queued.

        Parameters
        ----------
        service_s : float
            The expected time from sending an opening to its answer, in seconds.
        """
        while len(self):
            self._demote_late(now + service_s)
            queue = self._on_time or self._late
            yield queue[0]
            heappop(queue)

    def set_aside(self, opening: WaitingOpening) -> bool:
        """Return False: where the first opening finds no room, no other does."""
        return False

    def take_hopeless(self, now: float) -> Iterable[WaitingOpening]:
        """Return nothing: an opening is dropped when it is its turn."""
        return ()

    def _demote_late(self, answered_at: float) -> None:
        while self._on_time and self._on_time[0].due < answered_at:
            heappush(self._late, heappop(self._on_time))
