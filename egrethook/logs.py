"""Structured logs: one line of JSON per event, with a fixed prefix for each part.

Events go to eliot unless a process sets another destination. Forwarding processes use
`line_log.LineLog`.
"""

from __future__ import annotations

import sys
from typing import Any, Protocol, TextIO


class LogDestination(Protocol):
    """Receives log events."""

    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Log one event without blocking."""
        ...


class EliotDestination:
    """Passes events to eliot, which adds the current action."""

    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Log one event."""
        # Imported here: eliot is slow to load, and not every process needs it.
        import eliot

        eliot.log_message(
            message_type=f"egrethook:{part}",
            level=level,
            message=f"{part}: {sentence}",
            **fields,
        )


_destination: LogDestination = EliotDestination()


class PartLog:
    """Writes the log messages of one part of the system.

    Parameters
    ----------
    part : str
        The prefix of each message of this part.
    """

    def __init__(self, part: str) -> None:
        self._part = part

    def info(self, sentence: str, **fields: Any) -> None:
        """Log an ordinary event."""
        _destination.write("info", self._part, sentence, fields)

    def decision(self, sentence: str, **fields: Any) -> None:
        """Log a decision about one flow, with its inputs."""
        _destination.write("decision", self._part, sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may want to look at."""
        _destination.write("warning", self._part, sentence, fields)

    def alarm(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator has to act on."""
        _destination.write("alarm", self._part, sentence, fields)


def set_destination(destination: LogDestination) -> LogDestination:
    """Set where events of this process go; return the previous destination."""
    global _destination
    previous, _destination = _destination, destination
    return previous


def log_to(stream: TextIO = sys.stderr) -> None:
    """Write the log of this process to a stream, through eliot."""
    import eliot

    eliot.to_file(stream)


def log_fields(**fields: Any) -> None:
    """Add fields, such as the balancer's name, to each message of this process."""
    import eliot

    eliot.add_global_fields(**fields)
