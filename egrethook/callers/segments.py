"""Packets of flows whose bytes only their two ends read."""

from __future__ import annotations

from typing import NamedTuple, Protocol

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
    acknowledged : int
        The last byte that the caller has received, as a sequence number.
    """

    flow: bytes
    caller: Endpoint
    target: Endpoint
    opens: bool
    closes: bool
    aborts: bool
    token: int
    copies: int
    acknowledged: int
    length: int


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
