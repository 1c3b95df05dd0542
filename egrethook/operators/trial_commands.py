"""Commands that run soak tests under random faults and plot bench results."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from egrethook.daemon import run_async
from egrethook.emulator.soak.run import (
    Soak,
    SoakOptions,
    SoakReport,
    run_until_signal,
)
from egrethook.exceptions import UsageError
from egrethook.operators.options import (
    FAULTS_EXIT_STATUS,
    integer_option,
    number_option,
)
from egrethook.operators.played_days import plot_days
from egrethook.platform.bench_journal import read_journal

INTERRUPTED_EXIT_STATUS = 130
"""Exit status of a soak test that was interrupted by SIGTERM or SIGINT."""


class SoakCommand(Command):
    """Runs a soak test under random faults."""

    name = "soak"
    description = (
        "Run real forwarding processes under random faults and check their guarantees."
    )
    options = [
        option(
            "seed",
            None,
            "Seed of load and faults; with --seeds, the first one.",
            flag=False,
            default="1",
        ),
        option("seeds", None, "Number of consecutive seeds.", flag=False, default="1"),
        option(
            "minutes",
            None,
            "Duration of the faults for each seed.",
            flag=False,
            default="0.5",
        ),
        option(
            "vms",
            None,
            "Number of VMs in each failure domain.",
            flag=False,
            default="2",
        ),
        option("upstreams", None, "Number of upstreams.", flag=False, default="6"),
    ]

    def handle(self) -> int:
        """Run the command."""
        first_seed = integer_option(self, "seed")
        seed_count = integer_option(self, "seeds")
        violation_count = 0
        for seed in range(first_seed, first_seed + seed_count):
            options = SoakOptions(
                seed,
                seconds=60.0 * number_option(self, "minutes"),
                vms_per_domain=integer_option(self, "vms"),
                upstreams=integer_option(self, "upstreams"),
            )
            report = run_async(run_until_signal, Soak(options, self.line))
            if report is None:
                self.line("interrupted; all processes were stopped")
                return INTERRUPTED_EXIT_STATUS
            self._print(report)
            violation_count += len(report.violations)
        return FAULTS_EXIT_STATUS if violation_count else 0

    def _print(self, report: SoakReport) -> None:
        for violation in report.violations:
            self.line(f"BROKEN {violation.rule}: {violation.what}")
        self.line(
            f"seed {report.seed}: {report.answered} of {report.requests} answered,"
            f" {report.answered_share_after_recovery:.1%} after the faults,"
            f" {len(report.violations)} violations, longest stall"
            f" {report.longest_stall_s:.2f} s; logs in {report.folder}"
        )


class PlotCommand(Command):
    """Plots the results of simulated days over the runs of a bench."""

    name = "plot"
    description = "Plot worth and prices over the runs in a bench journal."
    arguments = [argument("journal", "Folder of the journal.")]
    options = [
        option("site", None, "Site whose days are plotted.", flag=False),
        option("kind", None, "Kind of runs to plot: score, run or hunt.", flag=False),
        option("out", "o", "Output file: .svg, .png or .pdf.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        site, out = self.option("site"), self.option("out")
        if not site or not out:
            raise UsageError("--site and --out are required")
        kind = self.option("kind") or "score"
        days = read_journal(Path(self.argument("journal")))
        plotted = plot_days(days, site, kind, Path(out))
        self.line(f"{plotted} days plotted to {out}")
        return 0
