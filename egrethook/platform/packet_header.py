"""The 36-byte header of the platform's packets."""

from __future__ import annotations

import struct

from egrethook.callers.segments import Segment

HEADER = struct.Struct(">HHHIIIIB5xI4s")
"""Fields in order: len, sport, dport, src, dst, seq, ack, flags, echo, sum.

The names are the platform's. `len` is the number of data bytes. `echo` holds the
token: callers return the value that they received in it. `ack` of a SYN is not an
acknowledgement but the number of the copy, from 0. `sum` is not checked.
"""

INSTANCE_PREFIX = struct.Struct(">Q")
"""Instance number of the destination, sent in front of each forwarded packet."""

TOKEN_OFFSET = 28
"""Offset of the field `echo` in the header, in bytes."""

TOKEN_FIELD = struct.Struct(">I")
"""Encoding of the field `echo`."""

# The platform's flag bits differ from those of TCP.
ACK = 1
SYN = 4
FIN = 32
RST = 64

FLOW_KEY = slice(2, 14)
"""Position of the ports and addresses of both ends, which identify the flow."""


class PacketHeader:
    """Decodes and encodes packet headers; see `SegmentCodec`."""

    def decode(self, datagram: bytes) -> Segment | None:
        """Return the header of a packet, or None if the packet is too short."""
        if len(datagram) < HEADER.size:
            return None
        length, sport, dport, src, dst, seq, ack, flags, echo, _ = HEADER.unpack_from(
            datagram
        )
        opens = flags & SYN != 0
        return Segment(
            flow=datagram[FLOW_KEY],
            caller=(src, sport),
            target=(dst, dport),
            opens=opens,
            closes=flags & FIN != 0,
            aborts=flags & RST != 0,
            token=echo,
            copy_index=ack if opens else 0,
            sequence=seq,
            acknowledged=0 if opens else ack,
            length=length,
        )

    def forward(self, datagram: bytes, instance: int, token: int) -> bytes:
        """Return a packet for one instance, with the prefix and the token filled in."""
        echo = TOKEN_FIELD.pack(token)
        head = datagram[:TOKEN_OFFSET]
        return (
            INSTANCE_PREFIX.pack(instance) + head + echo + datagram[TOKEN_OFFSET + 4 :]
        )

    def reset(self, segment: Segment) -> bytes:
        """Return an RST from the route's address to the caller.

        On an open flow, its sequence number is the one that the caller expects.
        """
        caller, port = segment.caller
        target, target_port = segment.target
        return HEADER.pack(
            0,
            target_port,
            port,
            target,
            caller,
            segment.acknowledged,
            0,
            RST,
            0,
            b"\0\0\0\0",
        )

    def describe(self, segment: Segment) -> str:
        """Return both ends as ``address:port>address:port``."""
        return (
            f"{_format_endpoint(*segment.caller)}>{_format_endpoint(*segment.target)}"
        )


def _format_endpoint(host: int, port: int) -> str:
    octets = host.to_bytes(4, "big")
    return f"{octets[0]}.{octets[1]}.{octets[2]}.{octets[3]}:{port}"
