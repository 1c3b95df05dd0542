"""Flows broken by planned changes: routing by token, flow table or hash."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from types import MappingProxyType

import anyio

from benchmarks.figures import Figure
from egrethook.addresses import Address
from egrethook.callers.affinity import (
    FlowAffinity,
    FlowKey,
    HashAffinity,
    TableAffinity,
)
from egrethook.callers.routing import Action, route_flow
from egrethook.callers.tokens import Token
from egrethook.emulator.builders import make_endpoint
from egrethook.emulator.layouts import LAYOUTS, EmulatedFleet
from egrethook.emulator.load import Load, LoadGenerator
from egrethook.emulator.virtual import VirtualFleet, run_virtual
from egrethook.published.configuration import (
    Configuration,
    ConfigurationStore,
    DocumentKey,
    Endpoint,
)
from egrethook.published.documents import render, validate
from egrethook.types import UpstreamState

LAYOUT = LAYOUTS["cantabrico"]
SERVICE = LAYOUT.services[0].name
CHANGE_COUNT = 100
CHANGE_INTERVAL_S = 6.0
VIEW_LAG_S = 3.0
"""Maximum delay of a new configuration at an entry, in seconds."""

FLOW_COUNT = 400
ENTRY_COUNT = 6
PACKET_INTERVAL_S = 0.5
SEED = 7
FLEET_FLOW_COUNT = 40
FLEET_CHANGE_COUNT = 100


@dataclass
class ConfigurationView:
    """The configurations that one entry receives, with their arrival times."""

    arrivals: list[tuple[float, Configuration]]

    def at(self, now: float) -> Configuration:
        """Return the newest configuration received up to a time."""
        current = self.arrivals[0][1]
        for at, configuration in self.arrivals:
            if at > now:
                break
            if configuration.revision > current.revision:
                current = configuration
        return current


@dataclass
class ChangeSchedule:
    """Planned changes, and the domain outages that they cause."""

    changes: list[tuple[float, Configuration]] = field(default_factory=list)
    kind_counts: Counter[str] = field(default_factory=Counter)
    outages: list[tuple[float, float, str]] = field(default_factory=list)

    def out_between(self, domain: str, since: float, until: float) -> bool:
        """Return whether a domain was out of service at any time in an interval."""
        return any(
            name == domain and start <= until and end >= since
            for start, end, name in self.outages
        )


def first_configuration() -> Configuration:
    """Return the layout's configuration at revision 1."""
    fleet = EmulatedFleet(LAYOUT)
    store = ConfigurationStore()
    index = {**fleet.index(), "kind": "index", "revision": 1}
    for value in fleet.values():
        index.setdefault(value["kind"], {})[value["name"]] = 1
    store.offer_index(render(validate(index)))
    for value in fleet.values():
        raw = render(validate({**value, "revision": 1}))
        store.offer_document(DocumentKey(value["kind"], value["name"]), raw)
    assert store.configuration is not None
    return store.configuration


def make_schedule(rng: random.Random) -> ChangeSchedule:
    """Return random drains, activations, additions and domain outages."""
    configuration = first_configuration()
    schedule = ChangeSchedule([(0.0, configuration)])
    out_since: dict[str, float] = {}
    added = 0
    for number in range(1, CHANGE_COUNT + 1):
        at = number * CHANGE_INTERVAL_S
        endpoints = dict(configuration.services[SERVICE])
        domains = dict(configuration.domains)
        kind = rng.choice(["replace balancer", "drain", "activate", "add", "domain"])
        if kind == "drain":
            name = rng.choice(sorted(endpoints))
            endpoints[name] = replace(endpoints[name], state=UpstreamState.DRAINING)
        elif kind == "activate":
            for name in endpoints:
                endpoints[name] = replace(endpoints[name], state=UpstreamState.ACTIVE)
        elif kind == "add" and added < 20:
            added += 1
            endpoints.update(_new_endpoint(rng, added, sorted(domains)))
        elif kind == "domain":
            _toggle_domain(rng, domains, out_since, schedule, at)
        schedule.kind_counts[kind] += 1
        configuration = replace(
            configuration,
            revision=number + 1,
            complete_revision=number + 1,
            domains=MappingProxyType(domains),
            services=MappingProxyType(
                {**configuration.services, SERVICE: MappingProxyType(endpoints)}
            ),
        )
        schedule.changes.append((at, configuration))
    end = (CHANGE_COUNT + 1) * CHANGE_INTERVAL_S
    schedule.outages.extend((since, end, name) for name, since in out_since.items())
    return schedule


