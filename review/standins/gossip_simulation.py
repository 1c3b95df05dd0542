"""Simulates the spread of changes with the project's gossip; counts the lost ones.

A change counts as lost at a member that holds a revision as new as the change, but not
the change. Run as: PYTHONPATH=target/deps python3 gossip_simulation.py MEMBERS DOMAINS
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys

from egrethook.addresses import Address
from egrethook.balancers import gossip as gossip_module
from egrethook.balancers.gossip import Gossip
from egrethook.balancers.gossip_codec import MemberInfo
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.discovery.records import Changes, ItemKind, PublishedItem, Snapshot
from egrethook.discovery.replica import Replica

LOSS = 0.0005
CHANGES_UNTIL_S = 15.0
END_S = 19.0
BURSTS = (1, 1, 1, 3, 7)


class Simulation:
    """Members that gossip over a network with delays, and a registry with watches."""

    def __init__(
        self, seed: int, members: int, domains: int, rate_per_s: float, delay_s: float
    ) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self._rate_per_s = rate_per_s
        self._delay_s = delay_s
        self._queue: list = []
        self._order = itertools.count()
        self._watches: list = []
        self.events: list[PublishedItem] = []
        self.nodes: dict[Address, Node] = {}
        for number in range(members):
            address = Address(f"10.0.{number // 200}.{number % 200 + 1}", 7000)
            self.nodes[address] = Node(self, address, f"zone-{number % domains}")
        infos = [node.members.own for node in self.nodes.values()]
        for node in self.nodes.values():
            node.members.merge(infos, 0.0)
            node.replica.apply_snapshot(Snapshot([], 100), 0.0)
            self.at(self.rng.uniform(0, 0.3), node.send_digests)
            self.at(self.rng.uniform(0, 0.3), node.read)
        self.at(1.0, self._change)

    def now(self) -> float:
        return self.time

    def at(self, when: float, work) -> None:
        heapq.heappush(self._queue, (when, next(self._order), work))

    def run(self) -> tuple[int, int]:
        """Return the number of changes and of (member, change) pairs that are lost."""
        while self._queue and self._queue[0][0] < END_S:
            self.time, _, work = heapq.heappop(self._queue)
            work()
        lost = sum(
            node.replica.catalog.get(item.kind, item.name) is None
            and node.replica.revision >= item.revision
            for node in self.nodes.values()
            for item in self.events
        )
        return len(self.events), lost

    def send(self, source: Node, target: Address, message) -> None:
        node = self.nodes.get(target)
        if node is None or self.rng.random() < LOSS:
            return
        near = node.domain == source.domain
        link_s = 0.0001 if near else self.rng.uniform(0.0034, 0.0064)
        arrival = self.time + link_s + self.rng.uniform(0, 2 * self._delay_s)
        self.at(arrival, lambda: node.gossip._handle(message, source.address))

    def _change(self) -> None:
        for _ in range(self.rng.choice(BURSTS)):
            revision = 101 + len(self.events)
            self.events.append(
                PublishedItem(ItemKind.UPSTREAM, f"s{revision}", revision, b"x" * 200)
            )
        watches, self._watches = self._watches, []
        for wake in watches:
            wake()
        if self.time < CHANGES_UNTIL_S:
            mean_burst = sum(BURSTS) / len(BURSTS)
            pause_s = self.rng.expovariate(self._rate_per_s / mean_burst)
            self.at(self.time + pause_s, self._change)

    def watch(self, after: int, until: float, answer) -> None:
        """Answer with the events after a revision, once there are any."""
        events = [event for event in self.events if event.revision > after]
        if events or self.time >= until:
            delay_s = 0.002 + self.rng.uniform(0, self._delay_s)
            self.at(self.time + delay_s, lambda: answer(events))
            return
        pending = [True]

        def wake() -> None:
            if pending:
                pending.clear()
                self.watch(after, until, answer)

        self._watches.append(wake)
        self.at(until, wake)


class Node:
    """One member: its gossip, its replica and its reading of the registry."""

    def __init__(self, simulation: Simulation, address: Address, domain: str) -> None:
        self.simulation, self.address, self.domain = simulation, address, domain
        rng = simulation.rng
        own = MemberInfo(address, domain, rng.getrandbits(60), 0)
        self.members = GossipMembers(own, [], random.Random(rng.random()))
        self.replica = Replica(
            lambda items, previous: self.gossip.propagate(items, previous)
        )
        self.gossip = Gossip(
            self,  # type: ignore[arg-type]
            self.members,
            self.replica,
            simulation,
            random.Random(rng.random()),
            None,  # type: ignore[arg-type]
            lambda *_: None,
        )

    def send(self, target: Address, message) -> None:
        self.simulation.send(self, target, message)

    def send_digests(self) -> None:
        now = self.simulation.time
        self.members.next_heartbeat(False)
        self.gossip._send(self.gossip._digest(now), self.members.gossip_targets(now))
        pause_s = 0.3 * self.simulation.rng.uniform(0.8, 1.2)
        self.simulation.at(now + pause_s, self.send_digests)

    def read(self) -> None:
        """Watch the registry, if this member has to."""
        simulation, now = self.simulation, self.simulation.time
        if not self.members.is_reader(now) and self.replica.age(now) <= 2.0:
            simulation.at(now + 0.1, self.read)
            return
        after = self.replica.revision

        def answer(events) -> None:
            newest = max([after, *(event.revision for event in events)])
            self.replica.apply_changes(Changes(after, newest, events), simulation.time)
            simulation.at(simulation.time + (0.25 if events else 0.0), self.read)

        simulation.watch(after, now + 1.0, answer)


class _Message:
    """Stands for an encoded message, which is not too large to send."""

    def __init__(self, message) -> None:
        self.message = message

    def __len__(self) -> int:
        return 100


gossip_module.encode = _Message  # type: ignore[assignment]
gossip_module.decode = lambda data: data.message

if __name__ == "__main__":
    member_count, domain_count = int(sys.argv[1]), int(sys.argv[2])
    for case in range(4):
        for delay_s in (0.002, 0.03):
            simulation = Simulation(case, member_count, domain_count, 40.0, delay_s)
            changes, lost = simulation.run()
            print(
                f"seed {case}, processing {delay_s * 1000:g} ms: {changes} changes,"
                f" {lost} lost at members that count as up to date"
            )
