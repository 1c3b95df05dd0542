"""Fair queueing: shares a service's capacity between openings that wait for it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from egrethook.callers.fair_order import MIN_COST_S
from egrethook.callers.fair_queue import FairQueue
from egrethook.callers.forwarded_flow import DispatcherCounts, ForwardedFlow
from egrethook.callers.queueing_policy import TYPICAL_SERVICE_TIME_S
from egrethook.callers.service_rate import ServiceRate
from egrethook.callers.waiting import OpeningQueue, WaitingOpening
from egrethook.discovery.records import Route
from egrethook.logs import PartLog
from egrethook.retries import RetryBudget
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.upstream import Upstream

COST_WEIGHT = 0.1
"""Weight of the newest request in the average cost of its route."""

MAX_ROUTES = 1024
"""Bound on the routes whose average cost is kept."""

MAX_LEAD_SHARE = 0.75
"""Fraction of the latency objective that an expected cost takes at most.

Where upstreams are slower than the objective, each opening would be late as soon as it
arrives, and none could be preferred.
"""

RETRIES_PER_FIRST_ATTEMPT = 0.25
"""Queued retries per queued first attempt: a fifth of all that wait."""

MIN_RETRIES = 4
"""Queued retries of a service that are within the budget in any case."""

RETRY_WINDOW_S = 0.05
"""Time after a refusal within which an opening counts as its retry, in seconds.

A caller without retries left sends none, and its next request is no retry.
"""

MAX_REFUSED_CALLERS = 4096
"""Bound on the callers and routes whose refusals are remembered."""

LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines on the queue of one service, in seconds."""

_LOG = PartLog("queueing")


class ExpectedCost(Protocol):
    """Tells what the requests of a route cost."""

    def expected_cost_s(self, route: Route) -> float:
        """Return the expected time from an opening to its answer, in seconds."""
        ...


