"""Detects dead connections with keepalive pings."""

from __future__ import annotations

import enum

PING_IDLE_S = 0.5
"""Idle time on a connection after which a ping is sent, in seconds."""

PING_TIMEOUT_S = 1.0
"""Time after a ping until a connection without data counts as dead, in seconds."""


class LinkCheck(enum.Enum):
    """Action that a keepalive check asks for."""

    WAIT = "wait"
    PING = "ping"
    GIVE_UP = "give up"


class SilenceDetector:
    """Distinguishes a slow upstream from a silently lost connection.

    A slow upstream still answers pings and reports its load. On a connection whose
    state was lost by a middlebox, nothing arrives.

    Parameters
    ----------
    now : float
        Time at which the connection opened, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._received_at = now
        self._pinged_at: float | None = None

    def note_received(self, now: float) -> None:
        """Record that data arrived."""
        self._received_at = now
        self._pinged_at = None

    def resume(self, now: float) -> None:
        """Restart the idle timer after a pause of this process."""
        self._received_at = now
        self._pinged_at = None

    def check(self, now: float) -> LinkCheck:
        """Return the action to take now."""
        if self._pinged_at is not None:
            overdue = now - self._pinged_at > PING_TIMEOUT_S
            return LinkCheck.GIVE_UP if overdue else LinkCheck.WAIT
        if now - self._received_at > PING_IDLE_S:
            self._pinged_at = now
            return LinkCheck.PING
        return LinkCheck.WAIT
