"""Packets of flows whose bytes only their two ends read."""

from __future__ import annotations

from typing import NamedTuple, Protocol

SEQUENCE_MODULUS = 2**32
"""Sequence numbers begin again at 0 after so many bytes."""

Endpoint = tuple[int, int]
"""An IPv4 address as a number, and a port."""


class Segment(NamedTuple):
    """The header of one packet from a caller.

    Parameters
    ----------
    flow : bytes
        The addresses and ports of both ends; the flow's key.
    token : int
        The token of the flow's upstream; 0 in an opening packet.
    copies : int
        Which copy of the opening packet this is, from 0.
    sequence : int
        The sequence number of the first byte.
    acknowledged : int
        The sequence number that the caller expects next from its upstream.
    length : int
        Bytes of data.
    """

    flow: bytes
    caller: Endpoint
    target: Endpoint
    opens: bool
    closes: bool
    aborts: bool
    token: int
    copy_index: int
    sequence: int
    acknowledged: int
    length: int

    @property
    def end(self) -> int:
        """The sequence number after the last byte."""
        return (self.sequence + self.length) % SEQUENCE_MODULUS


def is_after(sequence: int, other: int) -> bool:
    """Return whether a sequence number lies ahead of another; numbers wrap."""
    return 0 < (sequence - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


class SegmentCodec(Protocol):
    """Reads and writes the headers of packets."""

    def decode(self, datagram: bytes) -> Segment | None:
        """Return the header of a packet, or None if it has none."""
        ...

    def forward(self, datagram: bytes, instance: int, token: int) -> bytes:
        """Return a packet as it is sent to one instance of an upstream."""
        ...

    def reset(self, segment: Segment) -> bytes:
        """Return the packet that tells a caller that its flow is refused."""
        ...

    def describe(self, segment: Segment) -> str:
        """Return the flow's id as it stands in logs."""
        ...


class PacketPort(Protocol):
    """Sends packets on."""

    def to_upstream(self, address: tuple[str, int], packet: bytes) -> None:
        """Send a packet to an upstream."""
        ...

    def to_caller(self, caller: Endpoint, packet: bytes) -> None:
        """Send a packet to a caller."""
        ...
