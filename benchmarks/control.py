"""Cost of control for one balancer: bytes, processor time and memory.

The slopes against the number of peers and of endpoints go into
docs/CAPACITY.md; the last figures are worked out for the size to design for.
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

PEERS = (6, 24, 96)
ENDPOINTS = (10, 100, 1000)
ROUNDS = 400
BUSY_S = 10.0
UDP_IP_BYTES = 28
"""Length of the UDP and IP headers of a datagram, in bytes."""

TCP_IP_BYTES = 52
"""Length of the TCP and IP headers of a segment with time stamps, in bytes."""

HTTP_BYTES = 400
"""Headers of one call and its answer, in bytes; counted from a trace."""

DESIGN_NODES = 720
DESIGN_DOMAINS = 7
DESIGN_ENDPOINTS = 4100
DESIGN_CHANGES_S = 86_400 / 4100
GROUP = 8
"""Services in one value at the design size."""

BYTES_TARGET = 6000.0
PROCESSOR_TARGET = 0.026
MEMORY_TARGET = 32 * 2**20


@dataclass(frozen=True)
class MembershipCost:
    """What heartbeats cost with a number of peers in one failure domain."""

    bytes_s: float
    processor: float


def membership_cost(peers: int) -> MembershipCost:
    """Return bytes a second sent and the share of a processor."""
    domain = "domain-1"
    vms = [make_vm(f"node-{number:04}", number % 250) for number in range(peers + 1)]
    codec = PeerCodec(["a-secret-of-sixteen"])
    me = Membership("node-0000", domain, 1, 0.0)
    me.set_published_vms(vms, 0.0)
    neighbours = me.neighbours()
    others = {name: Membership(name, domain, 2, 0.0) for name in neighbours}
    beats = {n: codec.encode(m.heartbeat(1, [])) for n, m in others.items()}
    sent = 0
    began = time.process_time()
    for step in range(ROUNDS):
        now = step * HEARTBEAT_INTERVAL_S
        for name in neighbours:
            sent += len(codec.encode(me.heartbeat(1, []))) + UDP_IP_BYTES
            me.observe(codec.decode(beats[name]), now)
        for tick in range(10):
            me.suspect_silent(now + tick * 0.05)
    elapsed_s = ROUNDS * HEARTBEAT_INTERVAL_S
    return MembershipCost(sent / elapsed_s, (time.process_time() - began) / elapsed_s)


def index_value(services: int, groups: int, revision: int) -> bytes:
    """Return an index that names the groups of a number of services."""
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


def group_value(first: int, endpoints: int, revision: int) -> bytes:
    """Return a group of services with about two endpoints each."""
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
    name = f"g{first // (2 * GROUP)}"
    value = {"kind": "services", "name": name, "revision": revision}
    return render(validate({**value, "services": services}))


@dataclass(frozen=True)
class ConfigurationCost:
    """What the configuration costs with a number of endpoints.

    Parameters
    ----------
    memory, change_bytes : int
        Memory held, and bytes read for one change.
    change_s, ranking_s, start_s : float
        Processor time of a change of the configuration, of one of the
        members, and of the first ranking, in seconds.
    """

    memory: int
    change_bytes: int
    change_s: float
    ranking_s: float
    start_s: float


def configuration_cost(endpoints: int) -> ConfigurationCost:
    """Return memory in bytes, and bytes and processor time of one change."""
    step = 2 * GROUP
    groups = -(-endpoints // step)
    tracemalloc.start()
    store = ConfigurationStore()
    store.offer_index(index_value(endpoints // 2, groups, 1))
    for group in range(groups):
        count = min(step, endpoints - group * step)
        raw = group_value(group * step, count, 1)
        store.offer_document(DocumentKey("services", f"g{group}"), raw)
    me = make_vm("node-0", 1, "domain-0")
    ownership = Ownership(me, _members(DESIGN_NODES - 1))
    _find_owned(ownership, store)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    members = _members(DESIGN_NODES - 1)
    ownership = Ownership(me, members)
    _find_owned(ownership, store)
    start_s = time.process_time() - began
    began = time.process_time()
    for name in ("n-7", "n-14", "n-21"):
        members.observe(Heartbeat(name, 1, MemberState.LEAVING, 1, 1), 0.0)
        _find_owned(ownership, store)
    ranking_s = (time.process_time() - began) / 3
    index = index_value(endpoints // 2, groups, 2)
    group = group_value(0, min(step, endpoints), 2)
    began = time.process_time()
    store.offer_index(index)
    store.offer_document(DocumentKey("services", "g0"), group)
    _find_owned(ownership, store)
    spent_s = time.process_time() - began
    change_bytes = len(index) + len(group) + 2 * HTTP_BYTES
    return ConfigurationCost(memory, change_bytes, spent_s, ranking_s, start_s)


def _find_owned(ownership: Ownership, store: ConfigurationStore) -> None:
    configuration = store.configuration
    for endpoint in configuration.endpoints():
        ownership.owns(endpoint, configuration, 0.0)


def _members(count: int) -> Membership:
    membership = Membership("node-0", "domain-0", 1, 0.0)
    vms = [make_vm(f"n-{n}", n, f"domain-{n % DESIGN_DOMAINS}") for n in range(count)]
    membership.set_published_vms(vms, 0.0)
    return membership


def report_bytes() -> int:
    """Return the length of one load report with its headers, in bytes."""
    frame = encode_frame(frames.Load(2**62, 2, 2000, 10**6, False))
    return len(frame) + 2 * TCP_IP_BYTES


def token_memory(tokens: int = 20_000) -> float:
    """Return the memory of one remembered token, in bytes."""
    tracemalloc.start()
    rights = Rights(ExecutorId("node-0", 1))
    for _ in range(tokens):
        rights.claim(rights.issue(0.0), 1, 0.0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return memory / tokens


def member_memory(members: int = 719) -> float:
    """Return the memory of one known member, in bytes."""
    tracemalloc.start()
    membership = _members(members)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(membership.members) == members
    return memory / members


async def node_bytes(rate_per_s: float) -> dict[str, float]:
    """Return the bytes a second that a node of six sends to others, by kind."""
    layout = LAYOUTS["cantabrico"]
    fleet = VirtualFleet(layout, 1)
    load = Load(layout.services[0].name, rate_per_s, 0.5, 0, BUSY_S)
    async with fleet.running(), fleet.caller() as caller:
        before = _sent_by_kind(fleet)
        await LoadGenerator(caller, load, 1).run()
        after = _sent_by_kind(fleet)
        nodes = len(fleet.balancers)
    return {kind: (after[kind] - before[kind]) / nodes / BUSY_S for kind in after}


def _sent_by_kind(fleet: VirtualFleet) -> Counter[str]:
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
        sent = run_virtual(node_bytes, rate_per_s, seed=1)
        figures += [
            Figure(f"node of six, {label}: {kind}", value, "bytes / s")
            for kind, value in sorted(sent.items())
        ]
    heartbeats = {peers: membership_cost(peers) for peers in PEERS}
    for peers, cost in heartbeats.items():
        figures.append(Figure(f"membership, {peers} peers", cost.bytes_s, "bytes / s"))
        figures.append(
            Figure(f"membership, {peers} peers", cost.processor, "of a core")
        )
    costs = {endpoints: configuration_cost(endpoints) for endpoints in ENDPOINTS}
    for endpoints, cost in costs.items():
        label = f"configuration, {endpoints} endpoints"
        figures.append(Figure(f"{label}: memory", cost.memory, "bytes"))
        figures.append(Figure(f"{label}: one change", cost.change_bytes, "bytes"))
        figures.append(Figure(f"{label}: one change", cost.change_s * 1e3, "ms"))
    design = configuration_cost(DESIGN_ENDPOINTS)
    members = membership_cost(DESIGN_NODES // DESIGN_DOMAINS)
    slope, _ = numpy.polyfit(ENDPOINTS, [costs[e].memory for e in ENDPOINTS], 1)
    watches_s = HTTP_BYTES / WATCH_WAIT_S
    reports_s = (
        DESIGN_ENDPOINTS / DESIGN_NODES / LOAD_REPORT_INTERVAL_S * report_bytes()
    )
    bytes_s = (
        2 * members.bytes_s
        + reports_s
        + design.change_bytes / DESIGN_CHANGES_S
        + watches_s
    )
    processor = members.processor + design.change_s / DESIGN_CHANGES_S
    memory = design.memory + member_memory() * DESIGN_NODES
    return [
        *figures,
        Figure("memory of an endpoint (slope)", float(slope), "bytes"),
        Figure("memory of a member", member_memory(), "bytes"),
        Figure("memory of a token", token_memory(), "bytes"),
        Figure("token life", TOKEN_LIFE_S, "s"),
        Figure("design: one change", design.change_bytes, "bytes"),
        Figure("design: one change", design.change_s * 1e3, "ms"),
        Figure("design: first ranking", design.start_s * 1e3, "ms"),
        Figure("design: one change of members", design.ranking_s * 1e3, "ms"),
        Figure("design: heartbeats, both ways", 2 * members.bytes_s, "bytes / s"),
        Figure("design: load reports", reports_s, "bytes / s"),
        Figure("design: control bytes", bytes_s, "bytes / s", "<=", BYTES_TARGET),
        Figure("design: processor", processor, "of a core", "<=", PROCESSOR_TARGET),
        Figure("design: memory", memory, "bytes", "<=", MEMORY_TARGET),
        Figure("design: watches", DESIGN_NODES / (WATCH_WAIT_S * 0.85), "calls / s"),
    ]
