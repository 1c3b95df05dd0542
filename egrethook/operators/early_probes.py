"""Answers readiness probes of a starting process, before its event loop runs."""

from __future__ import annotations

import _socket as socket
import select
from collections.abc import Callable, Container
from types import TracebackType
from typing import Self

from egrethook.addresses import Address

READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

LISTEN_BACKLOG = 16
"""Maximum number of connections that wait to be accepted."""

MAX_READ_BYTES = 4_096
"""Maximum number of bytes read from a connection at once."""


class EarlyProbes:
    """Non-blocking server for readiness probes, driven by a poll loop.

    Every read from a connection is answered as one probe; the request is not
    parsed.

    Parameters
    ----------
    address : Address
        Where to listen.
    is_ready : callable
        Returns whether this process is ready.
    """

    def __init__(self, address: Address, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._connections: dict[int, socket.socket] = {}
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setblocking(False)
        self._listener.bind(address)
        self._listener.listen(LISTEN_BACKLOG)

    def register(self, poll: select.poll) -> None:
        """Register the listener and its connections with a poll object."""
        poll.register(self._listener.fileno(), select.POLLIN)
        for descriptor in self._connections:
            poll.register(descriptor, select.POLLIN)

    def handle(self, ready: Container[int]) -> None:
        """Handle the descriptors that are ready: answer probes, then accept."""
        for descriptor in list(self._connections):
            if descriptor in ready:
                self._respond(descriptor)
        if self._listener.fileno() in ready:
            self._accept()

    def _accept(self) -> None:
        try:
            descriptor, _ = self._listener._accept()  # type: ignore[attr-defined]
        except OSError:
            # The client has already closed its connection.
            return
        connection = socket.socket(fileno=descriptor)
        connection.setblocking(False)
        self._connections[descriptor] = connection

    def _respond(self, descriptor: int) -> None:
        connection = self._connections[descriptor]
        try:
            data = connection.recv(MAX_READ_BYTES)
            if data:
                connection.send(
                    READY_RESPONSE if self._is_ready() else NOT_READY_RESPONSE
                )
                return
        except OSError:
            # A broken connection is closed like one that the client has closed.
            pass
        del self._connections[descriptor]
        connection.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        self._listener.close()
