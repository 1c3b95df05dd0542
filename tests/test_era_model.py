"""Members, a registry that comes back from copies, and messages in any order.

Real replicas, gossip and views in virtual time; the registry remembers its state at
each version. Schedules of writes, returns, reads, lost and late messages, restarts.
"""

from __future__ import annotations

import random

from gossip_harness import Fleet
from hypothesis import example, given, settings
from hypothesis import strategies as st
from registry_harness import EraRegistry

from egrethook.discovery.records import ItemKind, UpstreamPhase
from egrethook.discovery.rewrites import RETURNED_RECORD_HOLD_S
from egrethook.discovery.view import ForwardingView
from egrethook.emulator.flow_records import (
    InMemoryDecoder,
    route_table,
    upstream_record,
)

STEPS = 60
MEMBERS = 3
ROUNDS_TO_AGREE = 4
DOMAINS = ("zone-a", "zone-b")


class ModelRegistry(EraRegistry):
    """Remembers its state at each version, and earlier states as copies."""

    def __init__(self):
        super().__init__()
        self.states = {(self.era, 0): {}}
        self.copies = [self.copy()]

    def put(self, kind, name, value):
        revision = super().put(kind, name, value)
        self.states[self.era, revision] = dict(self.items)
        return revision

    def come_back(self, copy):
        super().come_back(copy)
        self.states[self.era, self.revision] = dict(self.items)
        self.copies = [one for one in self.copies if one[2] <= self.revision]


class Writers:
    """Operators and upstreams; they write again what the registry has lost."""

    def __init__(self, registry, decoder, rng):
        self.registry, self.decoder, self.rng = registry, decoder, rng
        self.version = 0
        self.writes = 0
        self.wanted = {}

    def write_something(self):
        rng = self.rng
        kind = rng.choice(
            [ItemKind.ROUTES, ItemKind.DOMAIN_OUT, *[ItemKind.UPSTREAM] * 3]
        )
        if kind is ItemKind.ROUTES:
            self.version += 1
            self._write(kind, "", self.decoder.encode(route_table(self.version)))
        elif kind is ItemKind.DOMAIN_OUT:
            self._write(kind, rng.choice(DOMAINS), rng.choice([b"{}", None]))
        else:
            name = rng.choice("ab")
            self._write(kind, name, rng.choice([self._record(name), None]))

    def write_again(self):
        """Write what the registry lacks or holds otherwise, upstreams as they are."""
        for (kind, name), value in self.wanted.items():
            held = self.registry.items.get((kind, name))
            if (held.value if held else None) == value:
                continue
            if kind is ItemKind.UPSTREAM and value is not None:
                value = self._rewritten(name, value)
            self._write(kind, name, value)

    def _record(self, name):
        self.writes += 1
        phase = self.rng.choice([UpstreamPhase.READY, UpstreamPhase.DRAINING])
        started_ms = self.rng.choice([1, 2])
        return self.decoder.encode(
            upstream_record(
                name, DOMAINS[0], phase=phase, writes=self.writes, started_ms=started_ms
            )
        )

    def _rewritten(self, name, value):
        self.writes += 1
        record = self.decoder.upstream(name, value)
        return self.decoder.encode(
            upstream_record(
                name,
                DOMAINS[0],
                phase=record.phase,
                writes=self.writes,
                started_ms=record.started_ms,
            )
        )

    def _write(self, kind, name, value):
        self.wanted = {**self.wanted, (kind, name): value}
        self.registry.put(kind, name, value)


