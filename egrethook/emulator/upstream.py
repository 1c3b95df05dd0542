"""An emulated upstream with slots, flows, cold start, shedding and load reports."""

from __future__ import annotations

import random
import secrets
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from egrethook.addresses import Address
from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.packets import CHUNK_BYTES, Close, Data, Reply, Reset
from egrethook.callers.tokens import Token, read_unverified
from egrethook.exceptions import BadMessageError, TokenError
from egrethook.network import Datagrams, DatagramSocket
from egrethook.published.documents import EndpointModel
from egrethook.tracing import Tracer
from egrethook.upstreams import frames
from egrethook.upstreams.admission import ShedReason
from egrethook.upstreams.messages import encode_frame, read_frame
from egrethook.verdicts import Refusal

LOAD_REPORT_INTERVAL_S = 0.25
"""Time between load reports, in seconds."""

COLD_FLOW_GROWTH_FACTOR = 1.5
"""Growth of the flow limit of a cold upstream per step."""

COLD_FLOW_GROWTH_STEP_S = 1.0
"""Duration of a growth step, in seconds."""


def service_time_s(seed: int, number: int, mean_s: float) -> float:
    """Return the service time of a request, in seconds; the same on each upstream."""
    if not mean_s:
        return 0.0
    return random.Random(f"{seed}:{number}").expovariate(1.0 / mean_s)


@dataclass
class UpstreamCounts:
    """Counters of an upstream, which tests and the run report evaluate.

    Parameters
    ----------
    executed : Counter
        Number of executions by caller and request number.
    answered, shed : int
        Requests answered and requests refused.
    overloads : int
        Requests shed while cold, and flow packets received above the flow limit.
    wrong_service : int
        Connections and flow packets meant for another service or upstream.
    flow_packets : int
        Flow packets answered.
    busy_s : float
        Total running time of the requests, in seconds.
    most_running, most_flows : int
        Highest numbers of concurrent requests and open flows.
    """

    executed: Counter[tuple[int, int]] = field(default_factory=Counter)
    answered: int = 0
    shed: int = 0
    overloads: int = 0
    wrong_service: int = 0
    flow_packets: int = 0
    busy_s: float = 0.0
    most_running: int = 0
    most_flows: int = 0


@dataclass(eq=False)
class _Job:
    """A running request."""

    run_id: int
    scope: anyio.CancelScope
    cancelled: bool = False


