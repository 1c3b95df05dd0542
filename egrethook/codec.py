"""Encodes data classes as thrift unions and validates what is decoded."""

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
"""Longest datagram that is decoded, in bytes."""

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


class _ReusableBuffer(TTransportBase, CReadableTransport):
    """Lets one protocol object read one message after the other."""

    # The base class has a property of this name; an attribute can be replaced.
    cstringio_buf = BytesIO()

    def cstringio_refill(self, partialread: bytes, reqlen: int) -> BytesIO:
        """Refuse to read past the end of a message."""
        raise EOFError("the message ends too early")


class StructReader:
    """Reads thrift structs without making a protocol object for each.

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
        """Set the fields of a target from the compact form of a struct."""
        self._buffer.cstringio_buf = BytesIO(data)
        arguments = [struct_type, struct_type.thrift_spec]  # type: ignore[attr-defined]
        self._decode(target, self._protocol, arguments)
        return target


def _to_plain(value: Any) -> Any:
    """Turn thrift structs into dictionaries without their unset fields."""
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
        The generated thrift class; its field names are the data class's.
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
            If the bytes are not such a struct or a field is out of bounds.
        """
        try:
            decoded = self._reader.read(data, self._struct_type(), self._struct_type)
            return self._adapter.validate_python(_to_plain(decoded))
        except (ValidationError, *DECODING_ERRORS) as error:
            raise BadMessageError(_first_line(error)) from None

    def decode_trusted(self, data: bytes, message_type: type) -> Any:
        """Return a message whose keyed hash has shown that this code wrote it."""
        return self._reader.read(data, object.__new__(message_type), self._struct_type)


class UnionCodec:
    """Encodes a family of data classes as the arms of one thrift union.

    Parameters
    ----------
    union_type : type
        The generated thrift class of the union.
    arms : dict of str to type
        The data class of each arm.
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
            If the bytes are too long, are not such a union, or a field is
            out of bounds.
        """
        if len(data) > self._limit:
            raise BadMessageError(f"{len(data)} bytes, at most {self._limit} allowed")
        try:
            union = self._reader.read(data, self._union_type(), self._union_type)
            variants = [
                (variant, body) for variant, body in vars(union).items() if body
            ]
            if len(variants) != 1:
                raise BadMessageError(f"{len(variants)} arms in a union")
            variant, body = variants[0]
            return self._adapters[variant].validate_python(_to_plain(body))
        except (ValidationError, *DECODING_ERRORS) as error:
            raise BadMessageError(_first_line(error)) from None


def _first_line(error: Exception) -> str:
    text = str(error) or type(error).__name__
    return text.splitlines()[0][:200]
