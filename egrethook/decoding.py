"""Decoding of JSON from outside the process, with one error for all that is invalid.

Decoders raise more than their own errors: `RecursionError` for deep nesting, and
`ValueError` or `OverflowError` for some numbers. Callers handle `DocumentError` only.
"""

from __future__ import annotations

from typing import Any

import msgspec

from egrethook.exceptions import DocumentError

DECODING_ERRORS = (
    msgspec.DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
    MemoryError,
)
"""Errors that a decoder raises for malformed input."""


def decode_json(decoder: msgspec.json.Decoder[Any], data: bytes) -> Any:
    """Return what a decoder makes of a JSON text.

    Raises
    ------
    DocumentError
        If the text is malformed or does not have the type of the decoder.
    """
    try:
        return decoder.decode(data)
    except DECODING_ERRORS as error:
        raise DocumentError(str(error) or type(error).__name__) from None
