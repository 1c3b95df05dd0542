"""Latency histograms with cheap updates."""

from __future__ import annotations

from bisect import bisect_left

LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
"""Upper bounds of the buckets, in seconds."""


class LatencyHistogram:
    """Counts durations per bucket."""

    def __init__(self) -> None:
        self._counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self._sum_s = 0.0

    @property
    def sum_s(self) -> float:
        """The sum of all durations, in seconds."""
        return self._sum_s

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._sum_s += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative counts with their upper bounds as text."""
        labels = [*(f"{bound:g}" for bound in LATENCY_BOUNDS_S), "+Inf"]
        total = 0
        rows = []
        for label, count in zip(labels, self._counts, strict=True):
            total += count
            rows.append((label, float(total)))
        return rows
