"""Processor time of an owner per flow and of an executor per request."""

from __future__ import annotations

import time
import tracemalloc
from typing import Any

from benchmarks.figures import Figure
from egrethook.addresses import Address
from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.packets import Done, Open, Run
from egrethook.callers.tokens import Token
from egrethook.clock import MonotonicClock
from egrethook.emulator.builders import (
    SERVICE,
    FixedConfigurationSource,
    make_configuration,
)
from egrethook.types import ExecutorId
from egrethook.upstreams.admission import Report
from egrethook.upstreams.executor import Executor

REQUEST_COUNT = 5000
FLOW_COUNT = 1800
"""Number of flows opened; an endpoint accepts up to 2,000."""

CALLER = Address("192.0.2.1", 9000)
WARM_REPORT = Report(boot=1, running=0, flows=0, answered=1000)


class EncodingSender:
    """Encodes packets to callers, as the front does, without sending them."""

    def send(self, address: Address, packet: Any) -> None:
        """Encode a packet."""
        CALLER_CODEC.encode(packet)


class RecordingLink:
    """Records the run id of the last request."""

    run_id = 0

    def execute(self, run_id: int, run: Run, deadline_ms: int) -> None:
        """Record a request."""
        self.run_id = run_id

    def cancel(self, run_id: int) -> None:
        """Ignore a cancellation."""


def make_executor() -> tuple[Executor, RecordingLink]:
    """Return an executor that owns one upstream, and the link to it."""
    configuration = make_configuration(upstreams=("upstream-1",))
    executor = Executor(
        ExecutorId("node-1", 1),
        FixedConfigurationSource(configuration),
        EncodingSender(),
        None,
        MonotonicClock(),
    )
    link = RecordingLink()
    endpoint = next(configuration.endpoints())
    executor.pool.add(endpoint, configuration.limits, link)
    executor.connected(endpoint.name, WARM_REPORT)
    return executor, link


def measure_flow_us() -> float:
    """Return the time to decode, admit and answer one `Open`, in microseconds."""
    executor, _ = make_executor()
    packets = [
        CALLER_CODEC.encode(Open(SERVICE, 1, number, *CALLER))
        for number in range(FLOW_COUNT)
    ]
    began = time.process_time()
    for raw in packets:
        executor.issuer.open(CALLER_CODEC.decode(raw), "")
    spent_s = time.process_time() - began
    assert executor.issuer.flows_opened == FLOW_COUNT
    return spent_s / FLOW_COUNT * 1e6


def measure_request_us() -> float:
    """Return the time of one granted request from `Run` to `Done`, in microseconds."""
    executor, link = make_executor()
    configuration = make_configuration(upstreams=("upstream-1",))
    serial = executor.rights.issue(MonotonicClock().now())
    endpoint = next(configuration.endpoints())
    token_bytes = executor.issuer.create_token(endpoint, CALLER, serial)
    token: Token = configuration.keys.unseal(token_bytes)
    packets = [
        CALLER_CODEC.encode(
            Run(
                service_name=SERVICE,
                caller_id=1,
                number=number,
                attempt=1,
                idempotent=False,
                deadline_ms=2000,
                caller_host=CALLER.host,
                caller_port=CALLER.port,
                payload=b"x" * 200,
                sequence=number,
                token=token_bytes,
            )
        )
        for number in range(1, REQUEST_COUNT + 1)
    ]
    began = time.process_time()
    for number, raw in enumerate(packets, 1):
        executor.run_granted(CALLER_CODEC.decode(raw), token)
        executor.answer("upstream-1", link.run_id, 0, 1, b"x" * 200)
        executor.done(Done(token_bytes, 1, number, 1))
    return (time.process_time() - began) / REQUEST_COUNT * 1e6


def measure_idle_upstream_bytes(upstreams: int = 500) -> float:
    """Return the memory that an owner uses for one idle upstream, in bytes."""
    names = tuple(f"upstream-{number}" for number in range(upstreams))
    configuration = make_configuration(upstreams=names)
    executor, link = make_executor()
    tracemalloc.start()
    for endpoint in configuration.endpoints():
        executor.pool.add(endpoint, configuration.limits, link)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory / upstreams


def run() -> list[Figure]:
    """Return the figures."""
    return [
        Figure("owner: admit a flow", measure_flow_us(), "us"),
        Figure("executor: a granted request", measure_request_us(), "us"),
        Figure("owner: an idle upstream", measure_idle_upstream_bytes(), "bytes"),
    ]
