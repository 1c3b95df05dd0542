"""Commands of the `egrethook` command line."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import asdict
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option

from egrethook.daemon import run_async, serve
from egrethook.emulator.demo import Demo, DemoOptions
from egrethook.emulator.layouts import LAYOUTS
from egrethook.emulator.report import HEADINGS, RunReport, format_table
from egrethook.emulator.runner import run_emulator
from egrethook.emulator.settings import load_emulator_settings
from egrethook.exceptions import (
    AdminUnreachableError,
    EgrethookError,
    FlowNotFoundError,
    SettingsError,
    UsageError,
)
from egrethook.logs import log_fields, log_to
from egrethook.operators.changes import (
    describe_changes,
    render_indented,
    with_domain,
    with_preset,
)
from egrethook.operators.checks import check_file, load_document
from egrethook.operators.client import call_service
from egrethook.operators.explain import explain, read_lines
from egrethook.operators.fleet import HEADINGS as FLEET_HEADINGS
from egrethook.operators.fleet import BalancerState, Fleet, ask_to_leave, fleet_rows
from egrethook.operators.options import (
    FAULTS_EXIT_STATUS,
    integer_option,
    number_option,
    required_option,
)
from egrethook.operators.reference import check_pages, write_pages
from egrethook.operators.trial_commands import PlotCommand, SoakCommand
from egrethook.operators.where_command import WhereCommand
from egrethook.published.documents import Document, IndexDocument
from egrethook.settings import load_settings, read_text
from egrethook.version import __version__

SECRET_VARIABLE = "EGRETHOOK_SECRET"
"""Environment variable that holds the fleet secret."""


class ServeCommand(Command):
    """Runs a balancer."""

    name = "serve"
    description = "Run one balancer until SIGTERM."
    options = [option("settings", "s", "Settings file.", flag=False)]

    def handle(self) -> int:
        """Run the command."""
        settings = load_settings(Path(required_option(self, "settings", "FILE")))
        log_to(sys.stderr)
        log_fields(process=settings.name)
        run_async(serve, settings)
        return 0


class CheckCommand(Command):
    """Validates a file."""

    name = "check"
    description = "Validate a settings file or a configuration value."
    arguments = [argument("file", "File to validate.")]

    def handle(self) -> int:
        """Run the command."""
        self.line(check_file(Path(self.argument("file"))))
        return 0


class CallCommand(Command):
    """Sends a request."""

    name = "call"
    description = "Send one request to a service and print the answer."
    arguments = [argument("service", "Name of the service.")]
    options = [
        option("fabric", "f", "host:port of the network fabric.", flag=False),
        option("payload", "p", "Text to send.", flag=False, default=""),
        option("once", None, "Mark the request as not idempotent."),
        option("deadline", "d", "Timeout in seconds.", flag=False, default="2"),
    ]

    def handle(self) -> int:
        """Run the command."""
        fabric = required_option(self, "fabric", "HOST:PORT")
        deadline_s = number_option(self, "deadline")
        run_async(
            call_service,
            fabric,
            self.argument("service"),
            self.option("payload").encode(),
            not self.option("once"),
            deadline_s,
            self.line,
        )
        return 0


class EmulateCommand(Command):
    """Runs an emulator."""

    name = "emulate"
    description = "Run an emulator of the platform, the fabric or an upstream."
    options = [option("settings", "s", "Settings file.", flag=False)]

    def handle(self) -> int:
        """Run the command."""
        settings = load_emulator_settings(Path(self.option("settings") or ""))
        log_to(sys.stderr)
        log_fields(process=settings.kind)
        run_async(run_emulator, settings)
        return 0


class DemoCommand(Command):
    """Runs the demonstration."""

    name = "demo"
    description = "Run a fleet under load while parts of it are replaced."
    options = [
        option("layout", "l", "Deployment layout.", flag=False, default="cantabrico"),
        option(
            "seconds", None, "Duration of the load in seconds.", flag=False, default="8"
        ),
        option(
            "seed",
            None,
            "Seed of the random number generators.",
            flag=False,
            default="1",
        ),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        layout = self.option("layout")
        if layout not in LAYOUTS:
            raise SettingsError(f"--layout: {layout!r} is not one of {list(LAYOUTS)}")
        options = DemoOptions(
            layout,
            number_option(self, "seconds"),
            integer_option(self, "seed"),
        )
        print_line = self.line_error if self.option("json") else self.line
        report = run_async(Demo(options, print_line).run)
        if self.option("json"):
            self.line(json.dumps(report.as_json(), indent=2))
        else:
            self._print(report)
        return FAULTS_EXIT_STATUS if report.faults else 0

    def _print(self, report: RunReport) -> None:
        self.line(format_table(HEADINGS, report.rows()))
        for fault in report.faults:
            self.line(f"FAULT {fault}")
        if not report.faults:
            self.line("nothing was lost, doubled or broken")


class StatusCommand(Command):
    """Shows the state of a fleet."""

    name = "status"
    description = "Show the state that each balancer of a fleet reports."
    options = [
        option(
            "platform",
            None,
            "Base URL of the platform that lists the fleet.",
            flag=False,
        ),
        option(
            "admin",
            "a",
            "host:port of a balancer's administration API.",
            flag=False,
            multiple=True,
        ),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        states = run_async(self._read)
        if self.option("json"):
            self.line(json.dumps([asdict(state) for state in states], indent=2))
        else:
            self.line(format_table(FLEET_HEADINGS, fleet_rows(states)))
        missing = any(state.status is None for state in states)
        return AdminUnreachableError.exit_status if missing else 0

    async def _read(self) -> list[BalancerState]:
        platform, admins = self.option("platform"), self.option("admin")
        if not platform and not admins:
            raise SettingsError("--platform URL or --admin HOST:PORT is missing")
        fleet = Fleet(admins) if admins else await Fleet.discover(platform)
        return await fleet.states()


class DrainCommand(Command):
    """Makes a balancer leave gracefully."""

    name = "drain"
    description = "Ask one balancer to leave gracefully."
    arguments = [argument("admin", "host:port of the balancer's administration API.")]
    options = [option("secret-file", None, "File with the fleet secret.", flag=False)]

    def handle(self) -> int:
        """Run the command."""
        path = self.option("secret-file")
        secret = (
            read_text(Path(path)).strip()
            if path
            else os.environ.get(SECRET_VARIABLE, "")
        )
        if not secret:
            raise SettingsError(f"--secret-file FILE or ${SECRET_VARIABLE} is missing")
        run_async(ask_to_leave, self.argument("admin"), secret)
        self.line(f"{self.argument('admin')} is leaving")
        return 0


class ChangeCommand(Command):
    """Base class of the commands that print a changed index."""

    options = [option("config", "c", "File with the published index.", flag=False)]

    def change(self, index: Document) -> IndexDocument:
        """Return the changed index."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command."""
        before = load_document(Path(required_option(self, "config", "FILE")))
        after = self.change(before)
        self.line(render_indented(after))
        for change in describe_changes(before, after):
            self.line_error(f"changes {change}")
        return 0


