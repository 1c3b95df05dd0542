"""The command that asks a forwarding process where an opening would go."""

from __future__ import annotations

import httpx
import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from egrethook.addresses import Address
from egrethook.emulator.report import format_table
from egrethook.exceptions import (
    EgrethookError,
    ExplanationError,
    ForwarderUnreachableError,
    SettingsError,
    UnknownRouteError,
)
from egrethook.operators.where_answers import (
    CandidateReport,
    ServiceReport,
    WhereAnswer,
    WhereRefusal,
)

CALL_TIMEOUT_S = 3.0
"""Timeout of the question, in seconds."""

HEADINGS = [
    "upstream",
    "domain",
    "time factor",
    "busy",
    "work ms",
    "wait ms",
    "cost",
    "prefer",
    "flags",
    "verdict",
]

_ERRORS: dict[int, type[EgrethookError]] = {400: SettingsError, 404: UnknownRouteError}


class WhereCommand(Command):
    """Explains where an opening would go."""

    name = "where"
    description = (
        "Ask a forwarding process where an opening would go now, and why;"
        " sends and changes nothing."
    )
    arguments = [
        argument("route", "Name of the route, or its address:port."),
        argument("process", "host:port of the process's metrics."),
    ]
    options = [
        option("caller", None, "IPv4 address of the caller.", flag=False),
        option("json", None, "Print the answer as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        body = ask_where(
            self.argument("process"), self.argument("route"), self.option("caller")
        )
        try:
            answer = msgspec.json.decode(body, type=WhereAnswer)
        except msgspec.MsgspecError as error:
            raise ExplanationError(
                f"the answer is not an explanation: {error}"
            ) from None
        if self.option("json"):
            self.line(msgspec.json.format(body, indent=2).decode())
            return 0
        for line in describe(answer):
            self.line(line)
        return 0


def ask_where(process: str, route: str, caller: str | None = None) -> bytes:
    """Return the answer of a process, encoded.

    Parameters
    ----------
    process : str
        ``host:port`` of its metrics.

    Raises
    ------
    SettingsError
        If an address is not valid.
    UnknownRouteError
        If the process has no such route.
    ExplanationError
        If the process can't explain its choices, or has no routes yet.
    ForwarderUnreachableError
        If it does not answer.
    """
    try:
        address = Address.parse(process)
    except ValueError as error:
        raise SettingsError(str(error)) from None
    query = {"route": route} | ({"caller": caller} if caller else {})
    try:
        with httpx.Client(timeout=CALL_TIMEOUT_S, trust_env=False) as client:
            response = client.get(f"http://{address}/where", params=query)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise ForwarderUnreachableError(f"{address}: {error}") from None
    if response.status_code == 200:
        return response.content
    raise _error_of(response)


def _error_of(response: httpx.Response) -> EgrethookError:
    try:
        text = msgspec.json.decode(response.content, type=WhereRefusal).error
    except msgspec.MsgspecError:
        return ExplanationError("the process does not explain its choices")
    return _ERRORS.get(response.status_code, ExplanationError)(text)


def describe(answer: WhereAnswer) -> list[str]:
    """Return the lines that explain an answer to an operator."""
    lines = [
        f"route {answer.route}: priority {answer.priority},"
        f" objective {answer.objective_s * 1000:.0f} ms"
    ]
    if answer.avoided:
        lines.append(f"avoided for this caller: {', '.join(answer.avoided)}")
    for service in answer.services:
        lines += _describe_service(service)
    return lines


def _describe_service(service: ServiceReport) -> list[str]:
    wait_s = service.expected_wait_s
    wait = "unknown" if wait_s is None else f"{wait_s * 1000:.0f} ms"
    rows = [_row(one, service.unit) for one in service.candidates]
    return [
        f"service {service.service} (weight {service.weight}): {service.outcome}",
        f"  {service.waiting} openings wait, expected wait {wait};"
        f" {len(rows)} of {service.upstreams} upstreams shown",
        *(f"  {line}" for line in format_table(HEADINGS, rows).splitlines()),
    ]


def _row(candidate: CandidateReport, unit: str) -> list[str]:
    if unit == "s":
        cost = f"{candidate.cost * 1000:.1f} ms"
    else:
        cost = f"{candidate.cost:.2f} flows"
    flags = [
        name
        for name, is_set in (
            ("ejected", candidate.ejected),
            ("left out", candidate.left_out),
            ("cold", candidate.cold),
        )
        if is_set
    ]
    return [
        candidate.upstream,
        candidate.failure_domain,
        "-" if candidate.time_factor is None else f"{candidate.time_factor:.2f}",
        f"{candidate.busy_flows}/{candidate.flow_limit:.1f}",
        _milliseconds(candidate.outstanding_s),
        _milliseconds(candidate.wait_s),
        cost,
        f"{candidate.preference:.2f}",
        ", ".join(flags) or "-",
        candidate.verdict,
    ]


def _milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.1f}"
