"""Encodes data classes as thrift structs and unions, and validates what it decodes."""

from __future__ import annotations

import struct
from io import BytesIO
from typing import Any

from pydantic import TypeAdapter, ValidationError
from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAccelerated,
    TCompactProtocolAcceleratedFactory,
)
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.transport.TTransport import CReadableTransport, TTransportBase
from thrift.TSerialization import serialize

from egrethook.exceptions import BadMessageError

DATAGRAM_LIMIT_BYTES = 60_000
"""Longest message that is decoded unless a codec sets its own limit, in bytes."""

CONTAINER_LENGTH_LIMIT = 4096
"""Most elements of a list in a message."""

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()

DECODING_ERRORS = (
    TException,
    TProtocolException,
    EOFError,
    UnicodeDecodeError,
    OverflowError,
    MemoryError,
    struct.error,
    TypeError,
    ValueError,
)
"""Errors that the thrift decoder raises for malformed input."""


class _ReusableBuffer(TTransportBase, CReadableTransport):
    """A transport whose input can be replaced, to reuse its protocol object."""

    # Hides the base class's property of this name, which can't be assigned.
    cstringio_buf = BytesIO()

    def cstringio_refill(self, partialread: bytes, reqlen: int) -> BytesIO:
        """Refuse to read past the end of a message."""
        raise EOFError("message truncated")


class StructReader:
    """Reads thrift structs with one protocol object for all of them.

    Parameters
    ----------
    limit : int
        Longest string that is read, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._buffer = _ReusableBuffer()
        self._protocol = TCompactProtocolAccelerated(
            self._buffer, limit, CONTAINER_LENGTH_LIMIT, fallback=False
        )
        self._decode = self._protocol._fast_decode

    def read(self, data: bytes, target: Any, struct_type: type) -> Any:
        """Decode a struct in the compact protocol into the attributes of a target."""
        self._buffer.cstringio_buf = BytesIO(data)
        arguments = [struct_type, struct_type.thrift_spec]  # type: ignore[attr-defined]
        self._decode(target, self._protocol, arguments)
        return target


def _to_plain(value: Any) -> Any:
    """Convert thrift structs to dictionaries, leaving out unset fields."""
    if isinstance(value, list):
        return [_to_plain(item) for item in value]
    if hasattr(value, "thrift_spec"):
        fields = vars(value).items()
        return {name: _to_plain(item) for name, item in fields if item is not None}
    return value


class StructCodec:
    """Encodes one data class as one thrift struct.

    Parameters
    ----------
    struct_type : type
        The generated thrift class, with the field names of the data class.
    message_type : type
        The data class.
    """

    def __init__(self, struct_type: type, message_type: type) -> None:
        self._struct_type = struct_type
        self._adapter: TypeAdapter[Any] = TypeAdapter(message_type)
        self._reader = StructReader(DATAGRAM_LIMIT_BYTES)

    def encode(self, message: Any) -> bytes:
        """Return the compact form of a message."""
        return serialize(self._struct_type(**vars(message)), _PROTOCOL_FACTORY)

    def decode(self, data: bytes) -> Any:
        """Return the validated message.

        Raises
        ------
        BadMessageError
            If the bytes are not a valid struct or a field is out of bounds.
        """
        try:
            decoded = self._reader.read(data, self._struct_type(), self._struct_type)
            return self._adapter.validate_python(_to_plain(decoded))
        except (ValidationError, *DECODING_ERRORS) as error:
            raise BadMessageError(_first_line(error)) from None

    def decode_trusted(self, data: bytes, message_type: type) -> Any:
        """Return a message without validation.

        The caller must have verified the MAC of the bytes.
        """
        return self._reader.read(data, object.__new__(message_type), self._struct_type)


class UnionCodec:
    """Encodes several data classes as the variants of one thrift union.

    Parameters
    ----------
    union_type : type
        The generated thrift class of the union.
    variants : dict of str to type
        The data class of each variant, by its field name in the union.
    limit : int
        Longest encoded message that is decoded, in bytes.
    """

    def __init__(
        self,
        union_type: type,
        variants: dict[str, type],
        limit: int = DATAGRAM_LIMIT_BYTES,
    ) -> None:
        self._union_type = union_type
        self._limit = limit
        self._variant_names = {
            message_type: variant for variant, message_type in variants.items()
        }
        self._adapters: dict[str, TypeAdapter[Any]] = {
            variant: TypeAdapter(cls) for variant, cls in variants.items()
        }
        self._reader = StructReader(limit)

    def encode(self, message: Any) -> bytes:
        """Return the compact form of a message."""
        # The C encoder reads fields by name, so the data class itself serves
        # as the struct and no copy is made.
        union = self._union_type(**{self._variant_names[type(message)]: message})
        return serialize(union, _PROTOCOL_FACTORY)

    def decode(self, data: bytes) -> Any:
        """Return the validated message.

        Raises
        ------
        BadMessageError
            If the message is too long, is not a valid union, or a field is out
            of bounds.
        """
        if len(data) > self._limit:
            raise BadMessageError(f"message of {len(data)} bytes; limit {self._limit}")
        try:
            union = self._reader.read(data, self._union_type(), self._union_type)
            variants = [
                (variant, body) for variant, body in vars(union).items() if body
            ]
            if len(variants) != 1:
                raise BadMessageError(
                    f"union with {len(variants)} variants; expected 1"
                )
            variant, body = variants[0]
            return self._adapters[variant].validate_python(_to_plain(body))
        except (ValidationError, *DECODING_ERRORS) as error:
            raise BadMessageError(_first_line(error)) from None


def _first_line(error: Exception) -> str:
    text = str(error) or type(error).__name__
    return text.splitlines()[0][:200]
