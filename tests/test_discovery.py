"""The replica of published items: order, gaps, deletions, readers, gossip."""

from __future__ import annotations

import contextlib
import random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from egrethook.addresses import Address
from egrethook.balancers.gossip import Gossip
from egrethook.balancers.gossip_codec import (
    Delta,
    Digest,
    MemberInfo,
    decode,
    encode,
)
from egrethook.balancers.gossip_members import MEMBER_TIMEOUT_S, GossipMembers
from egrethook.discovery.catalog import Catalog
from egrethook.discovery.follower import RegistryFollower
from egrethook.discovery.http_client import HttpClient
from egrethook.discovery.records import Changes, ItemKind, PublishedItem, Snapshot
from egrethook.discovery.replica import Replica
from egrethook.emulator.builders import ManualClock
from egrethook.exceptions import (
    BadMessageError,
    HistoryLostError,
    SourceUnavailableError,
)


def item(name, revision, value=b"x"):
    return PublishedItem(ItemKind.UPSTREAM, name, revision, value)


def names(catalog):
    changes = catalog.since(0, 10**6)
    return {one.name for one in changes.items if one.value is not None}


def test_older_revision_of_an_item_changes_nothing():
    catalog = Catalog()
    catalog.replace(Snapshot([item("a", 5, b"new")], 5))
    assert catalog.apply(Changes(5, 6, [item("a", 4, b"old")])) == []
    assert catalog.get(ItemKind.UPSTREAM, "a").value == b"new"


def test_snapshot_deletes_what_it_lacks_but_not_what_is_newer():
    catalog = Catalog()
    catalog.replace(Snapshot([item("a", 1), item("b", 2)], 2))
    catalog.apply(Changes(2, 9, [item("c", 9)]))
    catalog.replace(Snapshot([item("b", 2)], 6))
    assert names(catalog) == {"b", "c"}
    assert catalog.revision == 9


def test_changes_after_a_gap_do_not_move_the_revision():
    catalog = Catalog()
    catalog.replace(Snapshot([item("a", 1)], 1))
    catalog.apply(Changes(3, 4, [item("b", 4)]))
    assert names(catalog) == {"a", "b"}
    assert catalog.revision == 1
    catalog.apply(Changes(1, 4, [item("a", 2, None), item("b", 4)]))
    assert names(catalog) == {"b"}
    assert catalog.revision == 4


def test_deltas_are_bounded_and_continue_where_they_ended():
    source, target = Catalog(), Catalog()
    source.replace(Snapshot([item(f"up-{n}", n, b"v" * 100) for n in range(1, 50)], 60))
    rounds = 0
    while target.revision < source.revision:
        changes = source.since(target.revision, 1_000)
        assert len(changes.items) <= 11
        target.apply(changes)
        rounds += 1
    assert names(target) == names(source)
    assert rounds == 6


def test_part_of_the_changes_never_claims_more_than_is_held():
    catalog = Catalog()
    catalog.replace(Snapshot([item("a", 1)], 2))
    beyond_a_gap = [item(f"up-{n}", n, b"v" * 50) for n in range(7, 12)]
    catalog.apply(Changes(6, 11, beyond_a_gap))
    assert catalog.since(0, 120).revision <= 2


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
            registry.apply(Changes(revision - 1, revision, [change]))
        elif action == 1:
            reader = rng.choice(replicas)
            reader.apply(registry.since(reader.revision, 40))
        else:
            giver, taker = rng.sample(replicas, 2)
            before = taker.revision
            taker.apply(giver.since(rng.randrange(giver.revision + 1), 40))
            assert taker.revision >= before
    for replica in replicas:
        while replica.revision < registry.revision:
            replica.apply(registry.since(replica.revision, 40))
        assert names(replica) == names(registry)


class FakeSource:
    """Answers from a script; the last entry stays."""

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


class LoopTime:
    def now(self):
        return anyio.current_time()


def follow(source, replica, seconds, must_read=lambda: True):
    async def run():
        follower = RegistryFollower(
            source, replica, must_read, LoopTime(), random.Random(1)
        )
        with anyio.move_on_after(seconds):
            await follower.run()

    from trio.testing import MockClock

    options = {"clock": MockClock(autojump_threshold=0.0)}
    anyio.run(run, backend="trio", backend_options=options)


def test_lost_history_is_read_again_whole():
    replica = Replica(lambda items, before: None)
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


def test_failures_keep_what_is_held_and_are_retried_slower():
    replica = Replica(lambda items, before: None)
    source = FakeSource(
        Snapshot([item("a", 3)], 3), SourceUnavailableError("the store answered 503")
    )
    follow(source, replica, 10.0)
    assert names(replica.catalog) == {"a"}
    assert 15 < len(source.calls) < 45


