"""When a packet that nobody has answered is sent again."""

from __future__ import annotations

from collections.abc import Iterator

INITIAL_RESEND_DELAY_S = 0.2
"""Time after which an unanswered packet is sent again for the first time, in s."""

RESEND_BACKOFF_FACTOR = 1.5
"""Factor by which that time grows with each copy."""

MAX_RESEND_DELAY_S = 1.0
"""Longest time between two copies, in seconds."""

MAX_COPIES = 64
"""Copies of one packet at most."""


def resend_delays() -> Iterator[float]:
    """Return the waits after each copy, in seconds."""
    delay_s = INITIAL_RESEND_DELAY_S
    for _ in range(MAX_COPIES):
        yield delay_s
        delay_s = min(MAX_RESEND_DELAY_S, delay_s * RESEND_BACKOFF_FACTOR)
