"""Gossip between balancers: members, readers and replication of changes.

The tests guard against members that miss changes or receive them many times over,
failure domains with no reader or with several, and malformed datagrams that raise
anything but `BadMessageError`.
"""

from __future__ import annotations

import contextlib
import random
import zlib

import pytest
from gossip_harness import Fleet, member
from helpers import published_item as item
from helpers import published_names as names
from hypothesis import given
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from egrethook.addresses import Address
from egrethook.balancers.delta_parts import (
    DELTA_MAX_BYTES,
    DeltaAssembly,
    split_delta,
)
from egrethook.balancers.gossip import REPORTS_PER_S
from egrethook.balancers.gossip_codec import (
    DATAGRAM_MAX_BYTES,
    MESSAGE_MAX_BYTES,
    Delta,
    Digest,
    OutlierReport,
    UpstreamReport,
    decode,
    encode,
)
from egrethook.balancers.gossip_members import (
    DIGEST_SAMPLE_SIZE,
    MEMBER_EXPIRY_S,
    MEMBER_TIMEOUT_S,
    GossipMembers,
)
from egrethook.discovery.records import Changes, ItemKind, Snapshot
from egrethook.discovery.replica import Replica
from egrethook.exceptions import BadMessageError
from egrethook.upstreams.health import HealthObservation
from egrethook.wire.gossip import ttypes

SILENT = HealthObservation(False, 0.045)


def make_members(number, seeds=()):
    return GossipMembers(member(number), seeds, random.Random(number))


def test_all_views_agree_on_one_reader_per_failure_domain():
    infos = [member(n) for n in range(1, 5)]
    readers = []
    for info in infos:
        members = GossipMembers(info, [], random.Random(1))
        members.merge(infos, 0.0)
        readers.append(members.is_reader(1.0))
    assert sum(readers) == 1


def test_silent_or_leaving_reader_is_replaced():
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
    views[first].next_heartbeat(leaving=True)
    assert not views[first].is_reader(0.0)


def test_new_incarnation_of_member_replaces_older_one():
    members = make_members(1)
    members.merge([member(2, beat=500, incarnation=1)], 0.0)
    members.merge([member(2, beat=1, incarnation=2)], 0.5)
    members.merge([member(2, beat=501, incarnation=1)], 0.6)
    (info,) = members.live(0.6)
    assert info.incarnation == 2


def test_lost_domain_gets_digests_for_longer_than_it_counts_as_known():
    """Else a balancer that relies on gossip stays unready long after others died."""
    members = make_members(1)
    others = [member(2), member(3), member(4, domain="zone-b")]
    members.merge(others, 0.0)
    for beat in range(2, 100):
        members.merge([member(2, beat=beat), member(3, beat=beat)], float(beat))
        members.remove_expired(float(beat))
    assert members.known_domains(MEMBER_EXPIRY_S) == {"zone-a", "zone-b"}
    assert members.known_domains(MEMBER_EXPIRY_S + 1.0) == {"zone-a"}
    assert others[-1].address in members.gossip_targets(99.0)


def test_gossip_targets_are_bounded_in_large_fleet():
    members = make_members(1)
    domains = ["zone-a", "zone-b", "zone-c"]
    members.merge([member(n, domains[n % 3]) for n in range(2, 90)], 0.0)
    assert len(members.gossip_targets(0.1)) == 3
    assert len(members.push_targets(0.1)) == 4
    assert len(members.sample(0.1)) == 8


def test_new_member_learns_members_from_answer_to_first_digest():
    """No other member sends to the new one, and the receiver has no newer revision.

    The receiver must answer nevertheless, or the new member stays isolated.
    """
    fleet = Fleet(12)
    fleet.run_rounds(12)
    fleet.add(13)
    new_member = fleet.network.gossips[Address("10.0.0.13", 7000)]
    digest = new_member._digest(fleet.clock.now())
    new_member._send(digest, [Address("10.0.0.1", 7000)])
    fleet.network.deliver()
    assert len(new_member._members.live(fleet.clock.now())) > DIGEST_SAMPLE_SIZE / 2


