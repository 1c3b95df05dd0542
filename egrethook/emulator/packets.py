"""Encodes and decodes packets for emulated callers and upstreams, and for tests."""

from __future__ import annotations

from typing import NamedTuple

from egrethook.platform.packet_header import HEADER


class Packet(NamedTuple):
    """The header fields and the data of a packet.

    Parameters
    ----------
    sport, dport : int
        Ports of the sender and the receiver.
    src, dst : int
        IPv4 addresses of the sender and the receiver, as integers.
    acknowledged : int
        Next sequence number expected; in an opening, the index of the copy.
    echo : int
        Token of the flow.
    checksum : bytes
        The `sum` field. Only the two ends of a flow can compute it; balancers forward
        it unchanged.
    """

    sport: int
    dport: int
    src: int
    dst: int
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: bytes = bytes(4)

    def encode(self) -> bytes:
        """Return the packet as bytes."""
        head = HEADER.pack(
            len(self.data),
            self.sport,
            self.dport,
            self.src,
            self.dst,
            self.sequence,
            self.acknowledged,
            self.flags,
            self.echo,
            self.checksum,
        )
        return head + self.data

    @classmethod
    def decode(cls, datagram: bytes, offset: int = 0) -> Packet:
        """Return the packet that begins at an offset of a datagram."""
        _, sport, dport, src, dst, seq, ack, flags, echo, checksum = HEADER.unpack_from(
            datagram, offset
        )
        data = datagram[offset + HEADER.size :]
        return cls(sport, dport, src, dst, flags, seq, ack, echo, data, checksum)
