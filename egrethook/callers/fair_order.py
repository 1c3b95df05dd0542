"""Start-time fair queueing of openings between routes and between callers."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Protocol

from egrethook.callers.waiting import WaitingOpening

ROUND_S = 0.2
"""Weighted service time by which a route may be ahead of others, in seconds.

Within it, priority and urgency decide.
"""

MAX_IDLE_MEMBERS = 64
"""Known routes or callers above which those without openings are forgotten."""

MAX_MEMBERS_AHEAD = 1024
"""Number beyond those with openings above which all the others are forgotten.

Otherwise the ones that were served ahead of others are kept.
"""

MIN_COST_S = 0.001
"""Lower bound of the expected cost of an opening, in seconds."""


class QueuedOpening:
    """An opening in at most one order; one that leaves it is skipped there.

    Parameters
    ----------
    opening : WaitingOpening
        The opening.
    """

    __slots__ = ("opening", "order")

    def __init__(self, opening: WaitingOpening) -> None:
        self.opening = opening
        self.order: FairOrder | None = None


class Urgency(Protocol):
    """Orders the openings of one caller and route; the smallest is first."""

    def __call__(self, opening: WaitingOpening) -> float:
        """Return a time, in seconds."""
        ...


class _Backlog(Protocol):
    """The openings of one route, or those of one caller on it."""

    def add(self, queued: QueuedOpening) -> None:
        """Add an opening."""
        ...

    def head(self) -> QueuedOpening | None:
        """Return the opening to serve first, or None."""
        ...

    def charge_head(self) -> None:
        """Remove the first opening and charge its cost."""
        ...


class _CallerBacklog:
    """The openings of one caller on one route, the most urgent first."""

    def __init__(self, order: FairOrder) -> None:
        self._order = order
        self._heap: list[tuple[float, int, QueuedOpening]] = []

    def add(self, queued: QueuedOpening) -> None:
        """Add an opening."""
        order = self._order
        heappush(
            self._heap, (order.urgency(queued.opening), next(order.numbers), queued)
        )

    def head(self) -> QueuedOpening | None:
        """Return the most urgent opening, or None."""
        heap = self._heap
        while heap and heap[0][-1].order is not self._order:
            heappop(heap)
        return heap[0][-1] if heap else None

    def charge_head(self) -> None:
        """Remove the most urgent opening."""
        heappop(self._heap)


class _Member:
    """A route or caller, with the service time that it has been charged."""

    __slots__ = ("backlog", "is_queued", "start_s", "weight")

    def __init__(self, backlog: _Backlog, weight: float, start_s: float) -> None:
        self.backlog = backlog
        self.weight = weight
        self.start_s = start_s
        self.is_queued = False


class _FairMembers:
    """Serves the member first that has been charged least for its weight.

    A member without openings accumulates no credit: when it comes back, it starts
    where the others are. What it leaves unused goes to them.

    Parameters
    ----------
    order : FairOrder
        Gives the urgency of openings.
    key : callable
        Returns the member that an opening belongs to.
    weight : callable
        Returns the weight of an opening's member.
    new_backlog : callable
        Returns an empty backlog for a new member.
    round_s : float
        Charged time that is taken as equal, in seconds; 0 compares exactly.
    """

    def __init__(
        self,
        order: FairOrder,
        key: Callable[[WaitingOpening], object],
        weight: Callable[[WaitingOpening], float],
        new_backlog: Callable[[], _Backlog],
        round_s: float = 0.0,
    ) -> None:
        self._order = order
        self._key = key
        self._weight = weight
        self._new_backlog = new_backlog
        self._round_s = round_s
        self._members: dict[object, _Member] = {}
        self._heap: list[tuple[float, int, float, int, _Member]] = []
        self._virtual_s = 0.0
        self._forget_above = MAX_IDLE_MEMBERS

    def add(self, queued: QueuedOpening) -> None:
        """Add an opening to its member."""
        opening = queued.opening
        key = self._key(opening)
        member = self._members.get(key)
        if member is None:
            self._forget_idle()
            member = _Member(
                self._new_backlog(), self._weight(opening), self._virtual_s
            )
            self._members[key] = member
        member.backlog.add(queued)
        if not member.is_queued:
            self._enqueue(member, opening)

    def head(self) -> QueuedOpening | None:
        """Return the opening to serve first, or None."""
        while self._heap:
            turn, *_, member = self._heap[0]
            queued = member.backlog.head()
            if queued is not None and turn >= self._turn(member):
                return queued
            heappop(self._heap)
            member.is_queued = False
            if queued is not None:
                self._enqueue(member, queued.opening)
        return None

    def charge(self, opening: WaitingOpening) -> None:
        """Charge the member of an opening that was served out of another order."""
        member = self._members.get(self._key(opening))
        if member is not None:
            member.start_s = max(member.start_s, self._virtual_s)
            member.start_s += opening.cost_s / member.weight

    def charge_head(self) -> None:
        """Remove the opening that `head` returned, and charge its member."""
        member = heappop(self._heap)[-1]
        member.is_queued = False
        queued = member.backlog.head()
        assert queued is not None
        self._virtual_s = max(self._virtual_s, member.start_s)
        member.start_s += queued.opening.cost_s / member.weight
        member.backlog.charge_head()
        following = member.backlog.head()
        if following is not None:
            self._enqueue(member, following.opening)

    def _enqueue(self, member: _Member, opening: WaitingOpening) -> None:
        member.is_queued = True
        member.start_s = max(member.start_s, self._virtual_s)
        order = self._order
        item = (
            self._turn(member),
            opening.priority,
            order.urgency(opening),
            next(order.numbers),
            member,
        )
        heappush(self._heap, item)

    def _turn(self, member: _Member) -> float:
        return member.start_s // self._round_s if self._round_s else member.start_s

    def _forget_idle(self) -> None:
        """Forget members without openings, first those not ahead of the others.

        The members are searched only after their number has doubled.
        """
        if len(self._members) <= self._forget_above:
            return
        self._keep(lambda member: member.is_queued or member.start_s > self._virtual_s)
        if len(self._members) > len(self._heap) + MAX_MEMBERS_AHEAD:
            self._keep(lambda member: member.is_queued)
        self._forget_above = 2 * len(self._members) + MAX_IDLE_MEMBERS

    def _keep(self, is_kept: Callable[[_Member], bool]) -> None:
        self._members = {
            key: member for key, member in self._members.items() if is_kept(member)
        }


class _RouteCounts:
    """The waiting openings of one route."""

    __slots__ = ("by_caller", "cost_s", "total", "weight")

    def __init__(self, opening: WaitingOpening) -> None:
        self.by_caller: dict[int, int] = {}
        self.total = 0
        self.weight = route_weight(opening)
        self.cost_s = max(opening.cost_s, MIN_COST_S)


def route_weight(opening: WaitingOpening) -> float:
    """Return the weight of an opening's route among the routes of its service."""
    return 1.0 / (1.0 + opening.priority)


