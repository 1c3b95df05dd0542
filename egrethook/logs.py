"""Structured logs: one line of JSON an event, with a fixed prefix for each part.

Events go to eliot unless a process sets another destination; see `line_log` for
the one of forwarding processes.
"""

from __future__ import annotations

import sys
from typing import Any, Protocol, TextIO


class LogDestination(Protocol):
    """Takes events."""

    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Take one event; never blocks."""
        ...


class EliotDestination:
    """Hands events to eliot, which knows the action that is going on."""

    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Take one event."""
        # Slow to load, and not needed by every process.
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
        """Log what was decided about one flow, and from which inputs."""
        _destination.write("decision", self._part, sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may want to look at."""
        _destination.write("warning", self._part, sentence, fields)

    def alarm(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator has to act on."""
        _destination.write("alarm", self._part, sentence, fields)


def set_destination(destination: LogDestination) -> LogDestination:
    """Send the events of this process elsewhere; return where they went."""
    global _destination
    previous, _destination = _destination, destination
    return previous


def log_to(stream: TextIO = sys.stderr) -> None:
    """Send the log of this process to a stream, through eliot."""
    import eliot

    eliot.to_file(stream)


def log_fields(**fields: Any) -> None:
    """Add fields, such as the balancer's name, to each message of this process."""
    import eliot

    eliot.add_global_fields(**fields)
