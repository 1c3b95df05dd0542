"""One HTTP/1.1 call at a time on a connection, free of input and output."""

from __future__ import annotations

from typing import NamedTuple

import httptools

from egrethook.exceptions import SourceUnavailableError

_UNRESERVED = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/"
)


class HttpResponse(NamedTuple):
    """The answer to one call."""

    status: int
    body: bytes


def request_bytes(host: str, path: str, **query: object) -> bytes:
    """Return a GET request as it goes onto a connection that is kept."""
    pairs = [f"{name}={_quoted(str(value))}" for name, value in query.items()]
    target = f"{path}?{'&'.join(pairs)}" if pairs else path
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()


def _quoted(text: str) -> str:
    if _UNRESERVED.issuperset(text):
        return text
    # Rarely needed, and slow to load.
    from urllib.parse import quote

    return quote(text, safe="")


class ResponseReader:
    """Collects one response from the bytes of a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._complete = False

    # Called by the parser.

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Note that the response is whole."""
        self._complete = True

    def feed(self, data: bytes) -> HttpResponse | None:
        """Take bytes and return the response once it is whole.

        Raises
        ------
        SourceUnavailableError
            If the bytes are no HTTP, or the connection ended (no bytes).
        """
        if not data:
            raise SourceUnavailableError("the connection was closed")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise SourceUnavailableError(f"not HTTP: {error}") from None
        if not self._complete:
            return None
        return HttpResponse(self._parser.get_status_code(), bytes(self._body))
