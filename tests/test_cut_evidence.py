"""Evidence of a cut, and openings that are late or held, at one dispatcher and at all.

Guards against sound flows that are reset on weak evidence of a cut, and against
openings that are refused though a copy may have opened the flow elsewhere.
"""

from __future__ import annotations

import random
from functools import partial

import pytest
from dispatcher_harness import DispatcherHarness, packet, reset_callers
from open_flow_harness import (
    flow_answered,
    flow_request,
    harness_with_open_flows,
    hear_of_another_upstream,
)
from test_moved_flows import FullUpstreamWorld

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import MemberInfo
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.discovery.records import ItemKind
from egrethook.emulator.flow_records import CALLER_HOST, add_route, route_table
from egrethook.platform.packet_header import ACK, SYN

OTHER_CALLER_HOST = CALLER_HOST + 1


def member(number, domain, beat=1, leaving=False):
    address = Address("10.0.0.1", 9000 + number)
    return MemberInfo(address, domain, number, beat, leaving)


def full_upstream(flow_limit=10):
    """Flow 2000 is open at "a", which is full and so silent on openings."""
    harness = DispatcherHarness(names=("a",), flow_limit=flow_limit)
    harness.now = -5.0
    harness.advance(0.0)
    harness.put(ItemKind.ROUTES, "", route_table(version=2))
    flow_request(harness, 2000, "a", 0.02)
    flow_answered(harness, 2000, "a", 0.05, ack=100)
    return harness


def long_request_at_a_full_upstream(harness, hosts=(1, 2, 3)):
    """Callers on `hosts` open flows that "a" ignores, while it works for flow 2000."""
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    harness.sent()
    for number, host in enumerate(hosts):
        opening = packet(3000 + number, SYN, src=OTHER_CALLER_HOST + host)
        harness.dispatcher.handle(opening, 1.0)
    assert harness.sent() == ["a"] * len(hosts)
    harness.advance(1.1)
    harness.put_upstream("b")
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    hear_of_another_upstream(harness, 1.3)
    flow_request(harness, 2000, "a", 1.6, sequence=11, ack=100)
    flow_answered(harness, 2000, "a", 1.9, ack=200)


def test_control_full_upstream_in_a_domain_with_gossip_keeps_its_flow():
    harness = full_upstream()
    harness.health.set_gossip_age(lambda domain: 0.1)
    long_request_at_a_full_upstream(harness)
    assert reset_callers(harness) == []


def test_openings_from_before_a_standstill_show_no_silence_after_it():
    """0.4 s: the answers may be lost, as the socket takes only so many packets."""
    harness = full_upstream()
    harness.put_upstream("b")
    harness.health.set_gossip_age(lambda domain: 1.1)
    harness.advance(0.9)
    for host in (1, 2, 3):
        harness.health.note_unanswered_opening(
            harness.upstream("a"), 0.86, 0.9, caller=host
        )
    harness.now = 1.3
    harness.dispatcher.tick(1.3)
    flow_request(harness, 2000, "a", 1.35, sequence=11, ack=100)
    hear_of_another_upstream(harness, 1.45)
    for now in (1.55, 1.95):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []


@pytest.mark.parametrize("copy", [1, 2])
def test_copy_of_an_opening_without_a_route_here_is_not_refused(copy):
    """Another balancer, which has the new route, may have opened the flow."""
    harness = DispatcherHarness()
    harness.advance(0.0)
    unknown_target = (0xC6120001, 9999)
    opening = packet(2000, SYN, ack=copy, target=unknown_target)
    harness.dispatcher.handle(opening, 0.0)
    assert reset_callers(harness) == []


def test_opening_held_here_is_not_refused_after_its_copies_were_due():
    """Held since the view was old; copies may have gone elsewhere meanwhile."""
    harness = DispatcherHarness()
    harness.dispatcher.view_is_fresh = False
    harness.advance(0.0)
    opening = packet(2000, SYN, target=(0xC6120001, 9999))
    harness.dispatcher.handle(opening, 0.0)
    harness.advance(0.5)
    harness.dispatcher.view_is_fresh = True
    harness.dispatcher.view_changed(0.5)
    assert reset_callers(harness) == []


def test_opening_that_queued_for_a_quarter_of_a_second_is_not_refused():
    """Its copy at 0.2 s may have been opened elsewhere; the gap is below 0.3 s."""
    harness = DispatcherHarness(names=("a",), flow_limit=0)
    harness.now = -5.0
    harness.advance(0.0)
    now = 0.29
    for port in range(2000, 2080):
        harness.dispatcher.handle(packet(port, SYN), now)
    assert reset_callers(harness) == []


