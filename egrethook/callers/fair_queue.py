"""The queue of one service in which routes and callers share its capacity.

It answers bursts: of one route beside others of its service, of one caller beside
others, and of all callers after an outage.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from egrethook.callers.fair_order import FairOrder, QueuedOpening
from egrethook.callers.waiting import MIN_QUEUE_CAPACITY, WaitingOpening

LATE_SHARE = 0.05
"""Share of the served cost that goes to late openings while others wait."""

OPENING_MARGIN_S = 0.05
"""Time that an upstream's answer to an opening takes to its caller, in seconds.

The caller's timeout ends with that answer, however long the request itself takes.
"""

MAX_LATE_CREDIT_S = 0.5
"""Upper bound of the cost that late openings may claim at once, in seconds.

One that costs more is served as soon as this is reached, and leaves a debt.
"""


def _start_by(opening: WaitingOpening) -> float:
    """Return when an opening must be sent to be on time, in seconds."""
    return opening.start_by


def _give_up_at(opening: WaitingOpening) -> float:
    """Return the time after which an opening can't be answered, in seconds."""
    return opening.caller_timeout_at - OPENING_MARGIN_S


class FairQueue:
    """Serves openings that can be on time first, in fair shares.

    Late openings have a small guaranteed share while others wait. They are served in
    fair shares as well, those with the earliest timeout of the caller first.
    """

    def __init__(self) -> None:
        self._on_time = FairOrder(_start_by)
        self._late = FairOrder(_give_up_at)
        self._numbers = count()
        self._by_start: list[tuple[float, int, QueuedOpening]] = []
        self._by_give_up: list[tuple[float, int, QueuedOpening]] = []
        self._late_credit_s = 0.0
        self._late_found_no_room = False
        self._was_set_aside = False

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
        opening : WaitingOpening
            The opening; only those that would be served before it count.
        """
        if len(self) < MIN_QUEUE_CAPACITY:
            return 0.0
        if opening is None:
            before: float = len(self)
        elif opening.yields:
            before = len(self._on_time) + self._late.openings_before(opening)
        else:
            before = self._on_time.openings_before(opening)
            starts_at = opening.arrived_at + _seconds(before, answers_per_s)
            if starts_at > _start_by(opening):
                before += self._late.openings_before(opening)
        return _seconds(before, answers_per_s)

    def push(self, opening: WaitingOpening) -> None:
        """Add an opening to the queue."""
        if not len(self):
            self._by_start.clear()
            self._by_give_up.clear()
        queued = QueuedOpening(opening)
        number = next(self._numbers)
        start_by, give_up_at = _start_by(opening), _give_up_at(opening)
        heappush(self._by_give_up, (give_up_at, number, queued))
        if opening.yields:
            self._late.add(queued)
            return
        self._on_time.add(queued)
        if start_by < give_up_at:
            heappush(self._by_start, (start_by, number, queued))

    def in_order(self, now: float, service_s: float) -> Iterator[WaitingOpening]:
        """Yield openings in the order in which they are to be served.

        An opening is removed when the next one is requested, unless it is set aside.

        Parameters
        ----------
        service_s : float
            Ignored: each opening has its own expected cost.
        """
        self._late_found_no_room = False
        self._demote_late(now)
        while (queued := self._head()) is not None:
            self._was_set_aside = False
            yield self._marked(queued)
            if not self._was_set_aside:
                self._serve(queued)

    def set_aside(self, opening: WaitingOpening) -> bool:
        """Keep an opening without room; one on time may find room if it was late."""
        self._was_set_aside = True
        head = self._on_time.head()
        if self._late_found_no_room or head is None or head.opening is opening:
            return False
        self._late_found_no_room = True
        return True

    def take_hopeless(self, now: float) -> Iterator[WaitingOpening]:
        """Remove and yield openings that can't be served before the timeout."""
        heap = self._by_give_up
        while heap and (heap[0][0] < now or heap[0][-1].order is None):
            queued = heappop(heap)[-1]
            if queued.order is not None:
                queued.order.discard(queued)
                yield queued.opening

    def _demote_late(self, now: float) -> None:
        heap = self._by_start
        while heap and (heap[0][0] < now or heap[0][-1].order is not self._on_time):
            queued = heappop(heap)[-1]
            if queued.order is self._on_time:
                self._on_time.discard(queued)
                self._late.add(queued)

    def _head(self) -> QueuedOpening | None:
        on_time = self._on_time.head()
        late = None if self._late_found_no_room else self._late.head()
        if on_time is None:
            return late
        if late is not None and self._is_guaranteed(late):
            return late
        return on_time

    def _is_guaranteed(self, late: QueuedOpening) -> bool:
        return self._late_credit_s >= min(late.opening.cost_s, MAX_LATE_CREDIT_S)

    def _marked(self, queued: QueuedOpening) -> WaitingOpening:
        """Return an opening, marked if it is late and due its guaranteed share."""
        if queued.order is self._late and self._is_guaranteed(queued):
            return queued.opening._replace(is_guaranteed=True)
        return queued.opening

    def _serve(self, queued: QueuedOpening) -> None:
        """Remove the head of one of the orders, and update the late credit."""
        cost_s = queued.opening.cost_s
        if queued.order is self._on_time:
            self._on_time.serve_head()
            if len(self._late):
                credit_s = cost_s * LATE_SHARE / (1.0 - LATE_SHARE)
                self._late_credit_s = min(
                    MAX_LATE_CREDIT_S, self._late_credit_s + credit_s
                )
        elif queued.order is self._late:
            self._late.serve_head()
            self._on_time.charge(queued.opening)
            self._late_credit_s -= cost_s
            if not len(self._on_time):
                # It took no room from others, so it leaves no debt.
                self._late_credit_s = max(0.0, self._late_credit_s)


def _seconds(openings: float, answers_per_s: float) -> float:
    if not openings:
        return 0.0
    return openings / answers_per_s if answers_per_s else float("inf")
