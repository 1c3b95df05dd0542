"""Failure domains that reach no upstream leave the rotation together.

Guards against callers that are kept where nothing can serve them, and against a domain
that leaves although it can serve: because of one balancer, lost packets, a slow
machine, or a service registry or other balancers that are silent.
"""

from __future__ import annotations

import pytest
from departure_world import DepartureWorld

from egrethook.addresses import Address
from egrethook.callers.forwarded_flow import FlowState
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.flow_records import (
    InMemoryDecoder,
    route_table,
    upstream_record,
)
from egrethook.forwarding.domain_departure import SILENT_RETRY_AFTER_S
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.metrics import render_metrics
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.platform.packet_header import PacketHeader
from egrethook.upstreams.reach_evidence import LASTING_SILENCE_S
from egrethook.upstreams.reachability import RETRY_AFTER_S

DEPARTURE_TARGET_S = 1.0
CUT_AT_S = 4.0


def make_world(seed, size, rate_per_s=None, until=12.0, **options):
    """Return a world in which the upstreams of domain "a" are evacuated."""
    world = DepartureWorld(seed, dict.fromkeys("abc", size), **options)
    world.offer_load("a", rate_per_s or max(20.0, 5.0 * size), 1.0, until)
    world.offer_load("b", 20.0, 1.0, until)
    world.run(2.5)
    world.evacuate("a")
    world.run(CUT_AT_S)
    return world


def departures(world, *domains):
    return sum(
        agent.departure.departures
        for domain in domains
        for agent in world.domain_agents(domain)
    )


def all_ready(world):
    return all(agent.ready for agent in world.domain_agents("a"))


# Fleets with real gossip -----------------------------------------------------------


@pytest.mark.parametrize(
    ("size", "seed"), [(2, 1), (2, 2), (3, 1), (3, 2), (20, 1), (20, 2), (65, 1)]
)
def test_all_balancers_leave_within_a_second_of_a_cut_and_return(size, seed):
    world = make_world(seed, size)
    assert departures(world, *"abc") == 0
    world.cut_off("a")
    left_s = world.run_until(lambda: world.all_departed("a"), 3.0)
    assert left_s is not None and left_s <= DEPARTURE_TARGET_S
    world.run(CUT_AT_S + 4.0)
    assert world.all_departed("a"), "they stay out while the cut lasts"
    world.heal()
    assert world.run_until(lambda: all_ready(world), 2.0) is not None
    world.run(world.now + 2.0)
    assert all_ready(world)
    assert departures(world, "a") == size, "each left once"
    assert departures(world, "b", "c") == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_of_a_domain_that_leaves_lose_far_fewer_requests(seed):
    failed = {}
    for agrees in (True, False):
        world = make_world(seed, 20, agrees=agrees)
        world.cut_off("a")
        world.run(18.0)
        failed[agrees] = sum(call.failed for call in world.calls)
    assert failed[False] > 100
    assert failed[True] < 0.1 * failed[False]


def refuse_pending_openings(world):
    """Refuse what is not open at each balancer whose domain has departed."""
    for agent in world.domain_agents("a"):
        dispatcher = agent.vm.dispatcher
        for flow in list(dispatcher._flows.values()):
            if agent.departure.departed and flow.state is not FlowState.OPEN:
                dispatcher._remove_flow(flow)
                dispatcher._output.reset(flow.segment, "no upstream reachable")
    world.after(0.05, lambda: refuse_pending_openings(world))


@pytest.mark.parametrize("seed", [1, 2])
def test_openings_are_held_since_retries_would_meet_the_same_domain(seed):
    """Until the routers have moved, a refusal costs callers all their retries."""
    failed = {}
    for refuses in (True, False):
        world = make_world(seed, 3, rate_per_s=100.0)
        world.cut_off("a")
        if refuses:
            refuse_pending_openings(world)
        world.run(18.0)
        failed[refuses] = sum(call.failed for call in world.calls)
    assert failed[True] > 50
    assert failed[False] < 0.1 * failed[True]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("size", [2, 3, 20])
