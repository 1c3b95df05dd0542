"""Headers of flow packets whose payload the balancer does not read."""

from __future__ import annotations

from typing import NamedTuple, Protocol

SEQUENCE_MODULUS = 2**32
"""Number of distinct sequence numbers, after which they wrap around to 0."""

IPv4Endpoint = tuple[int, int]
"""An IPv4 address as a number, and a port."""


class Segment(NamedTuple):
    """The header of one packet from a caller.

    Parameters
    ----------
    flow : bytes
        The addresses and ports of both ends; the flow's key.
    caller, target : IPv4Endpoint
        The packet's source and destination; the destination selects the route.
    opens, closes, aborts : bool
        Whether the packet opens its flow, closes it normally, or aborts it.
    token : int
        The 32-bit token of the flow's upstream; 0 in an opening.
    copy_index : int
        Number of times the opening was sent before; 0 in other packets.
    sequence : int
        The sequence number of the first byte.
    acknowledged : int
        The next sequence number that the caller expects from its upstream.
    length : int
        Number of data bytes.
    """

    flow: bytes
    caller: IPv4Endpoint
    target: IPv4Endpoint
    opens: bool
    closes: bool
    aborts: bool
    token: int
    copy_index: int
    sequence: int
    acknowledged: int
    length: int

    @property
    def ends(self) -> bool:
        """Whether the packet ends its flow, normally or not."""
        return self.closes or self.aborts

    @property
    def end(self) -> int:
        """The sequence number after the last byte."""
        return (self.sequence + self.length) % SEQUENCE_MODULUS


def is_after(sequence: int, other: int) -> bool:
    """Return whether a sequence number is after another, allowing for wraparound."""
    return 0 < (sequence - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


class SegmentCodec(Protocol):
    """Reads and writes packet headers."""

    def decode(self, datagram: bytes) -> Segment | None:
        """Return the header of a packet, or None if the packet is malformed."""
        ...

    def forward(self, datagram: bytes, instance: int, token: int) -> bytes:
        """Return a packet addressed to an upstream instance, with its token set."""
        ...

    def reset(self, segment: Segment) -> bytes:
        """Return the packet that resets a flow, given its caller's latest packet."""
        ...

    def describe(self, segment: Segment) -> str:
        """Return the flow's id for log lines."""
        ...


class PacketPort(Protocol):
    """Sends packets to upstreams and callers."""

    def to_upstream(self, address: tuple[str, int], packet: bytes) -> None:
        """Send a packet to an upstream."""
        ...

    def to_caller(self, caller: IPv4Endpoint, packet: bytes) -> None:
        """Send a packet to a caller."""
        ...