def held_opening(copies):
    """All copies of an opening came here, and were held for lack of a route."""
    harness = DispatcherHarness()
    harness.now = -5.0
    harness.advance(0.0)
    target = (0xC6120001, 8444)
    harness.dispatcher.view_is_fresh = False
    for copy, offset_s in list(enumerate((0.0, 0.2, 0.6)))[:copies]:
        harness.advance(offset_s)
        opening = packet(2000, SYN, ack=copy, target=target)
        harness.dispatcher.handle(opening, offset_s)
    now = harness.now + 0.05
    harness.advance(now)
    harness.put(ItemKind.ROUTES, "", add_route(route_table(version=2), "more"))
    harness.dispatcher.view_is_fresh = True
    harness.dispatcher.view_changed(now)
    return harness, now


@pytest.mark.parametrize("copies", [1, 2, 3])
def test_held_opening_is_resent_if_its_upstream_is_silent(copies):
    """All its copies came here, so it can be open nowhere else."""
    harness, now = held_opening(copies)
    harness.advance(now + 0.1)
    assert len(harness.sent()) >= 2


def test_opening_whose_copies_all_queued_during_a_start_is_resent():
    """All of them came here, and the caller sends no further one."""
    copies = 3
    harness = DispatcherHarness()
    harness.dispatcher.expect_queued_packets()
    for copy in range(copies):
        harness.dispatcher.handle(packet(2000, SYN, ack=copy), 0.0)
    harness.now = 0.0
    harness.advance(0.3)
    assert len(harness.sent()) >= 2


def test_flow_of_the_first_incarnation_goes_to_the_second_at_once():
    """Only the second one knows whether it holds the flow, and resets it if not."""
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    token = harness.upstream("a").token
    harness.put_upstream("a", now=1.05, started_ms=2)
    harness.sent()
    for now in (1.2, 1.6):
        harness.advance(now)
        data = packet(2000, ACK, echo=token, ack=100, sequence=11, data=bytes(10))
        harness.dispatcher.handle(data, now)
        assert harness.sent() == ["a"]
    assert reset_callers(harness) == []


class SparseGossipWorld(FullUpstreamWorld):
    """Digests of the other domain come at random times, 1.7 a second on average.

    That is what one VM of a large fleet of three equal domains gets.
    """

    digests_per_s = 1.7

    def gossip_age(self, domain, other):
        if domain == other:
            return 0.0
        times = self.__dict__.setdefault("_digests", {}).setdefault(
            (domain, other), [-1.0]
        )
        rng = self.__dict__.setdefault("_digest_rng", random.Random(7))
        while times[-1] <= self.now:
            times.append(times[-1] + rng.expovariate(self.digests_per_s))
        return self.now - max(time for time in times if time <= self.now)


def resets_beside_full_upstreams(world, calls_per_s):
    """All upstreams of "zone-a" are full from second 3 on; they serve their flows."""
    domains = ("zone-a", "zone-b")
    for number in range(6):
        world.add_upstream(f"up-{number}", domains[number % 2], slots=40)
    for vm in world.vms:
        world.publish(vm)

    def service_time_s():
        if world.rng.random() < 0.2:
            return world.rng.uniform(0.7, 1.8)
        return world.rng.uniform(0.01, 0.05)

    world.draw_service_time_s = service_time_s
    for number in range(60):
        pause_s = partial(world.rng.expovariate, 0.3)
        keep = partial(world.call, number % 6, think_time_s=pause_s, deadline_s=3.0)
        world.after(number * 0.02, keep)
    for number in range(round(12 * calls_per_s)):
        call = partial(world.call, number % 6, retransmits=True)
        world.after(number / calls_per_s, call)
    full = frozenset({"up-0", "up-2", "up-4"})
    world.after(3.0, partial(setattr, world, "full", full))
    world.run(12.0)
    return world.upstreams_of_reset_flows


@pytest.mark.parametrize("calls_per_s", [12, 33])
@pytest.mark.parametrize("seed", range(4))
def test_flows_of_full_upstreams_stay_though_digests_come_seldom(seed, calls_per_s):
    world = SparseGossipWorld(seed, ("zone-a", "zone-b") * 3)
    assert resets_beside_full_upstreams(world, calls_per_s) == []


