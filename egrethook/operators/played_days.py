"""Days that were played on a bench, and their course as a picture."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from egrethook.exceptions import UsageError

SIZE_INCHES = (9.0, 6.0)
"""Width and height of a picture."""

SHOWN_PRICES = 5
"""Prices that are drawn, the highest ones."""


@dataclass(frozen=True)
class PlayedDay:
    """One day as it was played.

    Parameters
    ----------
    kind : str
        What it was played for: a score, a hunt, a single run.
    worth : float
        What users were served, less what it cost; 1 is all.
    served : float
        What users were served; 1 is all.
    prices : dict of str to float
        What was taken off, by reason.
    """

    site: str
    day: str
    kind: str
    played_at: datetime
    worth: float
    served: float
    prices: dict[str, float]


def draw_course(days: Iterable[PlayedDay], site: str, kind: str, path: Path) -> int:
    """Draw worth and prices of a site's days, play after play.

    Returns
    -------
    int
        The number of days drawn.

    Raises
    ------
    UsageError
        If there is nothing to draw, or the file's type is not known.
    """
    # Slow to load, and needed by this command alone.
    from matplotlib.figure import Figure

    chosen = [one for one in days if one.site == site and one.kind == kind]
    if not chosen:
        raise UsageError(f"the journal has no day of {site} that a {kind} played")
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    plays = sorted({one.played_at for one in chosen})
    place = {played_at: number for number, played_at in enumerate(plays, start=1)}
    for name, played in sorted(_by_day(chosen).items()):
        above.plot(
            [place[one.played_at] for one in played],
            [one.worth for one in played],
            marker="o",
            label=name,
        )
    above.set(title=f"{site}, {kind}", ylabel="worth")
    above.legend(fontsize="small", ncols=2)
    for name in _highest_prices(chosen):
        means = [
            _mean(one.prices.get(name, 0.0) for one in chosen if one.played_at == at)
            for at in plays
        ]
        below.plot(list(place.values()), means, marker="o", label=name)
    below.set(xlabel="play", ylabel="price, mean of its days")
    below.legend(fontsize="small")
    try:
        figure.savefig(path)
    except ValueError as error:
        raise UsageError(f"{path}: {error}") from None
    return len(chosen)


def _by_day(days: list[PlayedDay]) -> dict[str, list[PlayedDay]]:
    """Return the days by name; those that were played once are left out."""
    named = defaultdict(list)
    for one in days:
        named[one.day].append(one)
    several = {name: played for name, played in named.items() if len(played) > 1}
    return several or dict(named)


def _highest_prices(days: list[PlayedDay]) -> list[str]:
    totals: defaultdict[str, float] = defaultdict(float)
    for one in days:
        for name, price in one.prices.items():
            totals[name] += price
    return sorted(totals, key=lambda name: -totals[name])[:SHOWN_PRICES]


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed)
