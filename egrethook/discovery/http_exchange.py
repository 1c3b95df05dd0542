"""HTTP/1.1 request encoding and response parsing, without I/O."""

from __future__ import annotations

from typing import NamedTuple

import httptools

from egrethook.exceptions import SourceUnavailableError

_UNRESERVED = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/"
)


class HttpResponse(NamedTuple):
    """The response to one request."""

    status: int
    body: bytes


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


class ResponseReader:
    """Parses one response from the bytes received on a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._complete = False

    # Parser callbacks.

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self._complete = True

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parse received bytes and return the response once it is complete.

        Raises
        ------
        SourceUnavailableError
            If the bytes are not valid HTTP, or are empty because the connection
            was closed.
        """
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
        return HttpResponse(self._parser.get_status_code(), bytes(self._body))
