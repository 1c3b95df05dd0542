"""Evaluates a run of an emulated deployment and formats its results."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from egrethook.emulator.load import LoadResult
from egrethook.verdicts import Verdict


@dataclass
class RunReport:
    """Results of a run and the faults found in them.

    Parameters
    ----------
    results : dict of str to LoadResult
        Results of the load of each service.
    upstreams : list of dict
        Final state of each upstream, as returned by its control interface.
    faults : list of str
        Violations seen during the run; those found in the results are appended.
    """

    results: dict[str, LoadResult]
    upstreams: list[dict[str, Any]]
    faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._executions = count_executions(self.upstreams)
        self.faults = [*self.faults, *self._find_faults()]

    @property
    def duplicate_executions(self) -> int:
        """Number of requests that are not idempotent and ran more than once."""
        return sum(
            self._executions[key] > 1
            for result in self.results.values()
            for key in result.non_idempotent
        )

    @property
    def false_refusals(self) -> int:
        """Number of requests that ran although they were refused as not run."""
        return sum(
            verdict is Verdict.NOT_RUN and self._executions[key] > 0
            for result in self.results.values()
            for key, verdict in result.non_idempotent.items()
        )

    def imbalance(self, service: str) -> float:
        """Return the maximum over the mean busy time of a service's upstreams."""
        busy = [u["busy_s"] for u in self.upstreams if u["service"] == service]
        mean = sum(busy) / len(busy) if busy else 0.0
        return max(busy) / mean if mean else 1.0

    def rows(self) -> list[list[str]]:
        """Return a table row for each service; see `HEADINGS`."""
        rows = []
        for service, result in self.results.items():
            unknown = result.outcomes[Verdict.MAY_HAVE_RUN.name]
            rows.append(
                [
                    service,
                    str(result.outcomes[Verdict.ANSWERED.name]),
                    str(result.outcomes[Verdict.NOT_RUN.name]),
                    str(unknown),
                    str(result.wrong_answers),
                    f"{result.flows_broken}/{result.flows}",
                    f"{self.imbalance(service):.2f}",
                    f"{result.quantile_ms(0.5):.0f}",
                    f"{result.quantile_ms(0.99):.0f}",
                    f"{result.lowest_answered_share():.0%}",
                ]
            )
        return rows

    def as_json(self) -> dict[str, Any]:
        """Return the results as JSON-compatible data."""
        services = [dict(zip(HEADINGS, row, strict=True)) for row in self.rows()]
        return {"services": services, "faults": self.faults}

    def _find_faults(self) -> list[str]:
        results = self.results.values()
        counts = {
            "requests doubled": self.duplicate_executions,
            "false refusals": self.false_refusals,
            "requests lost": sum(sum(r.refusals.values()) for r in results),
            "wrong answers": sum(r.wrong_answers for r in results),
            "flows broken": sum(r.flows_broken for r in results),
            "packets at another service": sum(
                u["wrong_service"] for u in self.upstreams
            ),
        }
        faults = [f"{name}: {count}" for name, count in counts.items() if count]
        reasons: Counter[str] = Counter()
        for result in results:
            reasons.update(result.refusals)
            reasons.update(result.flow_errors)
        return [*faults, *(f"{why}, {n} times" for why, n in reasons.items())]


HEADINGS = [
    "service",
    "answered",
    "not run",
    "unknown",
    "wrong",
    "flows broken",
    "max/mean",
    "p50 ms",
    "p99 ms",
    "worst s",
]
"""Headings of the table and keys of the JSON output."""


def count_executions(upstreams: list[dict[str, Any]]) -> Counter[tuple[int, int]]:
    """Return the number of executions by caller and request, over all upstreams."""
    counts: Counter[tuple[int, int]] = Counter()
    for upstream in upstreams:
        for caller_id, number, count in upstream["executed"]:
            counts[caller_id, number] += count
    return counts


def format_table(headings: list[str], rows: list[list[str]]) -> str:
    """Return headings and rows as text with aligned columns."""
    table = [headings, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(headings))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    )
