"""The wire form of the packets between callers and balancers."""

from __future__ import annotations

from egrethook.callers import packets
from egrethook.codec import DECODING_ERRORS, StructReader, UnionCodec
from egrethook.exceptions import BadMessageError
from egrethook.wire.callers.ttypes import CallerMessage, FlowHead, FlowPacket

CALLER_CODEC = UnionCodec(
    CallerMessage,
    {
        "open": packets.Open,
        "opened": packets.Opened,
        "data": packets.Data,
        "reply": packets.Reply,
        "close": packets.Close,
        "reset": packets.Reset,
        "grant": packets.Grant,
        "granted": packets.Granted,
        "run": packets.Run,
        "accepted": packets.Accepted,
        "chunk": packets.Chunk,
        "fetch": packets.Fetch,
        "done": packets.Done,
        "cancel": packets.Cancel,
        "refused": packets.Refused,
    },
)
"""Codec of every datagram that a caller sends or receives."""

FLOW_PACKET_LIMIT = packets.PAYLOAD_LIMIT + packets.TOKEN_LIMIT + 64
"""Longest packet of a flow, in bytes."""

_FLOW_FIELDS = {
    CALLER_CODEC.encode(packets.Data(b"", 0, 0, b""))[:1]: "data",
    CALLER_CODEC.encode(packets.Close(b"", 0))[:1]: "close",
}
"""First byte of the packets of established flows, and their arms."""

_FLOW_READER = StructReader(FLOW_PACKET_LIMIT)


def read_flow_head(raw: bytes) -> FlowHead | None:
    """Return token and number of a packet of an established flow.

    An entry forwards such packets as received, so that it reads no more of
    them; the upstream checks the rest.

    Returns
    -------
    FlowHead or None
        None if the packet is of another kind.

    Raises
    ------
    BadMessageError
        If it begins like a flow packet and is not one.
    """
    field_name = _FLOW_FIELDS.get(raw[:1])
    if field_name is None:
        return None
    if len(raw) > FLOW_PACKET_LIMIT:
        raise BadMessageError(f"flow packet of {len(raw)} bytes")
    try:
        packet = _FLOW_READER.read(raw, FlowPacket(), FlowPacket)
    except DECODING_ERRORS as error:
        raise BadMessageError(str(error)) from None
    head = getattr(packet, field_name)
    if head is None or head.token is None or head.number is None:
        raise BadMessageError("a flow packet without token or number")
    return head
