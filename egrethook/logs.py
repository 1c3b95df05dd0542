"""Structured logs: one line of JSON an event, with a fixed prefix for each part.

Lines are written through a destination that is attached once the process is up;
until then a bounded number of them is kept.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from typing import Any, TextIO

EARLY_LINES = 500
"""Lines that are kept until a destination is attached."""

_early: deque[tuple[float, str, str, str, dict[str, Any]]] = deque(maxlen=EARLY_LINES)
_attached = False


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
        _write("info", self._part, sentence, fields)

    def decision(self, sentence: str, **fields: Any) -> None:
        """Log what was decided about one flow, and from which inputs."""
        _write("decision", self._part, sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may want to look at."""
        _write("warning", self._part, sentence, fields)

    def alarm(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator has to act on."""
        _write("alarm", self._part, sentence, fields)


def log_to(stream: TextIO = sys.stderr) -> None:
    """Send the log of this process to a stream."""
    import eliot

    eliot.to_file(stream)
    _attach()


def log_fields(**fields: Any) -> None:
    """Add fields, such as the balancer's name, to each message of this process."""
    import eliot

    eliot.add_global_fields(**fields)


def _attach() -> None:
    global _attached
    _attached = True
    while _early:
        _emit(*_early.popleft())


def _write(level: str, part: str, sentence: str, fields: dict[str, Any]) -> None:
    if _attached:
        _emit(time.time(), level, part, sentence, fields)
    else:
        _early.append((time.time(), level, part, sentence, fields))


def _emit(
    at: float, level: str, part: str, sentence: str, fields: dict[str, Any]
) -> None:
    import eliot

    eliot.log_message(
        message_type=f"egrethook:{part}",
        level=level,
        message=f"{part}: {sentence}",
        at=round(at, 4),
        **fields,
    )