def _new_endpoint(
    rng: random.Random, number: int, domains: list[str]
) -> dict[str, Endpoint]:
    name = f"cartera-new-{number}"
    endpoint = make_endpoint(name, number, rng.choice(domains))
    return {name: replace(endpoint, service=SERVICE)}


def _toggle_domain(rng, domains, out_since: dict[str, float], schedule, at) -> None:
    """Return the domain that is out to service, or take a random one out."""
    if out_since:
        name, since = out_since.popitem()
        schedule.outages.append((since, at + VIEW_LAG_S, name))
        domains[name] = replace(domains[name], in_service=True)
    else:
        name = rng.choice(sorted(domains))
        out_since[name] = at
        domains[name] = replace(domains[name], in_service=False)


@dataclass
class _Flow:
    key: FlowKey
    opened_at: float
    upstream: Endpoint
    token: Token | None = None


def _token_for(endpoint: Endpoint, revision: int) -> Token:
    return Token(
        serial=1,
        service_name=endpoint.service,
        upstream=endpoint.name,
        host=endpoint.flow_address.host,
        port=endpoint.flow_address.port,
        incarnation=endpoint.incarnation,
        executor="owner",
        executor_incarnation=1,
        revision=revision,
        caller_host="10.0.0.1",
        caller_port=1,
    )


class FlowSimulation:
    """Sends the packets of flows to random entries during scheduled changes."""

    def __init__(self, scheme: str, schedule: ChangeSchedule, seed: int) -> None:
        self._rng = random.Random(f"{seed}:{scheme}")
        self._schedule = schedule
        lags = random.Random(seed)
        self._views = [
            ConfigurationView(
                [(at + lags.uniform(0.0, VIEW_LAG_S), c) for at, c in schedule.changes]
            )
            for _ in range(ENTRY_COUNT)
        ]
        kinds = {"table": TableAffinity, "hash": HashAffinity}
        self._affinities: list[FlowAffinity] = [
            kinds[scheme]() for _ in range(ENTRY_COUNT) if scheme in kinds
        ]
        self._flow_numbers = iter(range(1, 10**9))
        self.broken = 0
        self.lost_in_outages = 0

    def run(self) -> None:
        """Send all packets and count broken flows; each is replaced by a new one."""
        flows = [self._open(0.0) for _ in range(FLOW_COUNT)]
        steps = int((CHANGE_COUNT + 1) * CHANGE_INTERVAL_S / PACKET_INTERVAL_S)
        for step in range(1, steps):
            now = step * PACKET_INTERVAL_S
            for position, flow in enumerate(flows):
                if not self._send(flow, now):
                    flows[position] = self._open(now)

    def _open(self, now: float) -> _Flow:
        number = next(self._flow_numbers)
        caller = Address(f"10.1.{number // 250 % 250}.{number % 250}", 1 + number % 999)
        key = FlowKey(SERVICE, caller)
        entry = self._rng.randrange(ENTRY_COUNT)
        configuration = self._views[entry].at(now)
        if self._affinities:
            chosen = self._affinities[entry].choose(key, configuration, now)
        else:
            chosen = self._rng.choice(configuration.candidates(SERVICE))
        assert chosen is not None
        return _Flow(key, now, chosen, _token_for(chosen, configuration.revision))

    def _send(self, flow: _Flow, now: float) -> bool:
        """Send one packet; return whether it reaches the flow's upstream."""
        entry = self._rng.randrange(ENTRY_COUNT)
        configuration = self._views[entry].at(now)
        if self._affinities:
            chosen = self._affinities[entry].choose(flow.key, configuration, now)
            same = chosen is not None and chosen.name == flow.upstream.name
        else:
            assert flow.token is not None
            same = route_flow(flow.token, configuration).action is Action.FORWARD
        if same:
            return True
        domain = flow.upstream.domain
        if self._schedule.out_between(domain, flow.opened_at - VIEW_LAG_S, now):
            self.lost_in_outages += 1
        else:
            self.broken += 1
        return False


