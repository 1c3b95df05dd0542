"""Learns how fast upstreams are, apart from what their requests cost.

The service time of an answer is compared with the typical cost of such requests. The
ratios are averaged as logarithms and bounded, so that one long request doesn't make an
upstream slow. They are relative to the mean of the service: where all upstreams are
slow, that is the cost of its requests.

A request that found others of this balancer at the upstream may have waited for a slot;
it counts by the share of the slots that were free.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, Protocol, TypeVar

from egrethook.logs import PartLog
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.speeds import MAX_TIME_FACTOR, SpeedEstimate
from egrethook.upstreams.upstream import Upstream

MAX_LOG_STEP = 0.7
"""Largest difference to the estimate that one answer counts for, as a logarithm."""

MAX_WEIGHT = 20.0
"""Answers that an estimate rests on at most."""

PRIOR_WEIGHT = 2.0
"""Answers that the assumption of a typical speed counts for."""

OWN_HALF_LIFE_S = 30.0
"""Time in which the weight of this balancer's own answers halves, in seconds."""

PEER_HALF_LIFE_S = 10.0
"""Time in which the weight of other balancers' estimates halves, in seconds."""

MIN_WEIGHT = 0.05
"""Weight below which an estimate is dropped."""

FACTOR_RANGE = (1.0 / MAX_TIME_FACTOR, MAX_TIME_FACTOR)
"""Bounds of a time factor."""

MAX_UPSTREAMS = 4_096
"""Maximum number of upstreams with an estimate."""

REFRESH_INTERVAL_S = 1.0
"""Time between two ageings of all estimates, in seconds."""

SLOW_FACTOR = 2.0
"""Time factor from which an upstream is logged as slow."""

RECOVERED_FACTOR = 1.4
"""Time factor below which an upstream is no longer logged as slow."""

_LOG = PartLog("speeds")


class TypicalCosts(Protocol):
    """Tells the typical cost of requests like one that was answered."""

    def typical_s(self, outcome: RequestOutcome) -> float | None:
        """Return the cost at an upstream of typical speed, or None if not known."""
        ...


class SpeedSpread(NamedTuple):
    """The smallest and largest time factor of all upstreams with an estimate."""

    upstreams: int
    smallest: float
    largest: float