def test_lagging_member_receives_missing_changes_only_once():
    """Many members see that it lags; only the one it asks may send the changes."""
    fleet = Fleet(12)
    fleet.run_rounds(12)
    rng = random.Random(1)
    big = [item(f"up-{n}", n + 1, rng.randbytes(700)) for n in range(30)]
    for replica in fleet.replicas[1:]:
        replica.apply_snapshot(Snapshot(big, 30), fleet.clock.now())
    fleet.network.queue.clear()
    fleet.network.bytes_to.clear()
    fleet.replicas[0].apply_changes(Changes(0, 1, big[:1]), fleet.clock.now())
    fleet.run_rounds(2)
    assert fleet.replicas[0].revision == 30
    assert fleet.network.bytes_to[Address("10.0.0.1", 7000)] < 2 * 30 * 700


def test_upstream_report_reaches_only_local_failure_domain_immediately():
    fleet = Fleet(12)
    fleet.add(13, "zone-b")
    fleet.run_rounds(12)
    reporter = fleet.network.gossips[Address("10.0.0.1", 7000)]
    reporter.report(4711, SILENT)
    fleet.network.deliver()
    assert set(fleet.reports) == set(range(2, 13))
    assert fleet.reports[2] == [(4711, SILENT)]


def test_upstream_reports_are_rate_limited():
    fleet = Fleet(2)
    fleet.run_rounds(4)
    reporter = fleet.network.gossips[Address("10.0.0.1", 7000)]
    for token in range(1, 1000):
        reporter.report(token, SILENT)
    fleet.network.deliver()
    assert len(fleet.reports[2]) == REPORTS_PER_S


@pytest.mark.parametrize(
    "report",
    [
        UpstreamReport(2**32, SILENT),
        UpstreamReport(0, SILENT),
        UpstreamReport(1, HealthObservation(False, float("inf"))),
    ],
)
def test_report_with_field_out_of_range_is_refused(report):
    with pytest.raises(BadMessageError):
        decode(encode(report))


def test_report_round_trips():
    report = UpstreamReport(2**32 - 1, SILENT)
    assert decode(encode(report)) == report


def test_outlier_report_reaches_the_domain_with_its_source():
    """Guards against reports that count as another balancer's."""
    fleet = Fleet(3)
    fleet.add(4, domain="zone-b")
    fleet.run_rounds(4)
    received = []
    for address, gossip in fleet.network.gossips.items():
        gossip.set_handler(
            OutlierReport,
            lambda report, source, to=address: received.append((to, report, source)),
        )
    report = OutlierReport(7, True)
    sender = Address("10.0.0.1", 7000)
    fleet.network.gossips[sender].send_to_domain(report)
    fleet.network.deliver()
    others = [Address(f"10.0.0.{number}", 7000) for number in (2, 3)]
    assert sorted(received) == [(to, report, sender) for to in others]


def test_change_read_by_one_member_reaches_every_member():
    fleet = Fleet(30)
    fleet.run_rounds(12)
    fleet.replicas[0].apply_snapshot(Snapshot([item("a", 7)], 7), fleet.clock.now())
    fleet.run_rounds(8)
    assert {replica.revision for replica in fleet.replicas} == {7}
    changes = Changes(7, 8, [item("a", 8, None)])
    fleet.replicas[0].apply_changes(changes, fleet.clock.now())
    fleet.network.deliver()
    updated = sum(replica.revision == 8 for replica in fleet.replicas)
    assert updated > 20
    fleet.run_rounds(3)
    assert {replica.revision for replica in fleet.replicas} == {8}
    assert all(names(replica.catalog) == set() for replica in fleet.replicas)


def test_push_contains_what_the_sender_already_held():
    """Guards against members that count as up to date and lack a change for good."""
    fleet = Fleet(12)
    fleet.run_rounds(6)
    first, second = fleet.replicas[0], fleet.replicas[1]
    first.apply_snapshot(Snapshot([item("a", 7)], 7), fleet.clock.now())
    fleet.run_rounds(6)
    assert {replica.revision for replica in fleet.replicas} == {7}
    fleet.network.partitioned = {
        address
        for address in fleet.network.gossips
        if address != Address("10.0.0.2", 7000)
    }
    # The second member holds revision 9 across a gap when 8 arrives.
    first.apply_changes(Changes(8, 9, [item("c", 9)]), fleet.clock.now())
    second.apply_changes(Changes(8, 9, [item("c", 9)]), fleet.clock.now())
    fleet.network.queue.clear()
    fleet.network.partitioned = set()
    second.apply_changes(Changes(7, 9, [item("b", 8), item("c", 9)]), fleet.clock.now())
    fleet.network.deliver()
    fleet.run_rounds(6)
    for replica in fleet.replicas:
        assert replica.revision == 9
        assert names(replica.catalog) == {"a", "b", "c"}


