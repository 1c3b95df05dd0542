"""Encodes the messages between owners and upstreams as length-prefixed thrift."""

from __future__ import annotations

from typing import Any

from anyio.streams.buffered import BufferedByteReceiveStream

from egrethook.codec import UnionCodec
from egrethook.exceptions import BadMessageError
from egrethook.upstreams import frames
from egrethook.upstreams.frames import LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES
from egrethook.wire.upstreams.ttypes import UpstreamMessage

_CODEC = UnionCodec(
    UpstreamMessage,
    {
        "hello": frames.Hello,
        "welcome": frames.Welcome,
        "execute": frames.Execute,
        "cancel_run": frames.CancelRun,
        "answer": frames.Answer,
        "shed": frames.Shed,
        "cancelled": frames.Cancelled,
        "load": frames.Load,
        "ping": frames.Ping,
        "pong": frames.Pong,
    },
    MAX_FRAME_BYTES,
)


def encode_frame(message: Any) -> bytes:
    """Return an encoded message with its length prefix."""
    body = _CODEC.encode(message)
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body


async def read_frame(stream: BufferedByteReceiveStream) -> Any:
    """Read the next message of a stream.

    Raises
    ------
    BadMessageError
        If the frame is too long or not valid.
    anyio.IncompleteRead, anyio.EndOfStream
        If the stream ends.
    """
    header = await stream.receive_exactly(LENGTH_PREFIX_BYTES)
    length = int.from_bytes(header, "big")
    if not 0 < length <= MAX_FRAME_BYTES:
        raise BadMessageError(
            f"frame length is {length} bytes, expected 1 to {MAX_FRAME_BYTES}"
        )
    return _CODEC.decode(await stream.receive_exactly(length))