class _LogMean:
    """A bounded mean of logarithms whose weight ages."""

    __slots__ = ("half_life_s", "mean", "updated_at", "weight")

    def __init__(self, half_life_s: float, now: float) -> None:
        self.half_life_s = half_life_s
        self.mean = 0.0
        self.weight = 0.0
        self.updated_at = now

    def age(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.weight *= 0.5 ** (elapsed_s / self.half_life_s)
        self.updated_at = now

    def add(self, value: float, weight: float, max_step: float, now: float) -> None:
        self.age(now)
        self.weight = min(MAX_WEIGHT, self.weight + weight)
        step = min(max_step, max(-max_step, value - self.mean))
        self.mean += step * min(1.0, weight / self.weight)


MeanT = TypeVar("MeanT", bound=_LogMean)


class _OwnSpeed(_LogMean):
    """The estimate of one upstream that rests on this balancer's own answers."""

    __slots__ = ("name", "service")

    def __init__(self, upstream: Upstream, now: float) -> None:
        super().__init__(OWN_HALF_LIFE_S, now)
        self.name = upstream.name
        self.service = upstream.service


class LearnedSpeeds:
    """The time factor of each upstream, from own answers and those of peers.

    Estimates of peers are kept apart from own ones; `own_estimates` returns only the
    latter. Without data, the time factor is 1.0.

    Parameters
    ----------
    costs : TypicalCosts
        What the requests cost at typical upstreams.
    """

    def __init__(self, costs: TypicalCosts) -> None:
        self._costs = costs
        self._own: dict[int, _OwnSpeed] = {}
        self._peers: dict[int, _LogMean] = {}
        self._centers: dict[str, float] = {}
        self._factors: dict[int, float] = {}
        self._slow: set[int] = set()
        self._refreshed_at = float("-inf")

    @property
    def factors(self) -> dict[int, float]:
        """The time factor of each upstream with an estimate, by token."""
        return self._factors

    def time_factor(self, upstream: Upstream) -> float:
        """Return 2.0 for an upstream that takes twice as long as a typical one."""
        return self._factors.get(upstream.token, 1.0)

    def spread(self) -> SpeedSpread:
        """Return how far the speeds of upstreams differ."""
        factors = self._factors.values()
        return SpeedSpread(
            len(factors), min(factors, default=1.0), max(factors, default=1.0)
        )

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Learn the speed of an upstream from an answer."""
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refresh(now)
        weight = outcome.free_share
        if not outcome.is_sound or not weight:
            return
        typical_s = self._costs.typical_s(outcome)
        if typical_s is None or outcome.service_s <= 0.0:
            return
        upstream = outcome.upstream
        own = self._own.get(upstream.token)
        if own is None:
            if len(self._own) >= MAX_UPSTREAMS:
                return
            own = self._own[upstream.token] = _OwnSpeed(upstream, now)
        own.add(math.log(outcome.service_s / typical_s), weight, MAX_LOG_STEP, now)
        self._update_factor(upstream.token)
        self._log_change(upstream.token, own.name)

    def own_estimates(self, now: float) -> Sequence[SpeedEstimate]:
        """Return the estimates that rest on this balancer's own answers."""
        self._refresh(now)
        return [
            SpeedEstimate(token, math.exp(own.mean - self._center(own)), own.weight)
            for token, own in self._own.items()
        ]

    def apply_peer_estimates(
        self, estimates: Iterable[SpeedEstimate], now: float
    ) -> None:
        """Replace earlier estimates by what other balancers now agree on."""
        for estimate in estimates:
            if not FACTOR_RANGE[0] <= estimate.time_factor <= FACTOR_RANGE[1]:
                continue
            weight = min(estimate.weight, MAX_WEIGHT)
            if not weight >= MIN_WEIGHT:
                continue
            is_new = estimate.token not in self._peers
            if is_new and len(self._peers) >= MAX_UPSTREAMS:
                continue
            peers = self._peers[estimate.token] = _LogMean(PEER_HALF_LIFE_S, now)
            peers.add(math.log(estimate.time_factor), weight, math.inf, now)
            self._update_factor(estimate.token)

    def _refresh(self, now: float) -> None:
        """Age all estimates, drop those without weight, and center each service."""
        self._refreshed_at = now
        self._own = dict(_aged(self._own, now))
        self._peers = dict(_aged(self._peers, now))
        sums: dict[str, tuple[float, float]] = {}
        for own in self._own.values():
            total, weight = sums.get(own.service, (0.0, 0.0))
            # Each upstream counts once, however many answers it gave.
            share = own.weight / (own.weight + PRIOR_WEIGHT)
            sums[own.service] = total + share * own.mean, weight + share
        self._centers = {
            service: total / weight for service, (total, weight) in sums.items()
        }
        self._factors = {}
        for token in self._own.keys() | self._peers.keys():
            self._update_factor(token)
        self._slow &= self._factors.keys()

    def _center(self, own: _OwnSpeed) -> float:
        return self._centers.get(own.service, 0.0)

    def _update_factor(self, token: int) -> None:
        total, weight = 0.0, PRIOR_WEIGHT
        own = self._own.get(token)
        if own is not None:
            total += own.weight * (own.mean - self._center(own))
            weight += own.weight
        peers = self._peers.get(token)
        if peers is not None:
            total += peers.weight * peers.mean
            weight += peers.weight
        low, high = FACTOR_RANGE
        self._factors[token] = min(high, max(low, math.exp(total / weight)))

    def _log_change(self, token: int, name: str) -> None:
        """Log that an upstream has become slow, or is no longer slow."""
        factor = self._factors[token]
        if factor >= SLOW_FACTOR and token not in self._slow:
            self._slow.add(token)
            _LOG.info(
                "an upstream is slow.", upstream=name, time_factor=round(factor, 2)
            )
        elif factor < RECOVERED_FACTOR and token in self._slow:
            self._slow.discard(token)
            _LOG.info(
                "an upstream is no longer slow.",
                upstream=name,
                time_factor=round(factor, 2),
            )


def _aged(estimates: dict[int, MeanT], now: float) -> Iterator[tuple[int, MeanT]]:
    """Age estimates, and yield those that still have weight."""
    for token, estimate in estimates.items():
        estimate.age(now)
        if estimate.weight >= MIN_WEIGHT:
            yield token, estimate
