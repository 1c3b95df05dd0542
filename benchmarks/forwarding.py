"""Processor time of forwarding a packet, and the share that logging adds to it.

Excludes the event loop, wake-ups and gossip. docs/CAPACITY.md has the cost of logs
in a whole process, as measured on the platform's bench.
"""

from __future__ import annotations

import os
import socket
import time
from typing import Any

from benchmarks.figures import Figure
from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.discovery.view import ForwardingView
from egrethook.emulator.flow_records import (
    InMemoryDecoder,
    NoColdLimit,
    caller_packet,
    route_table,
    upstream_record,
)
from egrethook.line_log import LineLog
from egrethook.logs import LogDestination, set_destination
from egrethook.platform.packet_header import ACK, FIN, FLOW_KEY, SYN, PacketHeader
from egrethook.upstreams.flow_limit import AimdFlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.selection import LeastFlowsSelector

FLOW_COUNT = 2_000
DATA_PACKETS_PER_FLOW = 6
FLOWS_PER_S = 30.0
"""Flow rate of one VM on the platform's bench, per second."""

RUN_PAIRS = 5


class _NoLog:
    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Drop one event."""


class _LoopbackPort:
    """Sends packets over a loopback socket and receives them again."""

    def __init__(self) -> None:
        self._sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sink.bind(("127.0.0.1", 0))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._target = self._sink.getsockname()
        self.received = 0

    def to_upstream(self, address: tuple[str, int], packet: bytes) -> None:
        """Send a packet, and receive it on the other socket."""
        self._socket.sendto(packet, self._target)
        self._sink.recvfrom(2048)
        self.received += 1

    def to_caller(self, caller: tuple[int, int], packet: bytes) -> None:
        """Send nothing."""


def _measure_processor_s(log: LogDestination) -> float:
    """Return the processor time of all flows with a log, in seconds."""
    previous = set_destination(log)
    decoder = InMemoryDecoder()
    view = ForwardingView(decoder, 60.0)
    records = [upstream_record(f"up-{n}", f"zone-{n % 3}") for n in range(7)]
    items = [PublishedItem(ItemKind.ROUTES, "", 1, decoder.encode(route_table()))]
    items += [
        PublishedItem(ItemKind.UPSTREAM, one.name, 2, decoder.encode(one))
        for one in records
    ]
    view.update(items, 0.0)
    limit = AimdFlowLimit(3)
    selector = LeastFlowsSelector("zone-0", limit, NoColdLimit())
    port = _LoopbackPort()
    dispatcher = FlowDispatcher(
        view, PacketHeader(), port, selector, limit, PassiveHealth("vm")
    )
    token = view.upstreams.all()[0].token
    began = time.process_time()
    for number in range(FLOW_COUNT):
        now = number / FLOWS_PER_S
        source = number % 60_000 + 1_024
        opening = caller_packet(source, SYN)
        dispatcher.handle(opening, now)
        token = dispatcher._flows[opening[FLOW_KEY]].tried[0].token
        for part in range(DATA_PACKETS_PER_FLOW):
            data = caller_packet(
                source, ACK, sequence=part * 100, echo=token, data=b"x" * 100
            )
            dispatcher.handle(data, now)
        dispatcher.handle(caller_packet(source, ACK | FIN, echo=token), now)
    seconds = time.process_time() - began
    set_destination(previous)
    return seconds


def run() -> list[Figure]:
    """Return the best time without logs and the median ratio over pairs of runs."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    ticks = iter(range(10**9))
    log = LineLog(descriptor, "vm", lambda: next(ticks) / FLOWS_PER_S)
    pairs = [
        (_measure_processor_s(_NoLog()), _measure_processor_s(log))
        for _ in range(RUN_PAIRS)
    ]
    best_unlogged_s = min(unlogged for unlogged, _ in pairs)
    ratio = sorted(logged / unlogged for unlogged, logged in pairs)[len(pairs) // 2]
    packets = FLOW_COUNT * (DATA_PACKETS_PER_FLOW + 2)
    return [
        Figure(
            "processor time a packet, with its sending",
            best_unlogged_s / packets * 1e6,
            "us",
        ),
        Figure("what log lines add to this path alone", ratio - 1.0),
    ]
