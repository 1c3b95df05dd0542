"""Learns from callers' packets what requests cost, by route and size of the request.

The cost of a request is the time that an upstream of typical speed works on it. It is
kept as a distribution: a few requests of a route may take many times as long as usual,
and one that has run for long is probably one of those.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from egrethook.discovery.records import Route
from egrethook.logs import PartLog
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.upstream import RequestInProgress, Upstream

SHORTEST_COST_S = 0.001
"""Upper bound of the first bucket, in seconds."""

BUCKETS_PER_OCTAVE = 2
"""Buckets for each doubling of the cost."""

BUCKET_COUNT = 30
"""Number of buckets; the last one holds all costs above 16.4 s."""

HALF_LIFE_S = 30.0
"""Time in which the weight of a measured request halves, in seconds."""

AGEING_INTERVAL_S = 1.0
"""Shortest time between two ageings of a distribution, in seconds."""

MIN_SAMPLES = 4.0
"""Measured requests below which a distribution alone says too little."""

MIN_CLASS_SAMPLES = 12.0
"""Measured requests from which a size class is told apart from its route."""

CLASS_DIFFERENCE_FACTOR = 1.3
"""Factor between the mean of a size class and of its route that tells it apart."""

DEFAULT_COST_S = 0.05
"""Cost assumed while no request has been measured, in seconds."""

OVERDUE_SAMPLES = 0.2
"""Weight of the assumption that a request runs for half its age again."""

LOGGED_CHANGE_FACTOR = 1.5
"""Factor by which the cost of a route has changed when it is logged again."""

MAX_ROUTES = 256
"""Maximum number of routes, and of services, with a distribution."""

SIZE_CLASS_BITS = 2
"""Doublings of the bytes of a request in one size class."""

MAX_SIZE_CLASS = 11
"""The last size class; holds requests of 2 MiB or more."""

_LOG = PartLog("costs")


class CostDistribution:
    """A histogram of costs with log-spaced buckets, whose samples age."""

    __slots__ = (
        "_aged_at",
        "_count",
        "_counts",
        "_log_sum",
        "_sum_s",
        "_sums_s",
        "_tail_counts",
        "_tail_sums_s",
    )

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._sums_s = [0.0] * BUCKET_COUNT
        self._count = 0.0
        self._sum_s = 0.0
        self._log_sum = 0.0
        self._aged_at = float("-inf")
        self._tail_counts: list[float] | None = None
        self._tail_sums_s: list[float] = []

    @property
    def count(self) -> float:
        """The number of samples, weighted by their age."""
        return self._count

    @property
    def mean_s(self) -> float:
        """The mean cost, in seconds; `DEFAULT_COST_S` without samples."""
        return self._sum_s / self._count if self._count else DEFAULT_COST_S

    @property
    def typical_s(self) -> float:
        """The geometric mean of the costs, which few long ones hardly change."""
        return math.exp(self._log_sum / self._count) if self._count else DEFAULT_COST_S

    def observe(self, cost_s: float, now: float) -> None:
        """Add the cost of one request."""
        if now - self._aged_at >= AGEING_INTERVAL_S:
            self._age(now)
        cost_s = max(cost_s, SHORTEST_COST_S)
        bucket = _bucket(cost_s)
        self._counts[bucket] += 1.0
        self._sums_s[bucket] += cost_s
        self._count += 1.0
        self._sum_s += cost_s
        self._log_sum += math.log(cost_s)
        self._tail_counts = None

    def remaining_s(self, age_s: float) -> float:
        """Return the expected remaining cost of a request, in seconds.

        Parameters
        ----------
        age_s : float
            The cost that it has caused so far, in seconds.
        """
        if not self._count:
            return max(DEFAULT_COST_S - age_s, age_s / 2)
        if age_s <= 0.0:
            return self.mean_s
        bucket = _bucket(age_s)
        tail_counts = self._cumulate()
        lower_s, upper_s = _bucket_bounds(bucket)
        share = min(1.0, max(0.0, (upper_s - age_s) / (upper_s - lower_s)))
        same_bucket = share * self._counts[bucket]
        longer = tail_counts[bucket + 1] + same_bucket
        total_s = self._tail_sums_s[bucket + 1] + same_bucket * (upper_s + age_s) / 2
        overdue_s = OVERDUE_SAMPLES * age_s / 2
        return (max(0.0, total_s - longer * age_s) + overdue_s) / (
            longer + OVERDUE_SAMPLES
        )

    def _cumulate(self) -> list[float]:
        """Return the number of samples in each bucket and all above it."""
        if self._tail_counts is not None:
            return self._tail_counts
        counts = [0.0] * (BUCKET_COUNT + 1)
        sums_s = [0.0] * (BUCKET_COUNT + 1)
        for bucket in range(BUCKET_COUNT - 1, -1, -1):
            counts[bucket] = counts[bucket + 1] + self._counts[bucket]
            sums_s[bucket] = sums_s[bucket + 1] + self._sums_s[bucket]
        self._tail_counts, self._tail_sums_s = counts, sums_s
        return counts

    def _age(self, now: float) -> None:
        """Reduce the weight of all samples by the time since the last ageing."""
        factor = 0.5 ** ((now - self._aged_at) / HALF_LIFE_S)
        self._aged_at = now
        self._counts = [count * factor for count in self._counts]
        self._sums_s = [sum_s * factor for sum_s in self._sums_s]
        self._count *= factor
        self._sum_s *= factor
        self._log_sum *= factor


class TimeFactors(Protocol):
    """Tells how long upstreams take, compared with typical ones."""

    def time_factor(self, upstream: Upstream) -> float:
        """Return 2.0 for an upstream that takes twice as long as a typical one."""
        ...


class RouteCost(NamedTuple):
    """What has been learned of one route, for the metrics.

    Parameters
    ----------
    samples : float
        Measured requests, weighted by their age.
    mean_s : float
        Mean cost, in seconds.
    """

    route: str
    samples: float
    mean_s: float


class _RouteDistributions:
    """The costs of a route, of all its requests and by size class."""

    __slots__ = ("by_size", "logged_s", "whole")

    def __init__(self) -> None:
        self.logged_s = 0.0
        self.whole = CostDistribution()
        self.by_size: dict[int, CostDistribution] = {}

    def observe(self, size_class: int, cost_s: float, now: float) -> None:
        self.whole.observe(cost_s, now)
        self.by_size.setdefault(size_class, CostDistribution()).observe(cost_s, now)

    def has_changed(self) -> bool:
        """Return whether the cost differs clearly from what was logged last."""
        if self.whole.count < MIN_CLASS_SAMPLES:
            return False
        ratio = self.whole.typical_s / self.logged_s if self.logged_s else 0.0
        return not 1.0 / LOGGED_CHANGE_FACTOR < ratio < LOGGED_CHANGE_FACTOR

    def for_size(self, size_class: int) -> CostDistribution:
        """Return the distribution of a size class if it differs from the route's."""
        known = self.by_size.get(size_class)
        if known is None or known.count < MIN_CLASS_SAMPLES:
            return self.whole
        ratio = known.typical_s / self.whole.typical_s
        if 1.0 / CLASS_DIFFERENCE_FACTOR < ratio < CLASS_DIFFERENCE_FACTOR:
            return self.whole
        return known


