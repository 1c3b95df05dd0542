"""Flows, gossip and the platform's router around failure domains that are cut off.

Real dispatchers, gossip and departure decisions on the event queue of `FlowWorld`.
"""

from __future__ import annotations

import random
from functools import partial

from egrethook.addresses import Address
from egrethook.balancers.gossip import GOSSIP_INTERVAL_S, Gossip
from egrethook.balancers.gossip_codec import MemberInfo, ReachReport, decode
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.discovery.replica import Replica
from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.domain_departure import (
    IDLE_CHECK_INTERVAL_S,
    DomainDeparture,
)
from egrethook.upstreams.reachability import HeardDomains, Reachability

PROBE_INTERVAL_S = 0.5
GOSSIP_DELAY_S = {True: 0.0003, False: 0.003}
"""One-way delay of gossip within a failure domain and between domains, in seconds."""

CALLER_DEADLINE_S = 4.3


class Agent:
    """The gossip and the departure decision of one balancer."""

    def __init__(self, world, number, incarnation=1):
        vm = world.vms[number]
        self.world, self.number, self.vm = world, number, vm
        self.own = MemberInfo(world.address(number), vm.domain, incarnation, 0)
        self.rng = random.Random(f"{number}/{incarnation}")
        seeds = [world.address(seed) for seed in world.seeds]
        self.members = GossipMembers(self.own, seeds, self.rng)
        self.gossip = Gossip(
            self,
            self.members,
            Replica(lambda items, previous: None),
            self,
            self.rng,
            None,
            lambda token, observation: None,
        )
        self.departure = DomainDeparture(
            vm.domain,
            vm.health.reach_evidence,
            vm.view.domains_with_upstreams,
            self.members,
            lambda report, limit: self.gossip.send_to(
                report, self.members.report_targets(self.now())[:limit]
            ),
        )
        self.gossip.set_handler(
            ReachReport,
            lambda report, source: self.departure.note_report(report, self.now()),
        )
        self.reachability = Reachability(
            vm.domain, vm.health, lambda: self._heard_domains()
        )
        self.report_bytes = 0
        world.after(self.rng.uniform(0, GOSSIP_INTERVAL_S), self._round)
        world.after(self.rng.uniform(0, IDLE_CHECK_INTERVAL_S), self._step)

    def now(self):
        return self.world.now

    def _heard_domains(self):
        members = self.members
        now = self.now()
        return HeardDomains(members.live_domains(now), members.known_domains(now))

    @property
    def running(self):
        is_current = self.world.agents[self.number] is self
        return is_current and self.vm.up and not self.vm.paused

    def _round(self):
        if self.running:
            self.gossip._send_round()
        self.world.after(
            GOSSIP_INTERVAL_S * self.rng.uniform(0.8, 1.2) * self.world.slowness,
            self._round,
        )

    def _step(self):
        if self.running:
            self.departure.step(self.now())
        interval_s = self.departure.check_interval_s
        self.world.after(interval_s * self.world.slowness, self._step)

    def send(self, target, datagram):
        """Send a datagram; this object is the socket of its gossip."""
        if isinstance(decode(datagram), ReachReport):
            self.report_bytes += len(datagram)
        self.world.deliver(self.number, target, datagram)

    def receive(self, datagram, source):
        if self.running:
            self.gossip._handle(datagram, source)

    @property
    def ready(self):
        if self.departure.decides(self.now()) and self.world.agrees:
            return not self.departure.departed
        wanted = self.vm.view.domains_with_upstreams()
        return self.reachability.reaches_any(wanted, self.now())


