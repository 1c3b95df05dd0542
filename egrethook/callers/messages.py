"""Wire encoding of the packets between callers and balancers."""

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
"""Codec of the datagrams that callers send and receive."""

FLOW_PACKET_LIMIT = packets.PAYLOAD_LIMIT + packets.TOKEN_LIMIT + 64
"""Maximum length of a flow packet, in bytes; 64 bytes are for its other fields."""

_FLOW_FIELDS = {
    CALLER_CODEC.encode(packets.Data(b"", 0, 0, b""))[:1]: "data",
    CALLER_CODEC.encode(packets.Close(b"", 0))[:1]: "close",
}
"""The union field of each packet type of established flows, by first byte."""

_FLOW_READER = StructReader(FLOW_PACKET_LIMIT)


def read_flow_head(raw: bytes) -> FlowHead | None:
    """Return the token and number of a packet of an established flow.

    The balancer that receives such a packet forwards it unchanged, so it decodes only
    this head; the upstream validates the rest.

    Returns
    -------
    FlowHead or None
        None if the packet is of another type.

    Raises
    ------
    BadMessageError
        If it begins like a flow packet but is too long or malformed.
    """
    field_name = _FLOW_FIELDS.get(raw[:1])
    if field_name is None:
        return None
    if len(raw) > FLOW_PACKET_LIMIT:
        raise BadMessageError(
            f"flow packet is {len(raw)} bytes; limit is {FLOW_PACKET_LIMIT}"
        )
    try:
        packet = _FLOW_READER.read(raw, FlowPacket(), FlowPacket)
    except DECODING_ERRORS as error:
        raise BadMessageError(str(error)) from None
    head = getattr(packet, field_name)
    if head is None or head.token is None or head.number is None:
        raise BadMessageError(
            f"flow packet of type {field_name} has no token or number"
        )
    return head
