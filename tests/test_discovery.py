"""The replica of published items and the registry client.

The tests guard against items that revert or reappear, revisions claimed in spite of
gaps, lost items after registry failures, and calls that never time out.
"""

from __future__ import annotations

import random

import anyio
import pytest
from helpers import published_item as item
from helpers import published_names as names
from hypothesis import given
from hypothesis import strategies as st
from registry_harness import follow

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import Delta, decode, encode
from egrethook.discovery.catalog import TOMBSTONE_LIMIT, Catalog
from egrethook.discovery.follower import BATCH_DELAY_S
from egrethook.discovery.http_client import HttpClient
from egrethook.discovery.http_exchange import ResponseReader
from egrethook.discovery.records import (
    Changes,
    ItemKind,
    PublishedItem,
    Snapshot,
    StateVersion,
)
from egrethook.discovery.replica import Replica
from egrethook.exceptions import (
    HistoryLostError,
    SourceUnavailableError,
)


def test_older_revision_of_an_item_changes_nothing():
    catalog = Catalog()
    catalog.merge_snapshot(Snapshot([item("a", 5, b"new")], 5))
    assert catalog.merge_changes(Changes(5, 6, [item("a", 4, b"old")])) == []
    assert catalog.get(ItemKind.UPSTREAM, "a").value == b"new"


def test_snapshot_deletes_missing_items_unless_newer():
    catalog = Catalog()
    catalog.merge_snapshot(Snapshot([item("a", 1), item("b", 2)], 2))
    catalog.merge_changes(Changes(2, 9, [item("c", 9)]))
    catalog.merge_snapshot(Snapshot([item("b", 2)], 6))
    assert names(catalog) == {"b", "c"}
    assert catalog.revision == 9


def test_changes_after_a_gap_do_not_advance_the_revision():
    catalog = Catalog()
    catalog.merge_snapshot(Snapshot([item("a", 1)], 1))
    catalog.merge_changes(Changes(3, 4, [item("b", 4)]))
    assert names(catalog) == {"a", "b"}
    assert catalog.revision == 1
    catalog.merge_changes(Changes(1, 4, [item("a", 2, None), item("b", 4)]))
    assert names(catalog) == {"b"}
    assert catalog.revision == 4


def test_size_limited_changes_continue_where_the_last_ones_ended():
    source, target = Catalog(), Catalog()
    source.merge_changes(
        Changes(0, 60, [item(f"up-{n}", n, b"v" * 100) for n in range(1, 50)])
    )
    rounds = 0
    while target.revision < source.revision:
        changes = source.changes_since(target.revision, 1_000)
        assert len(changes.items) <= 11
        target.merge_changes(changes)
        rounds += 1
    assert names(target) == names(source)
    assert rounds == 6


def test_partial_changes_after_a_gap_do_not_claim_a_later_revision():
    catalog = Catalog()
    catalog.merge_snapshot(Snapshot([item("a", 1)], 2))
    after_gap = [item(f"up-{n}", n, b"v" * 50) for n in range(7, 12)]
    catalog.merge_changes(Changes(6, 11, after_gap))
    assert catalog.changes_since(0, 120).revision <= 2


def test_deleted_item_does_not_come_back_after_a_restart():
    """Guards against a server that has left and is in use again.

    The new process has a snapshot without the item, and no tombstone; another member
    still passes on the item's last record.
    """
    restarted = Catalog()
    restarted.merge_snapshot(Snapshot([item("b", 2)], 9))
    stale = Changes(0, 5, [item("a", 3), item("b", 2)])
    assert restarted.merge_changes(stale) == []
    assert names(restarted) == {"b"}
    # A new registration under the same name is a later change.
    restarted.merge_changes(Changes(9, 10, [item("a", 10)]))
    assert names(restarted) == {"a", "b"}


def test_late_change_does_not_undo_a_removal_that_a_snapshot_skipped():
    """Guards against a record that left twice and is in use again for good.

    The copy has the first removal, and jumps over the return and the second removal.
    """
    copy = Catalog()
    copy.merge_changes(Changes(0, 3, [item("a", 3, None), item("b", 2)]))
    copy.merge_snapshot(Snapshot([item("b", 2)], 6))
    late = Changes(0, 4, [item("a", 4), item("b", 2)])
    assert copy.merge_changes(late) == []
    assert names(copy) == {"b"}


