"""Does other work while modules are imported."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

STEP_INTERVAL_S = 0.004
"""Time between two steps while libraries are loaded, in seconds."""


class ImportInterleaver:
    """Does a step of work before each module that is imported.

    An import can't be interrupted, but the interpreter asks each finder on
    `sys.meta_path` for every module; this one finds nothing and works instead.

    Parameters
    ----------
    step : callable
        What is done; it must not import anything.
    """

    def __init__(self, step: Callable[[], None]) -> None:
        self._step = step
        self._last_step_at = time.monotonic()

    def find_spec(self, name: str, path: object = None, target: object = None) -> None:
        """Do a step, unless the last one was a moment ago."""
        now = time.monotonic()
        if now - self._last_step_at >= STEP_INTERVAL_S:
            self._step()
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