def test_departure_needs_no_particular_report(size, seed):
    """A fifth of the gossip and 5% of the callers' packets get lost."""
    world = make_world(seed, size, gossip_loss=0.2, loss_share=0.05)
    assert departures(world, *"abc") == 0
    world.cut_off("a")
    left_s = world.run_until(lambda: world.all_departed("a"), 4.0)
    assert left_s is not None and left_s <= 2 * DEPARTURE_TARGET_S
    world.heal()
    assert world.run_until(lambda: all_ready(world), 4.0) is not None
    assert departures(world, "b", "c") == 0


def test_domain_whose_own_upstreams_are_in_service_stays_during_a_cut():
    world = make_world(1, 3)
    world.evacuate("a", out=False)
    world.cut_off("a")
    world.run(9.0)
    assert departures(world, *"abc") == 0
    assert all_ready(world)


def test_domain_returns_as_soon_as_its_own_upstreams_are_in_service():
    world = make_world(1, 3)
    world.cut_off("a")
    world.run(CUT_AT_S + 2.0)
    assert world.all_departed("a")
    world.evacuate("a", out=False)
    assert world.run_until(lambda: all_ready(world), 0.2) is not None


def test_cut_in_the_direction_of_the_upstreams_makes_the_domain_leave():
    """Gossip still arrives from the other domains, so openings decide alone."""
    world = make_world(1, 20, until=30.0)
    world.cut_off("a", inwards=False)
    left_s = world.run_until(lambda: world.all_departed("a"), 6.0)
    assert left_s is not None and left_s <= LASTING_SILENCE_S + 2.0
    world.heal()
    back_s = world.run_until(lambda: all_ready(world), 20.0)
    assert back_s is not None and back_s <= RETRY_AFTER_S + 1.0
    world.run(world.now + 3.0)
    assert all_ready(world)


def test_cut_that_answers_do_not_cross_back_through_changes_nothing():
    """Gossip from the other domains is lost, but openings are answered."""
    world = make_world(1, 20)
    world.cut_off("a", outwards=False)
    world.run(10.0)
    assert departures(world, *"abc") == 0


@pytest.mark.parametrize("size", [2, 3, 20])
@pytest.mark.parametrize("fault", ["cut off", "frozen"])
def test_single_balancer_never_takes_its_domain_out(size, fault):
    world = make_world(1, size)
    if fault == "cut off":
        world.cut_vms.add(0)
    else:
        world.pause(world.vms[0], 4.0)
    world.run(12.0)
    others = [agent for agent in world.domain_agents("a") if agent.number != 0]
    assert [agent.departure.departures for agent in others] == [0] * (size - 1)
    assert all(agent.ready for agent in others)


def test_frozen_balancer_of_a_domain_that_is_cut_off_does_not_keep_it():
    world = make_world(1, 3)
    world.pause(world.vms[0], 20.0)
    world.cut_off("a")
    left_s = world.run_until(lambda: world.all_departed("a"), 3.0)
    assert left_s is not None and left_s <= DEPARTURE_TARGET_S


def test_silent_registry_and_lost_packets_make_no_domain_leave():
    """No registry answers in this world; packets and gossip get lost, VMs are slow."""
    world = make_world(1, 20, until=40.0, gossip_loss=0.2, loss_share=0.05)
    world.slowness = 2.0
    world.run(40.0)
    assert departures(world, *"abc") == 0


@pytest.mark.parametrize("size", [3, 20])
def test_link_that_keeps_failing_makes_a_domain_leave_rarely(size):
    """Cut for 2 s of each 4 s: each relapse doubles the shortest absence."""
    world = make_world(1, size, until=44.0)
    for _ in range(10):
        world.cut_off("a")
        world.run(world.now + 2.0)
        world.heal()
        world.run(world.now + 2.0)
    assert departures(world, "a") <= 5 * size
    assert departures(world, "b", "c") == 0
    assert world.run_until(lambda: all_ready(world), 20.0) is not None


