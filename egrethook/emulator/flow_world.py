"""Discrete-event simulation of forwarded flows.

Real flow dispatchers, each with its own view of the configuration, exchange packets
with simulated callers and upstreams over links with delays. An opening is the first
packet of a flow. A run depends only on its seed.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection
from functools import partial

from egrethook.callers.forwarded_flow import OPENING_SEND_OFFSETS_S, OPENING_TIMEOUT_S
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.flow_balancers import (
    BalancerBuilder,
    SimulatedVm,
    default_limit,
)
from egrethook.emulator.flow_events import EventQueue
from egrethook.emulator.flow_gossip import DomainGossip
from egrethook.emulator.flow_links import Links
from egrethook.emulator.flow_peers import (
    AnswerFault,
    Call,
    SimulatedUpstream,
    UpstreamRequest,
)
from egrethook.emulator.flow_records import (
    CALLER_HOST,
    SERVICE,
    SLOTS,
    TARGET,
    InMemoryDecoder,
    caller_packet,
    route_table,
    upstream_record,
)
from egrethook.emulator.flow_results import answered_share, mean_worth, on_time_share
from egrethook.emulator.packets import Packet
from egrethook.forwarding.features import Feature
from egrethook.platform.packet_header import (
    ACK,
    FIN,
    INSTANCE_PREFIX,
    RST,
    SYN,
)
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.upstream import Upstream

TICK_INTERVAL_S = 0.01
MAX_RETRIES = 2
UPSTREAM_QUEUE_LIMIT = 8
CALLER_COUNT = 80
REQUEST_BYTES = 168
REQUEST_RETRANSMISSION_OFFSETS_S = (0.2, 0.6, 1.4)


class FlowWorld:
    """The simulation: event queue, balancers, upstreams and callers.

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
    table : RouteTable
        The routes that `publish` publishes.
    resets : int
        Resets that callers got on flows of theirs.
    upstreams_of_reset_flows : list of str
        The upstream of each open flow that a balancer has reset.
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
        self._shares_health = shares_health
        self.draw_service_time_s = lambda: self.rng.uniform(0.012, 0.035)
        self._decoder = InMemoryDecoder()
        self._events = EventQueue()
        self._links = Links(
            self._events, self.rng, caller_delay_s, inter_domain_delay_s, loss_share
        )
        self.vms: list[SimulatedVm] = []
        self._gossip = DomainGossip(self._events, self.vms)
        self._balancers = BalancerBuilder(
            self, self._decoder, new_limit, features, slow_start
        )
        self._ports = itertools.count(1024)
        self.table = route_table(objective_s=objective_s)
        self.upstreams: dict[str, SimulatedUpstream] = {}
        self.calls: list[Call] = []
        self.resets = 0
        self.upstreams_of_reset_flows: list[str] = []
        self._calls_by_port: dict[int, Call] = {}
        self.vms.extend([self._new_vm(domain) for domain in domains])
        for vm in self.vms:
            self._tick(vm)

    # Setup -----------------------------------------------------------------------

    def _new_vm(self, domain: str) -> SimulatedVm:
        vm = self._balancers.build(domain)
        if self._shares_health:
            vm.health.set_listener(partial(self._gossip.share_health, vm))
            if vm.outliers is not None:
                vm.outliers.set_listener(partial(self._share_outlier, vm))
        return vm

    def _share_outlier(
        self, sender: SimulatedVm, upstream: Upstream, is_outlier: bool
    ) -> None:
        """Report what a balancer sees of an upstream's answers to its domain."""
        self._gossip.share_outlier(sender, upstream, is_outlier)

    def add_upstream(
        self, name: str, domain: str, slots: int = SLOTS, service: str = SERVICE
    ) -> SimulatedUpstream:
        """Add an upstream without publishing it to the balancers."""
        record = upstream_record(name, domain, slots=slots, service=service)
        self.upstreams[name] = SimulatedUpstream(record)
        return self.upstreams[name]

    def publish(self, vm: SimulatedVm, revision: int = 1) -> None:
        """Publish the configuration and all upstreams to a balancer."""
        routes = self._decoder.encode(self.table)
        items = [PublishedItem(ItemKind.ROUTES, "", revision, routes)]
        for upstream in self.upstreams.values():
            value = self._decoder.encode(upstream.record)
            name = upstream.record.name
            items.append(PublishedItem(ItemKind.UPSTREAM, name, revision, value))
        vm.view.update(items, self.now)

    # Time ------------------------------------------------------------------------

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return self._events.now

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._events.after(delay_s, action)

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        self._events.run(until)

    def _tick(self, vm: SimulatedVm) -> None:
        vm.tick(self.now)
        self.after(TICK_INTERVAL_S, lambda: self._tick(vm))

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

    # Callers ---------------------------------------------------------------------

    def call_domain(self, domain: str) -> Call:
        """Start a request; each attempt uses a random balancer of a failure domain."""
        call = self._new_call(0, 2.0, None, None)
        call.domain = domain
        self._start_attempt(call)
        return call

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

    def _new_call(
        self,
        vm: int,
        deadline_s: float,
        service_time_s: float | None,
        think_time_s: Callable[[], float] | None,
    ) -> Call:
        if service_time_s is None:
            service_time_s = self.draw_service_time_s()
        number = len(self.calls)
        host = CALLER_HOST + number % CALLER_COUNT
        call = Call(
            number, vm, host, self.now, deadline_s, service_time_s, think_time_s
        )
        self.calls.append(call)
        self.after(deadline_s, lambda: self._on_deadline(call))
        return call

    def _send_next_request(self, previous: Call) -> None:
        """Send the next request on the open flow of an earlier one, or on a new one."""
        call = self._new_call(
            previous.vm, previous.deadline_s, None, previous.think_time_s
        )
        if previous.flow_reset:
            self._start_attempt(call)
            return
        call.port, call.token = previous.port, previous.token
        call.sent, call.received = previous.sent, previous.received
        self._calls_by_port[call.port] = call
        self._send_request(call)

    def _on_deadline(self, call: Call) -> None:
        if not call.finished:
            call.failed = True
            self._calls_by_port.pop(call.port, None)

    def _start_attempt(self, call: Call) -> None:
        call.port = next(self._ports)
        if call.domain is not None:
            vms = [n for n, vm in enumerate(self.vms) if vm.domain == call.domain]
            call.vm = self.rng.choice(vms)
        call.token = call.sent = call.received = 0
        self._calls_by_port[call.port] = call
        port = call.port
        self._send_opening(call, port, 0)
        for copy, delay_s in enumerate(OPENING_SEND_OFFSETS_S[1:], start=1):
            self.after(delay_s, partial(self._send_opening, call, port, copy))
        self.after(OPENING_TIMEOUT_S, lambda: self._on_opening_timeout(call, port))

    def _send_opening(self, call: Call, port: int, copy: int) -> None:
        if call.port == port and not call.token and not call.finished:
            opening = caller_packet(
                port, SYN, call.target, src=call.host, acknowledged=copy
            )
            self._send_to_vm(call, opening)

    def _on_opening_timeout(self, call: Call, port: int) -> None:
        if call.port != port or call.token or call.finished:
            return
        self._retry(call)

    def _retry(self, call: Call) -> None:
        self._calls_by_port.pop(call.port, None)
        call.attempt += 1
        if call.attempt > MAX_RETRIES:
            call.failed = True
            return
        self._start_attempt(call)

    def _note_reset(self, port: int) -> None:
        """Record which upstream's flow a balancer resets, if it is open."""
        call = self._calls_by_port.get(port)
        if call is not None and call.token:
            upstream = self.vms[call.vm].view.upstreams.by_token[call.token]
            self.upstreams_of_reset_flows.append(upstream.name)

    def _on_reset(self, port: int) -> None:
        """Handle a reset that arrives at the port of a caller."""
        call = self._calls_by_port.get(port)
        if call is None:
            return
        self.resets += 1
        if call.finished:
            call.flow_reset = True
        else:
            self._retry(call)

    def _send(self, call: Call, flags: int, data: bytes = b"") -> None:
        """Send a packet on an open flow."""
        packet = caller_packet(
            call.port,
            flags,
            call.target,
            src=call.host,
            sequence=call.sent,
            acknowledged=call.received,
            echo=call.token,
            data=data,
        )
        call.sent += len(data)
        self._send_to_vm(call, packet)

    def _send_request(self, call: Call) -> None:
        """Send a request; callers with open flows, or told to, retransmit it."""
        call.reached_upstream = False
        self._send(call, ACK, bytes(REQUEST_BYTES))
        if call.think_time_s is None and not call.retransmits:
            return
        for delay_s in REQUEST_RETRANSMISSION_OFFSETS_S:
            self.after(delay_s, partial(self._retransmit, call, call.port))

    def _retransmit(self, call: Call, port: int) -> None:
        if call.port == port and not call.finished:
            call.sent -= REQUEST_BYTES
            self._send(call, ACK, bytes(REQUEST_BYTES))

    def _send_to_vm(self, call: Call, packet: bytes) -> None:
        """Deliver a packet of a caller to its balancer."""
        vm = self.vms[self._links.receiver(call.vm)]
        if not self._links.loses_packet():
            self._links.after_caller_delay(lambda: vm.receive(packet, self.now))

    # Upstreams -------------------------------------------------------------------

    def passes(self, vm: int, upstream: str) -> bool:
        """Return whether packets of a balancer reach an upstream; see subclasses."""
        record = self.upstreams[upstream].record
        return not self._links.is_cut(self.vms[vm].domain, record.failure_domain)

    def packet_to_upstream(self, domain: str, name: str, packet: bytes) -> None:
        """Deliver a packet from a balancer to an upstream after the link delay."""
        upstream = self.upstreams[name]
        self._links.after_domain_delay(
            domain,
            upstream.record.failure_domain,
            lambda: self._on_upstream_packet(upstream, packet),
        )

    def reset_to_caller(self, port: int) -> None:
        """Deliver a reset from a balancer to the port of a caller."""
        self._note_reset(port)
        self._links.after_caller_delay(lambda: self._on_reset(port))

    def gossip_age(self, domain: str, other: str) -> float:
        """Return the time since a domain's balancers heard of another domain's."""
        return self._links.gossip_age(domain, other)

    def live_balancers(self) -> int:
        """Return the number of balancers that are up."""
        return sum(vm.up for vm in self.vms)

    def _on_upstream_packet(self, upstream: SimulatedUpstream, packet: bytes) -> None:
        if upstream.unresponsive:
            return
        instance = INSTANCE_PREFIX.unpack_from(packet)[0]
        if instance not in (0, upstream.record.instance):
            return
        received = Packet.decode(packet, INSTANCE_PREFIX.size)
        if upstream.port_closed:
            self._links.after_caller_delay(lambda: self._on_reset(received.sport))
        elif received.flags & SYN:
            upstream.openings += 1
            self._links.after_caller_delay(
                lambda: self._on_opened(received.sport, received.echo)
            )
        elif received.data and not received.flags & (FIN | RST):
            call = self._calls_by_port.get(received.sport)
            if call is not None and not call.reached_upstream:
                call.reached_upstream = True
                self._on_request(upstream, UpstreamRequest(call, received.sport))

    def _on_opened(self, port: int, echo: int) -> None:
        call = self._calls_by_port.get(port)
        if call is None or call.finished or call.token:
            return
        call.token = echo
        self._send_request(call)

    def _on_request(
        self, upstream: SimulatedUpstream, request: UpstreamRequest
    ) -> None:
        fault = upstream.fault
        if fault is not None and self.rng.random() < fault.share:
            self._fail_request(upstream, fault, request)
        elif upstream.busy_slots < upstream.record.slots:
            self._start_request(upstream, request)
        elif len(upstream.queue) < UPSTREAM_QUEUE_LIMIT:
            upstream.queue.append(request)
        else:
            upstream.shed += 1
            self._links.after_caller_delay(lambda: self._on_shed(request))

    def _fail_request(
        self, upstream: SimulatedUpstream, fault: AnswerFault, request: UpstreamRequest
    ) -> None:
        """Answer a request with a short error, or not at all."""
        call = request.call
        call.faults.append(upstream.record.name)

        def on_error() -> None:
            if call.port != request.port or call.finished:
                return
            call.received += fault.answer_bytes
            self._send(call, FIN | ACK)
            if call.target == TARGET:
                self._retry(call)
            else:
                call.failed = True

        if not fault.hangs:
            self._links.after_caller_delay(on_error, fault.service_s)

    def _on_shed(self, request: UpstreamRequest) -> None:
        call = request.call
        if call.port == request.port and not call.finished:
            self._send(call, FIN | ACK)
            self._retry(call)

    def _start_request(
        self, upstream: SimulatedUpstream, request: UpstreamRequest
    ) -> None:
        upstream.busy_slots += 1
        upstream.started += 1
        duration_s = request.call.service_time_s * upstream.slow_factor
        self.after(duration_s, lambda: self._finish_request(upstream, request))

    def _finish_request(
        self, upstream: SimulatedUpstream, request: UpstreamRequest
    ) -> None:
        upstream.busy_slots -= 1
        if upstream.queue:
            self._start_request(upstream, upstream.queue.pop(0))
        if not upstream.unresponsive:
            self._links.after_caller_delay(lambda: self._on_answer(request))

    def _on_answer(self, request: UpstreamRequest) -> None:
        call = request.call
        if call.port != request.port or call.finished:
            return
        call.answered_at = self.now
        call.received += call.answer_bytes
        if call.think_time_s is None:
            self._calls_by_port.pop(call.port, None)
            self._send(call, FIN | ACK)
            return
        self._send(call, ACK)
        self.after(call.think_time_s(), lambda: self._send_next_request(call))

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
