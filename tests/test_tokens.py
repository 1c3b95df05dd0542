"""Encoding, verification and key rotation of tokens.

The tests guard against accepted forgeries, and against flows and requests that fail
because the signing key has changed.
"""

from __future__ import annotations

import pytest

from egrethook.callers.tokens import KeyRing, Token, read_unverified
from egrethook.exceptions import TokenError

KEYS = {1: b"k" * 16, 2: b"m" * 16}


def make_token() -> Token:
    return Token(
        serial=5,
        service_name="cartera",
        upstream="cartera-1",
        host="127.0.0.1",
        port=9000,
        incarnation=1,
        executor="bilbao-1",
        executor_incarnation=77,
        revision=3,
        caller_host="127.0.0.1",
        caller_port=9001,
    )


def test_signed_token_decodes_to_the_same_token():
    ring = KeyRing(KEYS, 1)
    assert ring.unseal(ring.seal(make_token())) == make_token()


def test_token_with_any_byte_changed_is_refused():
    ring = KeyRing(KEYS, 1)
    token_bytes = ring.seal(make_token())
    for position in range(len(token_bytes)):
        forged = bytearray(token_bytes)
        forged[position] ^= 1
        with pytest.raises(TokenError):
            ring.unseal(bytes(forged))


def test_token_of_the_previous_key_is_accepted_until_the_key_is_removed():
    token_bytes = KeyRing(KEYS, 1).seal(make_token())
    assert KeyRing(KEYS, 2).unseal(token_bytes) == make_token()
    with pytest.raises(TokenError):
        KeyRing({2: KEYS[2]}, 2).unseal(token_bytes)


def test_upstream_reads_a_token_without_keys():
    token_bytes = KeyRing(KEYS, 1).seal(make_token())
    assert read_unverified(token_bytes).upstream == "cartera-1"
