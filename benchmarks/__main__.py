"""Runs the benchmarks named on the command line, or all of them."""

from __future__ import annotations

import importlib
import sys

from benchmarks.figures import print_figures

BENCHMARKS = (
    "flows",
    "domain",
    "schedules",
    "datapath",
    "forwarding",
    "control",
    "roles",
    "flowbalance",
    "imbalance",
)


def main(names: list[str]) -> int:
    """Run benchmarks; return 1 if a figure misses its target, otherwise 0."""
    missed = 0
    for name in names or BENCHMARKS:
        figures = importlib.import_module(f"benchmarks.{name}").run()
        print_figures(name, figures)
        missed += sum(not figure.meets_target for figure in figures)
    return 1 if missed else 0


sys.exit(main(sys.argv[1:]))
