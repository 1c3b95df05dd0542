"""Non-blocking UDP sockets.

The modules that a process needs before its first packet use `_socket` and `_signal`:
`socket` and `signal` take milliseconds to create their enumerations.
"""

from __future__ import annotations

import _socket as socket
import errno
import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

from egrethook.addresses import Address
from egrethook.exceptions import AddressInUseError, SettingsError
from egrethook.logs import PartLog

RECEIVE_BATCH_SIZE = 64
"""Most datagrams received at once, so that other tasks get to run."""

MAX_DATAGRAM_BYTES = 65_536
"""Upper bound of the length of a UDP datagram, in bytes."""

SOCKET_BUFFER_BYTES = 4 * 2**20
"""Requested size of the kernel's send and receive buffers, in bytes."""

BIND_TIMEOUT_S = 10.0
"""Longest wait for an address that another socket holds, in seconds.

A process that is leaving holds its addresses until it has ended.
"""

BIND_RETRY_DELAY_S = 0.05
"""Delay before another attempt to bind an address, in seconds."""

_LOG = PartLog("socket")

_SEND_ERRORS = (OSError, OverflowError, ValueError, TypeError)
"""What `sendto` raises if the kernel refuses a datagram or an address is not valid.

A port out of range raises `OverflowError`, a malformed host one of the last two.
"""


class DatagramSocket:
    """Owns a bound UDP socket.

    Parameters
    ----------
    address : Address
        The address to bind; port 0 selects a free port.
    bound : int, optional
        File descriptor of a socket that was bound earlier. It is used if it is bound
        to the address, and closed otherwise.
    """

    def __init__(self, address: Address, bound: int | None = None) -> None:
        self._address = address
        self._socket = _adopt(bound, address) or _bind(address)
        self._dropped = 0

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return Address(host, port)

    @property
    def dropped(self) -> int:
        """Number of send and receive calls that failed."""
        return self._dropped

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Send a datagram; it is dropped and counted if that fails."""
        try:
            self._socket.sendto(data, address)
        except _SEND_ERRORS:
            self._dropped += 1

    def fileno(self) -> int:
        """Return the file descriptor, for a selector."""
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
        # Imported here because forwarding starts before anyio has been loaded.
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


def bind_when_free(
    address: Address,
    bound: int | None = None,
    meanwhile: Callable[[], None] = lambda: None,
) -> DatagramSocket:
    """Return a bound socket, waiting up to `BIND_TIMEOUT_S` for its address.

    Parameters
    ----------
    address, bound
        See `DatagramSocket`.
    meanwhile : callable
        Called between two attempts.

    Raises
    ------
    AddressInUseError
        If the address is still in use at the end of that time.
    """
    give_up_at = time.monotonic() + BIND_TIMEOUT_S
    is_first = True
    while True:
        try:
            return DatagramSocket(address, bound)
        except AddressInUseError:
            if time.monotonic() >= give_up_at:
                raise
        if is_first:
            _LOG.alarm("the address is in use; trying again.", address=str(address))
        is_first = False
        # The first attempt has closed a socket that it did not use.
        bound = None
        meanwhile()
        time.sleep(BIND_RETRY_DELAY_S)


def _adopt(bound: int | None, address: Address) -> socket.socket | None:
    """Return the socket of a file descriptor if it is bound to the address."""
    if bound is None:
        return None
    sock = socket.socket(fileno=bound)
    if sock.getsockname()[:2] != tuple(address):
        sock.close()
        return None
    _configure(sock)
    return sock


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        _configure(sock)
        sock.bind(address)
    except OSError as error:
        sock.close()
        if error.errno == errno.EADDRINUSE:
            raise AddressInUseError(f"{address} is already in use") from None
        raise SettingsError(f"cannot bind {address}: {error.strerror}") from None
    return sock
