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
    # The failure domain of the flow's upstream is out of service.
    DOMAIN_OUT = "domain-out"
    # The executor that the token names can no longer be reached.
    EXECUTOR_GONE = "executor-gone"
    # No upstream that was tried has capacity, or the hop limit was reached.
    FULL = "full"
    # The connection to the upstream was lost while the request ran.
    LINK_LOST = "link-lost"
    # This balancer no longer serves the upstream, or has handed its rights over.
    MOVED = "moved"
    # The caller received no reply.
    NO_ANSWER = "no-answer"
    NO_CONFIGURATION = "no-configuration"
    # The service has no upstream, or no balancer owns it.
    NO_UPSTREAM = "no-upstream"
    # A duplicate of a request whose record is no longer kept.
    RECORD_LOST = "record-lost"
    # The retry budget is exhausted.
    RETRIES_SPENT = "retries-spent"
    # The upstream refused the request without running it.
    SHED = "shed"
    UNKNOWN_SERVICE = "unknown-service"
    # The token has expired, or another process issued it.
    UNKNOWN_TOKEN = "unknown-token"
    # The upstream was removed, restarted or moved to another address.
    UPSTREAM_GONE = "upstream-gone"
    # The request number is too old for the anti-replay window of its token.
    BELOW_WINDOW = "below-window"


@dataclass(frozen=True)
class Outcome:
    """How a request ended.

    Parameters
    ----------
    verdict : Verdict
        Whether the request may have run.
    code : Refusal or None
        Why it was not answered; None when it was.
    retry_after_ms : int
        Time that the caller should wait before a retry, in milliseconds.
    """

    verdict: Verdict
    code: Refusal | None = None
    retry_after_ms: int = 0