def test_process_that_need_not_read_makes_no_calls():
    source = FakeSource(Snapshot([], 1))
    follow(source, Replica(lambda items, before: None), 5.0, must_read=lambda: False)
    assert source.calls == [("close",)]


def member(number, domain="zone-a", beat=1, incarnation=1, leaving=False):
    address = Address(f"10.0.0.{number}", 7000)
    return MemberInfo(address, domain, incarnation, beat, leaving)


def make_members(number, seeds=()):
    return GossipMembers(member(number), seeds, random.Random(number))


def test_each_failure_domain_has_one_reader_in_every_view():
    infos = [member(n) for n in range(1, 5)]
    readers = []
    for info in infos:
        members = GossipMembers(info, [], random.Random(1))
        members.merge(infos, 0.0)
        readers.append(members.is_reader(1.0))
    assert sum(readers) == 1


def test_reader_that_falls_silent_or_leaves_is_replaced():
    infos = [member(n) for n in range(1, 4)]
    views = [GossipMembers(info, [], random.Random(1)) for info in infos]
    for view in views:
        view.merge(infos, 0.0)
    first = [view.is_reader(0.0) for view in views].index(True)
    others = [n for n in range(3) if n != first]
    later = MEMBER_TIMEOUT_S + 0.1
    for n in others:
        views[n].merge([member(m + 1, beat=2) for m in others], later)
    assert sum(views[n].is_reader(later) for n in others) == 1
    views[first].beat(leaving=True)
    assert not views[first].is_reader(0.0)


def test_restarted_member_replaces_its_older_incarnation():
    members = make_members(1)
    members.merge([member(2, beat=500, incarnation=1)], 0.0)
    members.merge([member(2, beat=1, incarnation=2)], 0.5)
    members.merge([member(2, beat=501, incarnation=1)], 0.6)
    (info,) = members.live(0.6)
    assert info.incarnation == 2


def test_large_fleet_gossips_with_a_bounded_number():
    members = make_members(1)
    domains = ["zone-a", "zone-b", "zone-c"]
    members.merge([member(n, domains[n % 3]) for n in range(2, 90)], 0.0)
    assert len(members.partners(0.1)) == 3
    assert len(members.audience(0.1)) == 4
    assert len(members.sample(0.1)) == 8


class Wire:
    """Delivers datagrams between gossips at once, unless they are cut off."""

    def __init__(self):
        self.gossips = {}
        self.cut = set()
        self.queue = []

    def deliver(self):
        while self.queue:
            source, target, data = self.queue.pop(0)
            if target in self.gossips and not {source, target} & self.cut:
                self.gossips[target]._handle(data, source)


class WirePort:
    def __init__(self, wire, address):
        self.wire, self.address = wire, address

    def send(self, target, data):
        self.wire.queue.append((self.address, target, data))


class Fleet:
    def __init__(self, size):
        self.wire, self.clock = Wire(), ManualClock()
        self.replicas = []
        for number in range(1, size + 1):
            self.add(number)

    def add(self, number):
        own = member(number)
        seeds = [Address("10.0.0.1", 7000), Address("10.0.0.2", 7000)]
        members = GossipMembers(own, seeds, random.Random(number))
        holder = []
        replica = Replica(lambda items, before: holder[0].pass_on(items, before))
        gossip = Gossip(
            WirePort(self.wire, own.address),
            members,
            replica,
            self.clock,
            random.Random(number),
            None,
        )
        holder.append(gossip)
        self.wire.gossips[own.address] = gossip
        self.replicas.append(replica)
        return replica

    def beat(self, times=1):
        for _ in range(times):
            self.clock.advance(0.3)
            now = self.clock.now()
            for gossip in self.wire.gossips.values():
                gossip._members.beat(False)
                for partner in gossip._members.partners(now):
                    gossip._send(partner, gossip._digest(now))
            self.wire.deliver()


def test_change_reaches_every_member_from_one_reader():
    fleet = Fleet(30)
    fleet.beat(12)
    fleet.replicas[0].take_snapshot(Snapshot([item("a", 7)], 7), fleet.clock.now())
    fleet.beat(8)
    assert {replica.revision for replica in fleet.replicas} == {7}
    changes = Changes(7, 8, [item("a", 8, None)])
    fleet.replicas[0].take_changes(changes, fleet.clock.now())
    fleet.wire.deliver()
    told = sum(replica.revision == 8 for replica in fleet.replicas)
    assert told > 20
    fleet.beat(3)
    assert {replica.revision for replica in fleet.replicas} == {8}
    assert all(names(replica.catalog) == set() for replica in fleet.replicas)


