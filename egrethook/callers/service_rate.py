"""The rate at which the upstreams of a service complete requests."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, sqrt
from typing import Protocol

from egrethook.callers.queueing_policy import TYPICAL_SERVICE_TIME_S
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.upstream import Upstream

RATE_AVERAGE_S = 1.0
"""Time constant of the moving average of the rate, in seconds."""

RATE_MARGIN = 1.5
"""Factor by which the rate may rise while an opening waits."""

QUIET_S = 0.5
"""Time without a waiting opening after which a queue counts as new, in seconds."""


class ServiceRate(Protocol):
    """Tells how many requests of this balancer are completed per second."""

    def answers_per_s(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate while openings wait."""
        ...

    def rate_now(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate without taking an opening to wait; changes nothing."""
        ...


class _Rate:
    """A decaying count of answers, and since when openings wait."""

    __slots__ = ("answered_at", "answers_per_s", "asked_at", "queued_at")

    def __init__(self, now: float) -> None:
        self.answers_per_s = 0.0
        self.answered_at = now
        self.asked_at = self.queued_at = float("-inf")


class SmoothedServiceRate:
    """Averages the answers of about a second, as a `RequestListener`.

    Before openings wait, the rate of answers shows the load and not the room. So in
    the first second of a queue, all slots are taken to serve this balancer. Later a
    margin and the standard error are added. Both are upper estimates, because a false
    refusal costs its caller more than a wait.
    """

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Count an answer."""
        service = outcome.upstream.service
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = _Rate(now)
        rate.answers_per_s = _decayed(rate, now) + 1.0 / RATE_AVERAGE_S
        rate.answered_at = now

    def answers_per_s(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the upper estimate of the rate while openings wait."""
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = _Rate(now)
        if now - rate.asked_at > QUIET_S:
            rate.queued_at = now
        rate.asked_at = now
        return self.rate_now(service, candidates, now)

    def rate_now(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate without taking an opening to wait; changes nothing."""
        rate = self._rates.get(service) or _Rate(now)
        is_new = now - rate.asked_at > QUIET_S
        if is_new or now - rate.queued_at < RATE_AVERAGE_S:
            slots = sum(upstream.record.slots for upstream in candidates)
            return slots / TYPICAL_SERVICE_TIME_S
        measured = _decayed(rate, now)
        standard_error = sqrt(measured / (2.0 * RATE_AVERAGE_S))
        return RATE_MARGIN * measured + standard_error


def _decayed(rate: _Rate, now: float) -> float:
    return rate.answers_per_s * exp((rate.answered_at - now) / RATE_AVERAGE_S)
