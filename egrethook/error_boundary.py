"""Keeps an unexpected error in one step of a loop from ending the process."""

from __future__ import annotations

from types import TracebackType
from typing import ClassVar, Self

from egrethook.logs import PartLog

UNEXPECTED_ERROR = "unexpected error"
"""Beginning of the log message of each error that a boundary stops."""


class ErrorBoundary:
    """Logs and counts unexpected errors, so that a loop goes on with its next step.

    A step handles one packet, one message, one published item or one timer. Used as a
    context manager, the boundary surrounds one step. Cancellation passes through.

    Parameters
    ----------
    log : PartLog
        Where the errors are logged.
    step : str
        What the surrounded code does, for the log.
    """

    _total: ClassVar[int] = 0

    def __init__(self, log: PartLog, step: str) -> None:
        self._log = log
        self._step = step

    @classmethod
    def total(cls) -> int:
        """Return the number of unexpected errors in this process so far."""
        return cls._total

    def note(self, error: Exception, **fields: object) -> None:
        """Log and count an error that ended a step.

        Parameters
        ----------
        error : Exception
            The error.
        **fields : object
            What the step was about, for the log.
        """
        ErrorBoundary._total += 1
        self._log.alarm(
            f"{UNEXPECTED_ERROR}; this step is skipped.",
            step=self._step,
            error=f"{type(error).__name__}: {error}"[:200],
            raised_at=_origin(error),
            **fields,
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if not isinstance(exc, Exception):
            return False
        self.note(exc)
        return True


def _origin(error: Exception) -> str:
    """Return module file and line of the frame that raised an error."""
    traceback = error.__traceback__
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    file = traceback.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{file}:{traceback.tb_lineno}"
