"""HTTP/1.1 request encoding and response parsing, without I/O."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import httptools

from egrethook.exceptions import SourceUnavailableError

_UNRESERVED = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/"
)


_NO_HEADERS: Mapping[bytes, bytes] = MappingProxyType({})


class HttpResponse(NamedTuple):
    """The response to one request; names of headers are in lower case."""

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = _NO_HEADERS


def request_bytes(host: str, path: str, **query: object) -> bytes:
    """Encode a GET request for a persistent connection."""
    pairs = [f"{name}={_quoted(str(value))}" for name, value in query.items()]
    target = f"{path}?{'&'.join(pairs)}" if pairs else path
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()


def _quoted(text: str) -> str:
    if _UNRESERVED.issuperset(text):
        return text
    # Imported here because it is slow to load and rarely needed.
    from urllib.parse import quote

    return quote(text, safe="")


_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""Headers without which a body ends with its connection."""


class ResponseReader:
    """Parses one response from the bytes received on a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._headers_complete = False
        self._complete = False
        self._keeps_connection = False

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection may be used again after the complete response."""
        return self._keeps_connection

    # Parser callbacks.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; of several with one name, the last."""
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Mark the headers as complete."""
        self._headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self._complete = True
        self._keeps_connection = self._parser.should_keep_alive()

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parse received bytes and return the response once it is complete.

        Raises
        ------
        SourceUnavailableError
            If the bytes are not valid HTTP, or are empty because the connection
            was closed before the response was complete.
        """
        has_length = not _LENGTH_HEADERS.isdisjoint(self._headers)
        if not data and self._headers_complete and not has_length:
            return self._response()
        if not data:
            raise SourceUnavailableError(
                "connection closed before the response was complete"
            )
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise SourceUnavailableError(f"invalid HTTP response: {error}") from None
        if not self._complete:
            return None
        return self._response()

    def _response(self) -> HttpResponse:
        status = self._parser.get_status_code()
        return HttpResponse(status, bytes(self._body), self._headers)
