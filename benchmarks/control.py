"""Control-plane cost of one balancer: traffic, processor time and memory.

docs/CAPACITY.md uses the slopes over the numbers of peers and endpoints. The figures
whose names begin with "design" hold for the largest deployment designed for.
"""

from __future__ import annotations

import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass

import numpy

from benchmarks.figures import Figure
from egrethook.balancers.membership import HEARTBEAT_INTERVAL_S, Membership
from egrethook.balancers.messages import PeerCodec
from egrethook.balancers.ownership import Ownership
from egrethook.balancers.peer_packets import Heartbeat, MemberState
from egrethook.emulator.builders import make_vm
from egrethook.emulator.layouts import LAYOUTS
from egrethook.emulator.load import Load, LoadGenerator
from egrethook.emulator.upstream import LOAD_REPORT_INTERVAL_S
from egrethook.emulator.virtual import VirtualFleet, run_virtual
from egrethook.published.configuration import ConfigurationStore, DocumentKey
from egrethook.published.documents import render, validate
from egrethook.published.reader import WATCH_WAIT_S
from egrethook.types import ExecutorId
from egrethook.upstreams import frames
from egrethook.upstreams.messages import encode_frame
from egrethook.upstreams.rights import TOKEN_LIFE_S, Rights

PEER_COUNTS = (6, 24, 96)
ENDPOINT_COUNTS = (10, 100, 1000)
HEARTBEAT_ROUNDS = 400
LOAD_DURATION_S = 10.0
UDP_IP_HEADER_BYTES = 28
"""Size of the UDP and IP headers of a datagram, in bytes."""

TCP_IP_HEADER_BYTES = 52
"""Size of the TCP and IP headers of a segment with timestamps, in bytes."""

HTTP_OVERHEAD_BYTES = 400
"""Size of the headers of one HTTP call and its response, in bytes."""

DESIGN_BALANCERS = 720
DESIGN_DOMAINS = 7
DESIGN_ENDPOINTS = 4100
DESIGN_CHANGE_INTERVAL_S = 86_400 / 4100
"""Interval between configuration changes, in seconds: 4100 changes a day."""

SERVICES_PER_DOCUMENT = 8
"""Number of services in one published document."""

TRAFFIC_TARGET_BYTES_PER_S = 6000.0
PROCESSOR_SHARE_TARGET = 0.026
MEMORY_TARGET_BYTES = 32 * 2**20


@dataclass(frozen=True)
class MembershipCost:
    """Cost of heartbeats: bytes sent per second and the share of a processor used."""

    bytes_per_s: float
    processor_share: float


def measure_membership(peers: int) -> MembershipCost:
    """Return the cost of heartbeats with a number of peers in one failure domain."""
    domain = "domain-1"
    vms = [make_vm(f"node-{number:04}", number % 250) for number in range(peers + 1)]
    codec = PeerCodec(["a-secret-of-sixteen"])
    membership = Membership("node-0000", domain, 1, 0.0)
    membership.set_published_vms(vms, 0.0)
    neighbours = membership.neighbours()
    others = {name: Membership(name, domain, 2, 0.0) for name in neighbours}
    heartbeats = {n: codec.encode(m.heartbeat(1, [])) for n, m in others.items()}
    sent = 0
    began = time.process_time()
    for step in range(HEARTBEAT_ROUNDS):
        now = step * HEARTBEAT_INTERVAL_S
        for name in neighbours:
            sent += len(codec.encode(membership.heartbeat(1, []))) + UDP_IP_HEADER_BYTES
            membership.observe(codec.decode(heartbeats[name]), now)
        for tick in range(10):
            membership.suspect_silent(now + tick * 0.05)
    elapsed_s = HEARTBEAT_ROUNDS * HEARTBEAT_INTERVAL_S
    return MembershipCost(sent / elapsed_s, (time.process_time() - began) / elapsed_s)


def render_index(services: int, groups: int, revision: int) -> bytes:
    """Return an index that lists a number of service groups."""
    return render(
        validate(
            {
                "kind": "index",
                "revision": revision,
                "preset": "ordinary",
                "presets": {"ordinary": {}, "peak": {}, "maintenance": {}},
                "failure_domains": {
                    f"domain-{n}": {"region": f"region-{n % 3}"}
                    for n in range(DESIGN_DOMAINS)
                },
                "keys": {1: "00" * 16, 2: "11" * 16},
                "signing_key": 2,
                "services": {f"g{n}": revision for n in range(groups)},
                "vms": {f"domain-{n}": 1 for n in range(DESIGN_DOMAINS)},
            }
        )
    )


