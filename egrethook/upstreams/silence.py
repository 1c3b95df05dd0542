"""Decides when a connection that says nothing is to be given up."""

from __future__ import annotations

import enum

PING_IDLE_S = 0.5
"""Silence on a connection after which a ping is sent, in seconds."""

PING_TIMEOUT_S = 1.0
"""Time in which a ping is answered, in seconds."""


class LinkCheck(enum.Enum):
    """What to do about a connection."""

    WAIT = "wait"
    PING = "ping"
    GIVE_UP = "give up"


class SilenceDetector:
    """Tells a slow upstream from a connection that has been lost silently.

    A slow upstream still answers pings and reports its load; on a connection
    that something between the two ends has lost track of, nothing arrives.

    Parameters
    ----------
    now : float
        The time at which the connection opened, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._received_at = now
        self._pinged_at: float | None = None

    def note_received(self, now: float) -> None:
        """Note that bytes have arrived."""
        self._received_at = now
        self._pinged_at = None

    def resume(self, now: float) -> None:
        """Start afresh after a pause of this process."""
        self._received_at = now
        self._pinged_at = None

    def check(self, now: float) -> LinkCheck:
        """Return what to do now."""
        if self._pinged_at is not None:
            overdue = now - self._pinged_at > PING_TIMEOUT_S
            return LinkCheck.GIVE_UP if overdue else LinkCheck.WAIT
        if now - self._received_at > PING_IDLE_S:
            self._pinged_at = now
            return LinkCheck.PING
        return LinkCheck.WAIT