def test_freshness_spreads_only_while_somebody_reads():
    fleet = Fleet(6)
    fleet.beat(4)
    for _ in range(5):
        now = fleet.clock.now()
        fleet.replicas[0].take_snapshot(Snapshot([item("a", 7)], 7), now)
        fleet.beat(1)
    ages = [replica.age(fleet.clock.now()) for replica in fleet.replicas]
    assert max(ages) < 1.0
    fleet.beat(10)
    ages = [replica.age(fleet.clock.now()) for replica in fleet.replicas]
    assert min(ages) > 2.5


def test_newcomer_gets_everything_from_its_peers():
    fleet = Fleet(4)
    fleet.beat(3)
    items = [item(f"up-{n}", n, b"v" * 300) for n in range(1, 200)]
    fleet.replicas[0].take_snapshot(Snapshot(items, 200), fleet.clock.now())
    fleet.beat(4)
    newcomer = fleet.add(9)
    fleet.beat(3)
    assert newcomer.revision == 200
    assert len(names(newcomer.catalog)) == 199


def test_long_value_reaches_everybody_compressed_and_only_where_asked_for():
    fleet = Fleet(12)
    fleet.beat(5)
    routes = [f'{{"name":"r-{n}","host":"198.18.0.{n % 250}"}}' for n in range(1_760)]
    value = ("[" + ",".join(routes) + "]").encode()
    assert len(value) > 60_000
    snapshot = Snapshot([item("a", 1), item("routes", 7, value)], 7)
    fleet.replicas[0].take_snapshot(snapshot, fleet.clock.now())
    fleet.beat(6)
    assert {replica.revision for replica in fleet.replicas} == {7}
    held = {
        replica.catalog.get(ItemKind.UPSTREAM, "routes").value
        for replica in fleet.replicas
    }
    assert held == {value}
    sent = sum(gossip.bytes_sent for gossip in fleet.wire.gossips.values())
    assert sent < 12 * 4 * 15_000


def test_member_that_was_cut_off_catches_up():
    fleet = Fleet(4)
    fleet.beat(3)
    fleet.replicas[0].take_snapshot(Snapshot([item("a", 1)], 1), fleet.clock.now())
    fleet.beat(2)
    fleet.wire.cut = {Address("10.0.0.4", 7000)}
    for revision in range(2, 6):
        changes = Changes(revision - 1, revision, [item(f"up-{revision}", revision)])
        fleet.replicas[0].take_changes(changes, fleet.clock.now())
        fleet.wire.deliver()
    assert fleet.replicas[3].revision == 1
    fleet.wire.cut = set()
    fleet.beat(2)
    assert fleet.replicas[3].revision == 5


def test_messages_survive_the_wire():
    digest = Digest(member(1), 9, 0.25, (member(2, leaving=True),))
    assert decode(encode(digest)) == digest
    delta = Delta(Changes(3, 5, [item("a", 4, b""), item("b", 5, None)]), float("inf"))
    assert decode(encode(delta)) == delta


@given(st.binary(max_size=200))
def test_random_bytes_are_refused_with_a_code(data):
    try:
        decode(data)
    except BadMessageError as error:
        assert error.code == "E201"


@given(st.integers(0, 10**6), st.integers(0, 255))
def test_changed_bytes_are_decoded_or_refused(position, value):
    datagram = bytearray(encode(Digest(member(1), 9, 0.25, (member(2),))))
    datagram[position % len(datagram)] = value
    with contextlib.suppress(BadMessageError):
        decode(bytes(datagram))


@pytest.mark.parametrize("revision", [-1, -(2**40)])
def test_negative_revision_is_refused(revision):
    with pytest.raises(BadMessageError):
        decode(encode(Digest(member(1), revision, 0.1, ())))


def test_long_answer_may_take_its_time_while_it_makes_progress():
    body = b"x" * 400

    async def slow_server(stream):
        async with stream:
            await stream.receive()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"
            await stream.send(head)
            for start in range(0, 400, 100):
                await anyio.sleep(0.1)
                await stream.send(body[start : start + 100])

    async def run():
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, slow_server)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = HttpClient(Address("127.0.0.1", port))
            response = await client.get("/kv-range", 0.2)
            assert response.body == body
            await client.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_silent_server_is_given_up():
    async def silent_server(stream):
        async with stream:
            await anyio.sleep_forever()

    async def run():
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, silent_server)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = HttpClient(Address("127.0.0.1", port))
            with pytest.raises(SourceUnavailableError):
                await client.get("/kv-range", 0.2)
            tasks.cancel_scope.cancel()

    anyio.run(run)
