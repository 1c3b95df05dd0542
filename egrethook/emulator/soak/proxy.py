"""A loopback TCP proxy that delays, resets, cuts or silences connections."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

from egrethook.addresses import Address

DELAY_S = 0.3
"""Delay of each part in the mode of that name, in seconds."""

PART_BYTES = 65_536


class ProxyMode(enum.Enum):
    """What the proxy does with connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one way"
    SILENT = "silent"


class FaultyProxy:
    """Stands between one process and a server.

    Silence strikes the connections that are open when it is set; new ones work.

    Parameters
    ----------
    listen, target : Address
        Where the process connects to, and where that leads.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self._listen = listen
        self._target = target
        self._mode = ProxyMode.PASS
        self._silenced_before = 0
        self._count = 0
        self._open: dict[SocketStream, socket.socket] = {}

    @property
    def mode(self) -> ProxyMode:
        """What is done with connections."""
        return self._mode

    async def set_mode(self, mode: ProxyMode) -> None:
        """Change what is done with connections, also with those that are open."""
        self._mode = mode
        if mode is ProxyMode.SILENT:
            self._silenced_before = self._count
        if mode is ProxyMode.RESET:
            for stream, raw in list(self._open.items()):
                await _reset(stream, raw)

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._listen.host, local_port=self._listen.port
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, near: SocketStream) -> None:
        self._count += 1
        number = self._count
        raw = self._open[near] = near.extra(SocketAttribute.raw_socket)
        try:
            if self._mode is ProxyMode.RESET:
                await _reset(near, raw)
                return
            async with (
                near,
                await anyio.connect_tcp(*self._target) as far,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self._carry, near, far, number, False)
                await self._carry(far, near, number, True)
                tasks.cancel_scope.cancel()
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # A connection that breaks is what this proxy is for.
            pass
        finally:
            del self._open[near]

    async def _carry(
        self, source: SocketStream, sink: SocketStream, number: int, answers: bool
    ) -> None:
        while True:
            try:
                data = await source.receive(PART_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            if self._mode is ProxyMode.DELAY:
                await anyio.sleep(DELAY_S)
            if number <= self._silenced_before:
                continue
            if self._mode is ProxyMode.ONE_WAY and answers:
                continue
            await sink.send(data)


async def _reset(stream: SocketStream, raw: socket.socket) -> None:
    """Close a connection so that its peer sees a reset."""
    with contextlib.suppress(OSError, ValueError):
        # It may have ended meanwhile.
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)
