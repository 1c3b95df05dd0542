"""What a caller may conclude about a request, and why it was refused."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.IntEnum):
    """Whether a request may have run."""

    ANSWERED = 1
    NOT_RUN = 2
    MAY_HAVE_RUN = 3


class Refusal(enum.StrEnum):
    """Why a request or a flow was refused."""

    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    DOMAIN_OUT = "domain-out"
    EXECUTOR_GONE = "executor-gone"
    FULL = "full"
    LINK_LOST = "link-lost"
    MOVED = "moved"
    NO_ANSWER = "no-answer"
    NO_CONFIGURATION = "no-configuration"
    NO_UPSTREAM = "no-upstream"
    RECORD_LOST = "record-lost"
    RETRIES_SPENT = "retries-spent"
    SHED = "shed"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_TOKEN = "unknown-token"
    UPSTREAM_GONE = "upstream-gone"
    BELOW_WINDOW = "below-window"


@dataclass(frozen=True)
class Outcome:
    """How a request ended.

    Parameters
    ----------
    verdict : Verdict
        Whether the request may have run.
    code : Refusal or None
        Why it was refused; None when it was answered.
    retry_after_ms : int
        Time that the caller should wait before a retry, in milliseconds.
    """

    verdict: Verdict
    code: Refusal | None = None
    retry_after_ms: int = 0