def test_state_with_an_earlier_removal_of_an_item_still_removes_it():
    """Guards against a record that left twice and is in use again for good.

    The sender has the tombstone of the first removal, the receiver the return.
    """
    source, target = Catalog(), Catalog()
    source.merge_changes(Changes(0, 3, [item("b", 2), item("a", 3, None)]))
    target.merge_snapshot(Snapshot([item("b", 2), item("a", 4)], 4))
    source.merge_snapshot(Snapshot([item("b", 2)], 5))
    target.merge_changes(source.changes_since(2, 1_000))
    assert names(target) == names(source) == {"b"}
    assert target.revision == 5


def test_items_that_a_snapshot_deletes_at_once_are_not_separated():
    """Guards against lost deletions: they have one revision, and none is above it."""
    source, target = Catalog(), Catalog()
    before = Snapshot([item(f"up-{n}", n) for n in range(1, 100)], 100)
    for catalog in (source, target):
        catalog.merge_snapshot(before)
    source.merge_snapshot(Snapshot([], 120))
    source.merge_changes(Changes(120, 121, [item("up-new", 121)]))
    while target.revision < source.revision:
        target.merge_changes(source.changes_since(target.revision, 100))
    assert names(target) == names(source) == {"up-new"}


def test_many_deleted_items_fit_a_message():
    """Guards against a delta of more items than its receivers accept."""
    count = 4_600
    source, target = Catalog(), Catalog()
    items = [item(f"up-{n}", n) for n in range(1, count + 1)]
    for catalog in (source, target):
        catalog.merge_snapshot(Snapshot(items, count))
    source.merge_snapshot(Snapshot([], count + 1))
    delta = Delta(source.changes_since(target.revision, 1_000_000), 0.0)
    target.merge_changes(decode(encode(delta)).changes)
    assert names(target) == set()
    assert target.revision == count + 1


def test_removal_that_a_fresh_copy_never_saw_reaches_one_that_is_behind():
    """Guards against a server that is gone and stays in use at VMs in touch.

    The VMs that read the registry are killed as its record is removed, and start again.
    """
    behind, fresh = Catalog(), Catalog()
    out_of_service = PublishedItem(ItemKind.DOMAIN_OUT, "zone-a", 80, b"{}")
    held = [out_of_service, item("gone", 92), item("b", 94)]
    behind.merge_snapshot(Snapshot(held, 94))
    fresh.merge_snapshot(Snapshot([item("b", 94), item("c", 99)], 100))
    behind.merge_changes(fresh.changes_since(behind.revision, 1_000))
    assert names(behind) == {"b", "c"}
    assert behind.get(ItemKind.DOMAIN_OUT, "zone-a").value is None
    assert behind.revision == 100


def copy_that_jumped():
    """It never saw "gone", which was added at 92 and removed at 96."""
    jumped = Catalog()
    jumped.merge_changes(Changes(0, 90, [item("a", 5), item("b", 90)]))
    jumped.merge_snapshot(Snapshot([item("b", 90), item("c", 99)], 100))
    return jumped


@pytest.mark.parametrize("relayed", [False, True])
def test_item_added_and_removed_between_two_snapshots_is_not_kept(relayed):
    """Guards against the same behind a snapshot in the middle of a process's life."""
    source = copy_that_jumped()
    if relayed:
        relay = Catalog()
        relay.merge_changes(Changes(0, 90, [item("a", 5), item("b", 90)]))
        relay.merge_changes(source.changes_since(90, 1_000))
        source = relay
    behind = Catalog()
    held = [item("a", 5), item("b", 90), item("gone", 92)]
    behind.merge_changes(Changes(0, 94, held))
    behind.merge_changes(source.changes_since(94, 1_000))
    assert names(behind) == {"b", "c"}
    assert behind.revision == 100


def test_change_pushed_across_a_gap_is_not_kept_if_it_was_removed():
    """Guards against a pushed record whose removal nobody in touch has seen."""
    behind = Catalog()
    behind.merge_changes(Changes(0, 90, [item("a", 5), item("b", 90)]))
    behind.merge_changes(Changes(91, 92, [item("gone", 92)]))
    behind.merge_changes(copy_that_jumped().changes_since(90, 1_000))
    assert names(behind) == {"b", "c"}


