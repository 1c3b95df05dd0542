"""Explains what happened to a flow, from the log lines of a fleet."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

CONTEXT_WINDOW_S = 5.0
"""Time before a flow's first line from which other lines are shown, in seconds."""

_FLOW_TEMPLATES = {
    "flows: an opening is sent to an upstream.": "sent to {upstream}"
    " ({failure_domain}; attempt {attempt}, {candidates} candidates,"
    " {busy_flows} flows busy there, waited {waited_ms} ms;"
    " route table version {version}, registry revision {revision})",
    "flows: an opening had no answer; it went to a further upstream.": "{silent} did"
    " not answer ({silent_openings} consecutive openings unanswered);"
    " resent to {upstream}",
    "flows: an opening is refused.": "refused and not run: {reason}",
    "flows: an open flow is reset.": "reset while open: {reason} ({cause}); {upstream}"
    " has left its request unanswered for {silent_ms} ms",
    "flows: an opening is dropped.": "dropped after {waited_ms} ms in the queue"
    " ({reason}), with {waiting} openings waiting",
    "flows: a packet's token is not known; it is dropped.": "packet dropped:"
    " unknown token {token} at registry revision {revision}",
}
"""Explanation of each log message about a flow."""

_NON_CONTEXT_PREFIXES = ("flows:",)
"""Prefixes of messages about single flows, which explain no other flow."""


@dataclass(frozen=True)
class LogLine:
    """One structured log line of a process."""

    timestamp: float
    process: str
    message: str
    fields: dict[str, Any]

    @property
    def flow(self) -> str | None:
        """The id of the flow that the line is about, or None."""
        flow = self.fields.get("flow")
        return flow if isinstance(flow, str) else None


def read_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured log lines; text before the JSON object is skipped."""
    for text in raw_lines:
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
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
            # The line is truncated or comes from another program.
            continue


def explain(lines: Iterable[LogLine], flow_part: str) -> list[str]:
    """Return the explanation of all flows that match, as lines of text.

    Parameters
    ----------
    lines : iterable of LogLine
        The logs of all processes.
    flow_part : str
        Flow id or a part of it, such as the caller's ``address:port``.
    """
    ordered = sorted(lines, key=lambda line: line.timestamp)
    flows: dict[str, list[LogLine]] = {}
    for line in ordered:
        if line.flow is not None and flow_part in line.flow:
            flows.setdefault(line.flow, []).append(line)
    output = []
    for flow, flow_lines in flows.items():
        output.append(f"flow {flow}")
        output += [f"  {_format_line(line)}" for line in flow_lines]
        context = list(_context(ordered, flow_lines))
        if context:
            output.append(f"  other log lines of {flow_lines[0].process} at that time:")
            output += [f"    {_format_line(line)}" for line in context]
    return output


def _context(ordered: list[LogLine], flow_lines: list[LogLine]) -> Iterator[LogLine]:
    """Yield the other log lines of the flow's first process around the flow.

    They show changes of its view, such as upstreams that stopped answering.
    """
    first, last = flow_lines[0], flow_lines[-1]
    for line in ordered:
        in_window = (
            first.timestamp - CONTEXT_WINDOW_S <= line.timestamp <= last.timestamp
        )
        is_context = not line.message.startswith(_NON_CONTEXT_PREFIXES)
        if in_window and is_context and line.process == first.process:
            yield line


def _format_line(line: LogLine) -> str:
    template = _FLOW_TEMPLATES.get(line.message)
    if template is None:
        ignored = {"level", "message_type", "task_uuid", "task_level", "flow"}
        extra = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in ignored
        )
        return f"{line.timestamp:.3f} {line.process} {line.message} {extra}".rstrip()
    try:
        text = template.format(**line.fields)
    except KeyError:
        text = f"{line.message} {line.fields}"
    return f"{line.timestamp:.3f} {line.process} {text}"
