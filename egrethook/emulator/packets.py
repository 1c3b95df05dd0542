"""Packets as callers, upstreams and tests write them."""

from __future__ import annotations

from typing import NamedTuple

from egrethook.platform.packet_header import HEADER


class Packet(NamedTuple):
    """The header of a packet, and its data.

    Parameters
    ----------
    sport, dport : int
        The ports of the sender's and the receiver's end.
    src, dst : int
        Their IPv4 addresses as numbers.
    acknowledged : int
        The sequence number expected next; in an opening, which copy it is.
    echo : int
        The flow's token.
    checksum : bytes
        The four bytes that only the two ends can make.
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
        """Return the packet as it is sent."""
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
        """Return the packet that begins at an offset."""
        _, sport, dport, src, dst, seq, ack, flags, echo, checksum = HEADER.unpack_from(
            datagram, offset
        )
        data = datagram[offset + HEADER.size :]
        return cls(sport, dport, src, dst, flags, seq, ack, echo, data, checksum)