@pytest.mark.parametrize("seed", range(20))
def test_members_that_are_up_to_date_hold_every_change(seed):
    """Guards against lost changes when deltas arrive late, twice, or not at all."""
    rng = random.Random(seed)
    fleet = Fleet(14)
    fleet.run_rounds(6)
    replicas = fleet.replicas
    replicas[0].apply_snapshot(Snapshot([], 100), fleet.clock.now())
    fleet.run_rounds(6)
    history = []
    for _ in range(60):
        for _ in range(rng.choice((1, 1, 3))):
            revision = 101 + len(history)
            history.append(item(f"up-{revision}", revision))
        for reader in rng.sample(replicas, 2):
            missing = [
                change for change in history if change.revision > reader.revision
            ]
            if missing:
                changes = Changes(reader.revision, missing[-1].revision, missing)
                reader.apply_changes(changes, fleet.clock.now())
        rng.shuffle(fleet.network.queue)
        kept = rng.randrange(len(fleet.network.queue) + 1)
        late = fleet.network.queue[kept:]
        del fleet.network.queue[kept:]
        fleet.network.deliver()
        fleet.network.queue += late
        for replica in replicas:
            expected = {
                change.name for change in history if change.revision <= replica.revision
            }
            assert expected <= names(replica.catalog)


def test_age_stays_low_only_while_a_member_reads_the_registry():
    fleet = Fleet(6)
    fleet.run_rounds(4)
    for _ in range(5):
        now = fleet.clock.now()
        fleet.replicas[0].apply_snapshot(Snapshot([item("a", 7)], 7), now)
        fleet.run_rounds(1)
    ages = [replica.age(fleet.clock.now()) for replica in fleet.replicas]
    assert max(ages) < 1.0
    fleet.run_rounds(10)
    ages = [replica.age(fleet.clock.now()) for replica in fleet.replicas]
    assert min(ages) > 2.5


def test_new_member_receives_all_items_from_peers():
    fleet = Fleet(4)
    fleet.run_rounds(3)
    items = [item(f"up-{n}", n, b"v" * 300) for n in range(1, 200)]
    fleet.replicas[0].apply_snapshot(Snapshot(items, 200), fleet.clock.now())
    fleet.run_rounds(4)
    new_member = fleet.add(9)
    fleet.run_rounds(3)
    assert new_member.revision == 200
    assert len(names(new_member.catalog)) == 199


def test_state_is_asked_for_again_if_one_of_its_parts_is_lost():
    """Guards against a new member that waits for a part that never comes."""
    fleet = Fleet(4)
    fleet.run_rounds(3)
    items = [item(f"up-{n}", n, b"v" * 300) for n in range(1, 400)]
    fleet.replicas[0].apply_snapshot(Snapshot(items, 400), fleet.clock.now())
    fleet.run_rounds(4)
    new_member = fleet.add(9)
    gossip = fleet.network.gossips[Address("10.0.0.9", 7000)]
    handle, lost = gossip._handle, []

    def lose_one_part(data, source):
        message = decode(data)
        if not lost and isinstance(message, Delta) and message.parts > 1:
            lost.append(message)
        else:
            handle(data, source)

    gossip._handle = lose_one_part
    fleet.run_rounds(4)
    assert lost
    assert new_member.revision == 400
    assert len(names(new_member.catalog)) == 399