class DepartureWorld(FlowWorld):
    """Failure domains with their balancers, upstreams, callers and a router.

    Parameters
    ----------
    sizes : dict of str to int
        Number of balancers of each failure domain.
    agrees : bool
        Whether balancers agree; otherwise each decides for itself.
    gossip_loss : float
        Share of the gossip that gets lost.
    """

    seeds = (0, 1, 2)
    agrees = True
    slowness = 1.0

    def __init__(self, seed, sizes, agrees=True, gossip_loss=0.0, **options):
        self.agrees = agrees
        self.gossip_loss = gossip_loss
        self.cut = set()
        self.cut_vms = set()
        domains = tuple(domain for domain in sizes for _ in range(sizes[domain]))
        super().__init__(seed, domains, **options)
        for domain in sizes:
            for number in range(4):
                self.add_upstream(f"up-{domain}-{number}", domain, slots=8)
        for vm in self.vms:
            self.publish(vm)
        self.failed_probes = [0] * len(self.vms)
        self.agents = {}
        self.numbers_by_address = {
            self.address(number): number for number in range(len(self.vms))
        }
        for number in range(len(self.vms)):
            self.agents[number] = Agent(self, number)
            phase_s = self.rng.uniform(0, PROBE_INTERVAL_S)
            self.after(phase_s, partial(self._probe, number))

    def address(self, number):
        return Address(f"10.0.{number // 200}.{number % 200 + 1}", 7000)

    def numbers(self, domain):
        return [n for n, vm in enumerate(self.vms) if vm.domain == domain]

    def domain_agents(self, domain):
        return [self.agents[n] for n in self.numbers(domain)]

    def evacuate(self, domain, out=True):
        item = PublishedItem(ItemKind.DOMAIN_OUT, domain, 2, b"{}" if out else None)
        for vm in self.vms:
            vm.view.update([item], self.now)

    def restart(self, number):
        self.agents[number] = Agent(self, number, self.rng.randrange(2, 1000))

    # Links -------------------------------------------------------------------------

    def cut_off(self, domain, inwards=True, outwards=True):
        for other in {vm.domain for vm in self.vms} - {domain}:
            if outwards:
                self.cut.add((domain, other))
            if inwards:
                self.cut.add((other, domain))

    def heal(self):
        self.cut.clear()

    def passes(self, vm, upstream):
        target = self.upstreams[upstream].record.failure_domain
        return (self.vms[vm].domain, target) not in self.cut and vm not in self.cut_vms

    def deliver(self, sender, target, datagram):
        receiver = self.numbers_by_address[target]
        if self.rng.random() < self.gossip_loss:
            return
        link = self.vms[sender].domain, self.vms[receiver].domain
        if link in self.cut or {sender, receiver} & self.cut_vms:
            return
        self.after(
            GOSSIP_DELAY_S[link[0] == link[1]],
            lambda: self.agents[receiver].receive(datagram, self.address(sender)),
        )

    # The router --------------------------------------------------------------------

    def _probe(self, number):
        agent = self.agents[number]
        is_ready = agent.running and agent.ready
        self.failed_probes[number] = 0 if is_ready else self.failed_probes[number] + 1
        self.after(PROBE_INTERVAL_S, partial(self._probe, number))

    def route(self, domain, port):
        """Return the balancer that gets the packets of a caller's port."""
        for tried in (domain, *sorted({vm.domain for vm in self.vms} - {domain})):
            numbers = self.numbers(tried)
            pool = [n for n in numbers if self.failed_probes[n] < 2]
            if pool:
                pool = numbers if len(pool) * 2 < len(numbers) else pool
                return pool[hash((port, 7)) % len(pool)]
        return self.numbers(domain)[0]

    def _send_to_vm(self, call, packet):
        call.vm = self.route(call.domain, call.port)
        super()._send_to_vm(call, packet)

    def offer_load(self, domain, rate_per_s, start, end):
        """Let callers of a failure domain call at random times."""
        time = start
        while time < end:
            time += self.rng.expovariate(rate_per_s)
            self.after(time - self.now, partial(self._call, domain))

    def _call(self, domain):
        call = self._new_call(0, CALLER_DEADLINE_S, None, None)
        call.domain = domain
        self._start_attempt(call)

    # Results -----------------------------------------------------------------------

    def all_departed(self, domain):
        return all(not a.ready for a in self.domain_agents(domain) if a.running)

    def any_departed(self, domain):
        return any(agent.departure.departed for agent in self.domain_agents(domain))

    def run_until(self, condition, timeout_s):
        """Run until a condition holds; return how long it took, or None."""
        began = self.now
        while self.now - began < timeout_s:
            if condition():
                return self.now - began
            self.run(self.now + 0.02)
        return None
