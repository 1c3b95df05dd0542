"""Network access for the tasks: datagrams, connections and HTTP clients."""

from __future__ import annotations

from typing import Protocol

import anyio
import httpx
from anyio.abc import ByteStream

from egrethook.addresses import Address
from egrethook.datagrams import DatagramSocket


class Datagrams(Protocol):
    """Sends and receives datagrams at one address."""

    @property
    def address(self) -> Address:
        """The address that others send to."""
        ...

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram without waiting; it may be lost."""
        ...

    async def receive(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Wait for datagrams and return those that have arrived."""
        ...

    def close(self) -> None:
        """Close the socket and release its address."""
        ...


class Network(Protocol):
    """Opens datagram sockets, connections and HTTP clients."""

    def bind(self, address: Address) -> Datagrams:
        """Return a bound datagram socket; port 0 selects a free port."""
        ...

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection."""
        ...

    def http_client(self, timeout_s: float) -> httpx.AsyncClient:
        """Return an HTTP client."""
        ...


class SystemNetwork:
    """The network of the operating system."""

    def bind(self, address: Address) -> Datagrams:
        """Return a bound datagram socket; port 0 selects a free port."""
        return DatagramSocket(address)

    async def connect(self, address: Address) -> ByteStream:
        """Open a TCP connection."""
        return await anyio.connect_tcp(address.host, address.port)

    def http_client(self, timeout_s: float) -> httpx.AsyncClient:
        """Return an HTTP client that ignores the environment's proxies."""
        return httpx.AsyncClient(timeout=timeout_s, trust_env=False)