class FairOrder:
    """Shares a service between routes by priority, and a route between callers.

    Parameters
    ----------
    urgency : Urgency
        Orders the openings of one caller, and equal routes or callers.

    Attributes
    ----------
    numbers : iterator of int
        Numbers the openings in the order in which they were added.
    """

    def __init__(self, urgency: Urgency) -> None:
        self.urgency = urgency
        self.numbers = count()
        self._counts: dict[str, _RouteCounts] = {}
        self._total = 0
        self._routes = self._new_routes()

    def __len__(self) -> int:
        return self._total

    def add(self, queued: QueuedOpening) -> None:
        """Add an opening."""
        if not self._total:
            self._routes = self._new_routes()
        opening = queued.opening
        queued.order = self
        self._routes.add(queued)
        counts = self._counts.get(opening.route)
        if counts is None:
            counts = self._counts[opening.route] = _RouteCounts(opening)
        counts.total += 1
        counts.by_caller[opening.caller] = counts.by_caller.get(opening.caller, 0) + 1
        self._total += 1

    def head(self) -> QueuedOpening | None:
        """Return the opening to serve first, or None."""
        return self._routes.head()

    def serve_head(self) -> None:
        """Remove the opening that `head` returned, and charge its route and caller."""
        queued = self._routes.head()
        assert queued is not None
        self._routes.charge_head()
        self.discard(queued)

    def charge(self, opening: WaitingOpening) -> None:
        """Charge a route for an opening that was served out of another order."""
        self._routes.charge(opening)

    def discard(self, queued: QueuedOpening) -> None:
        """Remove an opening that is not served here."""
        opening = queued.opening
        queued.order = None
        self._total -= 1
        counts = self._counts[opening.route]
        counts.total -= 1
        counts.by_caller[opening.caller] -= 1
        if not counts.by_caller[opening.caller]:
            del counts.by_caller[opening.caller]
        if not counts.total:
            del self._counts[opening.route]

    def openings_before(self, opening: WaitingOpening) -> float:
        """Return how many openings would be served before one more."""
        own = self._counts.get(opening.route)
        ahead = 0
        if own is not None:
            turns = own.by_caller.get(opening.caller, 0) + 1
            ahead = min(own.total, turns * len(own.by_caller))
        # Charged time of the route when it is the opening's turn, and a round more,
        # by which others may have been ahead.
        weighted_s = (ahead + 1) * opening.cost_s / route_weight(opening) + ROUND_S
        others = sum(
            min(counts.total, weighted_s * counts.weight / counts.cost_s)
            for counts in self._counts.values()
            if counts is not own
        )
        return ahead + others

    def _new_routes(self) -> _FairMembers:
        return _FairMembers(
            self,
            key=lambda opening: opening.route,
            weight=route_weight,
            new_backlog=self._new_callers,
            round_s=ROUND_S,
        )

    def _new_callers(self) -> _FairMembers:
        return _FairMembers(
            self,
            key=lambda opening: opening.caller,
            weight=lambda opening: 1.0,
            new_backlog=lambda: _CallerBacklog(self),
        )