def render_service_group(first: int, endpoints: int, revision: int) -> bytes:
    """Return a group of services with two endpoints each, beginning at a number."""
    services = []
    for number in range(first, first + endpoints, 2):
        services.append(
            {
                "name": f"service-{number}",
                "endpoints": [
                    {
                        "name": f"upstream-{n}",
                        "address": f"10.{n // 250}.{n % 250}.1:9000",
                        "flow_address": f"10.{n // 250}.{n % 250}.1:9001",
                        "failure_domain": f"domain-{n % DESIGN_DOMAINS}",
                    }
                    for n in range(number, min(number + 2, first + endpoints))
                ],
            }
        )
    name = f"g{first // (2 * SERVICES_PER_DOCUMENT)}"
    value = {"kind": "services", "name": name, "revision": revision}
    return render(validate({**value, "services": services}))


@dataclass(frozen=True)
class ConfigurationCost:
    """Cost of the configuration with a number of endpoints.

    Parameters
    ----------
    memory, change_bytes : int
        Memory used, and bytes read for one change.
    change_s, ranking_s, start_s : float
        Processor time of a change of the configuration, of a change of the
        members, and of the first ranking of owners, in seconds.
    """

    memory: int
    change_bytes: int
    change_s: float
    ranking_s: float
    start_s: float