def test_copy_that_lost_tombstones_still_removes_what_others_hold():
    """Guards against removals that were dropped for their number."""
    count = TOMBSTONE_LIMIT + 10
    source, behind = Catalog(), Catalog()
    items = [item(f"up-{n}", n) for n in range(1, count + 1)]
    for catalog in (source, behind):
        catalog.merge_changes(Changes(0, count, items))
    removed = [item(f"up-{n}", count + n, None) for n in range(1, count + 1)]
    source.merge_changes(Changes(count, 2 * count, removed))
    behind.merge_changes(source.changes_since(behind.revision, 10**7))
    assert names(behind) == set()
    assert behind.revision == 2 * count


class RegistryModel:
    """A registry that remembers its state at each revision."""

    def __init__(self):
        self.states = [{}]
        self.events = []

    @property
    def revision(self):
        return len(self.states) - 1

    def write(self, name, value):
        revision = self.revision + 1
        change = item(name, revision, value)
        self.events.append(change)
        state = {key: held for key, held in self.states[-1].items() if key != name}
        self.states.append(state if value is None else {**state, name: change})

    def snapshot(self):
        return Snapshot(list(self.states[-1].values()), self.revision)

    def changes(self, after):
        return Changes(after, self.revision, self.events[after:])

    def agrees_with(self, catalog):
        """Whether a copy holds the registry's state at the revision that it states."""
        held = {name: catalog.get(ItemKind.UPSTREAM, name) for name in "abcd"}
        state = self.states[catalog.revision]
        return all(
            state.get(name) == (one if one and one.value is not None else None)
            for name, one in held.items()
            if one is None or one.revision <= catalog.revision
        )


@given(st.integers(0, 2**32))
def test_copies_hold_the_state_of_the_revision_that_they_state(seed):
    """Guards against copies that count as complete and lack removals.

    Some read snapshots, some changes; they restart, gossip, and lose messages.
    """
    rng = random.Random(seed)
    registry = RegistryModel()
    copies = [Catalog() for _ in range(3)]
    for _ in range(60):
        number = rng.randrange(3)
        copy, other = copies[number], copies[(number + rng.choice((1, 2))) % 3]
        action = rng.randrange(7)
        if action <= 1:
            registry.write(rng.choice("abcd"), rng.choice([b"1", b"2", None]))
        elif action == 2:
            copy.merge_snapshot(registry.snapshot())
        elif action == 3:
            copy.merge_changes(registry.changes(copy.revision))
        elif action == 4:
            copies[number] = Catalog()
        elif action == 5:
            copy.merge_changes(other.changes_since(copy.revision, 40))
        else:
            after = rng.randrange(other.revision + 1)
            copy.merge_changes(other.changes_since(after, 40))
        assert all(map(registry.agrees_with, copies))


@given(st.integers(0, 2**32))
def test_replicas_that_exchange_deltas_in_any_order_agree(seed):
    rng = random.Random(seed)
    registry = Catalog()
    replicas = [Catalog() for _ in range(3)]
    revision = 0
    for _ in range(60):
        action = rng.randrange(3)
        if action == 0:
            revision += 1
            value = rng.choice([b"one", b"two", None])
            change = item(f"up-{rng.randrange(5)}", revision, value)
            registry.merge_changes(Changes(revision - 1, revision, [change]))
        elif action == 1:
            reader = rng.choice(replicas)
            reader.merge_changes(registry.changes_since(reader.revision, 40))
        else:
            source, target = rng.sample(replicas, 2)
            before = target.revision
            target.merge_changes(
                source.changes_since(rng.randrange(source.revision + 1), 40)
            )
            assert target.revision >= before
    for replica in replicas:
        while replica.revision < registry.revision:
            replica.merge_changes(registry.changes_since(replica.revision, 40))
        assert names(replica) == names(registry)


@pytest.mark.parametrize("by_snapshot", [False, True])
def test_changes_are_dated_by_the_last_confirmation_before_them(by_snapshot):
    """Guards against delays that count from when a process learned of a change."""
    dates = []
    replica = Replica(lambda items, previous: dates.append(replica.changed_after))
    replica.apply_snapshot(Snapshot([item("a", 1), item("b", 2)], 2), 1.0)
    replica.confirm(StateVersion(0, 2), 5.0)
    if by_snapshot:
        replica.apply_snapshot(Snapshot([item("b", 2)], 3), 7.1)
    else:
        replica.apply_changes(Changes(2, 3, [item("a", 3, None)]), 7.1)
    replica.mark_stale()
    replica.apply_changes(Changes(3, 4, [item("b", 4, None)]), 9.0)
    assert dates == [float("-inf"), 5.0, float("-inf")]


