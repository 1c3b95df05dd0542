"""Figures of the calls of a simulation."""

from __future__ import annotations

from collections.abc import Sequence

from egrethook.emulator.flow_peers import Call


def answered_share(calls: Sequence[Call]) -> float:
    """Return the fraction of calls that were answered."""
    return sum(call.answered_at is not None for call in calls) / len(calls)


def on_time_share(calls: Sequence[Call], objective_s: float) -> float:
    """Return the fraction of calls answered within a latency objective."""
    on_time = sum(
        call.answered_at is not None and call.latency_s <= objective_s for call in calls
    )
    return on_time / len(calls)


def mean_worth(calls: Sequence[Call], objective_s: float, late_worth: float) -> float:
    """Return the mean worth of calls: 1 on time, `late_worth` late, else 0."""
    on_time = on_time_share(calls, objective_s)
    return on_time + late_worth * (answered_share(calls) - on_time)
