"""Figures measured by the benchmarks, and their targets."""

from __future__ import annotations

import operator
from collections.abc import Callable
from dataclasses import dataclass

from egrethook.emulator.report import format_table

COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    "<=": operator.le,
    ">=": operator.ge,
    "==": operator.eq,
}


@dataclass(frozen=True)
class Figure:
    """One measured figure, with its target if it has one.

    Parameters
    ----------
    name : str
        What was measured.
    value : float
        The measured value.
    unit : str
        The unit of the value.
    comparison, bound : str, float
        The target; a figure without a comparison is for information only.
    """

    name: str
    value: float
    unit: str = ""
    comparison: str = ""
    bound: float = 0.0

    @property
    def meets_target(self) -> bool:
        """Whether the figure meets its target; true if it has none."""
        if not self.comparison:
            return True
        return COMPARISONS[self.comparison](self.value, self.bound)

    def row(self) -> list[str]:
        """Return the figure as a row of a table."""
        target = f"{self.comparison} {self.bound:g}" if self.comparison else ""
        mark = "" if not self.comparison else "ok" if self.meets_target else "MISSED"
        return [self.name, f"{self.value:.4g}", self.unit, target, mark]


def print_figures(title: str, figures: list[Figure]) -> None:
    """Print figures as a table under a title."""
    print(f"\n{title}")
    headings = ["figure", "value", "unit", "target", ""]
    print(format_table(headings, [figure.row() for figure in figures]), flush=True)
