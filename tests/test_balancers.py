"""Membership, ownership, relays and hand-over between balancers.

The tests guard against views that disagree on who is alive, upstreams that change
owner without need, verdicts sent by a balancer that does not know whether a request
has run, and requests that are lost or run twice during a hand-over.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from helpers import make_run

from egrethook.balancers.membership import (
    FULL_MESH_MAX_MEMBERS,
    HEARTBEAT_TIMEOUT_S,
    NEIGHBOURS_PER_SIDE,
    Membership,
)
from egrethook.balancers.messages import PeerCodec
from egrethook.balancers.ownership import (
    DomainRanking,
    Ownership,
    nearest_domains,
    rank,
)
from egrethook.balancers.peer_packets import Heartbeat, MemberState, Relay, Suspicion
from egrethook.balancers.relays import RELAY_TIMEOUT_S, PendingRelay, RelayTable
from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.packets import Grant
from egrethook.emulator.builders import DOMAIN, make_configuration, make_vm
from egrethook.emulator.schedules import ScheduleWorld
from egrethook.exceptions import BadMessageError
from egrethook.published.configuration import Domain
from egrethook.types import ExecutorId, VmState


def make_members(count: int = 3, now: float = 0.0) -> Membership:
    membership = Membership("node-0", DOMAIN, 1, now)
    vms = [make_vm(f"node-{number}", number) for number in range(count)]
    membership.set_published_vms(vms, now)
    return membership


def make_heartbeat(name: str, **fields) -> Heartbeat:
    defaults = {
        "incarnation": 5,
        "state": MemberState.LIVE,
        "revision": 1,
        "sequence": 1,
    }
    return Heartbeat(name, **{**defaults, **fields})


def eligible(membership: Membership, now: float) -> set[str]:
    return {vm.name for vm in membership.eligible(DOMAIN, now)}


def test_silent_neighbour_is_suspected_until_its_next_heartbeat():
    members = make_members()
    members.observe(make_heartbeat("node-1"), 0.0)
    members.observe(make_heartbeat("node-2"), 0.0)
    members.observe(make_heartbeat("node-2"), 2.0)
    assert members.suspect_silent(HEARTBEAT_TIMEOUT_S + 0.1) == ["node-1"]
    assert eligible(members, 2.1) == {"node-2"}
    members.observe(make_heartbeat("node-1"), 3.0)
    assert eligible(members, 3.0) == {"node-1", "node-2"}


def test_leaving_member_is_not_eligible():
    members = make_members()
    before = members.version
    members.observe(make_heartbeat("node-1", state=MemberState.LEAVING), 0.0)
    assert eligible(members, 0.0) == {"node-2"}
    assert members.version > before


def test_members_leaving_or_missing_from_published_list_are_excluded():
    members = make_members()
    leaving = replace(make_vm("node-1", 1), state=VmState.LEAVING)
    members.set_published_vms([leaving], 1.0)
    assert eligible(members, 1.0) == set()
    assert not members.observe(make_heartbeat("node-2"), 1.0)


def test_view_is_untrusted_after_pause_until_heartbeat_or_one_second():
    members = make_members()
    members.observe(make_heartbeat("node-1"), 0.0)
    members.distrust_after_pause(100.0)
    assert not members.trusted(100.5)
    assert members.trusted(101.1)
    members.distrust_after_pause(200.0)
    members.observe(make_heartbeat("node-1"), 200.1)
    assert members.trusted(200.1)


def test_own_pause_does_not_cause_suspicion_of_others():
    members = make_members()
    members.observe(make_heartbeat("node-1"), 0.0)
    members.distrust_after_pause(100.0)
    assert "node-1" not in members.suspect_silent(100.1)


def test_recent_direct_heartbeat_overrides_gossiped_suspicion():
    members = make_members()
    members.observe(make_heartbeat("node-1"), 10.0)
    suspicion = make_heartbeat("node-2", suspicions=[Suspicion("node-1", 5)])
    members.observe(suspicion, 10.5)
    assert members.is_alive("node-1", 10.5)
    members.observe(suspicion, 13.0)
    assert not members.is_alive("node-1", 13.0)


def test_suspicion_of_earlier_incarnation_is_ignored():
    members = make_members()
    members.observe(make_heartbeat("node-1", incarnation=6), 0.0)
    members.observe(make_heartbeat("node-2", suspicions=[Suspicion("node-1", 5)]), 5.0)
    assert members.is_alive("node-1", 5.0)


def test_member_is_avoided_temporarily_after_consecutive_unacked_relays():
    members = make_members()
    for _ in range(2):
        members.relay_unacked("node-1", 0.0)
    assert not members.is_alive("node-1", 0.1)
    assert members.is_alive("node-1", 2.1)
    members.relay_unacked("node-1", 3.0)
    members.relay_acked("node-1")
    assert members.is_alive("node-1", 3.0)


@pytest.mark.parametrize("count", [FULL_MESH_MAX_MEMBERS + 20, 103])
def test_neighbours_in_large_domain_are_few_and_mutual(count):
    views = {}
    vms = [make_vm(f"node-{n}", n % 250) for n in range(count)]
    for vm in vms:
        membership = Membership(vm.name, DOMAIN, 1, 0.0)
        membership.set_published_vms(vms, 0.0)
        views[vm.name] = set(membership.neighbours())
    for name, neighbours in views.items():
        assert len(neighbours) == 2 * NEIGHBOURS_PER_SIDE
        assert all(name in views[other] for other in neighbours)


@pytest.mark.parametrize(("members", "announced"), [(30, False), (103, True)])
def test_suspicion_reaches_every_member_of_a_large_domain(members, announced):
    """If announced, suspicions go to the whole domain at once, as in `Balancer`.

    Otherwise they spread only with the heartbeats between ring neighbours.
    """
    vms = [make_vm(f"node-{n:03}", n) for n in range(members)]
    views = {vm.name: Membership(vm.name, DOMAIN, 1, 0.0) for vm in vms}
    for view in views.values():
        view.set_published_vms(vms, 0.0)
    dead = "node-007"
    now = 0.0
    for _ in range(6 if announced else 30):
        now += 0.5
        for name, view in views.items():
            if name == dead:
                continue
            suspected = view.suspect_silent(now)
            receivers = (
                view.domain_members() if announced and suspected else view.neighbours()
            )
            for neighbour in receivers:
                if neighbour != dead:
                    views[neighbour].observe(view.heartbeat(1, []), now)
    others = [view for name, view in views.items() if name != dead]
    assert all(not view.is_alive(dead, now) for view in others)
    assert all(view.is_alive("node-008", now) for view in others[:5])


def test_ownership_is_balanced_and_only_a_lost_members_upstreams_move():
    names = [f"node-{n}" for n in range(6)]
    upstreams = [f"upstream-{n}" for n in range(600)]
    before = {u: rank(u, [(n, 1.0) for n in names])[0] for u in upstreams}
    after = {u: rank(u, [(n, 1.0) for n in names[1:]])[0] for u in upstreams}
    shares = Counter(before.values())
    assert min(shares.values()) > 60
    moved = [u for u in upstreams if before[u] != after[u]]
    assert all(before[u] == "node-0" for u in moved)


def test_ownership_share_is_proportional_to_weight():
    pairs = [("heavy", 3.0), ("light", 1.0)]
    owners = Counter(rank(f"upstream-{n}", pairs)[0] for n in range(2000))
    assert 0.7 < owners["heavy"] / 2000 < 0.8


def test_nearest_domain_owns_upstreams_of_a_domain_without_balancers():
    configuration = replace(
        make_configuration(),
        domains={
            DOMAIN: Domain(DOMAIN, "region-1", True),
            "far": Domain("far", "region-2", True),
            "near": Domain("near", "region-1", True),
        },
    )
    assert nearest_domains(DOMAIN, configuration) == [DOMAIN, "near", "far"]
    membership = Membership("here", "near", 1, 0.0)
    own = make_vm("here", 9, "near")
    endpoint = next(configuration.endpoints())
    assert Ownership(own, membership).owns(endpoint, configuration, 0.0)


def test_unacked_relay_is_resent_once_and_then_abandoned():
    table = RelayTable()
    relay = table.add(Relay(0, "node-0", 1, b"packet"), "node-1", 0.0)
    assert table.due(RELAY_TIMEOUT_S / 2) == ([], [])
    again, given_up = table.due(RELAY_TIMEOUT_S)
    assert [pending.relay for pending in again] == [relay]
    again, given_up = table.due(3 * RELAY_TIMEOUT_S)
    assert [pending.target for pending in given_up] == ["node-1"]
    assert table.acknowledge(relay.relay_id) is None


@pytest.mark.parametrize(
    ("members", "copy", "acked"), [(3, 0, True), (60, 0, False), (60, 1, True)]
)
def test_large_fleet_requests_acks_only_for_retransmitted_packets(members, copy, acked):
    world = ScheduleWorld(3)
    node = world.nodes["node-1"]
    vms = [make_vm(f"node-{n}", n) for n in range(members)]
    node.membership.set_published_vms(vms, 1000.0)
    grant = Grant("orders", 1, 2, CALLER_ADDRESS.host, CALLER_ADDRESS.port, copy)
    for _ in range(30):
        node.placement.send_to_first_owner(grant, b"raw")
    relays = [message for _, message in world.bag if isinstance(message, Relay)]
    assert relays
    assert {relay.ack for relay in relays} == {acked}


def test_message_with_unknown_secret_is_refused_and_old_secret_accepted():
    old, new = PeerCodec(["a" * 16]), PeerCodec(["b" * 16, "a" * 16])
    message = make_heartbeat("node-1", inherited=[ExecutorId("node-3", 4)])
    assert new.decode(old.encode(message)) == message
    with pytest.raises(BadMessageError):
        old.decode(new.encode(message))


@pytest.mark.parametrize("age_s", [0.5, 3.0])
def test_unknown_executor_gets_no_verdict_during_startup(age_s):
    world = ScheduleWorld(1)
    world.grant()
    granted = world._granted[0]
    token = world.configuration.keys.unseal(granted.token)
    node = world.nodes[next(n for n in world.nodes if n != token.executor)]
    world.clock.advance(age_s)
    node.membership.set_published_vms([], world.clock.now())
    node.router.route_to_executor(make_run(token=granted.token), b"", token)
    assert world.faults.unknown == (1 if age_s > HEARTBEAT_TIMEOUT_S else 0)


def test_packet_for_dead_executor_is_refused_as_may_have_run():
    world = ScheduleWorld(1)
    world.clock.advance(10.0)
    world.grant()
    granted = world._granted[0]
    token = world.configuration.keys.unseal(granted.token)
    node = world.nodes[next(n for n in world.nodes if n != token.executor)]
    node.membership.observe(make_heartbeat(token.executor, incarnation=99), 1000.0)
    run = make_run(token=granted.token)
    node.router.route_to_executor(run, b"", token)
    assert world.faults.unknown == 1
    assert world.bag == []


def test_packets_are_dropped_during_hand_over_and_then_relayed_to_heir():
    world = ScheduleWorld(2)
    node = world.nodes["node-1"]
    for name in ("node-2", "node-3"):
        node.membership.observe(make_heartbeat(name, incarnation=1), 1000.0)
    serial = node.executor.rights.issue(1000.0)
    endpoint = next(world.configuration.endpoints())
    token_bytes = node.executor.issuer.create_token(endpoint, CALLER_ADDRESS, serial)
    token = world.configuration.keys.unseal(token_bytes)
    node.leave()
    world.bag.clear()
    node.router.route_to_executor(make_run(token=token_bytes), b"raw", token)
    assert world.bag == []
    assert world.faults.unknown == 0
    node.router.end_hand_over("node-2")
    node.router.route_to_executor(make_run(token=token_bytes), b"raw", token)
    assert [target for target, _ in world.bag] == ["node-2"]


CALLER_ADDRESS = make_vm("caller", 1).callers


@pytest.mark.parametrize("silent_s", [0.2, 3.0])
def test_failed_relay_gives_verdict_only_after_heartbeat_timeout(silent_s):
    world = ScheduleWorld(1)
    world.grant()
    granted = world._granted[0]
    token = world.configuration.keys.unseal(granted.token)
    node = world.nodes[next(n for n in world.nodes if n != token.executor)]
    incarnation = token.executor_incarnation
    node.membership.observe(
        make_heartbeat(token.executor, incarnation=incarnation), 1000.0
    )
    world.clock.advance(silent_s)
    node.membership.suspect_silent(world.clock.now())
    run = make_run(token=granted.token)
    raw = CALLER_CODEC.encode(run)
    node.router.route_to_executor(run, raw, token)
    _, relay = world.bag.pop()
    pending = PendingRelay(relay, token.executor, 0.0)
    node.router.relay_failed(pending, run, token)
    assert world.faults.unknown == (1 if silent_s > HEARTBEAT_TIMEOUT_S else 0)


@pytest.mark.parametrize("seed", range(5))
def test_cached_ranking_equals_recomputed_one_after_member_changes(seed):
    rng = random.Random(seed)
    everyone = [make_vm(f"node-{n}", n) for n in range(12)]
    upstreams = [f"upstream-{n}" for n in range(40)]
    ranking = DomainRanking(everyone)
    for _ in range(30):
        vms = rng.sample(everyone, rng.randint(0, len(everyone)))
        vms = [replace(vm, weight=rng.choice([1.0, 2.0])) for vm in vms]
        ranking.update(vms)
        for upstream in rng.sample(upstreams, 20):
            fresh = DomainRanking(vms)
            assert ranking.owners(upstream) == fresh.owners(upstream)


def run_hand_over(world: ScheduleWorld, old, heir) -> None:
    """Make one node leave and hand its rights over to another."""
    for receiver, sender in ((old, heir), (heir, old)):
        inherited = sender.executor.rights.inherited
        heartbeat = sender.membership.heartbeat(1, inherited)
        receiver.membership.observe(heartbeat, world.clock.now())
    for name in list(old.membership.members):
        if name != heir.name:
            del old.membership.members[name]
    old.leave()
    while old.unacked_parts:
        target, message = world.bag.pop(0)
        world.nodes[target].receive(message)


def test_retransmissions_follow_rights_along_a_chain_of_heirs():
    world = ScheduleWorld(4)
    first, second, third = (world.nodes[name] for name in world.nodes)
    serial = first.executor.rights.issue(world.clock.now())
    endpoint = next(world.configuration.endpoints())
    token_bytes = first.executor.issuer.create_token(endpoint, CALLER_ADDRESS, serial)
    token = world.configuration.keys.unseal(token_bytes)
    run_hand_over(world, first, second)
    run = make_run(token=token_bytes)
    second.router.route_to_executor(run, CALLER_CODEC.encode(run), token)
    run_hand_over(world, second, third)
    world.bag.clear()
    fresh = make_run(number=2, token=token_bytes)
    second.router.route_to_executor(fresh, CALLER_CODEC.encode(fresh), token)
    third.router.route_to_executor(run, CALLER_CODEC.encode(run), token)
    assert [target for target, _ in world.bag] == [third.name, second.name]
