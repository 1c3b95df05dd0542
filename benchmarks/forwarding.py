"""Processor time of forwarding a packet, and the share that logging adds to it.

Excludes the event loop, wake-ups and gossip. docs/CAPACITY.md has the cost of logs
in a whole process, as measured on the platform's bench.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Collection
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
from egrethook.forwarding.data_path import build_data_path
from egrethook.forwarding.features import Feature
from egrethook.line_log import LineLog
from egrethook.logs import LogDestination, set_destination
from egrethook.platform.packet_header import ACK, FIN, FLOW_KEY, SYN, PacketHeader
from egrethook.upstreams.flow_limit import AimdFlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.selection import LowestCostSelector

FLOW_COUNT = 2_000
DATA_PACKETS_PER_FLOW = 6
FLOWS_PER_S = 30.0
"""Flow rate of one VM on the platform's bench, per second."""

RUN_PAIRS = 5

CANDIDATE_COUNT = 60
"""Upstreams that are compared for an opening."""

SERVICE_TIME_S = 0.1
"""Time from a request to its answer, in seconds."""


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
    selector = LowestCostSelector(
        "zone-0", limit, NoColdLimit(), LeastFlowsCost("zone-0")
    )
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


def _measure_opening_s(features: Collection[Feature]) -> float:
    """Return the processor time of an opening before many candidates, in seconds.

    Requests are answered after `SERVICE_TIME_S`, so that a few are in progress.
    """
    previous = set_destination(_NoLog())
    decoder = InMemoryDecoder()
    view = ForwardingView(decoder, 60.0)
    items = [PublishedItem(ItemKind.ROUTES, "", 1, decoder.encode(route_table()))]
    for number in range(CANDIDATE_COUNT):
        record = upstream_record(f"up-{number}", f"zone-{number % 3}")
        items.append(
            PublishedItem(ItemKind.UPSTREAM, record.name, 2, decoder.encode(record))
        )
    view.update(items, 0.0)
    port = _LoopbackPort()
    dispatcher = build_data_path(
        "vm",
        "zone-0",
        features,
        view,
        PacketHeader(),
        port,
        AimdFlowLimit(3),
        NoColdLimit(),
    ).dispatcher
    spent_s = 0.0
    in_progress: list[tuple[int, int]] = []
    flows_in_progress = round(FLOWS_PER_S * SERVICE_TIME_S)
    for number in range(FLOW_COUNT):
        now = number / FLOWS_PER_S
        source = number % 60_000 + 1_024
        opening = caller_packet(source, SYN)
        dispatcher.tick(now)
        began = time.process_time()
        dispatcher.handle(opening, now)
        spent_s += time.process_time() - began
        token = dispatcher._flows[opening[FLOW_KEY]].tried[0].token
        data = caller_packet(source, ACK, sequence=1, echo=token, data=b"x" * 100)
        dispatcher.handle(data, now + 0.003)
        in_progress.append((source, token))
        if len(in_progress) > flows_in_progress:
            source, token = in_progress.pop(0)
            closing = caller_packet(source, ACK | FIN, echo=token, acknowledged=100)
            dispatcher.handle(closing, now + 0.004)
    set_destination(previous)
    return spent_s / FLOW_COUNT


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
    opening_s, cost_aware_s = (
        min(_measure_opening_s(features) for _ in range(RUN_PAIRS))
        for features in ((), (Feature.COST_AWARE_PLACEMENT,))
    )
    packets = FLOW_COUNT * (DATA_PACKETS_PER_FLOW + 2)
    return [
        Figure(
            "processor time a packet, with its sending",
            best_unlogged_s / packets * 1e6,
            "us",
        ),
        Figure("what log lines add to this path alone", ratio - 1.0),
        Figure("an opening, 60 candidates", opening_s * 1e6, "us"),
        Figure(
            "an opening, 60 candidates, cost-aware placement", cost_aware_s * 1e6, "us"
        ),
    ]
