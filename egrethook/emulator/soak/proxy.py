"""A TCP proxy on loopback that injects faults into connections."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

from egrethook.addresses import Address

DELAY_S = 0.3
"""Delay of each block of data in `ProxyMode.DELAY`, in seconds."""

RECEIVE_MAX_BYTES = 65_536


class ProxyMode(enum.Enum):
    """What the proxy does with connections.

    `ONE_WAY` drops data from the server. `SILENT` drops all data on connections that
    are open when the mode is set, for as long as they last; later ones work.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one way"
    SILENT = "silent"


class FaultyProxy:
    """Proxies the connections of one process to a server.

    Parameters
    ----------
    listen, target : Address
        The address to which the process connects, and that of the server.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self._listen = listen
        self._target = target
        self._mode = ProxyMode.PASS
        self._silenced_up_to = 0
        self._connection_count = 0
        self._open_connections: dict[SocketStream, socket.socket] = {}

    @property
    def mode(self) -> ProxyMode:
        """The current mode."""
        return self._mode

    async def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode, also for open connections."""
        self._mode = mode
        if mode is ProxyMode.SILENT:
            self._silenced_up_to = self._connection_count
        if mode is ProxyMode.RESET:
            for stream, raw in list(self._open_connections.items()):
                await _reset(stream, raw)

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._listen.host, local_port=self._listen.port
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, client: SocketStream) -> None:
        self._connection_count += 1
        connection_number = self._connection_count
        raw = self._open_connections[client] = client.extra(SocketAttribute.raw_socket)
        try:
            if self._mode is ProxyMode.RESET:
                await _reset(client, raw)
                return
            async with (
                client,
                await anyio.connect_tcp(*self._target) as server,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self._relay, client, server, connection_number, False)
                await self._relay(server, client, connection_number, True)
                tasks.cancel_scope.cancel()
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Broken connections are expected under injected faults.
            pass
        finally:
            del self._open_connections[client]

    async def _relay(
        self,
        source: SocketStream,
        sink: SocketStream,
        connection_number: int,
        from_server: bool,
    ) -> None:
        while True:
            try:
                data = await source.receive(RECEIVE_MAX_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            if self._mode is ProxyMode.DELAY:
                await anyio.sleep(DELAY_S)
            if connection_number <= self._silenced_up_to:
                continue
            if self._mode is ProxyMode.ONE_WAY and from_server:
                continue
            await sink.send(data)


async def _reset(stream: SocketStream, raw: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError, ValueError):
        # The connection may already be closed.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)
