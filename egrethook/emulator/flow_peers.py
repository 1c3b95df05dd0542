"""What callers and upstreams of unread packets remember, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egrethook.discovery.records import UpstreamRecord


@dataclass
class Work:
    """One request that an upstream works at or holds in its queue."""

    caller: Call
    number: int


@dataclass
class EmulatedUpstream:
    """A few slots and a short queue; a full queue sheds.

    Parameters
    ----------
    dark : bool
        Takes no packets and sends none.
    closed : bool
        Nothing listens: each opening is answered with a reset.
    slow_factor : float
        How much longer than usual its work takes.
    """

    record: UpstreamRecord
    dark: bool = False
    closed: bool = False
    slow_factor: float = 1.0
    busy: int = 0
    queue: list[Work] = field(default_factory=list)
    ran: int = 0
    shed: int = 0
    openings: int = 0


@dataclass
class Call:
    """One request of a caller, with its retries.

    Parameters
    ----------
    sent, received : int
        Bytes that the flow has carried either way.
    domain : str, optional
        Each attempt goes to any balancer of this failure domain.
    pause_s : callable, optional
        Keeps the flow open, and returns the time until its next request.
    """

    number: int
    vm: int
    host: int
    began_at: float
    deadline_s: float
    work_s: float
    pause_s: Callable[[], float] | None = None
    domain: str | None = None
    sent: int = 0
    received: int = 0
    attempt: int = 0
    port: int = 0
    opened_with: int = 0
    done_at: float | None = None
    failed: bool = False

    @property
    def finished(self) -> bool:
        """Whether the caller waits no more."""
        return self.failed or self.done_at is not None

    @property
    def latency_s(self) -> float:
        """Time from the first attempt to the answer, in seconds."""
        return (self.done_at or 0.0) - self.began_at