class UpstreamEmulator:
    """Serves requests and flows.

    Parameters
    ----------
    service : str
        Service of the upstream.
    endpoint : EndpointModel
        Name, addresses and limits of the upstream.
    mean_service_s : float
        Mean service time, in seconds.
    answer_bytes : int
        Length of each answer, in bytes.
    seed : int
        Seed of the service times.
    tracer : Tracer
        Records the spans of traced requests.
    """

    def __init__(
        self,
        service: str,
        endpoint: EndpointModel,
        mean_service_s: float,
        answer_bytes: int,
        seed: int,
        tracer: Tracer,
    ) -> None:
        self._service = service
        self._endpoint = endpoint
        self._mean_service_s = mean_service_s
        self._answer_bytes = answer_bytes
        self._seed = seed
        self._tracer = tracer
        self.counts = UpstreamCounts()
        self._running: set[_Job] = set()
        self._flows: dict[int, Token] = {}
        self._flows_seen: set[int] = set()
        self._locks: dict[ByteStream, anyio.Lock] = {}
        self._draining = False
        self._silent = False
        self._slow_factor = 1.0
        self._become_cold()

    def _become_cold(self) -> None:
        self._boot = secrets.randbits(62)
        self._answered_since_boot = 0
        self._booted_at = anyio.current_time()

    @property
    def cold(self) -> bool:
        """Whether the lower limits of a cold upstream apply."""
        return self._answered_since_boot < self._endpoint.cold.answers

    @property
    def running_limit(self) -> int:
        """Maximum number of concurrent requests."""
        endpoint = self._endpoint
        return endpoint.cold.slots if self.cold else endpoint.slots

    @property
    def flow_limit(self) -> int:
        """Maximum number of open flows."""
        endpoint = self._endpoint
        steps = (anyio.current_time() - self._booted_at) / COLD_FLOW_GROWTH_STEP_S
        # 60 steps multiply the limit by more than 10**10, beyond any real limit.
        if not self.cold or steps > 60:
            return endpoint.connections
        limit = endpoint.cold.connections * COLD_FLOW_GROWTH_FACTOR**steps
        return min(endpoint.connections, int(limit))

    def state(self) -> dict[str, Any]:
        """Return the counters and the current state."""
        counts = dict(vars(self.counts))
        counts["executed"] = [[*key, n] for key, n in self.counts.executed.items()]
        return {
            **counts,
            "name": self._endpoint.name,
            "running": len(self._running),
            "flows": len(self._flows),
            "flows_seen": sorted(self._flows_seen),
            "cold": self.cold,
            "draining": self._draining,
        }

    def change(self, settings: dict[str, Any]) -> None:
        """Change the behaviour; settings that are not given keep their value.

        Parameters
        ----------
        settings : dict
            ``drain`` sheds all new requests and reports it. ``silent`` ignores
            requests and pings and sends owners neither answers nor reports.
            ``slow_factor`` multiplies the mean service time. ``cold`` forgets all flows
            and starts cold again, like a new process.
        """
        self._draining = bool(settings.get("drain", self._draining))
        self._silent = bool(settings.get("silent", self._silent))
        self._slow_factor = float(settings.get("slow_factor", self._slow_factor))
        if settings.get("cold"):
            self._flows.clear()
            self._become_cold()

    # Requests ------------------------------------------------------------

    async def serve_connection(self, stream: ByteStream) -> None:
        """Serve the connection of an owner."""
        reader = BufferedByteReceiveStream(stream)
        self._locks[stream] = anyio.Lock()
        async with stream:
            try:
                hello = await read_frame(reader)
                if not isinstance(hello, frames.Hello):
                    return
                if hello.service_name != self._service:
                    self.counts.wrong_service += 1
                    return
                await stream.send(encode_frame(self._welcome()))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send_reports, stream)
                    await self._read_requests(stream, reader, tasks)
                    tasks.cancel_scope.cancel()
            except (
                BadMessageError,
                anyio.EndOfStream,
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            except BaseExceptionGroup as group:
                connection_errors = (
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                )
                _, other_errors = group.split(connection_errors)
                if other_errors is not None:
                    raise
            finally:
                del self._locks[stream]

    def _welcome(self) -> frames.Welcome:
        return frames.Welcome(
            upstream=self._endpoint.name,
            service_name=self._service,
            incarnation=self._endpoint.incarnation,
            boot=self._boot,
            answered=self._answered_since_boot,
            running=len(self._running),
            flows=len(self._flows),
        )

    def _load_report(self) -> frames.Load:
        return frames.Load(
            boot=self._boot,
            running=len(self._running),
            flows=len(self._flows),
            answered=self._answered_since_boot,
            draining=self._draining,
        )

    async def _send(self, stream: ByteStream, message: Any) -> None:
        if not self._silent:
            async with self._locks[stream]:
                await stream.send(encode_frame(message))

    async def _send_reports(self, stream: ByteStream) -> None:
        while True:
            await anyio.sleep(LOAD_REPORT_INTERVAL_S)
            await self._send(stream, self._load_report())

    async def _read_requests(
        self, stream: ByteStream, reader: BufferedByteReceiveStream, tasks: TaskGroup
    ) -> None:
        jobs: dict[int, _Job] = {}
        try:
            while True:
                message = await read_frame(reader)
                if self._silent:
                    continue
                if isinstance(message, frames.Ping):
                    await self._send(stream, frames.Pong(message.sequence))
                elif isinstance(message, frames.CancelRun):
                    self._cancel(jobs.get(message.run_id))
                elif isinstance(message, frames.Execute):
                    await self._start_job(stream, message, jobs, tasks)
        except (anyio.EndOfStream, anyio.IncompleteRead):
            # The owner has disconnected. Running requests are completed, because a real
            # upstream would not undo their effects either.
            while jobs:
                await anyio.sleep(0.01)

    def _cancel(self, job: _Job | None) -> None:
        if job is not None:
            job.cancelled = True
            job.scope.cancel()

    async def _start_job(
        self,
        stream: ByteStream,
        execute: frames.Execute,
        jobs: dict[int, _Job],
        tasks: TaskGroup,
    ) -> None:
        reason = self._shed_reason()
        if reason is not None:
            self.counts.shed += 1
            await self._send(stream, frames.Shed(execute.run_id, reason))
            return
        job = _Job(execute.run_id, anyio.CancelScope())
        jobs[execute.run_id] = job
        self._running.add(job)
        self.counts.most_running = max(self.counts.most_running, len(self._running))
        self.counts.executed[execute.caller_id, execute.number] += 1
        tasks.start_soon(self._run_job, stream, execute, job, jobs)

    def _shed_reason(self) -> ShedReason | None:
        if self._draining:
            return ShedReason.DRAINING
        if len(self._running) < self.running_limit:
            return None
        if not self.cold:
            return ShedReason.BUSY
        self.counts.overloads += 1
        return ShedReason.OVERLOADED

    async def _run_job(
        self,
        stream: ByteStream,
        execute: frames.Execute,
        job: _Job,
        jobs: dict[int, _Job],
    ) -> None:
        mean_s = self._mean_service_s * self._slow_factor
        started = anyio.current_time()
        with job.scope, self._tracer.span("upstream", execute.trace):
            await anyio.sleep(service_time_s(self._seed, execute.number, mean_s))
        self.counts.busy_s += anyio.current_time() - started
        self._running.discard(job)
        jobs.pop(execute.run_id, None)
        try:
            if job.cancelled:
                await self._send(stream, frames.Cancelled(execute.run_id, True))
                return
            self.counts.answered += 1
            self._answered_since_boot += 1
            await self._answer(stream, execute)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _answer(self, stream: ByteStream, execute: frames.Execute) -> None:
        payload = self.answer_for(execute)
        count = max(1, -(-len(payload) // CHUNK_BYTES))
        for index in range(count):
            part = payload[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
            message = frames.Answer(execute.run_id, index, count, part)
            await self._send(stream, message)

    def answer_for(self, execute: frames.Execute) -> bytes:
        """Return an answer that names the upstream, the caller and the request."""
        name = self._endpoint.name
        prefix = f"{name} {execute.caller_id} {execute.number} ".encode()
        repeated = execute.payload + f"@{name} ".encode()
        return prefix + repeated * max(
            1, (self._answer_bytes - len(prefix)) // len(repeated)
        )

    # Flows ---------------------------------------------------------------

    async def serve_flows(self, datagrams: Datagrams) -> None:
        """Answer flow packets, sending the replies directly to the callers."""
        while True:
            for data, _ in await datagrams.receive():
                try:
                    packet = CALLER_CODEC.decode(data)
                    self._on_flow_packet(packet, datagrams)
                except (BadMessageError, TokenError):
                    continue

    def _on_flow_packet(self, packet: Any, datagrams: Datagrams) -> None:
        if not isinstance(packet, Data | Close):
            return
        token = read_unverified(packet.token)
        expected = (self._service, self._endpoint.name, self._endpoint.incarnation)
        if (token.service_name, token.upstream, token.incarnation) != expected:
            self.counts.wrong_service += 1
            reset = Reset(packet.number, Refusal.UPSTREAM_GONE)
            datagrams.send(token.caller, CALLER_CODEC.encode(reset))
            return
        if isinstance(packet, Close):
            self._flows.pop(token.serial, None)
            return
        self._flows[token.serial] = token
        self._flows_seen.add(token.serial)
        if len(self._flows) > self.flow_limit:
            self.counts.overloads += 1
        self.counts.flow_packets += 1
        self.counts.most_flows = max(self.counts.most_flows, len(self._flows))
        reply = Reply(packet.number, packet.sequence, packet.payload, self._boot)
        datagrams.send(token.caller, CALLER_CODEC.encode(reply))


async def listen(emulator: UpstreamEmulator, endpoint: EndpointModel) -> None:
    """Serve the request and flow addresses of an upstream until cancelled."""
    address = Address.parse(endpoint.address)
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port, reuse_port=False
    )
    with DatagramSocket(Address.parse(endpoint.flow_address)) as datagrams:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(emulator.serve_flows, datagrams)
            await listener.serve(emulator.serve_connection)
