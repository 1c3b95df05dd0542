"""Receives the signals of a process until it has exited."""

from __future__ import annotations

import signal
from collections import deque
from collections.abc import AsyncIterator
from types import FrameType, TracebackType
from typing import Self

import anyio


class SignalReceiver:
    """Receives signals, and ignores them once it is closed.

    anyio's own receiver restores the default actions when it closes, so a signal that
    arrives between then and the exit would kill the process.

    Parameters
    ----------
    *numbers : signal.Signals
        The signals to receive.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        self._numbers = numbers
        self._pending: deque[signal.Signals] = deque()
        self._arrived = anyio.Event()

    async def __aiter__(self) -> AsyncIterator[signal.Signals]:
        """Yield each signal that arrives."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while self._pending:
                yield self._pending.popleft()

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self._pending.append(signal.Signals(number))
        self._arrived.set()

    def __enter__(self) -> Self:
        for number in self._numbers:
            signal.signal(number, self._on_signal)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)
