"""A small deployment on loopback: store, routers, endpoints and clients as stand-ins.

The system's processes are the project's own, started with the command and the template
of `deploy/system.toml`. Everything else runs on one event loop in the test's process
and does what PROTOCOL.md says. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hmac
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

ROOT = Path(__file__).resolve().parents[2]

SYN, ACK, FIN, RST = 4, 1, 32, 64
HEADER = struct.Struct(">HHHIIIIB5xI4s")
PREFIX = struct.Struct(">Q")
SUM_KEY = os.urandom(16)

STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
CLIENT_DELAY_S = 0.003
RESTART_DELAY_S = 0.3
COPY_OFFSETS_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
DRAIN_S = 3.0


def ip_number(text: str) -> int:
    return int.from_bytes(socket.inet_aton(text), "big")


def ip_text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def packet_sum(head: bytes, data: bytes) -> bytes:
    """The keyed sum over all fields but `echo`, `pad` and BOUNCED."""
    return hmac.digest(SUM_KEY, head[:22] + bytes([head[22] & 127]) + data, "md5")[:4]


@dataclass
class Packet:
    sport: int
    dport: int
    src: int
    dst: int
    seq: int
    ack: int
    flags: int
    echo: int
    data: bytes = b""

    def encode(self) -> bytes:
        head = HEADER.pack(
            len(self.data),
            self.sport,
            self.dport,
            self.src,
            self.dst,
            self.seq % 2**32,
            self.ack % 2**32,
            self.flags,
            self.echo,
            b"\0\0\0\0",
        )
        return head[:32] + packet_sum(head, self.data) + self.data

    @classmethod
    def decode(cls, raw: bytes) -> tuple[Packet, bool]:
        """Return the packet, and whether its sender's sum holds."""
        length, sport, dport, src, dst, seq, ack, flags, echo, total = (
            HEADER.unpack_from(raw)
        )
        data = raw[36:]
        genuine = len(data) == length and total == packet_sum(raw[:36], data)
        return cls(sport, dport, src, dst, seq, ack, flags, echo, data), genuine

    @property
    def flow(self) -> tuple[int, int, int, int]:
        return self.src, self.sport, self.dst, self.dport


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


@dataclass
class Item:
    value: bytes
    revision: int
    created: int