class PresetCommand(ChangeCommand):
    """Selects a preset."""

    name = "preset"
    description = "Print the index with another preset selected, ready to publish."
    arguments = [argument("preset", "Name of the preset.")]

    def change(self, index: Document) -> IndexDocument:
        """Return the changed index."""
        return with_preset(index, self.argument("preset"))


class DomainCommand(ChangeCommand):
    """Takes a failure domain in or out of service."""

    name = "domain"
    description = "Print the index with a failure domain in or out of service."
    arguments = [
        argument("domain", "Name of the failure domain."),
        argument("state", "'in' or 'out'."),
    ]

    def change(self, index: Document) -> IndexDocument:
        """Return the changed index."""
        state = self.argument("state")
        if state not in ("in", "out"):
            raise SettingsError(f"state {state!r}: expected 'in' or 'out'")
        return with_domain(index, self.argument("domain"), state == "in")


class ExplainCommand(Command):
    """Explains what happened to a flow."""

    name = "explain"
    description = "Show from log files what happened to a flow, and why."
    arguments = [
        argument("flow", "Flow id or a part of it, such as ADDRESS:PORT."),
        argument("logs", "Log files of the fleet.", multiple=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        raw_lines = (
            text
            for path in self.argument("logs")
            for text in read_text(Path(path)).splitlines()
        )
        output = explain(read_lines(raw_lines), self.argument("flow"))
        if not output:
            raise FlowNotFoundError(f"no log line about flow {self.argument('flow')}")
        for text in output:
            self.line(text)
        return 0


class ReferenceCommand(Command):
    """Writes or checks the reference pages."""

    name = "reference"
    description = "Write or check the pages that are generated from the code."
    options = [
        option("write", None, "Folder to write the pages to.", flag=False),
        option("check", None, "Folder with the pages to check.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("check"):
            pages = check_pages(Path(self.option("check")))
        else:
            pages = write_pages(Path(self.option("write") or "docs"))
        self.line(" ".join(pages))
        return 0


class EgrethookApplication(Application):
    """The command line application; leaves exceptions to `main`."""

    def __init__(self) -> None:
        super().__init__("egrethook", __version__)
        for command in COMMANDS:
            self.add(command())
        self.catch_exceptions(False)


COMMANDS: list[type[Command]] = [
    ServeCommand,
    CheckCommand,
    CallCommand,
    EmulateCommand,
    DemoCommand,
    StatusCommand,
    PresetCommand,
    DomainCommand,
    DrainCommand,
    ExplainCommand,
    WhereCommand,
    SoakCommand,
    PlotCommand,
    ReferenceCommand,
]


def main() -> int:
    """Run the command line and return its exit status.

    Errors of the package are printed with their code, without a traceback.
    """
    application = EgrethookApplication()
    application.auto_exits(False)
    try:
        return application.run()
    except EgrethookError as error:
        print(f"egrethook: {error}", file=sys.stderr)
        return error.exit_status
    except CleoError as error:
        usage = UsageError(str(error).splitlines()[0])
        print(f"egrethook: {usage}", file=sys.stderr)
        return usage.exit_status
    except KeyboardInterrupt:
        # 128 + SIGINT, as shells report it.
        return 130
