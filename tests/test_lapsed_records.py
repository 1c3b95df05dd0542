"""What an older copy of the registry lacks, until it is written again.

The processes go on with what they hold for the time in which it is written again, and
not for longer.
"""

from __future__ import annotations

from contextlib import contextmanager

import pytest
from registry_harness import EraRegistry, manual_forwarder

from egrethook.discovery.records import ItemKind, UpstreamPhase
from egrethook.discovery.rewrites import (
    RETURNED_RECORD_HOLD_S,
    REWRITE_TIME_S,
    RewriteWindow,
)
from egrethook.emulator.flow_records import InMemoryDecoder, upstream_record

DOMAIN = "zone-a"
STARTS_AT_S = 10.0


class FollowedForwarder:
    """A process that holds upstreams a and b, and a registry that it reads."""

    def __init__(self, forwarder, decoder):
        self.forwarder, self.decoder = forwarder, decoder
        self.registry = EraRegistry()
        self.write("a")
        self.write("b")
        self.read()

    @property
    def upstreams(self):
        return self.forwarder.view.upstreams

    def write(self, name, **changes):
        """Write the record of an upstream."""
        record = upstream_record(name, DOMAIN, **changes)
        self.registry.register(name, self.decoder.encode(record))

    def drain(self, name, writes):
        self.write(name, phase=UpstreamPhase.DRAINING, writes=writes)

    def read(self):
        """Read the registry, as a watch or after a new era."""
        replica, now = self.forwarder.replica, self.forwarder.clock.now()
        if replica.version.era != self.registry.era:
            replica.apply_snapshot(self.registry.read(), now)
        else:
            replica.apply_changes(self.registry.read_changes(replica.revision), now)

    def come_back(self, copy):
        self.registry.come_back(copy)
        self.read()

    def run(self, seconds):
        """Let time pass with housekeeping."""
        for _ in range(round(seconds / 0.1)):
            self.forwarder.clock.advance(0.1)
            self.forwarder.housekeep()

    def in_use(self):
        """Return the names of the upstreams that may get new flows."""
        view = self.forwarder.view
        return {one.name for one in view.upstreams.all() if view.accepts_flows(one)}


@contextmanager
def followed_forwarder():
    decoder = InMemoryDecoder()
    with manual_forwarder(decoder, STARTS_AT_S) as forwarder:
        yield FollowedForwarder(forwarder, decoder)


def test_draining_upstream_that_joined_in_the_lost_seconds_gets_no_new_flows():
    """Guards against endpoints that are used on after they reported that they drain.

    They joined shortly before the registry came back; their records of then have higher
    revisions than what they write later.
    """
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        for writes in range(1, 6):
            followed.write("new", cold_left_s=2.0 - 0.4 * writes, writes=writes)
            followed.read()
        followed.come_back(copy)
        followed.write("new", writes=6)
        followed.read()
        followed.run(8.0)
        assert followed.in_use() == {"a", "b", "new"}
        followed.drain("new", writes=7)
        followed.read()
        assert followed.in_use() == {"a", "b"}


def test_upstream_that_the_copy_lacks_keeps_its_flows_until_it_is_written_again():
    """Guards against upstreams that are dropped though they only have to register."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.write("new", writes=1)
        followed.read()
        new = followed.upstreams.get("new")
        new.busy_flows = 2
        followed.come_back(copy)
        followed.run(1.5)
        assert followed.in_use() == {"a", "b", "new"}
        followed.write("new", writes=3)
        followed.read()
        followed.run(5.0)
        assert followed.upstreams.get("new") is new
        assert new.busy_flows == 2


@pytest.mark.parametrize("answers", [False, True])
def test_upstream_that_is_not_written_again_is_gone_in_time(answers):
    """Guards against a second grace period after the first one."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.write("new")
        followed.read()
        followed.come_back(copy)
        for _ in range(round(REWRITE_TIME_S / 0.1) + 1):
            if answers:
                new = followed.upstreams.get("new")
                new.answered_at = followed.forwarder.clock.now()
            followed.run(0.1)
        assert followed.in_use() == {"a", "b"}


def test_drain_that_the_copy_lacks_stays_in_force_until_it_is_written_again():
    """Guards against new flows at an upstream that drains and will end."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.drain("a", writes=4)
        followed.read()
        followed.come_back(copy)
        assert followed.in_use() == {"b"}
        followed.run(1.0)
        followed.drain("a", writes=5)
        followed.read()
        followed.run(5.0)
        assert followed.in_use() == {"b"}


def test_drain_that_is_not_written_again_ends():
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.drain("a", writes=4)
        followed.read()
        followed.come_back(copy)
        followed.run(REWRITE_TIME_S + 0.1)
        assert followed.in_use() == {"a", "b"}


@pytest.mark.parametrize("is_written_again", [True, False])
def test_evacuation_that_the_copy_lacks_stays_in_force(is_written_again):
    """Guards against openings in a domain whose evacuation was acknowledged."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.registry.evacuate(DOMAIN)
        followed.read()
        followed.come_back(copy)
        followed.run(2.0)
        assert followed.in_use() == set()
        if is_written_again:
            followed.registry.evacuate(DOMAIN)
            followed.read()
        followed.run(0.3)
        assert followed.in_use() == (set() if is_written_again else {"a", "b"})


