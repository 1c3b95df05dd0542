"""Stand-ins for the platform, its store, endpoints and clients, on loopback.

They follow PROTOCOL.md and DEPLOY.md. Only the standard library is used. Every process
of the load balancer is started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import socket
import struct
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct(">HHHIIIIB5xI4s")
PREFIX = struct.Struct(">Q")
SYN, ACK, FIN, RST = 4, 1, 32, 64
SUM = b"real"  # `sum` of clients and endpoints; resets of the system carry zeros
MAX_DATA = 1_200
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
PROBE_INTERVAL_S = 0.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def number(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), "big")


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, what: str) -> None:
        self._file.write(f"{self.now():8.3f} {what}\n")

    def close(self) -> None:
        self._file.close()


class Store:
    """The metadata store: range reads and watches over HTTP/1.1."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 100
        self._lost_up_to = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, key: str, value: bytes) -> int:
        self._revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._append(item)
        self._record.write(f"store: {key} = {value[:160]!r} revision {self._revision}")
        return self._revision

    def get(self, key: str) -> bytes | None:
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def delete(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._append({"key": key, "revision": self._revision, "deleted": True})
        self._record.write(f"store: {key} deleted, revision {self._revision}")

    def _append(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                url = urlsplit(head.split(b" ", 2)[1].decode())
                query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
                await asyncio.sleep(0.004)
                status, body = await self._answer(url.path, query)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if path == "/kv-range":
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self._items[k] for k in keys[:500]],
                "hasMore": len(keys) > 500,
                "currentRev": self._revision,
            }
        if path == "/kv-watch":
            return await self._watch(prefix, int(after), int(query.get("waitMs", 0)))
        return 404, {}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, dict]:
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            if after < self._lost_up_to:
                return 410, {"error": "history lost"}
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint that registers itself, accepts flows and answers requests."""

    def __init__(self, world: World, service: str, zone: str, host: str) -> None:
        self.id = f"{random.getrandbits(48):012x}"
        self.key = f"servers/{self.id}"
        self.service, self.zone, self.host = service, zone, host
        self.address = f"{host}:{world.endpoint_port}"
        self.state = "ready"
        self.alive = True
        self.openings = 0
        self._world = world
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._written = b""
        self._slots = asyncio.Semaphore(2)
        self._flows: dict[bytes, dict] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, (self.host, self._world.endpoint_port)
        )
        self.register()
        self._world.spawn(self.beat())

    async def beat(self) -> None:
        """Keep the entry: write it again if it holds anything else."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive and self._world.store.get(self.key) != self._written:
                self.register()

    def register(self) -> None:
        """Write the entry, with the next sequence number."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "concurrency": 2,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._written = json.dumps(entry).encode()
        self._world.store.put(self.key, self._written)

    def crash(self) -> None:
        """End without a word: the socket closes and flows are forgotten."""
        self.alive = False
        self._flows.clear()
        if self._transport is not None:
            self._transport.close()
        self._world.record.write(f"endpoint {self.id} of {self.service} ends")

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, datagram: bytes, source) -> None:
        (intended,) = PREFIX.unpack_from(datagram)
        if not self.alive or intended not in (0, int(self.id, 16)):
            return
        packet = datagram[PREFIX.size :]
        fields = HEADER.unpack_from(packet)
        length, sport, dport, src, dst, seq, ack, flags, echo, _ = fields
        key = packet[2:14]
        flow = self._flows.get(key)

        def reply(flags: int, data: bytes = b"", acked: int = 0) -> None:
            own_seq = flow["seq"] + flow["sent"] if flow else 0
            head = HEADER.pack(
                len(data), dport, sport, dst, src, own_seq, acked, flags, echo, SUM
            )
            if flow:
                flow["sent"] += len(data)
            client = socket.inet_ntoa(src.to_bytes(4, "big"))
            if self._transport is not None and self.alive:
                self._transport.sendto(head + data, (client, self._world.node_port))

        if flags & SYN:
            self.openings += 1
            if flow is None:
                flow = {"seq": random.getrandbits(31), "sent": 0, "answers": {}}
                self._flows[key] = flow
                client = socket.inet_ntoa(src.to_bytes(4, "big"))
                self._world.record.write(
                    f"endpoint {self.id} of {self.service}: opening from"
                    f" {client}:{sport} by {source[0]}"
                )
            reply(SYN | ACK, acked=seq)
        elif flow is None:
            reply(ACK if flags & FIN else RST)
        elif flags & (FIN | RST):
            self._flows.pop(key, None)
            if flags & FIN:
                reply(FIN | ACK)
        elif length and seq not in flow["answers"]:
            flow["answers"][seq] = None
            body = packet[HEADER.size :]
            asyncio.ensure_future(self._run(body, flow, seq, reply))
        elif length and (answer := flow["answers"][seq]) is not None:
            # The client has not got the answer: send it again.
            flow["sent"] -= len(answer)
            reply(ACK, answer, seq + length)

    async def _run(self, body: bytes, flow: dict, seq: int, reply) -> None:
        """Run a request once and answer it."""
        async with self._slots:
            if not self.alive:
                return
            request_id = body.split(b" ")[0].decode()
            self._world.note_run(request_id, self)
            await asyncio.sleep(0.022)
            answer = b"200 " + body.split(b" ")[0] + b" " + self.id.encode()
            flow["answers"][seq] = answer
            reply(ACK, answer, seq + len(body))


class Node:
    """A machine of the system with its one process, restarted when it ends."""

    def __init__(self, world: World, name: str, zone: str, host: str) -> None:
        self.world, self.name, self.zone, self.host = world, name, zone, host
        self.ended_by_itself: list[float] = []
        self.misses = 2
        self.process: asyncio.subprocess.Process | None = None
        self._stopping = False

    @property
    def in_rotation(self) -> bool:
        return self.misses < 2

    async def supervise(self) -> None:
        world = self.world
        settings = world.folder / f"{self.name}.yaml"
        settings.write_text(world.render(self))
        command = [
            self.host + f":{world.node_port}" if "{{" in word else word
            for word in world.role["run"].split()
        ]
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {
            "LANG": "C.UTF-8",
            "EGRETHOOK_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        while not self._stopping:
            with open(world.folder / f"{self.name}.log", "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=env, stdout=log, stderr=log
                )
            code = await self.process.wait()
            if self._stopping:
                return
            self.ended_by_itself.append(world.record.now())
            world.record.write(f"process of {self.name} ended by itself, status {code}")
            await asyncio.sleep(RESTART_DELAY_S)

    async def probe(self) -> None:
        while True:
            ready = await self._ready()
            self.misses = 0 if ready else self.misses + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _ready(self) -> bool:
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.host, self.world.node_port + 2
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def stop(self, supervision: asyncio.Task) -> None:
        """End the process, also one that is being started, and its supervision."""
        self._stopping = True
        while not supervision.done():
            if self.process is not None and self.process.returncode is None:
                self.process.kill()
            await asyncio.sleep(0.05)


class Client(asyncio.DatagramProtocol):
    """A client host; each request uses a flow of its own, from a new port."""

    def __init__(self, world: World, zone: str, host: str) -> None:
        self.world, self.zone, self.host = world, zone, host
        self._ports = 20_000
        self._arrivals: dict[int, asyncio.Queue] = {}
        self._transport = None

    async def start(self) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, (self.host, self.world.node_port)
        )

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, datagram: bytes, source) -> None:
        if len(datagram) >= HEADER.size:
            fields = HEADER.unpack_from(datagram)
            queue = self._arrivals.get(fields[2])
            if queue is not None:
                queue.put_nowait((fields, datagram[HEADER.size :]))

    async def request(self, service: str, deadline_s: float) -> bool:
        """Send an idempotent request, with up to two retries."""
        began = time.monotonic()
        for attempt in range(3):
            left = began + deadline_s - time.monotonic()
            if left <= 0:
                break
            request_id = f"{service}-{random.getrandbits(40):010x}-{attempt}"
            outcome = await self._attempt(service, request_id, left)
            self.world.note_outcome(request_id, outcome)
            if outcome == "answered":
                return True
            await asyncio.sleep(0.05)
        return False

    async def _attempt(self, service: str, request_id: str, left: float) -> str:
        self._ports += 1
        port = self._ports
        queue = self._arrivals[port] = asyncio.Queue()
        ends_at = time.monotonic() + left
        try:
            opened = await self._open(service, port, queue)
            if opened is None:
                return "not opened"
            seq, token, endpoint_seq = opened
            data = request_id.encode() + b" GET /"
            wait_s = 0.2
            while (left := ends_at - time.monotonic()) > 0:
                self._send(service, port, ACK, seq, endpoint_seq, token, data)
                try:
                    async with asyncio.timeout(min(wait_s, left)):
                        while True:
                            fields, body = await queue.get()
                            if fields[7] & RST:
                                return "reset"
                            if body.startswith(b"200 "):
                                break
                except TimeoutError:
                    wait_s = min(1.6, 2 * wait_s)
                    continue
                acked = fields[5] + len(body)
                end = seq + len(data)
                self._send(service, port, FIN | ACK, end, acked, fields[8])
                right = body.split(b" ")[1] == request_id.encode()
                return "answered" if right else "foreign answer"
            return "no answer"
        finally:
            del self._arrivals[port]

    async def _open(self, service: str, port: int, queue) -> tuple | None:
        began = time.monotonic()
        seq = random.getrandbits(31)
        for copy, until in enumerate((*SYN_COPIES_S[1:], SYN_TIMEOUT_S)):
            self._send(service, port, SYN, seq, copy, 0)
            try:
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time() + began + until - time.monotonic()
                ):
                    while True:
                        fields, _ = await queue.get()
                        if fields[7] & RST:
                            return None
                        if fields[7] & SYN:
                            return seq, fields[8], fields[5]
            except TimeoutError:
                pass
        return None

    def _send(self, service, port, flags, seq, ack, echo, data: bytes = b"") -> None:
        host, target_port = self.world.routes[service]
        head = HEADER.pack(
            len(data), port, target_port, number(self.host), number(host),
            seq, ack, flags, echo, SUM,
        )  # fmt: skip
        node = self.world.route(self.zone, head[2:14])
        if node is not None:
            self._transport.sendto(head + data, (node.host, self.world.node_port))


class World:
    """A small deployment: 6 machines in 3 zones, two services, clients in each zone."""

    ZONES = ("zone-a", "zone-b", "zone-c")

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="egrethook-review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self._net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.node_port = free_port(self._net)
        self.endpoint_port = self.node_port + 5
        self.store_host, self.store_port = f"{self._net}.250", self.node_port + 6
        self.store = Store(self.record)
        self.routes = {
            "holdings": ("198.18.0.1", 443),
            "documents": ("198.18.0.2", 443),
        }
        self.config_version = 3
        self.nodes = [
            Node(self, f"edge-{zone}-{n}", zone, f"{self._net}.{10 + 2 * z + n}")
            for z, zone in enumerate(self.ZONES)
            for n in (1, 2)
        ]
        self.clients = [
            Client(self, zone, f"{self._net}.{200 + z}")
            for z, zone in enumerate(self.ZONES)
        ]
        self._hosts = iter(range(40, 190))
        self.endpoints: list[Endpoint] = []
        self.runs: dict[str, list[str]] = {}
        self.sent = self.answered = 0
        self.outcomes: list[tuple[float, str]] = []
        self._tasks: list[asyncio.Task] = []
        self._supervisions: list[asyncio.Task] = []

    # The platform ----------------------------------------------------------------

    def render(self, node: Node) -> str:
        """Fill in the template of the deploy file, as DEPLOY.md tells."""
        seeds = [f"{peer.host}:{self.node_port + 1}" for peer in self.nodes[:3]]
        values = {
            "nodeName": node.name,
            "zone": node.zone,
            "listen.datagramAddr": f"{node.host}:{self.node_port}",
            "listen.control": f"{node.host}:{self.node_port + 1}",
            "listen.readiness": f"{node.host}:{self.node_port + 2}",
            "platform.address": f"{self.store_host}:{self.store_port}",
            "seeds": seeds,
            "bounds.maxFlowS": 60,
        }
        text = (ROOT / self.role["template"]).read_text()
        for name, value in values.items():
            text = text.replace("{{" + name + "|json}}", json.dumps(value))
        assert "{{" not in text, "the template has a placeholder that is not filled"
        return text

    def route(self, zone: str, flow: bytes) -> Node | None:
        """Return the machine of a flow, by a hash over the machines in rotation."""
        here = [node for node in self.nodes if node.zone == zone]
        ready = [node for node in here if node.in_rotation]
        if not ready:
            ready = [node for node in self.nodes if node.in_rotation] or here
        elif 2 * len(ready) < len(here):
            ready = here
        return max(ready, key=lambda node: zlib.crc32(flow + node.host.encode()))

    def put_config(self, **timeouts: int) -> None:
        self.config_version += 3
        config = {
            "version": self.config_version,
            "routes": [
                {
                    "name": f"{service}-route",
                    "host": host,
                    "prefix": f"/{port}/",
                    "type": "safe",
                    "service": service,
                    "timeoutMs": 2000,
                    "sloMs": 150,
                    "priority": 2,
                    "attempts": 2,
                }
                for service, (host, port) in self.routes.items()
            ],
            "services": [
                {
                    "name": service,
                    "healthPath": "/healthz",
                    "maxConns": 2000,
                    "warmupS": 2,
                    "warmupPerS": 0,
                }
                for service in self.routes
            ],
            "limits": {"idleTimeoutMs": 12000},
        }
        self.store.put("op/config", json.dumps(config).encode())

    async def add_endpoint(self, service: str, zone: str) -> Endpoint:
        endpoint = Endpoint(self, service, zone, f"{self._net}.{next(self._hosts)}")
        self.endpoints.append(endpoint)
        await endpoint.start()
        return endpoint

    # What was seen -----------------------------------------------------------------

    def note_run(self, request_id: str, endpoint: Endpoint) -> None:
        self.runs.setdefault(request_id, []).append(endpoint.id)
        self.record.write(f"run {request_id} at {endpoint.id} of {endpoint.service}")

    def note_outcome(self, request_id: str, outcome: str) -> None:
        self.record.write(f"client: {request_id} {outcome}")

    # A run ---------------------------------------------------------------------------

    async def start(self) -> None:
        await self.store.start(self.store_host, self.store_port)
        self.put_config()
        for zone in self.ZONES:
            for _ in range(4):
                await self.add_endpoint("holdings", zone)
            await self.add_endpoint("documents", zone)
        for client in self.clients:
            await client.start()
        for node in self.nodes:
            self._supervisions.append(self.spawn(node.supervise()))
            self.spawn(node.probe())

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def traffic(self, client: Client, per_s: float) -> None:
        """Send requests until cancelled."""
        while True:
            service = "documents" if random.random() < 0.1 else "holdings"
            self.spawn(self._one(client, service))
            await asyncio.sleep(random.expovariate(per_s))

    async def _one(self, client: Client, service: str) -> None:
        began = self.record.now()
        good = await client.request(service, 2.0)
        self.outcomes.append((began, "answered" if good else "failed"))

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Return how many requests were answered and sent in a span of the run."""
        span = [what for began, what in self.outcomes if since <= began < until]
        return span.count("answered"), len(span)

    async def stop(self) -> None:
        for node, supervision in zip(self.nodes, self._supervisions, strict=False):
            await node.stop(supervision)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            log = self.folder / f"{node.name}.log"
            errors = [
                line
                for line in log.read_text(errors="replace").splitlines()
                if not line.startswith("{")
            ]
            for line in errors[-12:]:
                self.record.write(f"log of {node.name}: {line[:200]}")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(net: str) -> int:
    """Return a port so that it and the next ones are free on the network."""
    for _ in range(50):
        base = random.randrange(20_000, 30_000)
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                for offset in range(8):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((f"{net}.10", base + offset))
        except OSError:
            continue
        return base
    raise SystemExit(2)


def ended_three_times(world: World) -> list[Node]:
    """Return the machines whose process ended by itself three times or more."""
    return [node for node in world.nodes if len(node.ended_by_itself) >= 3]


def fault_broken(world: World) -> bool:
    """The rule Fault: three ends on a tenth of the machines, two at least."""
    needed = max(2, -(-len(world.nodes) // 10))
    return len(ended_three_times(world)) >= needed
