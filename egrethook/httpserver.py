"""Serves an HTTP application in a task of this process."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import anyio
import uvicorn
from starlette.applications import Starlette

from egrethook.addresses import Address
from egrethook.exceptions import AddressInUseError

STOP_TIMEOUT_S = 1
"""Longest wait for open requests at shutdown, in seconds."""


class _EmbeddedServer(uvicorn.Server):
    """Leaves the handling of signals to the process that runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def bind_http(address: Address) -> socket.socket:
    """Return a listening TCP socket.

    Raises
    ------
    AddressInUseError
        If the address can't be bound, as when another process holds it.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen()
    except OSError as error:
        listener.close()
        raise AddressInUseError(f"{address}: {error.strerror}") from None
    return listener


async def serve_http(app: Starlette, listener: socket.socket) -> None:
    """Serve an application on a listening socket until cancelled."""
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=STOP_TIMEOUT_S,
    )
    server = _EmbeddedServer(config)
    try:
        await server.serve(sockets=[listener])
    finally:
        with anyio.CancelScope(shield=True):
            listener.close()
