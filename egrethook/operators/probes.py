"""Serves readiness probes and metrics of a forwarding process over HTTP."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Mapping
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import ByteStream, SocketListener, TaskGroup

from egrethook.addresses import Address
from egrethook.error_boundary import ErrorBoundary
from egrethook.logs import PartLog

IDLE_TIMEOUT_S = 60.0
"""Timeout after which an idle connection is closed, in seconds."""

RETRY_DELAY_S = 0.2
"""Delay before another attempt to listen or to accept a connection, in seconds."""

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

_CONNECTION_FAILURES = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
    httptools.HttpParserError,
)
"""Errors that end one connection and concern nobody else."""

_LOG = PartLog("probes")


class ProbeAnswer(NamedTuple):
    """Response to a probe."""

    status: int
    body: bytes = b""


Handler = Callable[[], ProbeAnswer]

QueryHandler = Callable[[str], ProbeAnswer]
"""Gets the query of a request, still percent-encoded; empty if there is none."""


class _RequestReader:
    """Parses the requests on one connection and collects their targets."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._targets: list[str] = []
        self._is_last = False

    @property
    def is_last(self) -> bool:
        """Whether the connection ends after the requests received so far."""
        return self._is_last

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (parser callback)."""
        self._url += url

    def on_message_complete(self) -> None:
        """Add the target of a complete request (parser callback)."""
        self._targets.append(self._url.decode("latin-1"))
        self._is_last = not self._parser.should_keep_alive()

    def feed(self, data: bytes) -> list[str]:
        """Parse received data and return the targets of the requests it completes.

        A request to switch protocols is answered like any other, over HTTP/1.1, and
        is the last one on its connection.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Not a subclass of HttpParserError.
            self._is_last = True
        targets, self._targets = self._targets, []
        return targets


class ProbeServer:
    """Serves probes over HTTP, with one task for each connection.

    An address that can't be bound yet, or a lack of file descriptors, is logged and
    tried again: neither ends the process.

    Parameters
    ----------
    address : Address
        Where to listen.
    handlers : mapping of str to callable
        The handler of each path; other paths get status 404.
    query_handlers : mapping of str to callable, optional
        The handler of each path whose query counts.
    """

    def __init__(
        self,
        address: Address,
        handlers: Mapping[str, Handler],
        query_handlers: Mapping[str, QueryHandler] | None = None,
    ) -> None:
        self._address = address
        self._handlers = handlers
        self._query_handlers = query_handlers or {}
        self._is_failing = False
        self._connection_errors = ErrorBoundary(_LOG, "connection")
        self._handler_errors = ErrorBoundary(_LOG, "handler")

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                try:
                    await self._accept_connections(tasks)
                except OSError as error:
                    self._note_failure("listen", error)
                    await anyio.sleep(RETRY_DELAY_S)

    async def _accept_connections(self, tasks: TaskGroup) -> None:
        multi_listener = await anyio.create_tcp_listener(
            local_host=self._address.host,
            local_port=self._address.port,
            reuse_port=False,
        )
        async with multi_listener:
            (listener,) = multi_listener.listeners
            assert isinstance(listener, SocketListener)
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    self._note_failure("accept a connection", error)
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
                self._is_failing = False
                tasks.start_soon(self._serve_connection, stream)

    def _note_failure(self, action: str, error: OSError) -> None:
        """Log the first of several failures in a row."""
        if self._is_failing:
            return
        self._is_failing = True
        _LOG.alarm(
            f"can't {action}; trying again.",
            address=str(self._address),
            error=error.strerror or str(error),
        )

    async def _serve_connection(self, stream: ByteStream) -> None:
        with self._connection_errors:
            async with stream:
                with contextlib.suppress(*_CONNECTION_FAILURES):
                    await self._answer_requests(stream)

    async def _answer_requests(self, stream: ByteStream) -> None:
        reader = _RequestReader()
        while not reader.is_last:
            with anyio.fail_after(IDLE_TIMEOUT_S):
                data = await stream.receive()
            for target in reader.feed(data):
                await stream.send(self._response(target))

    def _response(self, target: str) -> bytes:
        path, _, query = target.partition("?")
        try:
            if path in self._query_handlers:
                return _encode(self._query_handlers[path](query))
            if path in self._handlers:
                return _encode(self._handlers[path]())
            return _encode(ProbeAnswer(404))
        except Exception as error:
            self._handler_errors.note(error, path=path)
            return _encode(ProbeAnswer(500))


def _encode(answer: ProbeAnswer) -> bytes:
    phrase = _REASON_PHRASES[answer.status]
    head = f"HTTP/1.1 {answer.status} {phrase}\r\nContent-Length: {len(answer.body)}"
    return f"{head}\r\n\r\n".encode() + answer.body
