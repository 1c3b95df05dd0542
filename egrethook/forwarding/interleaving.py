"""Runs other work while modules are imported."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

STEP_INTERVAL_S = 0.004
"""Shortest time between two steps, in seconds."""


class ImportInterleaver:
    """Runs a function between the imports of modules.

    An import can't be interrupted, but the interpreter asks each finder on
    `sys.meta_path` for every module. This finder never finds a module and calls
    the function instead.

    Parameters
    ----------
    step : callable
        The function. It should import nothing; the time of such an import is not
        interleaved.
    """

    def __init__(self, step: Callable[[], None]) -> None:
        self._step = step
        self._last_step_at = time.monotonic()
        self._in_step = False

    def find_spec(self, name: str, path: object = None, target: object = None) -> None:
        """Run the step, unless the last one was less than `STEP_INTERVAL_S` ago.

        Does nothing for an import within a step.
        """
        now = time.monotonic()
        if self._in_step or now - self._last_step_at < STEP_INTERVAL_S:
            return
        self._in_step = True
        try:
            self._step()
        finally:
            self._in_step = False
        self._last_step_at = time.monotonic()

    def __enter__(self) -> Self:
        sys.meta_path.insert(0, self)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        sys.meta_path.remove(self)
