"""Duplicate executions and false refusals over seeded fault schedules."""

from __future__ import annotations

from collections import Counter

from benchmarks.figures import Figure
from egrethook.emulator.schedules import ScheduleWorld

SCHEDULE_COUNT = 2000
STEPS_PER_SCHEDULE = 600


def run() -> list[Figure]:
    """Return the figures."""
    totals: Counter[str] = Counter()
    for seed in range(SCHEDULE_COUNT):
        totals.update(vars(ScheduleWorld(seed).run_steps(STEPS_PER_SCHEDULE)))
    return [
        Figure("schedules", SCHEDULE_COUNT),
        Figure("executions answered", totals["answered"]),
        Figure("refused, not run", totals["refused"]),
        Figure("doubled", totals["doubled"], "", "==", 0.0),
        Figure("false refusals", totals["false_refusals"], "", "==", 0.0),
    ]
