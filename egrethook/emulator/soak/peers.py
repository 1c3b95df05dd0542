"""Callers and upstreams that exchange the platform's packets over UDP sockets."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from zlib import crc32

import anyio

from egrethook.addresses import Address
from egrethook.callers.forwarded_flow import OPENING_SEND_OFFSETS_S, OPENING_TIMEOUT_S
from egrethook.callers.segments import IPv4Endpoint
from egrethook.datagrams import DatagramSocket
from egrethook.emulator.packets import Packet
from egrethook.platform.packet_header import (
    ACK,
    FIN,
    FLOW_KEY,
    INSTANCE_PREFIX,
    RST,
    SYN,
)
from egrethook.upstreams.upstream import flow_token

RETRANSMIT_INTERVAL_S = 0.2
"""Interval at which a caller retransmits an unanswered request, in seconds."""

EXCHANGE_TIMEOUT_S = 3.0
"""Timeout of a request on an open flow, in seconds."""

CHECKSUM_MARK = b"real"
"""Checksum field of all packets that callers and upstreams send.

Checksums are not verified, and forwarding processes write zeros into the field of
their resets, so a reset with another value comes from one of them.
"""

CALM_TIME_S = 4.0
"""Time after a disturbance in which a flow may still be reset, in seconds."""

ATTEMPTS_PER_REQUEST = 3
"""Maximum number of flows that a caller opens for one request."""


def host_number(host: str) -> int:
    """Return an IPv4 address as a number."""
    octets = bytes(int(part) for part in host.split("."))
    return int.from_bytes(octets, "big")


@dataclass
class Violation:
    """A guarantee that was violated.

    Parameters
    ----------
    at : float
        Time of the violation, in seconds.
    rule : str
        Short name of the guarantee.
    what : str
        Description of the violation.
    """

    at: float
    rule: str
    what: str


class PacketUpstream:
    """Accepts flows, and answers each request with its own name.

    Parameters
    ----------
    name, service, domain : str
        As in the registry.
    address : Address
        The address at which packets arrive.
    caller_port : int
        The port at which callers receive packets.
    violations : list of Violation
        Violations are appended to it.

    Attributes
    ----------
    openings : list of tuple of float and str
        Time of each opening, and host of the VM that forwarded it.
    record_writes : int
        Number of times that its record has been written.
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        address: Address,
        caller_port: int,
        violations: list[Violation],
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.address = address
        self.started_ms = int(time.time() * 1000)
        self._unresponsive = False
        self._responsive_since = float("-inf")
        self._dropped_hosts: frozenset[str] = frozenset()
        self.openings: list[tuple[float, str]] = []
        self.record_writes = 0
        self._caller_port = caller_port
        self._violations = violations
        self._flows: set[tuple[int, ...]] = set()
        self._instance = int(name.rpartition("-")[2], 16)

    @property
    def unresponsive(self) -> bool:
        """Whether packets are dropped."""
        return self._unresponsive

    @unresponsive.setter
    def unresponsive(self, unresponsive: bool) -> None:
        if self._unresponsive and not unresponsive:
            self._responsive_since = time.monotonic()
        self._unresponsive = unresponsive

    @property
    def drops_packets(self) -> bool:
        """Whether the packets of some VMs are dropped."""
        return bool(self._dropped_hosts)

    def drop_packets_of(self, hosts: Iterable[str]) -> None:
        """Drop the packets that come from some VMs, and from no others."""
        if self.drops_packets:
            self._responsive_since = time.monotonic()
        self._dropped_hosts = frozenset(hosts)

    @property
    def token(self) -> int:
        """The token of its flows."""
        # Only its name and its start are read.
        return flow_token(self)  # type: ignore[arg-type]

    @property
    def is_calm(self) -> bool:
        """Whether it answers all VMs, and has done so for `CALM_TIME_S`."""
        answered_s = time.monotonic() - self._responsive_since
        is_silent = self._unresponsive or self.drops_packets
        return not is_silent and answered_s >= CALM_TIME_S

    async def run(self) -> None:
        """Answer packets until cancelled."""
        with DatagramSocket(self.address) as socket:
            while True:
                for datagram, source in await socket.receive():
                    if not self.unresponsive and source[0] not in self._dropped_hosts:
                        self._handle(socket, datagram, source[0])

    def _handle(self, socket: DatagramSocket, datagram: bytes, vm_host: str) -> None:
        (intended,) = INSTANCE_PREFIX.unpack_from(datagram)
        if intended not in (0, self._instance):
            # The packet is for another instance; 0 stands for any.
            return
        packet = Packet.decode(datagram, INSTANCE_PREFIX.size)
        flow = packet.src, packet.sport, packet.dst, packet.dport
        flags, body = packet.flags, packet.data
        caller = Address(_format_host(packet.src), self._caller_port)

        def reply(flags: int, data: bytes = b"") -> None:
            answer = Packet(
                sport=packet.dport,
                dport=packet.sport,
                src=packet.dst,
                dst=packet.src,
                flags=flags,
                sequence=packet.acknowledged,
                acknowledged=packet.sequence + len(body),
                echo=packet.echo,
                data=data,
                checksum=CHECKSUM_MARK,
            )
            socket.send(caller, answer.encode())

        if flags & SYN:
            self.openings.append((time.monotonic(), vm_host))
            self._flows.add(flow)
            reply(SYN | ACK)
        elif flow not in self._flows:
            reply(RST)
        elif flags & (FIN | RST):
            self._flows.discard(flow)
            reply(FIN | ACK)
        elif body:
            requested = body.split(b" ", 1)[0].decode()
            if requested != self.service:
                what = f"{self.name} of {self.service} got a request for {requested}"
                self._violations.append(Violation(time.monotonic(), "route", what))
            reply(ACK, self.name.encode() + b" " + body)