class Store:
    """The platform's store, with one address for each machine that reads it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, Item] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.heard_at: dict[str, float] = {}
        self.removals: list[tuple[str, float, float]] = []
        self.read_at: dict[str, float] = {}
        self._writers: list[asyncio.StreamWriter] = []

    def _note(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, body: object) -> None:
        self.revision += 1
        known = self._items.get(key)
        created = known.created if known else self.revision
        item = self._items[key] = Item(
            json.dumps(body).encode(), self.revision, created
        )
        self.removals = [
            (one, since, min(until, self._record.now()) if one == key else until)
            for one, since, until in self.removals
        ]
        self._note(self._as_json(key, item))
        self._record.write(f"store: {key} written at revision {self.revision}")

    def heartbeat(self, key: str, entry: dict[str, object]) -> None:
        """Accept an endpoint's entry; it changes if more than its sequence does."""
        self.heard_at[key] = self._record.now()
        known = self._items.get(key)
        held = json.loads(known.value) if known else {}
        if {**entry, "sequence": 0} != {**held, "sequence": 0}:
            self.put(key, entry)

    async def expire(self) -> None:
        """Remove entries after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.005)
            now = self._record.now()
            for key, heard_at in list(self.heard_at.items()):
                if now - heard_at >= EXPIRY_S:
                    self.delete(key)

    def delete(self, key: str) -> None:
        if key not in self._items:
            return
        del self._items[key]
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "deleted": True})
        self.removals.append((key, self._record.now(), float("inf")))
        self._record.write(f"store: {key} removed at revision {self.revision}")

    @staticmethod
    def _as_json(key: str, item: Item) -> dict[str, object]:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": 0,
        }

    async def listen(self, host: str, port: int, reader_name: str) -> asyncio.Server:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.append(writer)
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    target = head.split(b" ", 2)[1].decode()
                    status, body = await self._answer(target, reader_name)
                    text = json.dumps(body).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(text)}\r\n\r\n".encode()
                        + text
                    )
                    await writer.drain()
            writer.close()

        return await asyncio.start_server(serve, host, port)

    def close(self) -> None:
        for writer in self._writers:
            writer.close()

    def readers(self, within_s: float = 1.3) -> list[str]:
        """Return who has read lately; a watch lasts a second."""
        now = self._record.now()
        return [name for name, at in self.read_at.items() if now - at <= within_s]

    async def _answer(self, target: str, reader_name: str) -> tuple[int, object]:
        await asyncio.sleep(STORE_ANSWER_S)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            return 200, self._range(query)
        if parts.path == "/kv-watch":
            self.read_at[reader_name] = self._record.now()
            return 200, await self._watch(query)
        item = self._items.get(query.get("key", ""))
        return (
            (200, self._as_json(query["key"], item))
            if item
            else (404, {"error": "no key"})
        )

    def _range(self, query: dict[str, str]) -> object:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        items = [self._as_json(key, self._items[key]) for key in keys[:500]]
        return {"items": items, "hasMore": len(keys) > 500, "currentRev": self.revision}

    async def _watch(self, query: dict[str, str]) -> object:
        after, prefix = int(query["after"]), query.get("prefix", "")
        give_up_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and str(event["key"]).startswith(prefix)
            ]
            left = give_up_at - time.monotonic()
            if events or left <= 0:
                return {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class UdpPeer(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._receive = receive
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)


async def open_udp(
    host: str, port: int, receive: Callable[[bytes, tuple[str, int]], None]
) -> asyncio.DatagramTransport:
    loop = asyncio.get_running_loop()
    _, peer = await loop.create_datagram_endpoint(
        lambda: UdpPeer(receive), local_addr=(host, port)
    )
    return peer.transport


@dataclass
class Taken:
    """An opening packet that an endpoint took."""

    at: float
    endpoint: Endpoint
    via: str
    flow: tuple[int, int, int, int]


@dataclass
class ServerFlow:
    seq: int
    next_seq: int
    echo: int
    is_open: bool = False
    sent: int = 0
    acknowledged: int = 0
    closed: bool = False


class Endpoint:
    """One endpoint of a service, as PROTOCOL.md describes it in the form `echo`."""

    def __init__(self, world: World, number: int, zone: str, service: str) -> None:
        self._world = world
        self.id, self.born = world.ids.get(
            number, (f"i-{random.getrandbits(32):08x}", int(time.time() * 1000))
        )
        self.instance = int(self.id[2:], 16)
        self.zone = zone
        self.service = service
        self.host = world.host(5, number)
        self.sequence = 0
        self.reaches_store = True
        self.restarted_at = float("-inf")
        self.work_s = 0.022
        self._flows: dict[tuple[int, int, int, int], ServerFlow] = {}
        self._slots = asyncio.Semaphore(2)

    @property
    def key(self) -> str:
        return f"servers/{self.id}"

    async def start(self) -> None:
        self._socket = await open_udp(self.host, 8080, self._receive)
        self._world.tasks.append(asyncio.create_task(self._run_heartbeats()))

    def entry(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{self.host}:8080",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def next_heartbeat(self) -> None:
        """Wait until the store has accepted the next heartbeat."""
        store = self._world.store
        known = store.heard_at[self.key]
        while store.heard_at[self.key] == known:
            await asyncio.sleep(0.005)

    async def restart(self, down_s: float) -> None:
        """Crash, and start again under the same id; nothing of before is known."""
        self._socket.close()
        self._flows.clear()
        self._world.record.write(f"endpoint: {self.id} crashes")
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.restarted_at = self._world.record.now()
        if self.reaches_store:
            self._world.store.heartbeat(self.key, self.entry())
        self._slots = asyncio.Semaphore(2)
        self._socket = await open_udp(self.host, 8080, self._receive)
        self._world.record.write(f"endpoint: {self.id} starts again")

    def holds(self, flow: tuple[int, int, int, int]) -> bool:
        """Return whether a flow is open here."""
        known = self._flows.get(flow)
        return known is not None and known.is_open and not known.closed

    async def _run_heartbeats(self) -> None:
        while True:
            self.sequence += 1
            if self.reaches_store:
                self._world.store.heartbeat(self.key, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _receive(self, raw: bytes, addr: tuple[str, int]) -> None:
        if PREFIX.unpack_from(raw)[0] not in (0, self.instance):
            return
        packet, genuine = Packet.decode(raw[8:])
        if not genuine:
            self._world.forged.append((self.id, raw))
            return
        known = self._flows.get(packet.flow)
        if packet.flags & SYN:
            self._take_opening(packet, known, addr[0])
        elif known is None or known.closed:
            self._refuse(packet)
        else:
            self._take(packet, known)

    def _take_opening(self, packet: Packet, known: ServerFlow | None, via: str) -> None:
        if known is None:
            known = ServerFlow(
                random.getrandbits(32), (packet.seq + 1) % 2**32, packet.echo
            )
            self._flows[packet.flow] = known
            self._world.taken.append(
                Taken(
                    self._world.record.now(), self, self._world.vm_at(via), packet.flow
                )
            )
        known.echo = packet.echo
        if not known.is_open:
            self._send(packet, known, SYN | ACK, known.seq, b"")

    def _take(self, packet: Packet, known: ServerFlow) -> None:
        known.echo = packet.echo
        if packet.flags & RST:
            known.closed = True
            return
        if not known.is_open:
            if packet.ack != (known.seq + 1) % 2**32:
                return
            known.is_open = True
        if packet.data and packet.seq == known.next_seq:
            known.next_seq = (packet.seq + len(packet.data)) % 2**32
            self._world.tasks.append(asyncio.create_task(self._work(packet, known)))
        known.acknowledged = max(
            known.acknowledged, (packet.ack - known.seq - 1) % 2**32
        )
        if packet.flags & FIN:
            known.closed = True
            self._send(packet, known, ACK, (known.seq + 1) % 2**32, b"")

    async def _work(self, packet: Packet, known: ServerFlow) -> None:
        request_id = re.search(rb"X-Request-Id: (\S+)", packet.data)
        name = request_id.group(1).decode() if request_id else "?"
        async with self._slots:
            self._world.runs.append((self._world.record.now(), name, self))
            self._world.record.write(f"run: {name} at {self.id}")
            work_ms = re.search(rb"X-Work: (\d+)", packet.data)
            await asyncio.sleep(
                int(work_ms.group(1)) / 1000 if work_ms else self.work_s
            )
        if self._flows.get(packet.flow) is not known:
            return
        is_kept = b"Connection: keep-alive" in packet.data
        body = f"{name} done by {self.id}".encode()
        text = (
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: %d\r\n\r\n"
            % len(body)
        )
        flags = ACK if is_kept else ACK | FIN
        seq = (known.seq + 1 + known.sent) % 2**32
        known.sent += len(text + body)
        end = known.sent
        delay_s = 0.2
        for _ in range(9):
            self._send(packet, known, flags, seq, text + body)
            await asyncio.sleep(delay_s)
            if (
                known.acknowledged >= end
                or known.closed
                or self._flows.get(packet.flow) is not known
            ):
                return
            delay_s = min(1.6, 2 * delay_s)

    def _send(
        self, packet: Packet, known: ServerFlow, flags: int, seq: int, data: bytes
    ) -> None:
        answer = Packet(
            packet.dport,
            packet.sport,
            packet.dst,
            packet.src,
            seq,
            known.next_seq,
            flags,
            known.echo,
            data,
        )
        self._world.to_client(self._socket, answer)

    def _refuse(self, packet: Packet) -> None:
        if packet.flags & RST:
            return
        flags = ACK if packet.flags & FIN else RST
        answer = Packet(
            packet.dport,
            packet.sport,
            packet.dst,
            packet.src,
            packet.ack,
            packet.seq,
            flags,
            0,
        )
        self._world.to_client(self._socket, answer)


class Vm:
    """One machine of the system, with its one process."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self._world = world
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.host = world.host(1, number)
        self.store_port = 8169
        self.store_host = world.host(2, number)
        self.events: list[float] = []
        self.misses = 0
        self.in_rotation = True
        self.process: subprocess.Popen[bytes] | None = None

    def settings(self) -> dict[str, object]:
        world = self._world
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "contracts": self._world.contracts,
            "listen": {
                "datagramAddr": f"{self.host}:{world.port}",
                "readiness": f"{self.host}:8167",
                "control": f"{self.host}:8166",
            },
            "platform": {"address": f"{self.store_host}:{self.store_port}"},
            "seeds": [f"{vm.host}:8166" for vm in world.vms[:3]],
            "bounds": {"maxFlowS": 60},
        }

    def start(self) -> None:
        """Start the process as `deploy/system.toml` says."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "forwarder"
        ]
        settings = self.settings()
        path = self._world.folder / f"{self.name}.settings"
        path.write_text(render((ROOT / role["template"]).read_text(), settings))
        words = [render(word, settings) for word in role["run"].split()]
        keep = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        added = {name: render(text, settings) for name, text in role["env"].items()}
        log = (self._world.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                **keep,
                **added,
                "EGRETHOOK_CONFIG": str(path),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._note("starts")

    def _note(self, text: str) -> None:
        self.events.append(self._world.record.now())
        self._world.record.write(f"machine: {self.name} {text}")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self._note(f"gets {number.name}")

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.wait()
        self._note("is killed")

    def in_touch(self, at: float) -> bool:
        """Whether nothing happened to its process for `stableWindowMs`."""
        since = at - self._world.stable_window_s
        return not any(since <= event <= at for event in self.events)

    async def probe(self) -> None:
        """Probe readiness twice a second, as the platform does."""
        while True:
            started_at = time.monotonic()
            status = await self._probe_once()
            self.misses = 0 if status == 200 else self.misses + 1
            if status == 200:
                self.in_rotation = True
            elif self.misses >= 2:
                self.in_rotation = False
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - started_at)))

    async def _probe_once(self) -> int:
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(self.host, 8167)
                try:
                    writer.write(
                        b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    )
                    line = await reader.readline()
                    return int(line.split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0


def render(template: str, settings: dict[str, object]) -> str:
    """Fill the placeholders `{{a.b}}` and `{{a.b|json}}` of a template."""

    def fill(match: re.Match[str]) -> str:
        value: object = settings
        for name in match.group(1).split("."):
            value = value[name]  # type: ignore[index]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


@dataclass
class Call:
    """One client attempt."""

    request_id: str
    route: tuple[str, int]
    zone: str
    sent_at: float = 0.0
    flow: tuple[int, int, int, int] = (0, 0, 0, 0)
    outcome: str = ""
    answers: asyncio.Queue[Packet] = field(default_factory=asyncio.Queue)


class World:
    """The whole deployment."""

    def __init__(self, folder: Path, record_path: Path) -> None:
        self.folder = folder
        self.record = Record(record_path)
        self.net = random.randint(16, 250)
        self.port = random.randint(20000, 30000)
        self.store = Store(self.record)
        self.vms: list[Vm] = []
        self.endpoints: list[Endpoint] = []
        self.routes: dict[str, tuple[str, int]] = {}
        self.taken: list[Taken] = []
        self.runs: list[tuple[float, str, Endpoint]] = []
        self.calls: dict[tuple[int, int, int, int], Call] = {}
        self.done: list[Call] = []
        self.forged: list[tuple[str, bytes]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self._clients: dict[int, asyncio.DatagramTransport] = {}
        self._client_hosts: dict[str, list[str]] = {}
        self._next_port = 1024
        self._ids = 0
        self.kept_answers = 0
        self.contracts = "base,drain,config,cost,recover,flows,places,platform"
        self.stable_window_s = 4.0
        # Ids and starts of endpoints, by number; others get random ids.
        self.ids: dict[int, tuple[str, int]] = {}
        self.resets: list[tuple[float, str, Call, Endpoint | None]] = []

    def host(self, kind: int, number: int) -> str:
        return f"127.{self.net}.{kind}.{number}"

    def vm_at(self, host: str) -> str:
        return next((vm.name for vm in self.vms if vm.host == host), host)

    def vm(self, name: str) -> Vm:
        return next(vm for vm in self.vms if vm.name == name)

    async def start(
        self,
        zones: dict[str, int],
        endpoints: dict[str, dict[str, int]],
        config: dict[str, object],
    ) -> None:
        """Start everything, and wait until all machines are ready.

        `zones` holds the machines of each zone, `endpoints` those of each service by
        zone.
        """
        number = 0
        for zone, count in zones.items():
            for _ in range(count):
                number += 1
                self.vms.append(Vm(self, number, zone))
        self.store.put("op/config", config)
        self.tasks.append(asyncio.create_task(self.store.expire()))
        for service, by_zone in endpoints.items():
            for zone, count in by_zone.items():
                for _ in range(count):
                    endpoint = Endpoint(self, len(self.endpoints) + 1, zone, service)
                    self.endpoints.append(endpoint)
                    await endpoint.start()
        for position, zone in enumerate(zones):
            hosts = [self.host(9, 10 * position + k) for k in range(1, 5)]
            self._client_hosts[zone] = hosts
            for host in hosts:
                self._clients[ip_number(host)] = await open_udp(
                    host, self.port, self._on_packet
                )
        for vm in self.vms:
            await self.store.listen(vm.store_host, vm.store_port, vm.name)
            vm.start()
        for vm in self.vms:
            vm.in_rotation = False
            self.tasks.append(asyncio.create_task(vm.probe()))
        async with asyncio.timeout(20):
            while not all(vm.in_rotation for vm in self.vms):
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.store.close()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        await asyncio.sleep(0.1)
        self.record.close()

    # Clients -------------------------------------------------------------------------

    def to_client(self, sender: asyncio.DatagramTransport, packet: Packet) -> None:
        raw, target = packet.encode(), (ip_text(packet.dst), self.port)
        loop = asyncio.get_running_loop()
        loop.call_later(
            CLIENT_DELAY_S, lambda: sender.is_closing() or sender.sendto(raw, target)
        )

    def _on_packet(self, raw: bytes, addr: tuple[str, int]) -> None:
        packet, genuine = Packet.decode(raw)
        call = self.calls.get((packet.dst, packet.dport, packet.src, packet.sport))
        if not genuine and not packet.flags & RST:
            self.forged.append(("client", raw))
        elif call is not None:
            if packet.flags & RST:
                self.record.write(
                    f"reset: {call.request_id} from {self.vm_at(addr[0])}"
                )
                holder = next(
                    (one for one in self.endpoints if one.holds(call.flow)), None
                )
                self.resets.append(
                    (self.record.now(), self.vm_at(addr[0]), call, holder)
                )
            call.answers.put_nowait(packet)

    def _route_to(self, flow: tuple[int, int, int, int], zone: str) -> Vm:
        """Choose a node as the platform's routers do with the hash `steady`."""
        own = [vm for vm in self.vms if vm.zone == zone]
        ready = [vm for vm in own if vm.in_rotation]
        if not ready:
            ready = [vm for vm in self.vms if vm.in_rotation] or own
        elif 2 * len(ready) < len(own):
            ready = own
        return max(ready, key=lambda vm: crc32(f"{flow}{vm.name}".encode()))

    def _send(self, call: Call, packet: Packet) -> None:
        vm = self._route_to(call.flow, call.zone)
        sender = self._clients[packet.src]
        target = (vm.host, self.port)
        raw = packet.encode()
        loop = asyncio.get_running_loop()
        loop.call_later(
            CLIENT_DELAY_S, lambda: sender.is_closing() or sender.sendto(raw, target)
        )

    async def request(self, route: str, zone: str, deadline_s: float = 2.0) -> Call:
        """Make one attempt at a request, on a flow of its own."""
        self._ids += 1
        self._next_port = 1024 + (self._next_port - 1023) % 60000
        call = Call(f"q{self._ids}", self.routes[route], zone, self.record.now())
        src = ip_number(random.choice(self._client_hosts[zone]))
        dst = ip_number(call.route[0])
        call.flow = (src, self._next_port, dst, call.route[1])
        self.calls[call.flow] = call
        self.record.write(f"sent: {call.request_id} on {route} from {zone}")
        try:
            async with asyncio.timeout(deadline_s):
                call.outcome = await self._exchange(call)
        except TimeoutError:
            call.outcome = "no answer"
        self.record.write(f"answered: {call.request_id}: {call.outcome}")
        self.done.append(call)
        return call

    async def _exchange(self, call: Call) -> str:
        src, sport, dst, dport = call.flow
        opened, seq = await self._open(call)
        if opened is None:
            return "not opened"
        if opened.flags & RST:
            return "refused"
        text = (
            f"GET /x HTTP/1.1\r\nHost: s\r\nX-Request-Id: {call.request_id}\r\n\r\n"
        ).encode()
        ack = (opened.seq + 1) % 2**32
        answer, ack, echo = await self._transfer(call, seq, ack, opened.echo, text)
        if answer.flags & RST:
            return "reset"
        end = (seq + len(text)) % 2**32
        self._send(call, Packet(sport, dport, src, dst, end, ack, ACK | FIN, echo))
        return "200 " + answer.data.partition(b"\r\n\r\n")[2].decode()

    async def kept_flow(
        self,
        route: str,
        zone: str,
        pause_s: tuple[float, float],
        work_ms: Sequence[int],
        deadline_s: float,
    ) -> None:
        """Open a flow, make requests with a pause after each, and close it."""
        self._ids += 1
        self._next_port = 1024 + (self._next_port - 1023) % 60000
        call = Call(f"k{self._ids}", self.routes[route], zone, self.record.now())
        src, dst = (
            ip_number(random.choice(self._client_hosts[zone])),
            ip_number(call.route[0]),
        )
        call.flow = (src, self._next_port, dst, call.route[1])
        self.calls[call.flow] = call
        opened, seq = await self._open(call)
        if opened is None or opened.flags & RST:
            call.outcome = "not opened"
            return
        ack, echo = (opened.seq + 1) % 2**32, opened.echo
        for number, work in enumerate(work_ms, start=1):
            name = f"{call.request_id}-{number}"
            text = (
                f"GET /x HTTP/1.1\r\nHost: s\r\nConnection: keep-alive\r\n"
                f"X-Request-Id: {name}\r\nX-Work: {work}\r\n\r\n"
            ).encode()
            self.record.write(f"sent: {name} on {route} from {zone}, on the kept flow")
            try:
                async with asyncio.timeout(deadline_s):
                    answer, ack, echo = await self._transfer(call, seq, ack, echo, text)
            except TimeoutError:
                answer = None
            if answer is None or answer.flags & RST:
                call.outcome = "reset" if answer is not None else "no answer"
                self.record.write(f"answered: {name}: {call.outcome}")
                return
            self.record.write(f"answered: {name}: 200")
            self.kept_answers += 1
            seq = (seq + len(text)) % 2**32
            self._send(
                call, Packet(call.flow[1], call.flow[3], src, dst, seq, ack, ACK, echo)
            )
            await asyncio.sleep(random.uniform(*pause_s))
        self._send(
            call,
            Packet(call.flow[1], call.flow[3], src, dst, seq, ack, ACK | FIN, echo),
        )

    async def _transfer(
        self, call: Call, seq: int, ack: int, echo: int, text: bytes
    ) -> tuple[Packet, int, int]:
        """Send a request until the first packet of its answer, or a reset, comes."""
        src, sport, dst, dport = call.flow
        delay_s = 0.2
        while True:
            self._send(call, Packet(sport, dport, src, dst, seq, ack, ACK, echo, text))
            try:
                async with asyncio.timeout(delay_s):
                    while True:
                        answer = await call.answers.get()
                        if answer.flags & RST:
                            if (answer.seq - ack + 76800) % 2**32 > 153600:
                                continue
                            return answer, ack, echo
                        if answer.flags & SYN:
                            continue
                        echo = answer.echo
                        if answer.data and answer.seq == ack:
                            return answer, (ack + len(answer.data)) % 2**32, echo
            except TimeoutError:
                delay_s = min(1.6, 2 * delay_s)

    async def _open(self, call: Call) -> tuple[Packet | None, int]:
        """Open a flow; return the answer, and the number of the first data byte."""
        src, sport, dst, dport = call.flow
        seq = random.getrandbits(32)
        for copy, offset_s in enumerate(COPY_OFFSETS_S):
            self._send(call, Packet(sport, dport, src, dst, seq, copy, SYN, 0))
            following = [*COPY_OFFSETS_S, OPENING_TIMEOUT_S][copy + 1]
            try:
                async with asyncio.timeout(following - offset_s):
                    return await call.answers.get(), (seq + 1) % 2**32
            except TimeoutError:
                continue
        return None, seq

    async def load(self, route: str, zone: str, per_s: float) -> None:
        """Make requests at a steady mean rate until cancelled."""
        rng = random.Random(f"{route}{zone}")
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            self.tasks.append(asyncio.create_task(self._request_quietly(route, zone)))

    async def _request_quietly(self, route: str, zone: str) -> None:
        await self.request(route, zone)

    # Checks --------------------------------------------------------------------------

    def sound_flows_reset(self, calm_from: float) -> list[str]:
        """Return what breaks FLOW: resets by a machine of open, sound flows.

        Before `calm_from`, the endpoint or its links were disrupted lately.
        """
        return [
            f"{call.request_id}'s flow, open at {holder.id}, was reset by {sender},"
            f" {at - holder.restarted_at:.1f} s after the endpoint's start"
            for at, sender, call, holder in self.resets
            if holder is not None
            and sender in [vm.name for vm in self.vms]
            and at >= calm_from
            and self.vm(sender).in_touch(at)
        ]

    def late_at_gone_endpoints(self) -> list[tuple[Taken, float]]:
        """Return what breaks DRAIN: openings that reached an endpoint too late.

        Counted are openings that their client sent, and that a machine in touch passed
        on, later than `drainMs` after the store had removed the endpoint's entry.
        """
        late = []
        for taken in self.taken:
            call = self.calls.get(taken.flow)
            for key, since, until in self.store.removals:
                if key != taken.endpoint.key or call is None or call.sent_at <= since:
                    continue
                is_late = since + DRAIN_S < taken.at < until
                if is_late and self.vm(taken.via).in_touch(taken.at):
                    late.append((taken, taken.at - since))
        return late