@pytest.mark.parametrize("seed", range(2))
def test_control_flows_of_full_upstreams_stay_while_gossip_is_fresh(seed):
    world = FullUpstreamWorld(seed, ("zone-a", "zone-b") * 3)
    assert resets_beside_full_upstreams(world, 12) == []


class NoGossipWorld(FullUpstreamWorld):
    """The balancers of "zone-a" have ended; its upstreams serve on."""

    def gossip_age(self, domain, other):
        return 0.0 if other == "zone-b" else 5.0 + self.now


def resets_in_a_small_fleet(world):
    """Two VMs in "zone-b"; the only upstream of "zone-a" is full from second 3 on."""
    world.add_upstream("up-0", "zone-a", slots=40)
    world.add_upstream("up-1", "zone-b", slots=40)
    for vm in world.vms:
        world.publish(vm)

    def service_time_s():
        if world.rng.random() < 0.3:
            return world.rng.uniform(0.7, 1.8)
        return world.rng.uniform(0.01, 0.05)

    world.draw_service_time_s = service_time_s
    for number in range(20):
        pause_s = partial(world.rng.expovariate, 0.5)
        keep = partial(world.call, number % 2, think_time_s=pause_s, deadline_s=3.0)
        world.after(number * 0.02, keep)
    for number in range(240):
        call = partial(world.call, number % 2, retransmits=True)
        world.after(number * 0.05, call)
    world.after(3.0, partial(setattr, world, "full", frozenset({"up-0"})))
    world.run(12.0)
    return world.upstreams_of_reset_flows


SMALL_FLEET = ("zone-b", "zone-b")


@pytest.mark.parametrize("seed", range(20))
def test_flows_stay_in_a_domain_whose_balancers_have_ended(seed):
    assert resets_in_a_small_fleet(NoGossipWorld(seed, SMALL_FLEET)) == []


@pytest.mark.parametrize("seed", range(40))
def test_flows_stay_in_a_domain_whose_digests_come_seldom(seed):
    assert resets_in_a_small_fleet(SparseGossipWorld(seed, SMALL_FLEET)) == []


@pytest.mark.parametrize("seed", range(20))
def test_control_flows_stay_in_a_domain_whose_gossip_is_fresh(seed):
    assert resets_in_a_small_fleet(FullUpstreamWorld(seed, SMALL_FLEET)) == []


def members_of(*contacts, leaving=False):
    """Members of "zone-b" that last heard from failure domains at some times."""
    members = GossipMembers(member(0, "zone-b"), [], random.Random(1))
    for number, (domain, at) in enumerate(contacts, start=1):
        members.note_contact(domain, at)
        info = member(number, domain, 1, leaving=leaving and domain == "zone-a")
        members.merge([info], at)
    return members


def test_silence_of_a_domain_tells_of_a_cut_while_others_are_heard():
    members = members_of(("zone-a", 1.0), ("zone-c", 2.9))
    assert members.unexpected_silence("zone-a", 3.0) == 2.0


def test_silence_of_a_domain_whose_balancers_have_left_tells_nothing():
    members = members_of(("zone-a", 1.0), ("zone-c", 2.9), leaving=True)
    assert members.unexpected_silence("zone-a", 3.0) is None


def test_silence_of_all_domains_tells_of_none():
    members = members_of(("zone-a", 1.0), ("zone-c", 1.5))
    assert members.unexpected_silence("zone-a", 3.0) is None


def test_domain_that_was_never_heard_tells_nothing():
    members = members_of(("zone-c", 2.9))
    assert members.unexpected_silence("zone-a", 3.0) is None


def test_openings_of_one_caller_are_no_cut():
    """A caller that hears nothing leaves all its openings unanswered."""
    harness = full_upstream()
    harness.health.set_gossip_age(lambda domain: 1.5 if domain == "zone-a" else 0.1)
    long_request_at_a_full_upstream(harness, hosts=(1, 1, 1))
    assert reset_callers(harness) == []


def test_removed_record_ends_no_flow_before_the_registry_confirms_it():
    harness = harness_with_open_flows()
    token = harness.upstream("a").token
    harness.health.set_registry_age(lambda: harness.now - 1.0)
    harness.put(ItemKind.UPSTREAM, "a", None, now=0.1)
    harness.view.upstreams.expire(3.0)
    for now in (4.0, 4.2, 4.6):
        harness.advance(now)
        data = packet(2000, ACK, echo=token, ack=100, sequence=11, data=bytes(10))
        harness.dispatcher.handle(data, now)
    assert reset_callers(harness) == []
