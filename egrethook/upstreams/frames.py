"""The messages between an owner and an upstream, as data classes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Le

from egrethook.callers.packets import Attempt, ChunkIndex, Payload, Trace
from egrethook.types import Count, Int64, Milliseconds, Name
from egrethook.upstreams.admission import Report, ShedReason


@dataclass(frozen=True)
class Hello:
    """First message of a connection; names the balancer and the service."""

    balancer: Name
    incarnation: Int64
    service_name: Name


@dataclass(frozen=True)
class Welcome:
    """Reply to `Hello` with the upstream's identity and load."""

    upstream: Name
    service_name: Name
    incarnation: Int64
    boot: Int64
    answered: Annotated[int, Ge(0)]
    running: Count
    flows: Count

    def report(self) -> Report:
        """Return the reported load."""
        return Report(self.boot, self.running, self.flows, self.answered)


@dataclass(frozen=True)
class Execute:
    """Asks the upstream to run a request.

    Parameters
    ----------
    run_id : int
        Identifies this execution in the other messages of the connection.
    deadline_ms : int
        Remaining time until the caller's deadline, in milliseconds.
    """

    run_id: Int64
    deadline_ms: Milliseconds
    caller_id: Int64
    number: Int64
    attempt: Attempt
    payload: Payload = b""
    trace: Trace | None = None


@dataclass(frozen=True)
class CancelRun:
    """Asks the upstream to stop a request."""

    run_id: Int64


@dataclass(frozen=True)
class Answer:
    """One chunk of an answer, number `index` (from 0) of `count`."""

    run_id: Int64
    index: ChunkIndex
    count: Annotated[int, Ge(1), Le(4096)]
    payload: Payload = b""


@dataclass(frozen=True)
class Shed:
    """Reports that a request was refused and has not run."""

    run_id: Int64
    reason: ShedReason


@dataclass(frozen=True)
class Cancelled:
    """Reports that a request was stopped, and whether it had started."""

    run_id: Int64
    started: bool


@dataclass(frozen=True)
class Load:
    """Periodic load report."""

    boot: Int64
    running: Count
    flows: Count
    answered: Annotated[int, Ge(0)]
    draining: bool = False

    def report(self) -> Report:
        """Return the reported load."""
        return Report(self.boot, self.running, self.flows, self.answered, self.draining)


@dataclass(frozen=True)
class Ping:
    """Keepalive probe; answered with `Pong`."""

    sequence: Int64


@dataclass(frozen=True)
class Pong:
    """Reply to `Ping`."""

    sequence: Int64


MAX_FRAME_BYTES = 16_384
"""Maximum frame length without its prefix, in bytes."""

LENGTH_PREFIX_BYTES = 4
"""Size of the length prefix of each frame, in bytes."""