def test_large_value_is_compressed_and_sent_only_on_request():
    fleet = Fleet(12)
    fleet.run_rounds(5)
    routes = [f'{{"name":"r-{n}","host":"198.18.0.{n % 250}"}}' for n in range(1_760)]
    value = ("[" + ",".join(routes) + "]").encode()
    assert len(value) > 60_000
    snapshot = Snapshot([item("a", 1), item("routes", 7, value)], 7)
    fleet.replicas[0].apply_snapshot(snapshot, fleet.clock.now())
    fleet.run_rounds(6)
    assert {replica.revision for replica in fleet.replicas} == {7}
    held = {
        replica.catalog.get(ItemKind.UPSTREAM, "routes").value
        for replica in fleet.replicas
    }
    assert held == {value}
    sent = sum(gossip.bytes_sent for gossip in fleet.network.gossips.values())
    assert sent < 12 * 4 * 15_000


def test_member_catches_up_after_network_partition():
    fleet = Fleet(4)
    fleet.run_rounds(3)
    fleet.replicas[0].apply_snapshot(Snapshot([item("a", 1)], 1), fleet.clock.now())
    fleet.run_rounds(2)
    fleet.network.partitioned = {Address("10.0.0.4", 7000)}
    for revision in range(2, 6):
        changes = Changes(revision - 1, revision, [item(f"up-{revision}", revision)])
        fleet.replicas[0].apply_changes(changes, fleet.clock.now())
        fleet.network.deliver()
    assert fleet.replicas[3].revision == 1
    fleet.network.partitioned = set()
    fleet.run_rounds(2)
    assert fleet.replicas[3].revision == 5


def test_fleet_is_whole_again_after_most_of_it_was_killed():
    """Guards against two fleets that never hear of each other.

    Of six processes four are killed. The first that is back meets the two that stayed,
    before the others, which are all the seeds, are back and meet among themselves.
    """
    fleet = Fleet(0)
    domains = ["zone-a", "zone-b", "zone-c"] * 2
    for number, domain in enumerate(domains, 1):
        fleet.add(number, domain)
    fleet.run_rounds(4)
    for number in range(1, 5):
        del fleet.network.gossips[member(number).address]
    fleet.run_rounds(2)
    fleet.add(4, domains[3], incarnation=2)
    fleet.run_rounds(12)
    for number in range(1, 4):
        fleet.add(number, domains[number - 1], incarnation=2)
    fleet.run_rounds(40)
    now = fleet.clock.now()
    sizes = [len(one._members.live(now)) for one in fleet.network.gossips.values()]
    assert sizes == [5] * 6


def test_digest_and_delta_round_trip():
    digest = Digest(member(1), 9, 0.25, (member(2, leaving=True),))
    assert decode(encode(digest)) == digest
    delta = Delta(Changes(3, 5, [item("a", 4, b""), item("b", 5, None)]), float("inf"))
    assert decode(encode(delta)) == delta


def test_messages_carry_the_era_of_their_revisions():
    digest = Digest(member(1), 9, 0.25, (), era=2**62)
    assert decode(encode(digest)) == digest
    delta = Delta(Changes(0, 5, [item("a", 4)], True, era=3), 0.5, era_age_s=1.25)
    assert decode(encode(delta)) == delta


def test_large_delta_is_compressed():
    record = b'{"service":"orders","zone":"a","state":"ready","sequence":%d}'
    items = [item(f"up-{n}", n, record % n) for n in range(1, 100)]
    delta = Delta(Changes(0, 99, items), 0.5)
    datagram = encode(delta)
    assert len(datagram) < 0.3 * sum(len(one.value) for one in items)
    assert decode(datagram) == delta


def incompressible_state():
    rng = random.Random(1)
    replica = Replica(lambda items, previous_revision: None)
    items = [item(f"up-{n}", n, rng.randbytes(500)) for n in range(1, 400)]
    replica.apply_snapshot(Snapshot(items, 400), 0.0)
    return replica.catalog


def test_each_delta_of_incompressible_records_fits_a_datagram():
    catalog = incompressible_state()
    deltas = split_delta(catalog.changes_since(0, DELTA_MAX_BYTES), 0.5)
    assert len(deltas) > 4
    for delta in deltas:
        assert len(encode(delta)) < DATAGRAM_MAX_BYTES
        assert decode(encode(delta)) == delta


