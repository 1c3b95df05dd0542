"""Gossip about a registry that comes back from an older copy of its state.

Only one member of a failure domain reads the registry; the others hear of its new era,
and of all that is written in it, from other members.
"""

from __future__ import annotations

import pytest
from gossip_harness import Fleet
from helpers import published_item as item
from helpers import published_names as names
from registry_harness import EraRegistry

from egrethook.balancers.delta_parts import DELTA_MAX_BYTES
from egrethook.balancers.gossip_codec import Delta
from egrethook.discovery.records import Changes, ItemKind

DOMAIN = "zone-a"


class ReadFleet(Fleet):
    """Members of which the first reads a registry."""

    def __init__(self, size, registry):
        super().__init__(size)
        self.registry = registry
        self.read_snapshot()
        self.run_rounds(4)

    def read_snapshot(self):
        self.replicas[0].apply_snapshot(self.registry.read(), self.clock.now())
        self.network.deliver()

    def read_changes(self):
        replica = self.replicas[0]
        changes = self.registry.read_changes(replica.revision)
        replica.apply_changes(changes, self.clock.now())
        self.network.deliver()

    def versions(self):
        return {replica.version for replica in self.replicas}

    def come_back(self, copy, written_again=0):
        """Let the registry come back, and the first member read it."""
        self.registry.come_back(copy)
        for number in range(written_again):
            self.registry.register(f"again-{number}", b"2")
        self.read_snapshot()


def fleet_before_a_return(size=4, lost_changes=10):
    """Return a fleet that holds changes which a copy of the registry lacks."""
    registry = EraRegistry()
    for name in "abc":
        registry.register(name, b"1")
    fleet = ReadFleet(size, registry)
    copy = registry.copy()
    for number in range(lost_changes):
        registry.register(f"lost-{number}", b"1")
    fleet.read_changes()
    fleet.run_rounds(2)
    assert fleet.versions() == {(1, 3 + lost_changes)}
    return fleet, copy


@pytest.mark.parametrize("written_again", [3, 10, 30], ids=["behind", "equal", "ahead"])
def test_evacuation_after_the_registry_came_back_reaches_members_that_do_not_read(
    written_again,
):
    """Guards against VMs that never learn of an evacuation.

    A member that reads has gone back to an older state; the revision of the others is
    above it, equal to it or below it, and they never held the entry.
    """
    fleet, copy = fleet_before_a_return()
    fleet.come_back(copy, written_again)
    fleet.run_rounds(2)
    fleet.registry.evacuate(DOMAIN)
    fleet.read_changes()
    fleet.run_rounds(1)
    assert fleet.versions() == {(2, fleet.registry.revision)}
    for replica in fleet.replicas:
        assert replica.catalog.get(ItemKind.DOMAIN_OUT, DOMAIN).value == b"{}"


def test_upstreams_that_joined_after_the_registry_came_back_reach_all_members():
    """Guards against VMs that serve nothing once a release has replaced all."""
    fleet, copy = fleet_before_a_return()
    fleet.come_back(copy)
    for name in "abc":
        fleet.registry.register(name, None)
        fleet.registry.register(f"{name}-2", b"1")
    fleet.read_changes()
    fleet.run_rounds(2)
    for replica in fleet.replicas:
        assert names(replica.catalog) == {"a-2", "b-2", "c-2"}


def test_evacuation_that_was_taken_back_in_the_lost_seconds_can_be_repeated():
    """Guards against a domain whose next evacuation changes nothing."""
    registry = EraRegistry()
    registry.evacuate(DOMAIN)
    fleet = ReadFleet(3, registry)
    copy = registry.copy()
    registry.evacuate(DOMAIN, None)
    for _ in range(5):
        registry.register("a", b"1")
    fleet.read_changes()
    fleet.run_rounds(2)
    fleet.come_back(copy)
    registry.evacuate(DOMAIN, None)
    registry.evacuate(DOMAIN)
    fleet.read_changes()
    fleet.run_rounds(2)
    for replica in fleet.replicas:
        assert replica.catalog.get(ItemKind.DOMAIN_OUT, DOMAIN).value == b"{}"


