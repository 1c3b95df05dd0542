"""Answers readiness probes of a starting process, before its event loop runs."""

from __future__ import annotations

import _socket as socket
import select
from collections.abc import Callable, Container
from types import TracebackType
from typing import Self

from egrethook.addresses import Address
from egrethook.logs import PartLog

READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

LISTEN_BACKLOG = 16
"""Maximum number of connections that wait to be accepted."""

MAX_CONNECTIONS = 32
"""Maximum number of open connections; a further one is closed at once.

They must leave file descriptors for the modules that are being imported.
"""

MAX_READ_BYTES = 4_096
"""Maximum number of bytes read from a connection at once."""

_LOG = PartLog("probes")


class EarlyProbes:
    """Non-blocking server for readiness probes, driven by a poll loop.

    Every read from a connection is answered as one probe; the request is not
    parsed. If the address can't be bound, `register` tries it again.

    Parameters
    ----------
    address : Address
        Where to listen.
    is_ready : callable
        Returns whether this process is ready.
    """

    def __init__(self, address: Address, is_ready: Callable[[], bool]) -> None:
        self._address = address
        self._is_ready = is_ready
        self._connections: dict[int, socket.socket] = {}
        self._is_failing = False
        self._listener = self._listen()

    def register(self, poll: select.poll) -> None:
        """Register the listener and its connections with a poll object."""
        self._listener = self._listener or self._listen()
        if self._listener is not None:
            poll.register(self._listener.fileno(), select.POLLIN)
        for descriptor in self._connections:
            poll.register(descriptor, select.POLLIN)

    def handle(self, ready: Container[int]) -> None:
        """Handle the descriptors that are ready: answer probes, then accept."""
        for descriptor in list(self._connections):
            if descriptor in ready:
                self._respond(descriptor)
        if self._listener is not None and self._listener.fileno() in ready:
            self._accept(self._listener)

    def _listen(self) -> socket.socket | None:
        """Return a listening socket; log the first of several failures in a row."""
        listener = None
        try:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(self._address)
            listener.listen(LISTEN_BACKLOG)
        except OSError as error:
            if listener is not None:
                listener.close()
            if not self._is_failing:
                _LOG.alarm(
                    "can't listen; trying again.",
                    address=str(self._address),
                    error=error.strerror,
                )
            self._is_failing = True
            return None
        return listener

    def _accept(self, listener: socket.socket) -> None:
        try:
            descriptor, _ = listener._accept()  # type: ignore[attr-defined]
        except OSError:
            # The client has already closed its connection, or no descriptor is left.
            return
        connection = socket.socket(fileno=descriptor)
        if len(self._connections) >= MAX_CONNECTIONS:
            connection.close()
            return
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
        if self._listener is not None:
            self._listener.close()