def test_parts_of_changes_in_any_order_make_the_whole():
    """Guards against a state that is taken as complete while a part is missing."""
    changes = incompressible_state().changes_since(0, DELTA_MAX_BYTES)
    deltas = split_delta(changes, 0.5)
    random.Random(2).shuffle(deltas)
    assembly, source = DeltaAssembly(), Address("10.0.0.1", 7000)
    for delta in deltas[:-1]:
        assert assembly.add(source, delta, 1.0) is None
        assert assembly.add(source, delta, 1.0) is None
    assert assembly.add(Address("10.0.0.2", 7000), deltas[-1], 1.0) is None
    whole = assembly.add(source, deltas[-1], 1.2)
    assert whole.changes == changes
    assert whole.age_s == pytest.approx(0.7)


def test_parts_of_different_changes_are_not_joined():
    """Guards against a state put together from two revisions."""
    changes = incompressible_state().changes_since(0, DELTA_MAX_BYTES)
    assembly, source = DeltaAssembly(), Address("10.0.0.1", 7000)
    first, *others = split_delta(changes, 0.5)
    assembly.add(source, first, 1.0)
    for delta in others:
        later = delta.changes._replace(revision=401)
        other = Delta(later, 0.5, delta.part, delta.parts)
        assert assembly.add(source, other, 1.0) is None


@pytest.mark.parametrize(("part", "parts"), [(-1, 1), (1, 1), (0, 0), (0, 257)])
def test_part_out_of_range_is_refused(part, parts):
    delta = Delta(Changes(3, 5, []), 0.5, part, parts)
    with pytest.raises(BadMessageError):
        decode(encode(delta))


def test_removal_while_the_readers_restart_reaches_the_members_in_touch():
    """Guards against upstreams that are gone and stay in use.

    Members ask one that has just read a snapshot, which has no removals in it.
    """
    fleet = Fleet(6)
    fleet.run_rounds(4)
    held = [item("gone", 3), item("b", 7)]
    fleet.replicas[0].apply_snapshot(Snapshot(held, 7), fleet.clock.now())
    fleet.run_rounds(4)
    restarted = fleet.add(7)
    fleet.network.gossips.pop(Address("10.0.0.1", 7000))
    restarted.apply_snapshot(Snapshot([item("b", 7)], 8), fleet.clock.now())
    fleet.run_rounds(4)
    for replica in fleet.replicas[1:]:
        assert names(replica.catalog) == {"b"}
        assert replica.revision == 8


@pytest.mark.parametrize(
    "packed",
    [
        zlib.compress(bytes(MESSAGE_MAX_BYTES + 1)),
        zlib.compress(b"x" * 2_000)[:-4],
        b"no stream",
    ],
)
def test_invalid_compressed_message_is_refused(packed):
    body = ttypes.GossipMessage(packed=packed)
    with pytest.raises(BadMessageError):
        decode(serialize(body, TCompactProtocolAcceleratedFactory()))


def test_nested_compressed_message_is_refused():
    inner = encode(Delta(Changes(0, 1, [item("a", 1, b"x" * 5_000)]), 0.5))
    body = ttypes.GossipMessage(packed=zlib.compress(inner))
    with pytest.raises(BadMessageError):
        decode(serialize(body, TCompactProtocolAcceleratedFactory()))


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


def test_two_members_that_hold_each_others_earlier_incarnation_do_not_answer_forever():
    """Both restarted soon after their first start and take the other's digest as old.

    A digest that is answered with a digest, again and again, is a storm of messages.
    """
    fleet = Fleet(2)
    for number, other in ((1, 2), (2, 1)):
        gossip = fleet.network.gossips[Address(f"10.0.0.{number}", 7000)]
        earlier = member(other, beat=1, incarnation=99)
        gossip._members.merge([earlier], fleet.clock.now())
    first = fleet.network.gossips[Address("10.0.0.1", 7000)]
    first._send(first._digest(fleet.clock.now()), [Address("10.0.0.2", 7000)])
    delivered = 0
    while fleet.network.queue and delivered < 100:
        source, target, data = fleet.network.queue.pop(0)
        fleet.network.gossips[target]._handle(data, source)
        delivered += 1
    assert delivered < 5