def configuration(
    world: World,
    services: list[str],
    version: int = 7,
    kind: str = "safe",
    objective_ms: int = 150,
    timeout_ms: int = 2000,
) -> dict[str, object]:
    """Return a configuration with one route for each service."""
    routes = []
    for number, service in enumerate(services, start=1):
        address = (world.host(200, number), 8443)
        world.routes[service] = address
        routes.append(
            {
                "name": f"r-{service}",
                "host": address[0],
                "prefix": f"/{address[1]}/",
                "type": kind,
                "timeoutMs": timeout_ms,
                "sloMs": objective_ms,
                "priority": 2,
                "service": service,
                "attempts": 2,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": 2000,
                "protocol": "h1",
                "tls": False,
                "warmupS": 2.0,
                "warmupPerS": 0.0,
            }
            for service in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def run_case(
    folder: Path,
    case: Callable[[World, bool], object],
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if not, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        with tempfile.TemporaryDirectory(prefix="egrethook-review-") as temporary:
            world = World(Path(temporary), folder / "record.txt")
            try:
                return await case(world, trouble)  # type: ignore[misc]
            finally:
                await world.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in Path(temporary).glob("*.log"):
                        (Path(keep) / path.name).write_bytes(path.read_bytes())

    try:
        return asyncio.run(play())
    except Exception as error:
        with contextlib.suppress(OSError):
            print(f"the case couldn't run: {type(error).__name__}: {error}")
        return 2
