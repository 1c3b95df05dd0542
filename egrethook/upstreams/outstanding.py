"""The work that upstreams still have to do for this balancer."""

from __future__ import annotations

import math
from typing import Protocol

from egrethook.upstreams.upstream import RequestInProgress, Upstream

PLACED_WORK_TIME_S = 4.0
"""Time constant with which placed work is forgotten, in seconds."""

MAX_GROWTH = 30.0
"""Age of the scale of placed work at which it is renewed, in time constants."""

MAX_AGE_S = 600.0
"""Age of the scale at which all placed work is forgotten, in seconds."""

MIN_PLACED_WORK_S = 1e-4
"""Placed work that is forgotten when the scale is renewed, in seconds."""


class RemainingCosts(Protocol):
    """Tells what requests in progress still cost."""

    def remaining_s(self, request: RequestInProgress, cost_so_far_s: float) -> float:
        """Return the expected remaining cost of a request in progress, in seconds."""
        ...


class OutstandingWork:
    """Adds up what requests in progress and idle flows still cost at an upstream.

    Parameters
    ----------
    costs : RemainingCosts
        What requests still cost at an upstream of typical speed.
    """

    def __init__(self, costs: RemainingCosts) -> None:
        self._costs = costs

    def seconds(
        self, upstream: Upstream, time_factor: float, idle_cost_s: float, now: float
    ) -> float:
        """Return the outstanding work of an upstream through this balancer, in seconds.

        Parameters
        ----------
        time_factor : float
            How long the upstream takes, compared with a typical one.
        idle_cost_s : float
            Expected cost of the requests to come on one idle flow, in seconds.
        """
        work_s = upstream.idle_flows * idle_cost_s
        remaining_s = self._costs.remaining_s
        for request in upstream.requests:
            work_s += remaining_s(request, (now - request.sent_at) / time_factor)
        return work_s * time_factor


class PlacedWork:
    """The work that this balancer has placed lately, by upstream.

    Other balancers choose by the same rules, so that their work at an upstream is about
    in proportion to it. Its unit is arbitrary and the same for all upstreams; comparing
    needs no ageing of each entry.
    """

    def __init__(self) -> None:
        self._started_at = 0.0
        self._placed: dict[int, float] = {}

    @property
    def amounts(self) -> dict[int, float]:
        """The placed work of each upstream, by token."""
        return self._placed

    def unit(self, now: float) -> float:
        """Return what one second of work counts for now."""
        elapsed_s = min(now - self._started_at, MAX_AGE_S)
        return math.exp(elapsed_s / PLACED_WORK_TIME_S)

    def add(self, upstream: Upstream, work_s: float, now: float) -> None:
        """Record work that is placed at an upstream."""
        amount = work_s * self.unit(now)
        self._placed[upstream.token] = self._placed.get(upstream.token, 0.0) + amount

    def renew_if_due(self, now: float) -> bool:
        """Start a new scale if the unit has become large; return whether it has.

        What counts for nothing any more is forgotten. Must be called before `unit` or
        `add` if none of them was called for minutes: the unit overflows.
        """
        if now - self._started_at <= MAX_GROWTH * PLACED_WORK_TIME_S:
            return False
        unit = self.unit(now) if now - self._started_at < MAX_AGE_S else math.inf
        self._placed = {
            token: amount / unit
            for token, amount in self._placed.items()
            if amount / unit >= MIN_PLACED_WORK_S
        }
        self._started_at = now
        return True
