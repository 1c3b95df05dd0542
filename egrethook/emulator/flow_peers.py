"""State of the callers and upstreams in the simulation of forwarded flows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egrethook.callers.segments import IPv4Endpoint
from egrethook.discovery.records import UpstreamRecord
from egrethook.emulator.flow_records import TARGET


@dataclass
class UpstreamRequest:
    """A request that an upstream is processing or has queued.

    `port` is the caller's port when the request arrived; it changes with each attempt.
    """

    call: Call
    port: int


@dataclass(frozen=True)
class AnswerFault:
    """A fault of an upstream that answers openings but fails requests.

    Parameters
    ----------
    share : float
        Share of the requests that fail.
    hangs : bool
        Whether they get no answer, rather than a short one after `service_s`.
    """

    share: float = 1.0
    hangs: bool = False
    service_s: float = 0.002
    answer_bytes: int = 150


@dataclass
class SimulatedUpstream:
    """An upstream with a few slots and a bounded queue that sheds when it is full.

    Parameters
    ----------
    unresponsive : bool
        Drops all packets and sends none.
    port_closed : bool
        No process listens, so every packet is answered with a reset.
    slow_factor : float
        Factor applied to the service time of each request.
    busy_slots : int
        Requests in processing.
    started : int
        Requests whose processing has started.
    shed : int
        Requests refused because the queue was full.
    openings : int
        Openings received.
    fault : AnswerFault, optional
        How it fails requests.
    """

    record: UpstreamRecord
    unresponsive: bool = False
    port_closed: bool = False
    slow_factor: float = 1.0
    busy_slots: int = 0
    queue: list[UpstreamRequest] = field(default_factory=list)
    started: int = 0
    shed: int = 0
    openings: int = 0
    fault: AnswerFault | None = None


@dataclass
class Call:
    """A request of a caller, including its retries.

    Parameters
    ----------
    vm : int
        Index of the balancer that the packets are sent to.
    host : int
        IPv4 address of the caller, as an integer.
    think_time_s : callable, optional
        Returns the time from an answer to the next request on the same flow. If None,
        the caller closes the flow after the answer.
    domain : str, optional
        If given, each attempt uses a random balancer of this failure domain.
    sent, received : int
        Bytes sent and received on the flow.
    port : int
        Source port of the current attempt; requests on the same flow share it.
    token : int
        Token of the open flow; 0 until the opening is answered.
    reached_upstream : bool
        Whether an upstream has received the request on the current flow.
    flow_reset : bool
        Whether the flow was reset after the answer.
    target : IPv4Endpoint
        Address of the route.
    retransmits : bool
        Whether the caller repeats its request until it is answered.
    faults : list of str
        The upstreams that failed this request.
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
    reached_upstream: bool = False
    flow_reset: bool = False
    answered_at: float | None = None
    failed: bool = False
    target: IPv4Endpoint = TARGET
    answer_bytes: int = 1_000
    retransmits: bool = False
    faults: list[str] = field(default_factory=list)

    @property
    def finished(self) -> bool:
        """Whether the request was answered or has failed."""
        return self.failed or self.answered_at is not None

    @property
    def latency_s(self) -> float:
        """Time from the first attempt to the answer, in seconds."""
        return (self.answered_at or 0.0) - self.started_at