def _format_host(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


class PacketCaller:
    """Opens flows through the VMs that the router chooses.

    Parameters
    ----------
    address : Address
        The address at which answers arrive.
    targets : mapping of str to IPv4Endpoint
        The address and port of each service.
    choose_vm : callable
        Returns the address of the VM that currently gets the packets of a flow.
    is_calm : callable
        Returns whether no flow with a given token may be reset.
    violations : list of Violation
        Violations are appended to it.
    rng : random.Random
        Source of ports and pauses.

    Attributes
    ----------
    results : list of tuple of float and bool
        Start time of each finished request, and whether it was answered.
    """

    def __init__(
        self,
        address: Address,
        targets: dict[str, IPv4Endpoint],
        choose_vm: Callable[[bytes], Address | None],
        is_calm: Callable[[int], bool],
        violations: list[Violation],
        rng: random.Random,
    ) -> None:
        self._address = address
        self._targets = targets
        self._choose_vm = choose_vm
        self._is_calm = is_calm
        self._violations = violations
        self._rng = rng
        self._socket = DatagramSocket(address)
        self._ports = itertools.count(rng.randrange(1_024, 20_000))
        self._flows: dict[int, _CallerFlow] = {}
        self.results: list[tuple[float, bool]] = []

    async def run(self) -> None:
        """Receive packets until cancelled."""
        with self._socket:
            while True:
                for datagram, _ in await self._socket.receive():
                    packet = Packet.decode(datagram)
                    flow = self._flows.get(packet.dport)
                    if flow is not None:
                        flow.receive(packet)

    async def request(self, service: str, exchanges: int = 1) -> None:
        """Open a flow, send requests and close it; retry on a new flow."""
        began = time.monotonic()
        for _ in range(ATTEMPTS_PER_REQUEST):
            if await self._attempt(service, exchanges):
                self.results.append((began, True))
                return
        self.results.append((began, False))

    async def _attempt(self, service: str, exchanges: int) -> bool:
        port = next(self._ports) % 64_000 + 1_024
        flow = self._flows[port] = _CallerFlow()
        try:
            if not await self._open(service, port, flow):
                return False
            for number in range(exchanges):
                if not await self._exchange(service, port, flow, number):
                    return False
                if exchanges > 1:
                    await anyio.sleep(self._rng.uniform(0.2, 0.8))
            self._send(service, port, FIN | ACK, flow)
            return True
        finally:
            del self._flows[port]

    async def _open(self, service: str, port: int, flow: _CallerFlow) -> bool:
        began = time.monotonic()
        for copy_index, until_s in enumerate(
            (*OPENING_SEND_OFFSETS_S[1:], OPENING_TIMEOUT_S)
        ):
            # In a SYN, the acknowledgement field holds the number of the copy.
            self._send(service, port, SYN, flow, copy_index)
            with anyio.move_on_after(began + until_s - time.monotonic()):
                await flow.arrived.wait()
            if flow.reset:
                return False
            if flow.token:
                return True
        return False

    async def _exchange(
        self, service: str, port: int, flow: _CallerFlow, number: int
    ) -> bool:
        request = f"{service} {port}-{number}".encode()
        deadline = time.monotonic() + EXCHANGE_TIMEOUT_S
        while time.monotonic() < deadline:
            flow.clear_arrival()
            self._send(service, port, ACK, flow, flow.received_bytes, request)
            with anyio.move_on_after(RETRANSMIT_INTERVAL_S):
                await flow.arrived.wait()
            if flow.reset:
                self._check_reset(flow)
                return False
            upstream, _, echoed = flow.answer.partition(b" ")
            if echoed == request:
                flow.upstream = upstream.decode()
                flow.sent_bytes += len(request)
                flow.received_bytes += len(flow.answer)
                return True
        return False

    def _check_reset(self, flow: _CallerFlow) -> None:
        """Record a violation if a forwarder reset a flow whose upstream is calm."""
        if flow.reset_by_forwarder and self._is_calm(flow.token):
            what = f"a forwarder reset a flow to {flow.upstream or 'an upstream'}"
            self._violations.append(Violation(time.monotonic(), "flow", what))

    def _send(
        self,
        service: str,
        port: int,
        flags: int,
        flow: _CallerFlow,
        acknowledged: int = 0,
        data: bytes = b"",
    ) -> None:
        host, target_port = self._targets[service]
        packet = Packet(
            sport=port,
            dport=target_port,
            src=host_number(self._address.host),
            dst=host,
            flags=flags,
            sequence=flow.sent_bytes,
            acknowledged=acknowledged,
            echo=flow.token,
            data=data,
            checksum=CHECKSUM_MARK,
        ).encode()
        vm = self._choose_vm(packet[FLOW_KEY])
        if vm is not None:
            self._socket.send(vm, packet)


class _CallerFlow:
    """State of one flow at its caller."""

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.token = 0
        self.reset = False
        self.reset_by_forwarder = False
        self.answer = b""
        self.upstream = ""
        self.sent_bytes = 0
        self.received_bytes = 0

    def clear_arrival(self) -> None:
        """Forget the last answer, so that `arrived` reports the next packet."""
        self.arrived = anyio.Event()
        self.answer = b""

    def receive(self, packet: Packet) -> None:
        """Process a packet from the upstream or a forwarding process."""
        if packet.flags & RST:
            self.reset = True
            self.reset_by_forwarder = packet.checksum != CHECKSUM_MARK
        elif packet.flags & SYN:
            self.token = packet.echo
        elif packet.flags & FIN:
            return
        else:
            self.answer = packet.data
        self.arrived.set()


def rendezvous(flow: bytes, vms: list[Address]) -> Address | None:
    """Return the VM of a flow by rendezvous hashing, or None if there is none."""
    return max(vms, key=lambda vm: crc32(f"{vm}".encode() + flow), default=None)
