"""An in-process network with delays and faults, for runs in virtual time."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.lowlevel
import httpx
from anyio.abc import ByteStream, TaskGroup
from starlette.applications import Starlette

from egrethook.addresses import Address

INTRA_DOMAIN_DELAY_S = 0.0002
"""One-way delay within a failure domain, in seconds."""

Handler = Callable[[Any], Coroutine[Any, Any, None]]


class VirtualNetwork:
    """Connects hosts, each of which belongs to a failure domain.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for faults and jitter.
    inter_domain_delay_s : float
        One-way delay between failure domains, in seconds.

    Attributes
    ----------
    loss, doubling : float
        Probabilities that a datagram is lost or duplicated.
    jitter_s : float
        Upper bound of the random delay added to each packet, in seconds.
    http_response_delay_s : dict of str to float
        Additional delay of the HTTP responses to a host, in seconds.
    """

    def __init__(self, rng: random.Random, inter_domain_delay_s: float) -> None:
        self._rng = rng
        self._inter_domain_delay_s = inter_domain_delay_s
        self._domains: dict[str, str] = {}
        self._inboxes: dict[Address, VirtualDatagrams] = {}
        self._listeners: dict[Address, Handler] = {}
        self._apps: dict[Address, Starlette] = {}
        self._partitions: set[frozenset[str]] = set()
        self._blocked: set[frozenset[str]] = set()
        self._queue: list[tuple[float, int, Address, bytes, Address]] = []
        self._order = itertools.count()
        self._wake = anyio.Event()
        self._ports = itertools.count(1000)
        self._hosts = itertools.count(1)
        self.http_response_delay_s: dict[str, float] = {}
        self.tasks: TaskGroup | None = None
        self.loss = 0.0
        self.doubling = 0.0
        self.jitter_s = 0.0

    def add_host(self, domain: str) -> str:
        """Add a host to a failure domain and return its IP address."""
        number = next(self._hosts)
        host = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        self._domains[host] = domain
        return host

    def new_port(self) -> int:
        """Return an unused port."""
        return next(self._ports)

    def partition(self, *domains: str) -> None:
        """Partition each given domain from all others, including the platform's."""
        for domain in domains:
            for other in {*self._domains.values()} - {domain}:
                self._partitions.add(frozenset({domain, other}))

    def block(self, first: str, second: str) -> None:
        """Drop all traffic between two hosts."""
        self._blocked.add(frozenset({first, second}))

    def heal(self) -> None:
        """Remove all partitions and blocks."""
        self._partitions.clear()
        self._blocked.clear()

    @staticmethod
    def host_of(address: str) -> str:
        """Return the host of an address."""
        return Address.parse(address).host

    def reachable(self, source: str, target: str) -> bool:
        """Return whether two hosts can communicate."""
        domains = frozenset({self._domains[source], self._domains[target]})
        hosts = frozenset({source, target})
        return domains not in self._partitions and hosts not in self._blocked

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay of a packet, in seconds."""
        local = self._domains[source] == self._domains[target]
        base = INTRA_DOMAIN_DELAY_S if local else self._inter_domain_delay_s
        return base + self._rng.random() * self.jitter_s

    def post(self, source: Address, target: Address, data: bytes) -> None:
        """Send a datagram, subject to faults and delays."""
        copies = 2 if self._rng.random() < self.doubling else 1
        for _ in range(copies):
            known = target.host in self._domains
            if not known or not self.reachable(source.host, target.host):
                return
            if self._rng.random() < self.loss:
                continue
            due = anyio.current_time() + self.delay_s(source.host, target.host)
            entry = (due, next(self._order), target, data, source)
            heapq.heappush(self._queue, entry)
            self._wake.set()

    async def run(self) -> None:
        """Deliver datagrams until cancelled."""
        while True:
            due = self._queue[0][0] if self._queue else math.inf
            with anyio.CancelScope(deadline=due):
                await self._wake.wait()
            self._wake = anyio.Event()
            now = anyio.current_time()
            while self._queue and self._queue[0][0] <= now:
                _, _, target, data, source = heapq.heappop(self._queue)
                inbox = self._inboxes.get(target)
                if inbox is not None:
                    inbox.append((data, source))

    # Addresses -------------------------------------------------------------

    def open_inbox(self, address: Address, inbox: VirtualDatagrams) -> None:
        """Start delivering the datagrams for an address."""
        self._inboxes[address] = inbox

    def close_inbox(self, address: Address) -> None:
        """Stop delivering datagrams for an address."""
        self._inboxes.pop(address, None)

    def listen(self, address: Address, handler: Handler) -> None:
        """Accept connections at an address."""
        self._listeners[address] = handler

    def serve_app(self, address: Address, app: Starlette) -> None:
        """Serve an HTTP application at an address."""
        self._apps[address] = app

    def stop_app(self, address: Address) -> None:
        """Stop serving HTTP at an address."""
        self._apps.pop(address, None)

    def app_at(self, address: Address) -> Starlette | None:
        """Return the application at an address, or None."""
        return self._apps.get(address)

    async def open_stream(self, source: str, target: Address) -> ByteStream:
        """Open a connection.

        Raises
        ------
        OSError
            If no handler listens at the address or the host is unreachable.
        """
        handler = self._listeners.get(target)
        if handler is None or not self.reachable(source, target.host):
            raise ConnectionRefusedError(
                f"connection to {target} refused: host unreachable or no listener"
            )
        local, remote = VirtualStream(self, source), VirtualStream(self, target.host)
        local.peer, remote.peer = remote, local
        assert self.tasks is not None
        self.tasks.start_soon(handler, remote)
        return local


class VirtualDatagrams:
    """A datagram socket in the virtual network."""

    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self._received: list[tuple[bytes, tuple[str, int]]] = []
        self._arrived = anyio.Event()
        network.open_inbox(address, self)

    @property
    def address(self) -> Address:
        """The local address."""
        return self._address

    def append(self, datagram: tuple[bytes, tuple[str, int]]) -> None:
        """Queue a received datagram."""
        self._received.append(datagram)
        self._arrived.set()

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram."""
        self._network.post(self._address, address, data)

    async def receive(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Wait for datagrams and return all that are queued."""
        if not self._received:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        else:
            await anyio.lowlevel.checkpoint()
        received, self._received = self._received, []
        return received

    def close(self) -> None:
        """Release the address."""
        self._network.close_inbox(self._address)


class VirtualStream(ByteStream):
    """One end of a connection; bytes sent across a partition are lost silently."""

    def __init__(self, network: VirtualNetwork, host: str) -> None:
        self._network = network
        self._host = host
        self._sending, self._receiving = anyio.create_memory_object_stream[
            tuple[float, bytes]
        ](math.inf)
        self._unread = b""
        self.peer: VirtualStream | None = None

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        peer = self.peer
        assert peer is not None
        await anyio.lowlevel.checkpoint()
        if not self._network.reachable(self._host, peer._host):
            return
        due = anyio.current_time() + self._network.delay_s(self._host, peer._host)
        try:
            peer._sending.send_nowait((due, item))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise anyio.BrokenResourceError from None

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive bytes."""
        if not self._unread:
            due, self._unread = await self._receiving.receive()
            await anyio.sleep_until(due)
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return data

    async def send_eof(self) -> None:
        """Close the sending direction."""
        assert self.peer is not None
        self.peer._sending.close()

    async def aclose(self) -> None:
        """Close both directions."""
        peer = self.peer
        assert peer is not None
        # A peer across a partition does not notice the close.
        if self._network.reachable(self._host, peer._host):
            peer._sending.close()
        self._receiving.close()


class HostNetwork:
    """A host's access to the network; see `egrethook.network.Network`."""

    def __init__(self, network: VirtualNetwork, host: str) -> None:
        self._network = network
        self._host = host

    @property
    def host(self) -> str:
        """The IP address of the host."""
        return self._host

    def bind(self, address: Address) -> VirtualDatagrams:
        """Return a datagram socket."""
        port = address.port or self._network.new_port()
        return VirtualDatagrams(self._network, Address(self._host, port))

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection."""
        return await self._network.open_stream(self._host, address)

    def http_client(self, timeout_s: float) -> httpx.AsyncClient:
        """Return an HTTP client."""
        transport = _VirtualTransport(self._network, self._host)
        return httpx.AsyncClient(transport=transport, timeout=timeout_s)


class _VirtualTransport(httpx.AsyncBaseTransport):
    """Routes HTTP requests to the applications in the virtual network."""

    def __init__(self, network: VirtualNetwork, host: str) -> None:
        self._network = network
        self._host = host

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Return the response, or raise an error if the host is unreachable."""
        target = Address(request.url.host, request.url.port or 80)
        await anyio.sleep(self._network.delay_s(self._host, target.host))
        app = self._network.app_at(target)
        if app is None or not self._network.reachable(self._host, target.host):
            raise httpx.ConnectError(f"{target} is unreachable", request=request)
        answer = await httpx.ASGITransport(app).handle_async_request(request)
        if not self._network.reachable(self._host, target.host):
            raise httpx.ReadError(f"connection to {target} lost", request=request)
        response_delay_s = self._network.http_response_delay_s.get(self._host, 0.0)
        await anyio.sleep(
            response_delay_s + self._network.delay_s(self._host, target.host)
        )
        return answer