class ModelFleet(Fleet):
    """Members with views, each of which may read; messages come late or get lost."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.decoder = InMemoryDecoder()
        self.registry = ModelRegistry()
        self.writers = Writers(self.registry, self.decoder, self.rng)
        self.views = []
        self.late = []
        super().__init__(MEMBERS)

    def add(self, number, domain="zone-a"):
        """Add a member, with a view that follows its replica as in a process."""
        replica = super().add(number, domain)
        view = ForwardingView(self.decoder, 60.0)
        propagate = replica._listener

        def on_changes(items, previous):
            is_new_era = previous.revision and previous.era != replica.version.era
            began_at = replica.era_seen_at if is_new_era else None
            now = self.clock.now()
            view.update(items, now, replica.changed_after, began_at)
            propagate(items, previous)

        replica._listener = on_changes
        self.views.append(view)
        return replica

    def restart(self, index):
        """Start a member again without anything of before."""
        replica = self.add(index + 1)
        self.replicas[index] = self.replicas.pop()
        self.views[index] = self.views.pop()
        assert self.replicas[index] is replica

    def read(self, index):
        """Read the registry, as a follower does."""
        replica, registry, now = self.replicas[index], self.registry, self.clock.now()
        can_watch = replica.version.era == registry.era and replica.revision
        if can_watch and replica.revision <= registry.revision:
            replica.apply_changes(registry.read_changes(replica.revision), now)
        else:
            replica.apply_snapshot(registry.read(), now)

    def mix_messages(self):
        """Deliver some messages, lose some, and keep some for later."""
        waiting, self.network.queue = self.late + self.network.queue, []
        self.late = []
        self.rng.shuffle(waiting)
        for source, target, data in waiting:
            outcome = self.rng.random()
            if outcome < 0.5:
                self.network.gossips[target]._handle(data, source)
            elif outcome < 0.8:
                self.late.append((source, target, data))

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        for view in self.views:
            view.upstreams.expire(self.clock.now())
            view.apply_awaited(self.clock.now())

    def step(self):
        """Do one random thing."""
        rng = self.rng
        action = rng.randrange(10)
        if action <= 2:
            self.writers.write_something()
        elif action == 3:
            self.registry.copies.append(self.registry.copy())
        elif action == 4 and rng.random() < 0.5:
            self.registry.come_back(rng.choice(self.registry.copies[-3:]))
        elif action == 5:
            self.writers.write_again()
        elif action <= 7:
            self.read(rng.randrange(MEMBERS))
        elif action == 8 and rng.random() < 0.2:
            self.restart(rng.randrange(MEMBERS))
        else:
            self.pass_time(rng.choice([0.3, 0.3, 3.0]))
            for gossip in self.network.gossips.values():
                gossip._send_round()
        self.mix_messages()

    def settle(self):
        """Let all writers write again, one member read, and the others hear of it."""
        self.late.clear()
        self.network.queue.clear()
        self.writers.write_again()
        self.pass_time(1.0)
        self.read(0)
        self.network.deliver()
        self.run_rounds(ROUNDS_TO_AGREE)

    def holds_stated_state(self, replica):
        """Whether a replica holds the registry's state at its stated version."""
        if not replica.revision:
            return True
        state = self.registry.states[replica.version]
        for key in [*state, *replica.catalog._items]:
            held = replica.catalog.get(*key)
            if held is not None and held.revision > replica.revision:
                continue
            wanted = state[key].value if key in state else None
            if (held.value if held else None) != wanted:
                return False
        return True


def check_schedule(seed):
    """Play one schedule and check what holds at each step and at its end."""
    fleet = ModelFleet(seed)
    versions = [(0, 0)] * MEMBERS
    configurations = [0] * MEMBERS
    for _ in range(STEPS):
        before = list(fleet.replicas)
        fleet.step()
        for index, replica in enumerate(fleet.replicas):
            if replica is not before[index]:
                versions[index], configurations[index] = (0, 0), 0
            assert replica.version >= versions[index]
            assert fleet.views[index].table_version >= configurations[index]
            versions[index] = replica.version
            configurations[index] = fleet.views[index].table_version
            assert fleet.holds_stated_state(replica)
    fleet.settle()
    registry = fleet.registry
    assert {replica.version for replica in fleet.replicas} == {
        (registry.era, registry.revision)
    }
    assert all(map(fleet.holds_stated_state, fleet.replicas))
    fleet.pass_time(RETURNED_RECORD_HOLD_S)
    for view in fleet.views:
        check_view(view, registry, fleet)


def check_view(view, registry, fleet):
    """Check that a view shows what the registry holds, once nothing is awaited."""
    assert view.awaited_items == 0
    assert view.table_version == fleet.writers.version
    out = {name for kind, name in registry.items if kind is ItemKind.DOMAIN_OUT}
    assert view.domains_out == out
    records = {
        name: fleet.decoder.upstream(name, held.value)
        for (kind, name), held in registry.items.items()
        if kind is ItemKind.UPSTREAM
    }
    assert {one.name: one.record for one in view.upstreams.all()} == records


@settings(max_examples=150, deadline=None)
@example(39)
@given(st.integers(0, 2**32))
def test_members_hold_the_state_that_they_state_across_returns(seed):
    """Guards against states of two eras that are mixed or confused.

    A version and a configuration never go back, a copy holds the registry's state at
    its version, and all agree with it a few rounds after one of them has read it.
    """
    check_schedule(seed)
