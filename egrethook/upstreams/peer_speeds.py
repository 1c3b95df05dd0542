"""Combines what other balancers report of the speed of upstreams.

Load that it answers: a fresh balancer has no answers of its own to tell slow upstreams
from fast ones, and balancers with little traffic get few answers from each upstream.

No report is trusted alone: the combined estimate is the one that at least half of the
reporters agree on or exceed, and that of a single reporter is bounded.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Sequence, Set
from typing import NamedTuple

from egrethook.upstreams.speeds import MAX_TIME_FACTOR, SpeedEstimate

REPORT_LIFE_S = 12.0
"""Time after which a report no longer counts, in seconds."""

REPORT_HALF_LIFE_S = 4.0
"""Time in which the weight of a report falls to half, in seconds."""

SINGLE_REPORTER_MAX_FACTOR = 2.0
"""Bound of the time factor, and of its inverse, that one balancer alone can cause."""

MAX_WEIGHT = 10.0
"""Maximum weight of a combined estimate, in answers."""

MAX_REPORTERS = 8
"""Maximum reporters kept for one upstream; newer ones replace the oldest."""

MAX_UPSTREAMS = 4_096
"""Maximum upstreams for which reports are kept."""


class _Report(NamedTuple):
    """One balancer's estimate of one upstream."""

    time_factor: float
    weight: float
    received_at: float


class PeerSpeeds:
    """Keeps the newest estimates of other balancers, by upstream and reporter."""

    def __init__(self) -> None:
        self._reports: dict[int, dict[Hashable, _Report]] = {}

    def __len__(self) -> int:
        """Return the number of upstreams with reports."""
        return len(self._reports)

    def tokens(self) -> Set[int]:
        """Return the tokens of the upstreams with reports."""
        return self._reports.keys()

    def note(
        self, reporter: Hashable, estimates: Iterable[SpeedEstimate], now: float
    ) -> list[SpeedEstimate]:
        """Add the estimates of one balancer; return the combined ones they change."""
        combined = []
        for token, time_factor, weight in estimates:
            if token not in self._reports and len(self._reports) >= MAX_UPSTREAMS:
                continue
            reports = self._reports.setdefault(token, {})
            reports.pop(reporter, None)
            if len(reports) >= MAX_REPORTERS:
                del reports[next(iter(reports))]
            reports[reporter] = _Report(time_factor, weight, now)
            combined.append(_combine(token, reports.values(), now))
        return combined

    def combined(self, now: float) -> list[SpeedEstimate]:
        """Return the combined estimates of all upstreams."""
        self.expire(now)
        return [
            _combine(token, reports.values(), now)
            for token, reports in self._reports.items()
        ]

    def expire(self, now: float) -> None:
        """Remove reports that no longer count."""
        for token, reports in list(self._reports.items()):
            for reporter, report in list(reports.items()):
                if not _is_current(report, now):
                    del reports[reporter]
            if not reports:
                del self._reports[token]


def _is_current(report: _Report, now: float) -> bool:
    return now - report.received_at < REPORT_LIFE_S


def _combine(token: int, reports: Iterable[_Report], now: float) -> SpeedEstimate:
    """Return what the current reports on an upstream have in common."""
    current = [one for one in reports if _is_current(one, now)]
    weights = [
        one.weight * 0.5 ** ((now - one.received_at) / REPORT_HALF_LIFE_S)
        for one in current
    ]
    time_factor = _agreed_factor([one.time_factor for one in current])
    return SpeedEstimate(token, time_factor, min(MAX_WEIGHT, sum(weights)))


def _agreed_factor(factors: Sequence[float]) -> float:
    """Return the median; of two middle values the one closer to 1.0."""
    if len(factors) == 1:
        return bounded_factor(factors[0], SINGLE_REPORTER_MAX_FACTOR)
    ordered = sorted(bounded_factor(factor) for factor in factors)
    middle = ordered[(len(ordered) - 1) // 2], ordered[len(ordered) // 2]
    return min(middle, key=lambda factor: abs(math.log(factor)))


def bounded_factor(time_factor: float, bound: float = MAX_TIME_FACTOR) -> float:
    """Return a time factor no greater than a bound and no less than its inverse."""
    return min(bound, max(1.0 / bound, time_factor))
