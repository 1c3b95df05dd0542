"""A cheap, non-blocking log that writes lines in eliot's format.

Lines are dropped and counted if the pipe is full or events exceed the rate limits, so
that logging never delays the process.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

from egrethook.token_bucket import TokenBucket

BUFFER_LIMIT_BYTES = 256 * 1024
"""Most bytes of lines that are buffered while the pipe is full."""

DECISIONS_PER_S = 60.0
"""Sustained rate limit of `decision` lines, which concern single flows, per second."""

DECISION_BURST = 240.0
"""Most `decision` lines in a burst."""

EVENTS_PER_S = 100.0
"""Sustained rate limit of lines of the other levels, per second."""

EVENT_BURST = 1_000.0
"""Most lines of the other levels in a burst."""

LOSS_REPORT_INTERVAL_S = 1.0
"""Shortest time between two lines that report dropped lines, in seconds."""


class LineLog:
    """Writes events as lines of JSON to a non-blocking file descriptor.

    Parameters
    ----------
    descriptor : int
        The file descriptor, which is set to non-blocking.
    process : str
        The name of the process, which each line contains.
    clock : callable
        Returns a monotonic time, in seconds.
    """

    def __init__(
        self, descriptor: int, process: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._process = process
        self._clock = clock
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._buffer = bytearray()
        self._line_number = 0
        now = clock()
        self._decision_budget = TokenBucket(DECISIONS_PER_S, DECISION_BURST, now)
        self._event_budget = TokenBucket(EVENTS_PER_S, EVENT_BURST, now)
        self._left_out = 0
        self._left_out_unreported = 0
        self._reported_at = now

    @property
    def left_out(self) -> int:
        """Number of lines that were dropped."""
        return self._left_out

    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Write one event, or drop and count it."""
        now = self._clock()
        budget = self._decision_budget if level == "decision" else self._event_budget
        if not budget.take(now):
            self._leave_out(1)
        else:
            self._append(self._format_line(level, part, sentence, fields))
        if (
            self._left_out_unreported
            and now - self._reported_at >= LOSS_REPORT_INTERVAL_S
        ):
            self._report_left_out(now)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except OSError:
                return
            del self._buffer[:written]

    def _format_line(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> bytes:
        self._line_number += 1
        event = {
            "timestamp": round(time.time(), 4),
            "level": level,
            "message": f"{part}: {sentence}",
            **fields,
            "process": self._process,
            "message_type": f"egrethook:{part}",
            "task_uuid": self._process,
            "task_level": [self._line_number],
        }
        return self._encoder.encode(event) + b"\n"

    def _append(self, line: bytes) -> None:
        if len(self._buffer) + len(line) > BUFFER_LIMIT_BYTES:
            self._leave_out(1)
            return
        self._buffer += line

    def _leave_out(self, count: int) -> None:
        self._left_out += count
        self._left_out_unreported += count

    def _report_left_out(self, now: float) -> None:
        self._reported_at = now
        fields = {"left_out": self._left_out_unreported, "ever": self._left_out}
        self._left_out_unreported = 0
        self._append(
            self._format_line("warning", "log", "lines were left out.", fields)
        )