class RequestCosts:
    """The cost of requests, from the answers that pass through this balancer.

    A route with few samples has the cost of its service, and a service without any
    `DEFAULT_COST_S`. Requests that were retransmitted, that waited in the upstream's
    queue, or whose time includes a pause or a silence, are not learned.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDistributions] = {}
        self._services: dict[str, CostDistribution] = {}
        self._time_factors: TimeFactors | None = None

    def set_time_factors(self, time_factors: TimeFactors) -> None:
        """Set what tells the speed of upstreams, which is no part of a cost."""
        self._time_factors = time_factors

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Learn the cost of a request."""
        if not outcome.is_sound or not outcome.free_share:
            return
        cost_s = outcome.service_s
        if self._time_factors is not None:
            cost_s /= self._time_factors.time_factor(outcome.upstream)
        service = outcome.upstream.service
        route = self._routes.get(outcome.route.name)
        if route is None:
            _drop_oldest(self._routes)
            route = self._routes[outcome.route.name] = _RouteDistributions()
        route.observe(_size_class(outcome.request_bytes), cost_s, now)
        if route.has_changed():
            route.logged_s = route.whole.typical_s
            _LOG.info(
                "the cost of a route has changed.",
                route=outcome.route.name,
                typical_ms=round(route.logged_s * 1000, 1),
                mean_ms=round(route.whole.mean_s * 1000, 1),
            )
        if service not in self._services:
            _drop_oldest(self._services)
            self._services[service] = CostDistribution()
        self._services[service].observe(cost_s, now)

    def expected_s(self, route: Route, service: str) -> float:
        """Return the expected cost of a new request, in seconds."""
        return self._distribution(route, service).mean_s

    def remaining_s(self, request: RequestInProgress, cost_so_far_s: float) -> float:
        """Return the expected remaining cost of a request in progress, in seconds."""
        known = self._routes.get(request.route.name)
        if known is None or known.whole.count < MIN_SAMPLES:
            distribution = self._distribution(request.route, request.service)
        else:
            distribution = known.for_size(_size_class(request.request_bytes))
        return distribution.remaining_s(cost_so_far_s)

    def typical_s(self, outcome: RequestOutcome) -> float | None:
        """Return the typical cost of requests like one, or None if it isn't known."""
        known = self._routes.get(outcome.route.name)
        if known is None or known.whole.count < MIN_SAMPLES:
            return None
        return known.for_size(_size_class(outcome.request_bytes)).typical_s

    def by_route(self) -> Iterator[RouteCost]:
        """Yield what has been learned of each route."""
        for name, route in self._routes.items():
            yield RouteCost(name, route.whole.count, route.whole.mean_s)

    def _distribution(self, route: Route, service: str) -> CostDistribution:
        """Return the distribution of a route, or of its service if that knows more."""
        known = self._routes.get(route.name)
        if known is not None and known.whole.count >= MIN_SAMPLES:
            return known.whole
        return self._services.get(service, _NO_SAMPLES)


_NO_SAMPLES = CostDistribution()


def _drop_oldest(entries: dict[str, Any]) -> None:
    """Remove the entry that was added first if there is no room for a further one."""
    if len(entries) >= MAX_ROUTES:
        del entries[next(iter(entries))]


def _size_class(request_bytes: int) -> int:
    return min(MAX_SIZE_CLASS, request_bytes.bit_length() // SIZE_CLASS_BITS)


def _bucket(cost_s: float) -> int:
    if cost_s <= SHORTEST_COST_S:
        return 0
    octaves = math.log2(cost_s / SHORTEST_COST_S)
    return min(BUCKET_COUNT - 1, math.ceil(octaves * BUCKETS_PER_OCTAVE))


def _bucket_bounds(bucket: int) -> tuple[float, float]:
    """Return the lower and upper bound of a bucket, in seconds."""
    upper_s = SHORTEST_COST_S * 2.0 ** (bucket / BUCKETS_PER_OCTAVE)
    if bucket == 0:
        return 0.0, upper_s
    return upper_s / 2.0 ** (1 / BUCKETS_PER_OCTAVE), upper_s
