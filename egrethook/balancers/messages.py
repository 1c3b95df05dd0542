"""Encoding and authentication of the messages between balancers."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from typing import Any

from egrethook.balancers import peer_packets
from egrethook.codec import UnionCodec
from egrethook.exceptions import BadMessageError
from egrethook.wire.balancers.ttypes import PeerMessage

MAC_BYTES = 16
"""Length of the MAC (keyed BLAKE2b hash) that precedes each message, in bytes."""

_CODEC = UnionCodec(
    PeerMessage,
    {
        "heartbeat": peer_packets.Heartbeat,
        "relay": peer_packets.Relay,
        "relay_ack": peer_packets.RelayAck,
        "hand_over": peer_packets.HandOver,
        "hand_over_ack": peer_packets.HandOverAck,
    },
)


class PeerCodec:
    """Encodes and authenticates the messages between balancers.

    Parameters
    ----------
    secrets : sequence of str
        Shared secrets of the fleet. Messages are signed with the first; all are
        accepted, so that secrets can be rotated.
    """

    def __init__(self, secrets: Sequence[str]) -> None:
        self._keys = [hashlib.blake2b(text.encode()).digest() for text in secrets]

    def encode(self, message: Any) -> bytes:
        """Return a message as a signed datagram."""
        body = _CODEC.encode(message)
        return self._mac(self._keys[0], body) + body

    def decode(self, data: bytes) -> Any:
        """Return the message of a datagram.

        Raises
        ------
        BadMessageError
            If the MAC matches no secret or the message is malformed.
        """
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        matches = (hmac.compare_digest(mac, self._mac(key, body)) for key in self._keys)
        if not any(matches):
            raise BadMessageError("the MAC of a peer message matches no fleet secret")
        return _CODEC.decode(body)

    @staticmethod
    def _mac(key: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=key).digest()
