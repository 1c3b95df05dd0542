"""Results of simulated days that were run on a bench, and plots of them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from egrethook.exceptions import UsageError

FIGURE_SIZE_INCHES = (9.0, 6.0)
"""Width and height of a plot, in inches."""

MAX_PLOTTED_PRICES = 5
"""Maximum number of prices plotted; those with the highest totals are chosen."""


@dataclass(frozen=True)
class BenchDay:
    """Result of one simulated day in one run of the bench.

    Parameters
    ----------
    kind : str
        The bench command that ran the day: score, hunt or run.
    worth : float
        Share of user demand served, less the prices; at most 1.
    served : float
        Share of user demand served, from 0 to 1.
    prices : dict of str to float
        Deductions from the score, by reason.
    """

    site: str
    day: str
    kind: str
    run_started_at: datetime
    worth: float
    served: float
    prices: dict[str, float]


def plot_days(days: Iterable[BenchDay], site: str, kind: str, path: Path) -> int:
    """Plot worth and prices of a site's days over the runs of the bench.

    Returns
    -------
    int
        The number of days plotted.

    Raises
    ------
    UsageError
        If no day matches, or the file type is not supported.
    """
    # Imported here: it is slow to load and only this command needs it.
    from matplotlib.figure import Figure

    selected = [entry for entry in days if entry.site == site and entry.kind == kind]
    if not selected:
        raise UsageError(f"the journal has no day of site {site} and kind {kind}")
    figure = Figure(figsize=FIGURE_SIZE_INCHES, layout="constrained")
    worth_axes, price_axes = figure.subplots(2, 1, sharex=True)
    runs = sorted({entry.run_started_at for entry in selected})
    run_numbers = {
        run_started_at: number for number, run_started_at in enumerate(runs, start=1)
    }
    for name, entries in sorted(_by_day(selected).items()):
        worth_axes.plot(
            [run_numbers[entry.run_started_at] for entry in entries],
            [entry.worth for entry in entries],
            marker="o",
            label=name,
        )
    worth_axes.set(title=f"{site}, {kind}", ylabel="worth")
    worth_axes.legend(fontsize="small", ncols=2)
    for name in _highest_prices(selected):
        means = [
            _mean(
                entry.prices.get(name, 0.0)
                for entry in selected
                if entry.run_started_at == run
            )
            for run in runs
        ]
        price_axes.plot(list(run_numbers.values()), means, marker="o", label=name)
    price_axes.set(xlabel="run", ylabel="price (mean over days)")
    price_axes.legend(fontsize="small")
    try:
        figure.savefig(path)
    except ValueError as error:
        raise UsageError(f"{path}: {error}") from None
    return len(selected)


def _by_day(days: list[BenchDay]) -> dict[str, list[BenchDay]]:
    """Group the days by name.

    Days with a single run are left out unless all days have only one.
    """
    by_name = defaultdict(list)
    for entry in days:
        by_name[entry.day].append(entry)
    repeated = {name: entries for name, entries in by_name.items() if len(entries) > 1}
    return repeated or dict(by_name)


def _highest_prices(days: list[BenchDay]) -> list[str]:
    totals: defaultdict[str, float] = defaultdict(float)
    for entry in days:
        for name, price in entry.prices.items():
            totals[name] += price
    return sorted(totals, key=lambda name: -totals[name])[:MAX_PLOTTED_PRICES]


def _mean(values: Iterable[float]) -> float:
    items = list(values)
    return sum(items) / len(items)