def test_dead_balancers_of_the_other_domains_make_no_domain_leave():
    world = make_world(1, 3)
    for domain in "bc":
        for number in world.numbers(domain):
            world.vms[number].up = False
    world.run(12.0)
    assert departures(world, "a") == 0
    assert all_ready(world)


def test_domain_returns_although_the_balancers_of_the_others_died_during_the_cut():
    """Then no gossip tells that the cut has ended, and no balancer serves anyone."""
    world = make_world(1, 2, until=5.0)
    world.cut_off("a")
    world.run(CUT_AT_S + 2.0)
    assert world.all_departed("a")
    for domain in "bc":
        for number in world.numbers(domain):
            world.vms[number].up = False
    world.heal()
    world.run(CUT_AT_S + SILENT_RETRY_AFTER_S + 2.0)
    assert all(agent.ready for agent in world.domain_agents("a"))


def test_restarted_balancer_follows_its_domain_and_does_not_bring_it_back():
    world = make_world(1, 5)
    world.cut_off("a")
    world.run(CUT_AT_S + 2.0)
    assert world.all_departed("a")
    world.restart(0)
    world.run(world.now + 2.0)
    assert world.all_departed("a")
    assert departures(world, "a") == 5


def test_reports_stay_within_the_bytes_for_control():
    world = make_world(1, 65)
    world.cut_off("a")
    world.run(CUT_AT_S + 5.0)
    assert max(a.report_bytes for a in world.agents.values()) / 5.0 < 6_000


@pytest.mark.parametrize("size", [3, 20])
def test_gossip_crosses_again_after_a_long_cut(size):
    """Each side counts the other as dead by then, and nobody may be left to send."""
    world = make_world(1, size)
    world.cut_off("a")
    world.run(CUT_AT_S + 20.0)
    (first, *_), now = world.domain_agents("a"), world.now
    assert first.members.live_domains(now) == {"a"}
    world.heal()
    world.run(now + 2.0)
    for agent in world.agents.values():
        assert agent.members.live_domains(world.now) == {"a", "b", "c"}


# The forwarding process ------------------------------------------------------------


class FixedDecision:
    """A decision of the failure domain's balancers that doesn't change."""

    departures = 3

    def __init__(self, departed, decides):
        self.departed = departed
        self._decides = decides

    def decides(self, now):
        return self._decides


@pytest.mark.parametrize(
    ("decision", "ready"),
    [
        (FixedDecision(departed=True, decides=True), False),
        (FixedDecision(departed=False, decides=True), True),
        # Alone in its failure domain, it decides for itself.
        (FixedDecision(departed=True, decides=False), True),
    ],
)
def test_process_is_ready_unless_its_domain_departed(decision, ready):
    with DatagramSocket(Address("127.0.0.1", 0)) as packets:
        address = str(packets.address)
        settings_ = ForwarderSettings(
            name="vm-1",
            failure_domain="a",
            packets=address,
            peers=address,
            probes=address,
            registry=address,
        )
        decoder = InMemoryDecoder()
        forwarder = Forwarder(settings_, PacketHeader(), decoder, packets)
        routes = decoder.encode(route_table())
        upstream = decoder.encode(upstream_record("up-b", "b"))
        forwarder.view.update(
            [
                PublishedItem(ItemKind.ROUTES, "", 1, routes),
                PublishedItem(ItemKind.UPSTREAM, "up-b", 1, upstream),
            ],
            forwarder.clock.now(),
        )
        assert forwarder.ready
        assert b"egrethook_domain_departed" not in render_metrics(forwarder, dict)
        forwarder.set_departure(decision)
        assert forwarder.ready is ready
        metrics = render_metrics(forwarder, dict).decode()
        assert f"egrethook_domain_departed {float(decision.departed)}" in metrics
        assert "egrethook_domain_departures_total 3.0" in metrics
