"""Discrete-event simulation of forwarded flows.

Real flow dispatchers, each with its own view of the configuration, exchange packets
with simulated callers and upstreams over links with delays. A run depends only on its
seed. `FlowWorld` connects the parts, each of which has a module of its own:

- `flow_events`: virtual time;
- `flow_links`: delays, losses, cuts and redirects;
- `flow_balancers` and `flow_gossip`: the dispatchers and what they tell each other;
- `flow_callers` and `flow_upstreams`: the behaviour of both ends, whose state is in
  `flow_peers`;
- `flow_results`: figures of the calls.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from functools import partial

from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.flow_balancers import (
    BalancerBuilder,
    SimulatedVm,
    default_limit,
)
from egrethook.emulator.flow_callers import SimulatedCallers
from egrethook.emulator.flow_events import EventQueue
from egrethook.emulator.flow_gossip import DomainGossip
from egrethook.emulator.flow_links import Links
from egrethook.emulator.flow_peers import Call, SimulatedUpstream, UpstreamRequest
from egrethook.emulator.flow_records import (
    SERVICE,
    SLOTS,
    InMemoryDecoder,
    route_table,
)
from egrethook.emulator.flow_results import answered_share, mean_worth, on_time_share
from egrethook.emulator.flow_upstreams import SimulatedUpstreams
from egrethook.forwarding.features import Feature
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.upstream import Upstream

TICK_INTERVAL_S = 0.01
UPSTREAM_QUEUE_LIMIT = 8


class FlowWorld:
    """The simulation: event queue, links, balancers, upstreams and callers.

    Subclasses may override `passes`, `_send_to_vm`, `_on_upstream_packet`, `_on_shed`
    and `_share_outlier`, through which the parts reach each other.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    domains : sequence of str
        Failure domain of each balancer.
    caller_delay_s, inter_domain_delay_s : float
        One-way delays to callers and between failure domains, in seconds.
    new_limit : callable
        Returns the limit on the busy flows of each upstream through one balancer.
    shares_health : bool
        Whether balancers of one failure domain share their health observations.
    loss_share : float
        Share of the packets from callers that get lost.
    features : collection of Feature
        The optional parts of the balancers that are switched on.
    objective_s : float
        Latency objective of the route, in seconds.
    slow_start : bool
        Whether balancers start with few flows of a service.

    Attributes
    ----------
    rng : random.Random
        The source of all random choices.
    table : RouteTable
        The routes that `publish` publishes.
    vms : list of SimulatedVm
        The balancers by number.
    """

    def __init__(
        self,
        seed: int,
        domains: tuple[str, ...],
        caller_delay_s: float = 0.003,
        inter_domain_delay_s: float = 0.003,
        new_limit: Callable[[], FlowLimit] = default_limit,
        shares_health: bool = True,
        loss_share: float = 0.0,
        features: Collection[Feature] = (),
        objective_s: float = 0.15,
        slow_start: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.table = route_table(objective_s=objective_s)
        self.vms: list[SimulatedVm] = []
        self._shares_health = shares_health
        self._decoder = InMemoryDecoder()
        self._events = EventQueue()
        self._links = Links(
            self._events, self.rng, caller_delay_s, inter_domain_delay_s, loss_share
        )
        self._gossip = DomainGossip(self._events, self.vms)
        self._callers = SimulatedCallers(
            self._events, self.rng, self.vms, self._send_to_vm
        )
        self._upstreams = SimulatedUpstreams(
            self._events,
            self.rng,
            self._links,
            self._callers,
            # The hook is looked up at each refusal, so that it can be replaced later.
            lambda request: self._on_shed(request),
            UPSTREAM_QUEUE_LIMIT,
        )
        self._balancers = BalancerBuilder(
            self, self._decoder, new_limit, features, slow_start
        )
        self.vms.extend([self._new_vm(domain) for domain in domains])
        for vm in self.vms:
            self._tick(vm)

    # State -----------------------------------------------------------------------

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self._events.now

    @property
    def upstreams(self) -> dict[str, SimulatedUpstream]:
        """All upstreams by name."""
        return self._upstreams.by_name

    @property
    def calls(self) -> list[Call]:
        """All requests, in the order in which they were started."""
        return self._callers.calls

    @property
    def resets(self) -> int:
        """Resets that callers got on flows of theirs."""
        return self._callers.resets

    @property
    def upstreams_of_reset_flows(self) -> list[str]:
        """The upstream of each open flow that a balancer has reset."""
        return self._callers.upstreams_of_reset_flows

    @property
    def draw_service_time_s(self) -> Callable[[], float]:
        """Returns the service time of a request for which none is given."""
        return self._callers.draw_service_time_s

    @draw_service_time_s.setter
    def draw_service_time_s(self, draw: Callable[[], float]) -> None:
        self._callers.draw_service_time_s = draw

    @property
    def _calls_by_port(self) -> dict[int, Call]:
        return self._callers.calls_by_port

    # Setup -----------------------------------------------------------------------

    def add_upstream(
        self, name: str, domain: str, slots: int = SLOTS, service: str = SERVICE
    ) -> SimulatedUpstream:
        """Add an upstream without publishing it to the balancers."""
        return self._upstreams.add(name, domain, slots, service)

    def publish(self, vm: SimulatedVm, revision: int = 1) -> None:
        """Publish the configuration and all upstreams to a balancer."""
        routes = self._decoder.encode(self.table)
        items = [PublishedItem(ItemKind.ROUTES, "", revision, routes)]
        for upstream in self.upstreams.values():
            value = self._decoder.encode(upstream.record)
            name = upstream.record.name
            items.append(PublishedItem(ItemKind.UPSTREAM, name, revision, value))
        vm.view.update(items, self.now)

    def _new_vm(self, domain: str) -> SimulatedVm:
        vm = self._balancers.build(domain)
        if self._shares_health:
            vm.health.set_listener(partial(self._gossip.share_health, vm))
            if vm.outliers is not None:
                vm.outliers.set_listener(partial(self._share_outlier, vm))
        return vm

    # Time ------------------------------------------------------------------------

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._events.after(delay_s, action)

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        self._events.run(until)

    def _tick(self, vm: SimulatedVm) -> None:
        vm.tick(self.now)
        self.after(TICK_INTERVAL_S, lambda: self._tick(vm))

    # Faults ----------------------------------------------------------------------

    def pause(self, vm: SimulatedVm, duration_s: float) -> None:
        """Stop a balancer for a while; packets wait at its socket."""
        vm.paused = True
        self.after(duration_s, lambda: vm.resume(self.now))

    def cut(self, domain: str, other: str) -> None:
        """Let no packet and no gossip pass between two failure domains any more."""
        self._links.cut(domain, other)

    def redirect(self, vm: int, other: int, duration_s: float) -> None:
        """Hand the packets of a balancer's callers to another one for a while."""
        self._links.redirect(vm, other, duration_s)

    # Calls -----------------------------------------------------------------------

    def call_domain(self, domain: str) -> Call:
        """Start a request; each attempt uses a random balancer of a failure domain."""
        return self.call(0, domain=domain)

    def call(
        self,
        vm: int,
        deadline_s: float = 2.0,
        service_time_s: float | None = None,
        think_time_s: Callable[[], float] | None = None,
        **fields: object,
    ) -> Call:
        """Start a request through one balancer; `fields` override those of `Call`."""
        call = self._new_call(vm, deadline_s, service_time_s, think_time_s)
        for name, value in fields.items():
            setattr(call, name, value)
        self._start_attempt(call)
        return call

    # The network of the balancers ------------------------------------------------

    def passes(self, vm: int, upstream: str) -> bool:
        """Return whether packets of a balancer reach an upstream; see subclasses."""
        return True

    def packet_to_upstream(self, domain: str, name: str, packet: bytes) -> None:
        """Deliver a packet from a balancer to an upstream after the link delay."""
        upstream = self.upstreams[name]
        other = upstream.record.failure_domain
        if self._links.is_cut(domain, other):
            return
        self._links.after_domain_delay(
            domain,
            other,
            lambda: self._on_upstream_packet(upstream, packet),
        )

    def reset_to_caller(self, port: int) -> None:
        """Deliver a reset from a balancer to the port of a caller."""
        self._callers.note_reset(port)
        self._links.after_caller_delay(lambda: self._callers.on_reset(port))

    def gossip_age(self, domain: str, other: str) -> float:
        """Return the time since a domain's balancers heard of another domain's."""
        return self._links.gossip_age(domain, other)

    def live_balancers(self) -> int:
        """Return the number of balancers that are up."""
        return sum(vm.up for vm in self.vms)

    # Hooks -----------------------------------------------------------------------

    def _send_to_vm(self, call: Call, packet: bytes) -> None:
        """Deliver a packet of a caller to its balancer."""
        vm = self.vms[self._links.receiver(call.vm)]
        if not self._links.loses_packet():
            self._links.after_caller_delay(lambda: vm.receive(packet, self.now))

    def _on_upstream_packet(self, upstream: SimulatedUpstream, packet: bytes) -> None:
        """Handle a packet that arrives at an upstream."""
        self._upstreams.receive(upstream, packet)

    def _on_shed(self, request: UpstreamRequest) -> None:
        """Handle a refusal that arrives at a caller."""
        self._callers.on_shed(request)

    def _share_outlier(
        self, sender: SimulatedVm, upstream: Upstream, is_outlier: bool
    ) -> None:
        """Report what a balancer sees of an upstream's answers to its domain."""
        self._gossip.share_outlier(sender, upstream, is_outlier)

    # Steps of a call, for subclasses and replaced hooks --------------------------

    def _new_call(
        self,
        vm: int,
        deadline_s: float,
        service_time_s: float | None,
        think_time_s: Callable[[], float] | None,
    ) -> Call:
        return self._callers.new_call(vm, deadline_s, service_time_s, think_time_s)

    def _start_attempt(self, call: Call) -> None:
        self._callers.start_attempt(call)

    def _retry(self, call: Call) -> None:
        self._callers.retry(call)

    def _send(self, call: Call, flags: int, data: bytes = b"") -> None:
        self._callers.send(call, flags, data)

    # Results ---------------------------------------------------------------------

    def on_time_share(self, objective_s: float = 0.15) -> float:
        """Return the fraction of calls answered within a latency objective."""
        return on_time_share(self.calls, objective_s)

    def worth(self, objective_s: float = 0.15, late_worth: float = 0.3) -> float:
        """Return the mean worth of calls: 1 on time, `late_worth` late, else 0."""
        return mean_worth(self.calls, objective_s, late_worth)

    def answered_share(self) -> float:
        """Return the fraction of calls that were answered."""
        return answered_share(self.calls)
