"""The packets that callers, balancers and upstreams exchange, as data classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from annotated_types import Ge, Gt, Le, MaxLen

from egrethook.types import Count, Int64, Milliseconds, Name, Port
from egrethook.verdicts import Refusal, Verdict

PAYLOAD_LIMIT = 8192
"""Maximum payload length of one packet, in bytes."""

TOKEN_LIMIT = 512
"""Maximum token length, in bytes."""

CHUNK_BYTES = 1200
"""Length of each chunk of an answer except the last, in bytes."""

CHUNK_LIMIT = 4096
"""Maximum number of chunks of one answer."""

Payload = Annotated[bytes, MaxLen(PAYLOAD_LIMIT)]
TokenBytes = Annotated[bytes, MaxLen(TOKEN_LIMIT)]
Trace = Annotated[str, MaxLen(64)]
Copy = Annotated[int, Ge(0), Le(64)]
Attempt = Annotated[int, Ge(0), Le(1000)]
ChunkIndex = Annotated[int, Ge(0), Le(CHUNK_LIMIT)]
Host = Annotated[str, MaxLen(45)]


@dataclass(frozen=True)
class Open:
    """Requests a flow to a service."""

    service_name: Name
    caller_id: Int64
    number: Int64
    caller_host: Host
    caller_port: Port
    copy: Copy = 0
    trace: Trace | None = None


@dataclass(frozen=True)
class Opened:
    """Carries the token of a new flow."""

    number: Int64
    token: TokenBytes


@dataclass(frozen=True)
class Data:
    """A packet of a flow from the caller to its upstream."""

    token: TokenBytes
    number: Int64
    sequence: Int64
    payload: Payload


@dataclass(frozen=True)
class Reply:
    """A packet of a flow from its upstream, sent directly to the caller.

    Parameters
    ----------
    sequence : int
        The sequence number of the packet that is answered.
    boot : int
        Random number that the upstream process chose at its start.
    """

    number: Int64
    sequence: Int64
    payload: Payload
    boot: Int64


@dataclass(frozen=True)
class Close:
    """Ends a flow."""

    token: TokenBytes
    number: Int64


@dataclass(frozen=True)
class Reset:
    """Tells the caller that a flow is aborted, and why."""

    number: Int64
    code: Refusal


@dataclass(frozen=True)
class Grant:
    """Requests a token for requests that are not idempotent."""

    service_name: Name
    caller_id: Int64
    number: Int64
    caller_host: Host
    caller_port: Port
    copy: Copy = 0
    trace: Trace | None = None


@dataclass(frozen=True)
class Granted:
    """Carries a token for requests that are not idempotent."""

    number: Int64
    token: TokenBytes
    life_ms: Milliseconds


@dataclass(frozen=True)
class Run:
    """Carries one copy of an attempt at a request.

    Parameters
    ----------
    service_name : str
        The service that the request is for.
    caller_id, number, attempt : int
        Identify the request and the attempt.
    sequence : int
        Increases within the token; 0 in a request without a granted token.
    token : bytes
        Empty for an idempotent request that has no executor yet.
    deadline_ms : int
        Remaining time until the caller's deadline, in milliseconds.
    copy : int
        Number of times this attempt has been sent before.
    """

    service_name: Name
    caller_id: Int64
    number: Int64
    attempt: Attempt
    idempotent: bool
    deadline_ms: Annotated[int, Gt(0), Le(600_000)]
    caller_host: Host
    caller_port: Port
    payload: Payload = b""
    sequence: Annotated[int, Ge(0), Le(2**62)] = 0
    token: TokenBytes = b""
    copy: Copy = 0
    trace: Trace | None = None


@dataclass(frozen=True)
class Accepted:
    """Tells the caller which executor has a request, for use in later copies.

    Parameters
    ----------
    token : bytes
        Names the executor.
    answer_id : int
        Random; the same in all chunks of this execution's answer.
    """

    number: Int64
    attempt: Attempt
    token: TokenBytes
    answer_id: Int64


@dataclass(frozen=True)
class Chunk:
    """One chunk of an answer, number `index` of `count`."""

    number: Int64
    attempt: Attempt
    answer_id: Int64
    index: ChunkIndex
    count: Annotated[int, Ge(1), Le(CHUNK_LIMIT)]
    payload: Payload = b""


@dataclass(frozen=True)
class Fetch:
    """Requests missing chunks of an answer from the executor."""

    token: TokenBytes
    caller_id: Int64
    number: Int64
    attempt: Attempt
    answer_id: Int64
    missing: Annotated[list[ChunkIndex], MaxLen(64)] = field(default_factory=list)


@dataclass(frozen=True)
class Done:
    """Tells the executor that the complete answer has been received."""

    token: TokenBytes
    caller_id: Int64
    number: Int64
    attempt: Attempt


@dataclass(frozen=True)
class Cancel:
    """Tells the executor that the caller no longer waits."""

    token: TokenBytes
    caller_id: Int64
    number: Int64
    attempt: Attempt


@dataclass(frozen=True)
class Refused:
    """Tells the caller that a request or a flow was refused."""

    number: Int64
    attempt: Attempt
    verdict: Verdict
    code: Refusal
    retry_after_ms: Count = 0


ExecutorPacket = Run | Fetch | Done | Cancel
"""Packets addressed to the executor that their token names."""