def test_evacuation_that_was_taken_back_and_repeated_is_in_force_at_once():
    with followed_forwarder() as followed:
        followed.registry.evacuate(DOMAIN)
        copy = followed.registry.copy()
        followed.registry.evacuate(DOMAIN, None)
        followed.read()
        followed.come_back(copy)
        followed.registry.evacuate(DOMAIN, None)
        followed.read()
        assert followed.in_use() == {"a", "b"}
        followed.registry.evacuate(DOMAIN)
        followed.read()
        assert followed.in_use() == set()


@pytest.mark.parametrize("writes", [2, 3, 4])
def test_upstream_that_left_in_the_lost_seconds_is_used_again_only_if_it_writes(writes):
    """Guards against a server that has left and is in use again."""
    with followed_forwarder() as followed:
        followed.write("gone", writes=3)
        followed.read()
        copy = followed.registry.copy()
        followed.registry.register("gone", None)
        followed.read()
        followed.come_back(copy)
        followed.run(1.0)
        assert followed.in_use() == {"a", "b"}
        followed.write("gone", writes=writes)
        followed.read()
        assert ("gone" in followed.in_use()) == (writes > 3)


def test_upstream_that_left_is_as_in_the_registry_once_its_record_would_have_expired():
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.registry.register("a", None)
        followed.read()
        followed.come_back(copy)
        followed.run(RETURNED_RECORD_HOLD_S - 0.2)
        assert followed.in_use() == {"b"}
        followed.run(0.3)
        assert followed.in_use() == {"a", "b"}


def test_earlier_incarnation_in_the_copy_does_not_replace_the_current_one():
    """Guards against packets for an incarnation that has ended."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.write("a", started_ms=2, writes=1)
        followed.read()
        current = followed.upstreams.get("a")
        followed.come_back(copy)
        assert followed.upstreams.get("a") is current
        followed.write("a", started_ms=2, writes=2)
        followed.read()
        followed.run(5.0)
        assert followed.upstreams.get("a") is current


def test_removal_in_the_new_era_does_not_wait():
    with followed_forwarder() as followed:
        followed.come_back(followed.registry.copy())
        followed.registry.register("a", None)
        followed.read()
        assert followed.in_use() == {"b"}


def test_second_return_within_seconds_begins_the_time_anew():
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.drain("a", writes=4)
        followed.write("new")
        followed.read()
        followed.come_back(copy)
        followed.run(1.5)
        followed.come_back(followed.registry.copy())
        followed.run(1.5)
        assert followed.in_use() == {"b", "new"}
        followed.run(1.0)
        assert followed.in_use() == {"a", "b"}


@pytest.mark.parametrize("seen_s_ago", [REWRITE_TIME_S, 60.0, float("inf")])
def test_process_that_learns_late_of_a_return_does_not_wait(seen_s_ago):
    """Guards against a delay that is counted from when a process learns of an era."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.drain("a", writes=4)
        followed.registry.evacuate("zone-b")
        followed.read()
        followed.registry.come_back(copy)
        state = followed.registry.read()
        replica, now = followed.forwarder.replica, followed.forwarder.clock.now()
        changes = followed.registry.read_changes(0)._replace(
            items=state.items, replaces=True
        )
        replica.apply_changes(changes, now, now - seen_s_ago)
        assert followed.in_use() == {"a", "b"}
        assert followed.forwarder.view.domains_out == frozenset()


def test_era_of_unknown_age_extends_no_wait():
    """Guards against an item that is held back for ever."""
    registry, window = EraRegistry(), RewriteWindow()
    registry.register("a", b"1")
    window.open(5.0)
    window.hold(registry.items[ItemKind.UPSTREAM, "a"])
    window.open(float("-inf"))
    assert not window.take_due(5.0 + REWRITE_TIME_S - 0.1)
    assert len(window.take_due(5.0 + REWRITE_TIME_S)) == 1


def test_unreadable_record_of_the_copy_does_not_wait():
    """An entry of another writer removes what its name held, as in any era."""
    with followed_forwarder() as followed:
        copy = followed.registry.copy()
        followed.registry.come_back(copy)
        followed.registry.register("a", b"unreadable")
        followed.read()
        assert followed.in_use() == {"b"}
