"""Doubled requests and false refusals over seeded fault schedules."""

from __future__ import annotations

from collections import Counter

from benchmarks.figures import Figure
from egrethook.emulator.schedules import ScheduleWorld

SCHEDULES = 2000
STEPS = 600


def run() -> list[Figure]:
    """Return the figures."""
    totals: Counter[str] = Counter()
    for seed in range(SCHEDULES):
        totals.update(vars(ScheduleWorld(seed).run_steps(STEPS)))
    return [
        Figure("schedules", SCHEDULES),
        Figure("executions answered", totals["answered"]),
        Figure("refused, not run", totals["refused"]),
        Figure("doubled", totals["doubled"], "", "==", 0.0),
        Figure("false refusals", totals["false_refusals"], "", "==", 0.0),
    ]