def measure_configuration(endpoints: int) -> ConfigurationCost:
    """Return the cost of the configuration with a number of endpoints."""
    endpoints_per_group = 2 * SERVICES_PER_DOCUMENT
    groups = -(-endpoints // endpoints_per_group)
    tracemalloc.start()
    store = ConfigurationStore()
    store.offer_index(render_index(endpoints // 2, groups, 1))
    for group in range(groups):
        count = min(endpoints_per_group, endpoints - group * endpoints_per_group)
        raw = render_service_group(group * endpoints_per_group, count, 1)
        store.offer_document(DocumentKey("services", f"g{group}"), raw)
    vm = make_vm("node-0", 1, "domain-0")
    ownership = Ownership(vm, _make_membership(DESIGN_BALANCERS - 1))
    _compute_ownership(ownership, store)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    members = _make_membership(DESIGN_BALANCERS - 1)
    ownership = Ownership(vm, members)
    _compute_ownership(ownership, store)
    start_s = time.process_time() - began
    began = time.process_time()
    for name in ("n-7", "n-14", "n-21"):
        members.observe(Heartbeat(name, 1, MemberState.LEAVING, 1, 1), 0.0)
        _compute_ownership(ownership, store)
    ranking_s = (time.process_time() - began) / 3
    index = render_index(endpoints // 2, groups, 2)
    group = render_service_group(0, min(endpoints_per_group, endpoints), 2)
    began = time.process_time()
    store.offer_index(index)
    store.offer_document(DocumentKey("services", "g0"), group)
    _compute_ownership(ownership, store)
    spent_s = time.process_time() - began
    change_bytes = len(index) + len(group) + 2 * HTTP_OVERHEAD_BYTES
    return ConfigurationCost(memory, change_bytes, spent_s, ranking_s, start_s)


def _compute_ownership(ownership: Ownership, store: ConfigurationStore) -> None:
    configuration = store.configuration
    for endpoint in configuration.endpoints():
        ownership.owns(endpoint, configuration, 0.0)


def _make_membership(count: int) -> Membership:
    membership = Membership("node-0", "domain-0", 1, 0.0)
    vms = [make_vm(f"n-{n}", n, f"domain-{n % DESIGN_DOMAINS}") for n in range(count)]
    membership.set_published_vms(vms, 0.0)
    return membership


def load_report_bytes() -> int:
    """Return the size of one load report with its headers, in bytes."""
    frame = encode_frame(frames.Load(2**62, 2, 2000, 10**6, False))
    return len(frame) + 2 * TCP_IP_HEADER_BYTES


def measure_token_bytes(tokens: int = 20_000) -> float:
    """Return the memory used by one remembered token, in bytes."""
    tracemalloc.start()
    rights = Rights(ExecutorId("node-0", 1))
    for _ in range(tokens):
        rights.claim(rights.issue(0.0), 1, 0.0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory / tokens


def measure_member_bytes(members: int = 719) -> float:
    """Return the memory used by one known member, in bytes."""
    tracemalloc.start()
    membership = _make_membership(members)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(membership.members) == members
    return memory / members


async def measure_sent_bytes_per_s(rate_per_s: float) -> dict[str, float]:
    """Return the bytes per second that one of six balancers sends to peers, by kind."""
    layout = LAYOUTS["cantabrico"]
    fleet = VirtualFleet(layout, 1)
    load = Load(layout.services[0].name, rate_per_s, 0.5, 0, LOAD_DURATION_S)
    async with fleet.running(), fleet.caller() as caller:
        before = _sent_bytes_by_kind(fleet)
        await LoadGenerator(caller, load, 1).run()
        after = _sent_bytes_by_kind(fleet)
        nodes = len(fleet.balancers)
    return {
        kind: (after[kind] - before[kind]) / nodes / LOAD_DURATION_S for kind in after
    }


def _sent_bytes_by_kind(fleet: VirtualFleet) -> Counter[str]:
    sent: Counter[str] = Counter()
    for balancer in fleet.balancers.values():
        for metric in balancer.metrics.peer_bytes.collect():
            for sample in metric.samples:
                if sample.name.endswith("_total"):
                    sent[sample.labels["kind"]] += int(sample.value)
    return sent


def run() -> list[Figure]:
    """Return the figures."""
    figures = []
    for label, rate_per_s in (("idle", 0.1), ("busy, 200 requests / s", 200.0)):
        sent = run_virtual(measure_sent_bytes_per_s, rate_per_s, seed=1)
        figures += [
            Figure(f"node of six, {label}: {kind}", value, "bytes / s")
            for kind, value in sorted(sent.items())
        ]
    heartbeats = {peers: measure_membership(peers) for peers in PEER_COUNTS}
    for peers, cost in heartbeats.items():
        figures.append(
            Figure(f"membership, {peers} peers", cost.bytes_per_s, "bytes / s")
        )
        figures.append(
            Figure(f"membership, {peers} peers", cost.processor_share, "of a core")
        )
    costs = {
        endpoints: measure_configuration(endpoints) for endpoints in ENDPOINT_COUNTS
    }
    for endpoints, cost in costs.items():
        label = f"configuration, {endpoints} endpoints"
        figures.append(Figure(f"{label}: memory", cost.memory, "bytes"))
        figures.append(Figure(f"{label}: one change", cost.change_bytes, "bytes"))
        figures.append(Figure(f"{label}: one change", cost.change_s * 1e3, "ms"))
    design = measure_configuration(DESIGN_ENDPOINTS)
    members = measure_membership(DESIGN_BALANCERS // DESIGN_DOMAINS)
    slope, _ = numpy.polyfit(
        ENDPOINT_COUNTS, [costs[e].memory for e in ENDPOINT_COUNTS], 1
    )
    watch_bytes_per_s = HTTP_OVERHEAD_BYTES / WATCH_WAIT_S
    report_bytes_per_s = (
        DESIGN_ENDPOINTS
        / DESIGN_BALANCERS
        / LOAD_REPORT_INTERVAL_S
        * load_report_bytes()
    )
    bytes_per_s = (
        2 * members.bytes_per_s
        + report_bytes_per_s
        + design.change_bytes / DESIGN_CHANGE_INTERVAL_S
        + watch_bytes_per_s
    )
    processor = members.processor_share + design.change_s / DESIGN_CHANGE_INTERVAL_S
    memory = design.memory + measure_member_bytes() * DESIGN_BALANCERS
    return [
        *figures,
        Figure("memory of an endpoint (slope)", float(slope), "bytes"),
        Figure("memory of a member", measure_member_bytes(), "bytes"),
        Figure("memory of a token", measure_token_bytes(), "bytes"),
        Figure("token life", TOKEN_LIFE_S, "s"),
        Figure("design: one change", design.change_bytes, "bytes"),
        Figure("design: one change", design.change_s * 1e3, "ms"),
        Figure("design: first ranking", design.start_s * 1e3, "ms"),
        Figure("design: one change of members", design.ranking_s * 1e3, "ms"),
        Figure("design: heartbeats, both ways", 2 * members.bytes_per_s, "bytes / s"),
        Figure("design: load reports", report_bytes_per_s, "bytes / s"),
        Figure(
            "design: control bytes",
            bytes_per_s,
            "bytes / s",
            "<=",
            TRAFFIC_TARGET_BYTES_PER_S,
        ),
        Figure(
            "design: processor", processor, "of a core", "<=", PROCESSOR_SHARE_TARGET
        ),
        Figure("design: memory", memory, "bytes", "<=", MEMORY_TARGET_BYTES),
        # A watch waits 0.7 to 1.0 of WATCH_WAIT_S, 0.85 on average.
        Figure(
            "design: watches", DESIGN_BALANCERS / (WATCH_WAIT_S * 0.85), "calls / s"
        ),
    ]
