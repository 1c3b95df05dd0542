"""Exceptions of the package, each with an error code and an exit status."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from egrethook.verdicts import Outcome


class EgrethookError(Exception):
    """Base of every exception that the package raises."""

    code: ClassVar[str] = "E000"
    exit_status: ClassVar[int] = 1

    def __str__(self) -> str:
        return f"{self.code}: {super().__str__()}"


class UsageError(EgrethookError):
    """A command line that is not valid."""

    code = "E100"
    exit_status = 2


class SettingsError(EgrethookError):
    """A settings file that can't be read or is not valid."""

    code = "E101"
    exit_status = 2


class DocumentError(EgrethookError):
    """A configuration value that is not valid."""

    code = "E102"
    exit_status = 2


class AddressInUseError(EgrethookError):
    """An address that is already in use by another process."""

    code = "E103"
    exit_status = 3


class PlatformUnreachableError(EgrethookError):
    """A platform that does not answer."""

    code = "E104"
    exit_status = 4


class AdminUnreachableError(EgrethookError):
    """A balancer whose administration API does not answer."""

    code = "E105"
    exit_status = 4


class UnauthorizedError(EgrethookError):
    """A call without the fleet secret that it requires."""

    code = "E106"
    exit_status = 7


class NotReadyError(EgrethookError):
    """A process that did not become ready in time."""

    code = "E107"
    exit_status = 4


class ForwarderUnreachableError(EgrethookError):
    """A forwarding process whose metrics address does not answer."""

    code = "E108"
    exit_status = 4


class BadMessageError(EgrethookError):
    """A datagram or frame that can't be decoded or has a value out of bounds."""

    code = "E201"


class TokenError(EgrethookError):
    """A token that is malformed, forged or signed with an unknown key."""

    code = "E202"


class RequestError(EgrethookError):
    """A request that ended without an answer; see its verdict.

    Parameters
    ----------
    outcome : Outcome
        How the request ended; its verdict says whether it may have run.
    number : int
        The caller's number for the request.
    """

    code = "E301"
    exit_status = 5

    def __init__(self, outcome: Outcome, number: int) -> None:
        self.outcome = outcome
        self.number = number
        reason = outcome.code.value if outcome.code else "unknown"
        super().__init__(f"{outcome.verdict.name}: {reason}")


class FlowError(EgrethookError):
    """A flow that could not be opened or was reset."""

    code = "E302"
    exit_status = 6


class LinkError(EgrethookError):
    """A connection to an upstream that failed or went silent."""

    code = "E401"


class HandOverError(EgrethookError):
    """A hand-over of the rights to run requests that was not acknowledged."""

    code = "E402"


class SourceUnavailableError(EgrethookError):
    """A service registry that refuses a call, fails or does not answer in time."""

    code = "E501"
    exit_status = 4


class HistoryLostError(EgrethookError):
    """A service registry that no longer holds the requested changes."""

    code = "E502"


class FlowNotFoundError(EgrethookError):
    """A flow that the given logs do not mention."""

    code = "E503"
    exit_status = 1


class UnknownRouteError(EgrethookError):
    """A route that a forwarding process does not know."""

    code = "E504"
    exit_status = 1


class ExplanationError(EgrethookError):
    """A process that does not explain its choices, or not yet."""

    code = "E505"
    exit_status = 4


def error_classes() -> list[type[EgrethookError]]:
    """Return the exception classes sorted by code."""
    return sorted(EgrethookError.__subclasses__(), key=lambda cls: cls.code)
