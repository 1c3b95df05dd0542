"""Leads from a failed request to its cause, over the log lines of a fleet."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

CONTEXT_S = 5.0
"""How far before a flow its process's other lines may matter, in seconds."""

_FLOW_MESSAGES = {
    "flows: an opening is sent to an upstream.": "sent to {upstream}"
    " ({failure_domain}; attempt {attempt}, {candidates} candidates,"
    " {busy_flows} flows busy there, waited {waited_ms} ms;"
    " version {version}, revision {revision})",
    "flows: an opening had no answer; it went to a further upstream.": "{silent} did"
    " not answer ({silent_openings} silent openings in a row); sent to {upstream}",
    "flows: an opening is refused.": "refused, not run: {reason}",
    "flows: an opening is dropped; its caller has given up.": "dropped after"
    " {waited_ms} ms of waiting behind {waiting} others",
    "flows: a packet's token is not known; it is dropped.": "a packet is dropped:"
    " token {token} is not known at revision {revision}",
}
"""How the lines on one flow are told."""

_NEVER_CONTEXT = ("flows:",)


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log."""

    at: float
    process: str
    message: str
    fields: dict[str, Any]

    @property
    def flow(self) -> str | None:
        """The flow that the line is on, if it is on one."""
        flow = self.fields.get("flow")
        return flow if isinstance(flow, str) else None


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines; whatever stands before the JSON is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(
                float(fields.pop("timestamp")),
                str(fields.pop("process", "")),
                str(fields.pop("message")),
                fields,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            # A line cut off in the middle, or another program's.
            continue


def explain(lines: Iterable[LogLine], wanted: str) -> list[str]:
    """Return what became of the flows that match, as text.

    Parameters
    ----------
    lines : iterable of LogLine
        The logs of all processes.
    wanted : str
        A flow's id or a part of it, such as the caller's ``address:port``.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    flows: dict[str, list[LogLine]] = {}
    for line in ordered:
        if line.flow is not None and wanted in line.flow:
            flows.setdefault(line.flow, []).append(line)
    told = []
    for flow, own in flows.items():
        told.append(f"flow {flow}")
        told += [f"  {_told(line)}" for line in own]
        context = list(_context(ordered, own))
        if context:
            told.append(f"  what {own[0].process} came to believe before:")
            told += [f"    {_told(line)}" for line in context]
    return told


def _context(ordered: list[LogLine], own: list[LogLine]) -> Iterator[LogLine]:
    """Yield the lines by which the flow's first process changed its view."""
    first, last = own[0], own[-1]
    for line in ordered:
        near = first.at - CONTEXT_S <= line.at <= last.at
        belief = not line.message.startswith(_NEVER_CONTEXT)
        if near and belief and line.process == first.process:
            yield line


def _told(line: LogLine) -> str:
    template = _FLOW_MESSAGES.get(line.message)
    if template is None:
        ignored = {"level", "message_type", "task_uuid", "task_level", "flow"}
        rest = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in ignored
        )
        return f"{line.at:.3f} {line.process} {line.message} {rest}".rstrip()
    try:
        text = template.format(**line.fields)
    except KeyError:
        text = f"{line.message} {line.fields}"
    return f"{line.at:.3f} {line.process} {text}"