async def measure_fleet(seed: int) -> tuple[int, int, int]:
    """Run a fleet of balancers under planned changes.

    Returns the numbers of flows, of broken flows and of packets that reached another
    service.
    """
    rng = random.Random(seed)
    fleet = VirtualFleet(LAYOUT, seed)
    load = Load(
        SERVICE,
        requests_per_s=5.0,
        flows=FLEET_FLOW_COUNT,
        duration_s=FLEET_CHANGE_COUNT * 1.5,
    )
    async with fleet.running(), fleet.caller() as caller:
        fleet.delay_configuration_reads(VIEW_LAG_S, rng)
        generator = LoadGenerator(caller, load, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            for number in range(FLEET_CHANGE_COUNT):
                await anyio.sleep(rng.uniform(0.0, 1.0))
                await _make_change(fleet, rng, number)
            generator.finish()
        wrong = sum(u.counts.wrong_service for u in fleet.upstreams.values())
        result = generator.result
        if result.flow_errors or result.refusals:
            print(f"  fleet: {result.flow_errors} {result.refusals}")
    return result.flows, result.flows_broken, wrong


async def _make_change(fleet: VirtualFleet, rng: random.Random, number: int) -> None:
    """Make one planned change, which must not break any flow."""
    kind = rng.choice(["replace", "drain", "activate", "add"])
    names = sorted(
        n for n, s in fleet.fleet.service_by_endpoint.items() if s == SERVICE
    )
    if kind == "replace":
        old = rng.choice(sorted(fleet.balancers))
        await fleet.replace_balancer(old, f"vm-{number}")
    elif kind == "drain":
        fleet.set_upstream_state(rng.choice(names[1:]), UpstreamState.DRAINING)
    elif kind == "activate":
        for name in names:
            fleet.set_upstream_state(name, UpstreamState.ACTIVE)
    elif len(names) < 16:
        name = f"cartera-new-{number}"
        fleet.add_host(name, rng.choice(LAYOUT.domains))
        fleet.fleet.add_endpoint(SERVICE, name, rng.choice(LAYOUT.domains))
        fleet.start_upstream(name)
        fleet.publish_service(SERVICE)


def run() -> list[Figure]:
    """Return the figures."""
    schedule = make_schedule(random.Random(SEED))
    figures = [
        Figure(f"planned changes: {kind}", count)
        for kind, count in sorted(schedule.kind_counts.items())
    ]
    for scheme in ("token", "table", "hash"):
        simulation = FlowSimulation(scheme, schedule, SEED)
        simulation.run()
        target = ("==", 0.0) if scheme == "token" else ("", 0.0)
        figures.append(
            Figure(f"{scheme}: flows broken", simulation.broken, "", *target)
        )
        figures.append(Figure(f"{scheme}: in a domain out", simulation.lost_in_outages))
    flows, broken, wrong = run_virtual(measure_fleet, SEED, seed=SEED)
    figures.append(Figure("fleet: flows opened", flows))
    figures.append(Figure("fleet: flows broken", broken, "", "==", 0.0))
    figures.append(Figure("fleet: packets at another service", wrong, "", "==", 0.0))
    return figures