class FakeSource:
    """Returns or raises the entries of a script in order, then repeats the last."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    async def _next(self, *call):
        self.calls.append(call)
        await anyio.sleep(0.01)
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def snapshot(self):
        return await self._next("snapshot")

    async def changes(self, after, wait_s):
        return await self._next("changes", after)

    async def aclose(self):
        self.calls.append(("close",))


def test_lost_history_triggers_a_new_snapshot():
    replica = Replica(lambda items, previous_revision: None)
    source = FakeSource(
        Snapshot([item("a", 3), item("b", 4)], 4),
        HistoryLostError("gone"),
        Snapshot([item("b", 4)], 20),
        Changes(20, 20, []),
    )
    follow(source, replica, 0.5)
    assert names(replica.catalog) == {"b"}
    assert replica.revision == 20
    assert source.calls[:4] == [
        ("snapshot",),
        ("changes", 4),
        ("snapshot",),
        ("changes", 20),
    ]


def test_failed_calls_keep_items_and_are_retried_with_backoff():
    replica = Replica(lambda items, previous_revision: None)
    source = FakeSource(
        Snapshot([item("a", 3)], 3), SourceUnavailableError("the store answered 503")
    )
    follow(source, replica, 10.0)
    assert names(replica.catalog) == {"a"}
    assert 15 < len(source.calls) < 45


class BusyRegistry(FakeSource):
    """Returns one new change with each call."""

    async def changes(self, after, wait_s):
        await self._next("changes", after)
        return Changes(after, after + 1, [item("a", after + 1)])


def test_changes_in_quick_succession_are_batched():
    replica = Replica(lambda items, previous_revision: None)
    source = BusyRegistry(Snapshot([item("a", 1)], 1))
    follow(source, replica, 4.0)
    assert replica.revision > 10
    assert len(source.calls) < 4.0 / BATCH_DELAY_S + 3


def test_process_that_is_not_a_reader_makes_no_calls():
    source = FakeSource(Snapshot([], 1))
    follow(
        source,
        Replica(lambda items, previous_revision: None),
        5.0,
        must_read=lambda: False,
    )
    assert source.calls == [("close",)]


def run_with_server(server, check):
    """Run a check of a client whose server handles each connection."""

    async def run():
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, server)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = HttpClient(Address("127.0.0.1", port))
            await check(client)
            await client.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_slow_response_succeeds_while_it_makes_progress():
    body = b"x" * 400

    async def slow_server(stream):
        async with stream:
            await stream.receive()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"
            await stream.send(head)
            for start in range(0, 400, 100):
                await anyio.sleep(0.1)
                await stream.send(body[start : start + 100])

    async def check(client):
        response = await client.get("/kv-range", 0.2)
        assert response.body == body

    run_with_server(slow_server, check)


def test_silent_server_causes_timeout_error():
    async def silent_server(stream):
        async with stream:
            await anyio.sleep_forever()

    async def check(client):
        with pytest.raises(SourceUnavailableError):
            await client.get("/kv-range", 0.2)

    run_with_server(silent_server, check)


LENGTH = b"Content-Length: 4\r\n"
CLOSE = b"Connection: close\r\n"

ENDINGS = {
    "keeps the connection": (b"HTTP/1.1 200 OK\r\n" + LENGTH, False),
    "asks to close": (b"HTTP/1.1 200 OK\r\n" + LENGTH + CLOSE, True),
    "has no length": (b"HTTP/1.1 200 OK\r\n" + CLOSE, True),
    "is of HTTP/1.0": (b"HTTP/1.0 200 OK\r\n", True),
    "is of HTTP/1.0 with length": (b"HTTP/1.0 200 OK\r\n" + LENGTH, True),
}


@pytest.mark.parametrize(("head", "closes"), ENDINGS.values(), ids=ENDINGS.keys())
def test_response_may_end_with_its_connection(head, closes):
    """Guards against a registry that is never read since it closes connections."""
    connections = []

    async def server(stream):
        connections.append(stream)
        async with stream:
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                await stream.send(head + b"\r\nbody")
                if closes:
                    return

    async def check(client):
        for _ in range(3):
            response = await client.get("/kv-range", 1.0)
            assert response.body == b"body"

    run_with_server(server, check)
    assert len(connections) == (3 if closes else 1)


def test_response_that_is_cut_off_is_a_failed_read():
    """Guards against a part of a body that is taken for the whole one."""
    reader = ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")
    with pytest.raises(SourceUnavailableError):
        reader.feed(b"")
    with pytest.raises(SourceUnavailableError):
        ResponseReader().feed(b"")