def test_members_do_not_confirm_a_state_of_an_earlier_era():
    """Guards against copies that count as fresh after the registry came back.

    Both eras have given out the revision that the members hold.
    """
    fleet, copy = fleet_before_a_return()
    lagging = fleet.replicas[-1]
    address = list(fleet.network.gossips)[-1]
    held = lagging.version
    fleet.network.partitioned.add(address)
    fleet.come_back(copy, written_again=10)
    assert fleet.replicas[0].revision == held.revision
    fleet.network.partitioned.clear()
    gossip = fleet.network.gossips[address]
    digest = next(iter(fleet.network.gossips.values()))._digest(fleet.clock.now())
    gossip._on_digest(digest, digest.sender.address)
    assert lagging.age(fleet.clock.now()) > 0.5


def test_member_that_was_cut_off_meanwhile_gets_the_whole_state():
    fleet, copy = fleet_before_a_return()
    address = list(fleet.network.gossips)[-1]
    fleet.network.partitioned.add(address)
    fleet.come_back(copy, written_again=2)
    fleet.run_rounds(12)
    fleet.network.partitioned.clear()
    fleet.run_rounds(4)
    assert fleet.versions() == {(2, 5)}
    assert names(fleet.replicas[-1].catalog) == {"a", "b", "c", "again-0", "again-1"}


def test_members_learn_when_the_era_began_and_not_when_they_hear_of_it():
    """Guards against delays that add up from member to member."""
    fleet, copy = fleet_before_a_return()
    address = list(fleet.network.gossips)[-1]
    fleet.network.partitioned.add(address)
    fleet.come_back(copy, written_again=2)
    began_at = fleet.clock.now()
    fleet.run_rounds(5)
    fleet.network.partitioned.clear()
    fleet.run_rounds(2)
    for replica in fleet.replicas:
        assert replica.era_seen_at == pytest.approx(began_at, abs=0.01)


def test_process_that_starts_after_a_return_gets_the_era_from_members():
    fleet, copy = fleet_before_a_return()
    fleet.come_back(copy, written_again=1)
    fleet.run_rounds(2)
    started = fleet.add(9)
    fleet.run_rounds(4)
    assert started.version == (2, 4)


def test_two_returns_within_a_round_leave_all_members_in_the_last_era():
    fleet, copy = fleet_before_a_return()
    fleet.come_back(copy, written_again=20)
    fleet.come_back(copy, written_again=1)
    fleet.run_rounds(2)
    assert fleet.versions() == {(3, 4)}
    for replica in fleet.replicas:
        assert names(replica.catalog) == {"a", "b", "c", "again-0"}


def test_late_delta_of_an_earlier_era_changes_nothing():
    fleet, copy = fleet_before_a_return()
    fleet.come_back(copy)
    fleet.run_rounds(2)
    gossip = next(iter(fleet.network.gossips.values()))
    late = Changes(3, 99, [item("late", 99)], era=1)
    gossip._on_delta(Delta(late, 0.0), gossip._members.own.address)
    assert fleet.versions() == {(2, 3)}


def test_part_of_a_later_era_is_asked_for_as_a_whole():
    """Guards against a copy that joins changes of one era to the state of another."""
    fleet, copy = fleet_before_a_return()
    receiver, reader = fleet.replicas[-1], fleet.replicas[0]
    addresses = list(fleet.network.gossips)
    fleet.network.partitioned.add(addresses[-1])
    fleet.come_back(copy)
    fleet.network.partitioned.clear()
    fleet.clock.advance(1.0)
    fleet.registry.register("d", b"1")
    changes = fleet.registry.read_changes(3)
    reader.apply_changes(changes, fleet.clock.now())
    gossip = fleet.network.gossips[addresses[-1]]
    gossip._on_delta(Delta(changes, 0.0), addresses[0])
    assert receiver.version.era == 1
    fleet.network.deliver()
    assert receiver.version == (2, 4)
    assert names(receiver.catalog) == {"a", "b", "c", "d"}


def test_state_of_a_later_era_may_exceed_a_datagram():
    registry = EraRegistry()
    registry.register("a", b"1")
    fleet = ReadFleet(3, registry)
    copy = registry.copy()
    fleet.registry.come_back(copy)
    count = 3 * DELTA_MAX_BYTES // 400
    for number in range(count):
        registry.register(f"up-{number}", bytes(400))
    fleet.read_snapshot()
    fleet.run_rounds(3)
    assert fleet.versions() == {(2, count + 1)}
    assert len(names(fleet.replicas[-1].catalog)) == count + 1
