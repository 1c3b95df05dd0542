"""Signed tokens that name the upstream and executor of a flow or request."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from egrethook.addresses import Address
from egrethook.codec import StructCodec
from egrethook.exceptions import BadMessageError, TokenError
from egrethook.types import ExecutorId, Int64, Name, Port
from egrethook.wire.callers.ttypes import TokenBody

KEY_ID_BYTES = 4
"""Length of the key id at the start of a token, in bytes."""

MAC_BYTES = 16
"""Length of the MAC between the key id and the body, in bytes."""

HEADER_BYTES = KEY_ID_BYTES + MAC_BYTES
"""Length of the header before a token's body, in bytes."""


@dataclass
class Token:
    """The data that any balancer needs to route a packet without a flow table.

    Parameters
    ----------
    serial : int
        Random id of the token in its executor's tables.
    service_name, upstream, host, port, incarnation
        The upstream, its address and the incarnation that held it.
    executor, executor_incarnation
        The only process that may run requests with this token.
    revision : int
        The configuration revision when the token was issued.
    caller_host, caller_port
        The address for packets to the caller.
    """

    serial: Int64
    service_name: Name
    upstream: Name
    host: str
    port: Port
    incarnation: Int64
    executor: Name
    executor_incarnation: Int64
    revision: Int64
    caller_host: str
    caller_port: Port

    @property
    def executor_id(self) -> ExecutorId:
        """The name and incarnation of the executor."""
        return ExecutorId(self.executor, self.executor_incarnation)

    @property
    def caller(self) -> Address:
        """The caller's address."""
        return Address(self.caller_host, self.caller_port)

    @property
    def address(self) -> Address:
        """The upstream's address for flow packets."""
        return Address(self.host, self.port)


_BODY_CODEC = StructCodec(TokenBody, Token)


def new_serial() -> int:
    """Return a random serial."""
    return secrets.randbits(63)


def _mac(key: bytes, key_id: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(key_id + body, digest_size=MAC_BYTES, key=key).digest()


def read_unverified(data: bytes) -> Token:
    """Decode a token without verifying its MAC; for upstreams, which have no keys.

    Raises
    ------
    TokenError
        If the token is malformed.
    """
    try:
        token: Token = _BODY_CODEC.decode(data[HEADER_BYTES:])
    except BadMessageError as error:
        raise TokenError(f"malformed token: {error}") from None
    return token


class KeyRing:
    """The signing keys that the platform publishes.

    `seal` signs a token and `unseal` verifies it; tokens are not encrypted.

    Parameters
    ----------
    keys : mapping of int to bytes
        All accepted keys, by id.
    signing_id : int
        The id of the key that signs new tokens.
    """

    def __init__(self, keys: Mapping[int, bytes], signing_id: int) -> None:
        if signing_id not in keys:
            raise ValueError(f"signing key {signing_id} is not among the accepted keys")
        self._keys = {key_id.to_bytes(4, "big"): key for key_id, key in keys.items()}
        self._signing_id = signing_id

    @property
    def signing_id(self) -> int:
        """The id of the key that signs new tokens."""
        return self._signing_id

    def seal(self, token: Token) -> bytes:
        """Return the encoded token, signed with the signing key."""
        body = _BODY_CODEC.encode(token)
        key_id = self._signing_id.to_bytes(4, "big")
        return key_id + _mac(self._keys[key_id], key_id, body) + body

    def unseal(self, data: bytes) -> Token:
        """Verify a token's MAC and decode it.

        Raises
        ------
        TokenError
            If the token is malformed, forged or signed with an unknown key.
        """
        key_id = data[:KEY_ID_BYTES]
        key = self._keys.get(key_id)
        if key is None:
            raise TokenError(f"token is signed with unknown key {key_id.hex()}")
        body = data[HEADER_BYTES:]
        expected = _mac(key, key_id, body)
        if not hmac.compare_digest(expected, data[KEY_ID_BYTES:HEADER_BYTES]):
            raise TokenError("token MAC does not match its contents")
        return _BODY_CODEC.decode_trusted(body, Token)
