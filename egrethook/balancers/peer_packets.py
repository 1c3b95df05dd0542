"""Messages exchanged between balancers, as data classes."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Annotated

from annotated_types import Ge, Le, MaxLen

from egrethook.types import Count, ExecutorId, Int64, Milliseconds, Name


class MemberState(enum.IntEnum):
    """State that a balancer reports of itself."""

    LIVE = 1
    LEAVING = 2


@dataclass(frozen=True)
class Suspicion:
    """An incarnation of a balancer whose heartbeats have timed out at a neighbour."""

    balancer: Name
    incarnation: Int64


@dataclass(frozen=True)
class Heartbeat:
    """Heartbeat of a balancer, with its state, revision and current suspicions.

    Parameters
    ----------
    revision : int
        The configuration revision that the sender holds.
    inherited : list of ExecutorId
        The executors whose rights the sender has taken over.
    """

    balancer: Name
    incarnation: Int64
    state: MemberState
    revision: Int64
    sequence: Int64
    suspicions: Annotated[list[Suspicion], MaxLen(64)] = field(default_factory=list)
    inherited: Annotated[list[ExecutorId], MaxLen(64)] = field(default_factory=list)


@dataclass(frozen=True)
class Tried:
    """An upstream that was already considered, with its load.

    Parameters
    ----------
    backlog : int
        The number of waiting requests; when owners compare loads for a new flow,
        the flow fill, which is the ratio of open to allowed flows in parts per
        million.
    """

    upstream: Name
    backlog: Count


@dataclass(frozen=True)
class Relay:
    """A caller's packet, relayed to an owner or an executor.

    Parameters
    ----------
    relay_id : int
        Identifies the relay in its acknowledgement; 0 if none is requested.
    revision : int
        The configuration revision that the sender holds.
    packet : bytes
        The caller's datagram as received.
    upstream : str
        The upstream whose owner should serve the packet; empty if the packet
        goes to the executor named in its token.
    tried : list of Tried
        The upstreams already considered.
    hops : int
        Number of times that the packet has been relayed.
    queue : bool
        Whether the owner should queue the request if it has no free capacity.
    ack : bool
        Whether the sender requests an acknowledgement.
    """

    relay_id: Int64
    sender: Name
    revision: Int64
    packet: bytes
    upstream: Annotated[str, MaxLen(64)] = ""
    tried: Annotated[list[Tried], MaxLen(64)] = field(default_factory=list)
    hops: Annotated[int, Ge(0), Le(64)] = 0
    queue: bool = False
    ack: bool = True


@dataclass(frozen=True)
class RelayAck:
    """Acknowledges a relay."""

    relay_id: Int64


@dataclass(frozen=True)
class WindowState:
    """State of the anti-replay window of one token; see `upstreams.rights`.

    Parameters
    ----------
    serial : int
        Identifies the token.
    highest : int
        The highest request number claimed.
    life_ms : int
        Remaining lifetime of the token, in milliseconds.
    seen : list of int
        The request numbers claimed within the window.
    """

    serial: Int64
    highest: Int64
    life_ms: Milliseconds
    seen: Annotated[list[Int64], MaxLen(4096)] = field(default_factory=list)


@dataclass(frozen=True)
class HandOver:
    """One part of the rights that a leaving executor transfers.

    Parameters
    ----------
    heir : ExecutorId
        The only process that may accept it. A later process of the same name
        must not, since the heir may have run requests in the meantime.
    inherited : list of ExecutorId
        Executors whose rights were transferred to the leaving one earlier.
    """

    executor: ExecutorId
    heir: ExecutorId
    transfer_id: Int64
    part: Count
    parts: Annotated[int, Ge(1), Le(100_000)]
    windows: Annotated[list[WindowState], MaxLen(1024)] = field(default_factory=list)
    inherited: Annotated[list[ExecutorId], MaxLen(64)] = field(default_factory=list)


@dataclass(frozen=True)
class HandOverAck:
    """Acknowledges one part of a hand-over, or refuses the hand-over permanently."""

    transfer_id: Int64
    part: Count
    accepted: bool
