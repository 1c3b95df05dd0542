"""Serves readiness probes and metrics of a forwarding process over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import ByteStream

from egrethook.addresses import Address

IDLE_TIMEOUT_S = 60.0
"""Timeout after which an idle connection is closed, in seconds."""

_REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class ProbeAnswer(NamedTuple):
    """Response to a probe."""

    status: int
    body: bytes = b""


Handler = Callable[[], ProbeAnswer]


class _RequestReader:
    """Parses the requests on one connection and collects their paths."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self.paths: list[str] = []

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (parser callback)."""
        self._url += url

    def on_message_complete(self) -> None:
        """Add the path of a complete request (parser callback)."""
        path = self._url.partition(b"?")[0]
        self.paths.append(path.decode("latin-1"))

    def feed(self, data: bytes) -> None:
        """Parse data received from the connection."""
        self._parser.feed_data(data)


async def serve_probes(address: Address, handlers: Mapping[str, Handler]) -> None:
    """Serve until cancelled, with one task for each connection.

    Parameters
    ----------
    address : Address
        Where to listen.
    handlers : mapping of str to callable
        The handler of each path; other paths get status 404.
    """

    async def serve_connection(stream: ByteStream) -> None:
        async with stream:
            reader = _RequestReader()
            try:
                while True:
                    with anyio.fail_after(IDLE_TIMEOUT_S):
                        reader.feed(await stream.receive())
                    while reader.paths:
                        await stream.send(
                            _encode_response(handlers, reader.paths.pop(0))
                        )
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                TimeoutError,
                httptools.HttpParserError,
            ):
                return

    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port, reuse_port=False
    )
    async with listener:
        await listener.serve(serve_connection)


def _encode_response(handlers: Mapping[str, Handler], path: str) -> bytes:
    handler = handlers.get(path)
    response = handler() if handler else ProbeAnswer(404)
    phrase = _REASON_PHRASES[response.status]
    head = (
        f"HTTP/1.1 {response.status} {phrase}\r\nContent-Length: {len(response.body)}"
    )
    return f"{head}\r\n\r\n".encode() + response.body