class MeasuredCost:
    """Averages the service times of each route, as a `RequestListener`.

    A route without answers, or with short ones, has the typical service time.
    """

    def __init__(self) -> None:
        self._costs_s: dict[str, float] = {}

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Add a service time to the average of its route, if it shows the cost."""
        if not outcome.is_sound:
            return
        name = outcome.route.name
        average_s = self._costs_s.get(name, outcome.service_s)
        average_s += COST_WEIGHT * (outcome.service_s - average_s)
        if name not in self._costs_s and len(self._costs_s) >= MAX_ROUTES:
            del self._costs_s[next(iter(self._costs_s))]
        self._costs_s[name] = average_s

    def expected_cost_s(self, route: Route) -> float:
        """Return the average service time of a route, in seconds."""
        return max(TYPICAL_SERVICE_TIME_S, self._costs_s.get(route.name, 0.0))


class RefusedCallers:
    """Remembers for a moment which callers were refused, to recognise their retries."""

    def __init__(self) -> None:
        self._refusals: dict[tuple[int, str], tuple[float, int]] = {}

    def note_refused(self, caller: int, route: str, now: float) -> None:
        """Expect one retry of a caller."""
        key = caller, route
        refused_at, count = self._refusals.pop(key, (now, 0))
        if now - refused_at > RETRY_WINDOW_S:
            count = 0
        self._refusals[key] = now, count + 1
        if len(self._refusals) > MAX_REFUSED_CALLERS:
            del self._refusals[next(iter(self._refusals))]

    def is_retry(self, caller: int, route: str, now: float) -> bool:
        """Return whether an opening is an expected retry, which it then was."""
        key = caller, route
        refused_at, count = self._refusals.get(key, (now, 0))
        if not count:
            return False
        if now - refused_at > RETRY_WINDOW_S:
            del self._refusals[key]
            return False
        if count == 1:
            del self._refusals[key]
        else:
            self._refusals[key] = refused_at, count - 1
        return True


class _QueueReport:
    """What is logged about the queue of one service."""

    __slots__ = ("is_open", "logged_at", "refused", "since", "waited")

    def __init__(self) -> None:
        self.is_open = False
        self.logged_at = float("-inf")
        self.since = 0.0
        self.waited = 0
        self.refused = 0


class FairQueueing:
    """Shares the room between routes and callers, and gives retries a budget.

    Parameters
    ----------
    rate : ServiceRate
        The rate at which upstreams complete requests.
    costs : ExpectedCost
        What the requests of each route cost.
    counts : DispatcherCounts
        Counts waits and refusals by route.
    """

    lets_new_openings_pass = False

    def __init__(
        self, rate: ServiceRate, costs: ExpectedCost, counts: DispatcherCounts
    ) -> None:
        self._rate = rate
        self._costs = costs
        self._counts = counts
        self._refused_callers = RefusedCallers()
        self._budgets: dict[str, RetryBudget] = {}
        self._reports: dict[str, _QueueReport] = {}

    def new_queue(self) -> OpeningQueue:
        """Return an empty queue for one service."""
        return FairQueue()

    def describe(
        self, flow: ForwardedFlow, queue: OpeningQueue, now: float
    ) -> WaitingOpening:
        """Return the queue entry of an opening; retries beyond the budget yield."""
        route = flow.route
        cost_s = max(self._costs.expected_cost_s(route), MIN_COST_S)
        return WaitingOpening(
            route.priority,
            now,
            flow.due_at,
            flow.segment.flow,
            route.name,
            flow.segment.caller[0],
            cost_s,
            flow.due_at - _lead_s(cost_s, route.objective_s),
            flow.caller_timeout_at,
            self._exceeds_retry_budget(flow, queue, now),
        )

    def answers_per_s(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate at which upstreams complete requests of this balancer."""
        return self._rate.answers_per_s(service, candidates, now)

    def rate_now(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate without taking an opening to wait; changes nothing."""
        return self._rate.rate_now(service, candidates, now)

    def service_s(self, candidates: Sequence[Upstream]) -> float:
        """Return a typical service time; each opening has its own expected cost."""
        return TYPICAL_SERVICE_TIME_S

    def note_queued(self, flow: ForwardedFlow, queue: OpeningQueue, now: float) -> None:
        """Count an opening that was queued, and log that a queue forms."""
        self._counts.waited_by_route.add(flow.route.name)
        report = self._reports.setdefault(flow.service, _QueueReport())
        report.waited += 1
        if report.is_open or now - report.logged_at < LOG_INTERVAL_S:
            return
        report.is_open = True
        report.logged_at = report.since = now
        _LOG.info(
            "openings wait for room.",
            service=flow.service,
            route=flow.route.name,
            waiting=len(queue),
        )

    def note_refused(self, flow: ForwardedFlow, now: float) -> None:
        """Count a refused opening, and expect its caller's retry."""
        self._counts.refused_by_route.add(flow.route.name)
        self._reports.setdefault(flow.service, _QueueReport()).refused += 1
        caller = flow.segment.caller[0]
        self._refused_callers.note_refused(caller, flow.route.name, now)

    def note_empty(self, service: str, now: float) -> None:
        """Log that no opening waits any more."""
        report = self._reports.get(service)
        if report is None or not report.is_open:
            return
        _LOG.info(
            "no opening waits any more.",
            service=service,
            after_ms=round((now - report.since) * 1000),
            waited=report.waited,
            refused=report.refused,
        )
        report.is_open = False
        report.waited = report.refused = 0

    def _exceeds_retry_budget(
        self, flow: ForwardedFlow, queue: OpeningQueue, now: float
    ) -> bool:
        budget = self._budgets.get(flow.service)
        if budget is None:
            budget = RetryBudget(RETRIES_PER_FIRST_ATTEMPT, MIN_RETRIES, now)
            self._budgets[flow.service] = budget
        caller = flow.segment.caller[0]
        # Upstreams are avoided after they left the caller's last opening unanswered.
        if not flow.avoided and not self._refused_callers.is_retry(
            caller, flow.route.name, now
        ):
            budget.record_request(now)
            return False
        return len(queue) > 0 and not budget.try_retry(now)


def _lead_s(cost_s: float, objective_s: float) -> float:
    """Return how long before its due time an opening must be sent, in seconds."""
    return min(cost_s, MAX_LEAD_SHARE * objective_s)
