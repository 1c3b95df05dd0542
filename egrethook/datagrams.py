"""UDP sockets that never block."""

from __future__ import annotations

import errno
import socket
from types import TracebackType
from typing import Self

from egrethook.addresses import Address
from egrethook.exceptions import AddressInUseError, SettingsError

RECEIVE_BATCH_SIZE = 64
"""Most datagrams that are handled before other tasks run."""

MAX_DATAGRAM_BYTES = 65_536
"""Longest datagram that UDP carries, in bytes."""

SOCKET_BUFFER_BYTES = 4 * 2**20
"""Size of the kernel's buffers that is asked for, in bytes."""


class DatagramSocket:
    """Owns a bound UDP socket.

    Parameters
    ----------
    address : Address
        Where to bind; port 0 takes a free one.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket = _bind(address)
        self._dropped = 0

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return Address(host, port)

    @property
    def dropped(self) -> int:
        """Datagrams that the kernel did not take."""
        return self._dropped

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Send a datagram; it is dropped if the kernel has no room."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._dropped += 1

    def fileno(self) -> int:
        """Return the descriptor, for a selector."""
        return self._socket.fileno()

    def receive_ready(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return the datagrams that have arrived, without waiting."""
        received = []
        receive = self._socket.recvfrom
        try:
            for _ in range(RECEIVE_BATCH_SIZE):
                received.append(receive(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            pass
        except OSError:
            self._dropped += 1
        return received

    async def receive(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Wait for datagrams and return those that have arrived."""
        # Forwarding starts before this library has been loaded.
        import anyio

        await anyio.wait_readable(self._socket)
        return self.receive_ready()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        sock.bind(address)
    except OSError as error:
        sock.close()
        if error.errno == errno.EADDRINUSE:
            raise AddressInUseError(f"{address} is in use") from None
        raise SettingsError(f"cannot bind {address}: {error.strerror}") from None
    return sock
