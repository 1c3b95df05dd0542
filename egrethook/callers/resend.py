"""Exponential backoff for resending unanswered packets."""

from __future__ import annotations

from collections.abc import Iterator

INITIAL_RESEND_DELAY_S = 0.2
"""Delay before the first resend of an unanswered packet, in seconds."""

RESEND_BACKOFF_FACTOR = 1.5
"""Factor by which the delay grows with each copy."""

MAX_RESEND_DELAY_S = 1.0
"""Maximum delay between two copies, in seconds."""

MAX_COPIES = 64
"""Maximum number of copies of one packet."""


def resend_delays() -> Iterator[float]:
    """Yield the delay after each copy, in seconds."""
    delay_s = INITIAL_RESEND_DELAY_S
    for _ in range(MAX_COPIES):
        yield delay_s
        delay_s = min(MAX_RESEND_DELAY_S, delay_s * RESEND_BACKOFF_FACTOR)
