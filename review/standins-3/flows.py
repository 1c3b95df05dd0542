"""Stand-ins of endpoints and clients, which speak the platform's packets."""

import asyncio
import random
import socket
import struct
import time
import zlib

HEADER = struct.Struct(">HHHIIIIB5sII")
PREFIX = struct.Struct(">Q")
ACK, SYN, FIN, RST = 1, 4, 32, 64
SUM_KEY = b"review"
OPENING_OFFSETS_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
MODULUS = 2**32


def number(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def text(address):
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(address.to_bytes(4, "big"))


def checksum(fields, data):
    """Return the keyed sum of a packet, over all but `echo` and `pad`."""
    return zlib.crc32(SUM_KEY + repr(fields).encode() + data)


class Packet:
    """One packet of a flow."""

    def __init__(self, src, sport, dst, dport, seq, ack, flags, echo=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.seq, self.ack, self.flags = seq % MODULUS, ack % MODULUS, flags
        self.echo, self.data, self.sum_is_right = echo, data, True

    def _fields(self):
        return (len(self.data), self.sport, self.dport, self.src, self.dst) + (
            self.seq,
            self.ack,
            self.flags,
        )

    def encode(self):
        """Return the datagram."""
        return (
            HEADER.pack(
                *self._fields(),
                bytes(5),
                self.echo,
                checksum(self._fields(), self.data),
            )
            + self.data
        )

    @classmethod
    def decode(cls, datagram):
        """Return the packet, with `sum_is_right` False if it was changed."""
        length, sport, dport, src, dst, seq, ack, flags, _, echo, total = (
            HEADER.unpack_from(datagram)
        )
        data = datagram[HEADER.size :]
        packet = cls(src, sport, dst, dport, seq, ack, flags, echo, data)
        packet.sum_is_right = len(data) == length and total == checksum(
            packet._fields(), data
        )
        return packet

    @property
    def flow(self):
        """Both ends, as the client sees them."""
        return self.src, self.sport, self.dst, self.dport


class _Flow:
    def __init__(self, packet):
        self.peer_seq = packet.seq + 1
        self.own_seq = random.randrange(1, 2**31)
        self.echo = packet.echo
        self.is_open = False
        self.request = b""
        self.answer = None
        self.answer_seq = self.own_seq + 1
        self.acked = False
        self.opened_at = None
        self.opened_through = None


class Endpoint(asyncio.DatagramProtocol):
    """One server: runs requests of flows and answers their clients directly."""

    def __init__(self, record, ident, service, zone, address, packet_port, work_s):
        self.ident, self.service, self.zone = ident, service, zone
        self.address, self.work_s = address, work_s
        self.instance = int(ident.rpartition("-")[2], 16)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.slow_s = 0.0
        self.is_dark = False
        self.sequence = 0
        self.runs = []
        self.openings = []
        self._record = record
        self._packet_port = packet_port
        self._flows = {}
        self._slots = asyncio.Semaphore(2)
        self._transport = None

    async def start(self):
        """Listen for packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def crash(self):
        """End without a word."""
        self.is_dark = True
        self._flows.clear()

    def start_again(self):
        """Begin a new incarnation after a crash."""
        self.is_dark = False
        self.born = int(time.time() * 1000)
        self.sequence = 0

    def holds_open(self, flow):
        """Return whether a flow is open here, given its two ends."""
        return flow in self._flows and self._flows[flow].is_open

    def entry(self):
        """Return what the endpoint writes into the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": self.state,
            "warmupLeftMs": self._warmup_left_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def _warmup_left_ms(self):
        left_ms = self.born + 1000 * self.slow_s - 1000 * time.time()
        return max(int(left_ms), 0)

    def datagram_received(self, datagram, sender):
        """Handle a packet that a machine of the system passed on."""
        intended = PREFIX.unpack_from(datagram)[0]
        if self.is_dark:
            return
        if intended not in (0, self.instance):
            return
        packet = Packet.decode(datagram[PREFIX.size :])
        if not packet.sum_is_right:
            self._record("endpoint got a changed packet", endpoint=self.ident)
            return
        flow = self._flows.get(packet.flow)
        if packet.flags & SYN:
            self._on_syn(packet, flow, sender)
        elif flow is None:
            self._send(packet, _Flow(packet), RST, number_of=packet.ack)
        else:
            self._on_packet(packet, flow, sender)

    def _on_syn(self, packet, flow, sender):
        if flow is None:
            flow = self._flows[packet.flow] = _Flow(packet)
            self.openings.append((time.monotonic(), packet.flow, sender[0]))
        flow.echo = packet.echo
        self._send(packet, flow, SYN | ACK, number_of=flow.own_seq)

    def _on_packet(self, packet, flow, sender):
        flow.echo = packet.echo
        if not flow.is_open and packet.ack == (flow.own_seq + 1) % MODULUS:
            flow.is_open = True
            flow.opened_at = time.monotonic()
            flow.opened_through = sender[0]
        if packet.flags & RST:
            del self._flows[packet.flow]
            return
        if flow.answer and packet.ack == self._end(flow):
            flow.acked = True
        if packet.data and packet.seq == flow.peer_seq % MODULUS:
            flow.peer_seq += len(packet.data)
            flow.request += packet.data
            if flow.request.endswith(b"\r\n.\r\n"):
                request, flow.request = flow.request, b""
                asyncio.ensure_future(self._run(packet, flow, sender, request))
        elif packet.data and flow.answer and not flow.acked:
            self._send(packet, flow, ACK, flow.answer_seq, flow.answer)
        if packet.flags & FIN:
            self._send(packet, flow, FIN | ACK, self._end(flow))

    def _end(self, flow):
        return (flow.answer_seq + len(flow.answer or b"")) % MODULUS

    async def _run(self, packet, flow, sender, request):
        ident, _, *work_ms = request.decode().split()[:3]
        work_s = int(work_ms[0]) / 1000 if work_ms[0] != "." else self.work_s
        async with self._slots:
            self.runs.append((time.monotonic(), ident, sender[0]))
            self._record("ran", endpoint=self.ident, zone=self.zone, request=ident)
            await asyncio.sleep(work_s)
        flow.answer_seq = self._end(flow)
        flow.answer = f"done {ident} by {self.ident}\r\n.\r\n".encode()
        flow.acked = False
        answer, delay_s = flow.answer, 0.2
        for _ in range(8):
            self._send(packet, flow, ACK, flow.answer_seq, answer)
            await asyncio.sleep(delay_s)
            if flow.acked or flow.answer is not answer:
                return
            if self._flows.get(packet.flow) is not flow:
                return
            delay_s = min(delay_s * 2, 1.6)

    def _send(self, packet, flow, flags, number_of, data=b""):
        if self.is_dark:
            return
        answer = Packet(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            number_of,
            flow.peer_seq,
            flags,
            flow.echo,
            data,
        )
        self._transport.sendto(answer.encode(), (text(packet.src), self._packet_port))


class Outcome:
    """What became of one request, as its client saw it."""

    def __init__(self, ident, sent_at):
        self.ident, self.sent_at = ident, sent_at
        self.verdict, self.answer, self.opened = "timeout", "", False

    @property
    def is_served(self):
        """Whether the whole answer of this request came."""
        return self.verdict == "served"


class Client(asyncio.DatagramProtocol):
    """One client machine, with a flow for each request."""

    def __init__(self, record, host, packet_port):
        self._record, self._host, self._port = record, host, packet_port
        self._next_port = random.randrange(20_000, 30_000)
        self._inboxes = {}
        self._transport = None
        self._count = 0

    async def start(self):
        """Listen for answers."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    def datagram_received(self, datagram, sender):
        """Hand a packet to the flow that it belongs to."""
        packet = Packet.decode(datagram)
        inbox = self._inboxes.get(packet.dport)
        if inbox is not None:
            inbox.put_nowait(packet)

    async def request(self, node, target, label, deadline_s=2.0):
        """Open a flow through a machine of the system and send one request."""
        port, inbox = self.take_port()
        self._count += 1
        ident = f"{self._host}-{self._count}"
        outcome = Outcome(ident, time.monotonic())
        attempt = _Attempt(self, node, target, port, inbox, outcome)
        try:
            await asyncio.wait_for(attempt.run(), deadline_s)
        except TimeoutError:
            pass
        finally:
            self.give_back_port(port)
        self._record(
            "request",
            request=ident,
            sent_at=round(outcome.sent_at, 3),
            through=node[0],
            label=label,
            verdict=outcome.verdict,
            answer=outcome.answer,
        )
        return outcome

    def take_port(self):
        """Return an unused port and the queue of the packets that come for it."""
        self._next_port += 1
        inbox = self._inboxes[self._next_port] = asyncio.Queue()
        return self._next_port, inbox

    def give_back_port(self, port):
        """Drop what comes for a port from now on."""
        del self._inboxes[port]

    def send(self, node, packet):
        """Send a packet to a machine of the system."""
        self._transport.sendto(packet.encode(), node)

    @property
    def number(self):
        """The address as a number."""
        return number(self._host)


class _Attempt:
    def __init__(self, client, node, target, port, inbox, outcome):
        self._client, self._node, self._outcome = client, node, outcome
        self._ends = client.number, port, number(target[0]), target[1]
        self._inbox = inbox
        self._seq = random.randrange(1, 2**31)
        self._echo = 0

    async def run(self):
        opening = await self._open()
        if opening is None:
            return
        self._outcome.opened = True
        self._outcome.verdict = "open, no answer"
        self._echo = opening.echo
        data = f"{self._outcome.ident} do .\r\n.\r\n".encode()
        delay_s, expected = 0.2, (opening.seq + 1) % MODULUS
        while True:
            self._send(ACK, self._seq + 1, expected, data)
            packet = await self._receive(delay_s)
            delay_s = min(delay_s * 2, 1.6)
            while packet is not None:
                if packet.flags & RST:
                    self._outcome.verdict = "reset while open"
                    return
                if packet.data and packet.seq == expected:
                    self._take(packet, data)
                    return
                packet = await self._receive(delay_s)

    def _take(self, packet, data):
        self._outcome.answer = packet.data.decode().split("\r\n")[0]
        self._outcome.verdict = "served"
        self._send(
            FIN | ACK,
            self._seq + 1 + len(data),
            packet.seq + len(packet.data),
        )

    async def _open(self):
        began_at = time.monotonic()
        for copy in range(len(OPENING_OFFSETS_S)):
            self._send(SYN, self._seq, copy)
            following = (*OPENING_OFFSETS_S, OPENING_TIMEOUT_S)[copy + 1]
            while (left_s := began_at + following - time.monotonic()) > 0:
                packet = await self._receive(left_s)
                if packet is None:
                    break
                if packet.flags & RST:
                    self._outcome.verdict = "refused"
                    return None
                if packet.flags & SYN and packet.ack == (self._seq + 1) % MODULUS:
                    return packet
        return None

    async def _receive(self, wait_s):
        try:
            return await asyncio.wait_for(self._inbox.get(), wait_s)
        except TimeoutError:
            return None

    def _send(self, flags, seq, ack, data=b""):
        packet = Packet(*self._ends, seq, ack, flags, self._echo, data)
        self._client.send(self._node, packet)


class KeptFlow(_Attempt):
    """A flow that its client keeps open for many requests."""

    def __init__(self, client, node, target):
        port, inbox = client.take_port()
        super().__init__(client, node, target, port, inbox, Outcome("kept", 0.0))
        self._began_at = time.monotonic()
        self._peer_seq = 0

    @property
    def ends(self):
        """Both ends, as the client sees them."""
        return self._ends

    @property
    def age_s(self):
        """How long ago the flow was begun."""
        return time.monotonic() - self._began_at

    @property
    def waited_s(self):
        """How long the latest request has been under way."""
        return time.monotonic() - self._outcome.sent_at

    async def open(self):
        """Open the flow; return whether it is open."""
        opening = await self._open()
        if opening is None:
            return False
        self._echo, self._peer_seq = opening.echo, opening.seq + 1
        self._seq += 1
        self._send(ACK, self._seq, self._peer_seq)
        return True

    async def call(self, work_ms, deadline_s=3.2):
        """Send a request; return "served", "timeout", or who reset the flow."""
        self._outcome.sent_at = time.monotonic()
        data = f"{self._ends[1]} do {work_ms}\r\n.\r\n".encode()
        delay_s = 0.2
        while (left_s := deadline_s - self.waited_s) > 0:
            self._send(ACK, self._seq, self._peer_seq, data)
            packet = await self._receive(min(delay_s, left_s))
            delay_s = min(delay_s * 2, 1.6)
            while packet is not None:
                if packet.flags & RST:
                    who = "its endpoint" if packet.sum_is_right else "the system"
                    return f"reset by {who}"
                if packet.data and packet.seq == self._peer_seq % MODULUS:
                    self._seq += len(data)
                    self._peer_seq += len(packet.data)
                    self._send(ACK, self._seq, self._peer_seq)
                    return "served"
                packet = await self._receive(delay_s)
        return "timeout"

    def close(self):
        """End the flow."""
        self._send(FIN | ACK, self._seq, self._peer_seq)
        self._client.give_back_port(self._ends[1])
