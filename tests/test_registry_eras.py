"""A registry that comes back from an older copy of its state.

What was written since is lost, revisions are given out again, and the era rises.
"""

from __future__ import annotations

import anyio
import pytest
from helpers import published_item as item
from helpers import published_names as names
from registry_harness import EraRegistry, follow

from egrethook.discovery.records import Changes, ItemKind, Snapshot
from egrethook.discovery.replica import Replica
from egrethook.discovery.view import ForwardingView
from egrethook.emulator.flow_records import (
    InMemoryDecoder,
    add_route,
    route_table,
    upstream_record,
)
from egrethook.exceptions import HistoryLostError

FLOW_LIFE_S = 60.0
DRILL_AT_S = 4.0
AWAY_S = 1.0
APPLY_BOUND_S = 3.0
"""Time within which a written configuration is in force, in seconds."""


class FollowedView:
    """A view of a registry, and the replica between them."""

    def __init__(self):
        self.decoder = InMemoryDecoder()
        self.view = ForwardingView(self.decoder, FLOW_LIFE_S)
        self.replica = Replica(
            lambda items, previous: self.view.update(items, anyio.current_time())
        )

    def routes(self, version, *names):
        """Encode a configuration with some routes beside the first one."""
        table = route_table(version)
        for name in names:
            table = add_route(table, name)
        return self.decoder.encode(table)

    def upstream(self, name, **changes):
        return self.decoder.encode(upstream_record(name, "zone-a", **changes))


async def come_back_later(registry, copy):
    registry.is_up = False
    await anyio.sleep(AWAY_S)
    registry.come_back(copy)


@pytest.mark.parametrize("written_again", [2, 40], ids=["behind", "passed"])
def test_configuration_written_after_the_registry_came_back_is_applied(written_again):
    """Guards against VMs that ignore each configuration for as long as they run.

    The registry has come back from a copy, and its revision stays behind the one that
    they hold, or has passed it before they read again: then nothing answers 410.
    """
    registry, followed = EraRegistry(), FollowedView()
    registry.register("a", followed.upstream("a"))
    registry.configure(followed.routes(7, "kept", "dropped"))
    in_force = []

    async def drill():
        await anyio.sleep(DRILL_AT_S)
        copy = registry.copy()
        lost = [followed.routes(number, "kept", "dropped") for number in (9, 12)]
        for value in lost:
            registry.configure(value)
        for _ in range(6):
            registry.register("b", followed.upstream("b"))
        await anyio.sleep(1.0)
        await come_back_later(registry, copy)
        for value in lost:
            registry.configure(value)
        for _ in range(written_again):
            registry.register("b", followed.upstream("b"))
        await anyio.sleep(4.0)
        registry.configure(followed.routes(15, "kept"))
        await anyio.sleep(APPLY_BOUND_S)
        in_force.append([route.name for route in followed.view.table.routes])

    follow(registry, followed.replica, 20.0, script=drill)
    assert in_force == [["route", "kept"]]
    assert followed.view.table_version == 15
    assert followed.replica.version == (2, registry.revision)


def test_configuration_that_a_copy_lacks_stays_in_force():
    """Guards against a VM that goes back to an older version by its own."""
    registry, followed = EraRegistry(), FollowedView()
    registry.configure(followed.routes(7))
    copy = registry.copy()
    registry.configure(followed.routes(9, "added"))
    followed.replica._listener = lambda items, previous: followed.view.update(items, 0)
    followed.replica.apply_snapshot(registry.read(), 0.0)
    registry.come_back(copy)
    followed.replica.apply_snapshot(registry.read(), 1.0)
    assert followed.view.table_version == 9


def test_registry_without_eras_that_goes_back_is_not_asked_without_a_pause():
    """Guards against hundreds of calls a second while each watch gets a 410."""
    registry, replica = EraRegistry(era=0), Replica(lambda items, previous: None)
    registry.register("a", b"1")
    copy = registry.copy()
    for _ in range(9):
        registry.register("a", b"2")

    async def drill():
        await anyio.sleep(DRILL_AT_S)
        registry.come_back(copy)
        registry.calls = 0

    follow(registry, replica, DRILL_AT_S + 10.0, script=drill)
    assert registry.calls < 70


def test_lost_history_alone_is_no_reason_to_wait():
    """Guards against a pause before the first snapshot after a 410."""
    replica = Replica(lambda items, previous: None)

    class Registry(EraRegistry):
        async def changes(self, after, wait_s):
            if after < self.revision - 1:
                await self._answer()
                raise HistoryLostError("compacted")
            return await super().changes(after, wait_s)

    registry = Registry()
    registry.register("a", b"1")

    async def script():
        await anyio.sleep(2.0)
        for _ in range(5):
            registry.register("a", b"2")
        await anyio.sleep(1.1)
        assert replica.version == (1, 6)

    follow(registry, replica, 4.0, script=script)


@pytest.mark.parametrize("late", ["snapshot", "changes"])
def test_late_answer_of_an_earlier_era_changes_nothing(late):
    replica = Replica(lambda items, previous: None)
    replica.apply_snapshot(Snapshot([item("a", 9)], 9, era=1), 0.0)
    replica.apply_snapshot(Snapshot([item("b", 4)], 4, era=2), 1.0)
    if late == "snapshot":
        replica.apply_snapshot(Snapshot([item("a", 12)], 12, era=1), 2.0)
    else:
        replica.apply_changes(Changes(4, 12, [item("a", 12)], era=1), 2.0)
    assert replica.version == (2, 4)
    assert names(replica.catalog) == {"b"}
    assert replica.age(2.0) == 1.0


def test_era_that_goes_back_leaves_the_last_state_in_use():
    """Guards against an older registry that replaces the state of a newer one."""
    registry, replica = EraRegistry(era=5), Replica(lambda items, previous: None)
    registry.register("a", b"1")

    async def script():
        await anyio.sleep(2.0)
        registry.era = 4
        registry.register("b", b"2")

    follow(registry, replica, 8.0, script=script)
    assert replica.version == (5, 1)
    assert replica.catalog.get(ItemKind.UPSTREAM, "b") is None
    assert registry.calls < 40
