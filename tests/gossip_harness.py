"""Balancers that gossip over a network in memory."""

from __future__ import annotations

import random
from collections import Counter

from egrethook.addresses import Address
from egrethook.balancers.gossip import Gossip
from egrethook.balancers.gossip_codec import MemberInfo
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.discovery.replica import Replica
from egrethook.emulator.builders import ManualClock


def member(number, domain="zone-a", beat=1, incarnation=1, leaving=False):
    address = Address(f"10.0.0.{number}", 7000)
    return MemberInfo(address, domain, incarnation, beat, leaving)


class FakeNetwork:
    """Delivers datagrams immediately, except to and from partitioned addresses."""

    def __init__(self):
        self.gossips = {}
        self.partitioned = set()
        self.queue = []
        self.bytes_to = Counter()

    def deliver(self):
        while self.queue:
            source, target, data = self.queue.pop(0)
            self.bytes_to[target] += len(data)
            if target in self.gossips and not {source, target} & self.partitioned:
                self.gossips[target]._handle(data, source)


class FakeSocket:
    def __init__(self, network, address):
        self.network, self.address = network, address

    def send(self, target, data):
        self.network.queue.append((self.address, target, data))


class Fleet:
    def __init__(self, size):
        self.network, self.clock = FakeNetwork(), ManualClock()
        self.replicas = []
        self.reports = {}
        for number in range(1, size + 1):
            self.add(number)

    def add(self, number, domain="zone-a", incarnation=1):
        own = member(number, domain, incarnation=incarnation)
        seeds = [Address("10.0.0.1", 7000), Address("10.0.0.2", 7000)]
        members = GossipMembers(own, seeds, random.Random(number))
        gossips = []
        replica = Replica(
            lambda items, previous_revision: gossips[0].propagate(
                items, previous_revision
            )
        )
        gossip = Gossip(
            FakeSocket(self.network, own.address),
            members,
            replica,
            self.clock,
            random.Random(number),
            None,
            lambda token, observation: self.reports.setdefault(number, []).append(
                (token, observation)
            ),
        )
        gossips.append(gossip)
        self.network.gossips[own.address] = gossip
        self.replicas.append(replica)
        return replica

    def run_rounds(self, rounds=1):
        for _ in range(rounds):
            self.clock.advance(0.3)
            now = self.clock.now()
            for gossip in self.network.gossips.values():
                gossip._members.next_heartbeat(False)
                gossip._send(gossip._digest(now), gossip._members.gossip_targets(now))
            self.network.deliver()
