"""What callers and upstreams of unread packets remember, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egrethook.discovery.records import UpstreamRecord


@dataclass
class UpstreamRequest:
    """One request that an upstream works at or holds in its queue."""

    call: Call
    port: int


@dataclass
class EmulatedUpstream:
    """A few slots and a short queue; a full queue sheds.

    Parameters
    ----------
    unresponsive : bool
        Takes no packets and sends none.
    port_closed : bool
        Nothing listens: each opening is answered with a reset.
    slow_factor : float
        How much longer than usual its work takes.
    """

    record: UpstreamRecord
    unresponsive: bool = False
    port_closed: bool = False
    slow_factor: float = 1.0
    busy: int = 0
    queue: list[UpstreamRequest] = field(default_factory=list)
    started: int = 0
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
    think_time_s : callable, optional
        Keeps the flow open, and returns the time until its next request.
    """

    number: int
    vm: int
    host: int
    started_at: float
    deadline_s: float
    service_time_s: float
    think_time_s: Callable[[], float] | None = None
    domain: str | None = None
    sent: int = 0
    received: int = 0
    attempt: int = 0
    port: int = 0
    token: int = 0
    answered_at: float | None = None
    failed: bool = False

    @property
    def finished(self) -> bool:
        """Whether the caller waits no more."""
        return self.failed or self.answered_at is not None

    @property
    def latency_s(self) -> float:
        """Time from the first attempt to the answer, in seconds."""
        return (self.answered_at or 0.0) - self.started_at
