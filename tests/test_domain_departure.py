"""Failure domains that reach no upstream leave the rotation together.

Guards against callers that are kept where nothing can serve them, and against a domain
that leaves although it can serve: because of one balancer, lost packets, a slow
machine, or a service registry or other balancers that are silent.
"""

from __future__ import annotations

import random

import pytest
from departure_world import DepartureWorld
from hypothesis import given, settings
from hypothesis import strategies as st

from egrethook.addresses import Address
from egrethook.balancers.domain_agreement import (
    ABSENCE_RANGE_S,
    AGREED_FOR_S,
    REPORT_FRESH_S,
    RETURN_ALONE_S,
    SETTLING_S,
    DomainAgreement,
)
from egrethook.balancers.gossip_codec import MemberInfo, ReachReport, decode, encode
from egrethook.callers.forwarded_flow import FlowState
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.flow_records import (
    InMemoryDecoder,
    route_table,
    upstream_record,
)
from egrethook.forwarding.domain_departure import (
    SILENT_RETRY_AFTER_S,
    DomainDeparture,
)
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.metrics import render_metrics
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.platform.packet_header import PacketHeader
from egrethook.upstreams.reach_evidence import (
    LASTING_SILENCE_S,
    Belief,
    OwnBelief,
    ReachEvidence,
)
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


# Evidence of one balancer ----------------------------------------------------------


def evidence(*entries):
    """Return evidence from (domain, time of the opening or None, time noted)."""
    collected = ReachEvidence()
    for domain, sent_at, at in entries:
        if sent_at is None:
            collected.note_answer(domain, at)
        else:
            collected.note_unanswered(domain, sent_at, at)
    return collected


SILENT = {"b": 1.0, "c": 1.0}.get
HEARD = {"b": 0.1, "c": 1.0}.get
UNANSWERED = [("b", 10.0, 10.1), ("c", 10.1, 10.2), ("b", 10.2, 10.3)]


@pytest.mark.parametrize(
    ("entries", "contact_age", "expected"),
    [
        (UNANSWERED, SILENT, Belief.UNREACHED),
        (UNANSWERED, HEARD, Belief.UNKNOWN),
        (UNANSWERED[:2], SILENT, Belief.UNKNOWN),
        ([("b", None, 9.0)], SILENT, Belief.UNKNOWN),
        ([*UNANSWERED, ("c", None, 10.3)], SILENT, Belief.REACHES),
        ([*UNANSWERED, ("a", None, 10.3)], SILENT, Belief.UNREACHED),
        ([("b", None, 10.1)], SILENT, Belief.REACHES),
        ([], SILENT, Belief.UNKNOWN),
        # Balancers of "c" were never known: its upstreams have to show it.
        (UNANSWERED, {"b": 1.0}.get, Belief.UNKNOWN),
        ([*UNANSWERED, ("c", 10.2, 10.35)], {"b": 1.0}.get, Belief.UNREACHED),
    ],
)
def test_belief_of_one_balancer(entries, contact_age, expected):
    shown = evidence(*entries).belief({"b", "c"}, contact_age, 10.4)
    assert shown.belief is expected


def test_openings_that_stay_unanswered_count_although_gossip_is_heard():
    entries = [("bc"[n % 2], 8.0 + n * 0.3, 8.1 + n * 0.3) for n in range(8)]
    collected = evidence(*entries)
    heard = {"b": 0.1, "c": 0.1}.get
    assert collected.belief({"b", "c"}, heard, 9.6).belief is Belief.UNKNOWN
    assert collected.belief({"b", "c"}, heard, 10.3).belief is Belief.UNREACHED


def test_busy_balancer_remembers_as_long_as_an_idle_one():
    """Each of 300 unanswered openings a second would displace the earlier ones."""
    entries = [("bc"[n % 2], 7.0 + n / 300, 7.1 + n / 300) for n in range(900)]
    heard = {"b": 0.1, "c": 0.1}.get
    shown = evidence(*entries).belief({"b", "c"}, heard, 10.1)
    assert shown.belief is Belief.UNREACHED


def test_answers_in_between_leave_nothing_to_decide():
    """Lost packets of a busy balancer cost it no decision."""
    entries = [("b", 9.0 + n * 0.1, 9.1 + n * 0.1) for n in range(10)]
    collected = evidence(*entries, ("b", None, 10.05))
    assert not collected.is_suspicious(10.1)
    collected.note_unanswered("b", 10.06, 10.1)
    assert not collected.is_suspicious(10.1)


def test_old_unanswered_openings_show_nothing():
    assert evidence(*UNANSWERED).belief({"b", "c"}, SILENT, 12.0) == OwnBelief()


def test_openings_from_before_a_suspension_show_nothing():
    collected = evidence(*UNANSWERED)
    collected.forget_unanswered()
    assert collected.belief({"b", "c"}, SILENT, 10.4) == OwnBelief()


# The decision ----------------------------------------------------------------------

UNREACHED = OwnBelief(Belief.UNREACHED)
REACHES = OwnBelief(Belief.REACHES)
NOTHING = OwnBelief()


def decide(agreement, own, peers, at):
    """Decide at a time, and again once an agreement has lasted long enough."""
    agreement.update(own, peers, at)
    return agreement.update(own, peers, at + AGREED_FOR_S + 0.01)


def agreement_of(reports, at=10.0):
    agreement = DomainAgreement()
    for sender, reaches in reports.items():
        agreement.note_report(sender, (1, 1), reaches, 0.0, at)
    return agreement


@pytest.mark.parametrize(
    ("own", "reports", "live", "departs"),
    [
        (UNREACHED, {1: False}, 1, True),
        (UNREACHED, {}, 1, False),
        (NOTHING, {1: False}, 1, False),
        (NOTHING, {1: False, 2: False}, 2, True),
        (NOTHING, {1: False, 2: False}, 3, False),
        (UNREACHED, {1: False, 2: False, 3: True}, 3, False),
        (REACHES, {1: False, 2: False, 3: False}, 3, False),
        # Reports of balancers that are not live don't count.
        (UNREACHED, {1: False, 8: False, 9: False}, 5, False),
    ],
)
def test_majority_without_objection_departs(own, reports, live, departs):
    peers = range(1, live + 1)
    assert decide(agreement_of(reports), own, peers, 10.0) is departs


def test_outdated_reports_are_not_counted():
    agreement = agreement_of({1: False})
    assert not decide(agreement, UNREACHED, [1], 10.0 + REPORT_FRESH_S + 0.1)


def test_report_that_was_overtaken_is_ignored():
    agreement = DomainAgreement()
    agreement.note_report(1, (7, 5), True, 0.0, 10.0)
    agreement.note_report(1, (7, 4), False, 0.0, 10.0)
    assert not decide(agreement, UNREACHED, [1], 10.0)
    agreement.note_report(1, (8, 0), False, 0.0, 10.5)
    assert decide(agreement, UNREACHED, [1], 10.5)


def departed_agreement(at=10.0):
    agreement = agreement_of({1: False, 2: False}, at)
    assert decide(agreement, UNREACHED, [1, 2], at)
    return agreement


def test_two_balancers_that_reach_an_upstream_end_the_departure():
    agreement = departed_agreement()
    at = 10.2 + ABSENCE_RANGE_S[0]
    agreement.note_report(1, (1, 2), True, 0.0, at)
    assert agreement.update(UNREACHED, [1, 2], at)
    agreement.note_report(2, (1, 2), True, 0.0, at)
    assert not agreement.update(UNREACHED, [1, 2], at)


def test_one_balancer_that_keeps_reaching_an_upstream_ends_it_too():
    agreement = departed_agreement()
    at = 12.0
    assert agreement.update(REACHES, [1, 2], at)
    assert not agreement.update(REACHES, [1, 2], at + RETURN_ALONE_S)


def test_domain_that_departs_again_soon_stays_out_for_longer():
    agreement = departed_agreement()
    agreement.end_departure(12.0)
    at = 12.0 + SETTLING_S - 0.5
    agreement.note_report(1, (1, 2), False, 0.0, at)
    agreement.note_report(2, (1, 2), False, 0.0, at)
    assert not decide(agreement, UNREACHED, [1, 2], at), "it settles first"
    at = 12.0 + SETTLING_S
    assert decide(agreement, UNREACHED, [1, 2], at)
    at += AGREED_FOR_S + ABSENCE_RANGE_S[0] + 0.2
    for sender in (1, 2):
        agreement.note_report(sender, (1, 3), True, 0.0, at)
    assert agreement.update(REACHES, [1, 2], at)
    at += ABSENCE_RANGE_S[0]
    for sender in (1, 2):
        agreement.note_report(sender, (1, 4), True, 0.0, at)
    assert not agreement.update(REACHES, [1, 2], at)


def test_report_round_trips():
    sender = MemberInfo(Address("10.0.0.1", 7000), "a", 5, 7)
    report = ReachReport(sender, False, 0.25)
    assert decode(encode(report)) == report


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


# Exploration of schedules ----------------------------------------------------------

STEP_S = 0.05


class ExploredBalancer:
    """The decision of one balancer; stands in for its gossip and its openings."""

    def __init__(self, schedule, number):
        self.schedule, self.number = schedule, number
        self.own = MemberInfo(Address(f"10.0.0.{number + 1}", 7000), "a", 1, 0)
        self.evidence = ReachEvidence()
        self.contacts = [0.0, 0.0]
        self.departure = DomainDeparture(
            "a", self.evidence, lambda: {"b"}, self, self._send
        )

    def live_in_own_domain(self, now):
        others = self.schedule.balancers
        return [other.own.address for other in others if other is not self]

    def contact_age(self, domain, now):
        return now - self.contacts[1]

    def confirmed_contact_at(self, domain):
        return self.contacts[0]

    def _send(self, report, limit):
        self.schedule.send(self, report)

    def step(self, now, is_cut, rng):
        """Let openings and gossip of 50 ms take place, then decide."""
        if rng.random() < STEP_S * 3.3 and not is_cut:
            self.contacts = [self.contacts[1], now]
        if rng.random() < STEP_S / self.schedule.opening_interval_s:
            for attempt in range(3):
                sent_at = now - 0.2 + attempt * 0.05
                if is_cut:
                    self.evidence.note_unanswered("b", sent_at, sent_at + 0.05)
                else:
                    self.evidence.note_answer("b", now)
        self.departure.step(now)

    @property
    def departed(self):
        return self.departure.departed


class Schedule:
    """Several balancers whose reports are lost, delayed and reordered."""

    def __init__(self, seed, size, loss, max_delay_s, opening_interval_s):
        self.rng = random.Random(seed)
        self.loss, self.max_delay_s = loss, max_delay_s
        self.opening_interval_s = opening_interval_s
        self.now = 0.0
        self.in_flight = []
        self.balancers = [ExploredBalancer(self, number) for number in range(size)]

    def send(self, sender, report):
        for receiver in self.balancers:
            if receiver is not sender and self.rng.random() >= self.loss:
                due = self.now + self.rng.uniform(0.0, self.max_delay_s)
                self.in_flight.append((due, receiver, report))

    def run(self, seconds, is_cut=lambda balancer: False):
        """Run, and yield after each step."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            due = [entry for entry in self.in_flight if entry[0] <= self.now]
            self.in_flight = [entry for entry in self.in_flight if entry not in due]
            for _, receiver, report in due:
                receiver.departure.note_report(report, self.now)
            for balancer in self.balancers:
                balancer.step(self.now, is_cut(balancer), self.rng)
            yield

    def departed(self):
        return [balancer.departed for balancer in self.balancers]


schedules = st.builds(
    Schedule,
    seed=st.integers(0, 10_000),
    size=st.integers(2, 7),
    loss=st.sampled_from([0.0, 0.05, 0.2]),
    max_delay_s=st.sampled_from([0.0, 0.1, 0.4]),
    opening_interval_s=st.sampled_from([0.1, 0.2]),
)


@settings(max_examples=60)
@given(schedule=schedules)
def test_any_schedule_single_faulty_balancer_takes_nobody_out(schedule):
    faulty = schedule.balancers[0]
    for _ in schedule.run(12.0, lambda balancer: balancer is faulty):
        assert not any(schedule.departed()[1:])


@settings(max_examples=60)
@given(schedule=schedules)
def test_any_schedule_balancer_that_gets_answers_stays(schedule):
    """All but one get no answers, so that the domain is never all out."""
    working = schedule.balancers[-1]
    for _ in schedule.run(1.0):
        pass
    out_since = None
    for _ in schedule.run(12.0, lambda balancer: balancer is not working):
        out = all(schedule.departed())
        out_since = None if not out else (out_since or schedule.now)
        longest_s = ABSENCE_RANGE_S[0] + RETURN_ALONE_S + 1.0
        assert out_since is None or schedule.now - out_since <= longest_s


@settings(max_examples=60)
@given(schedule=schedules, cut_s=st.sampled_from([3.0, 4.0, 8.0]))
def test_any_schedule_cut_makes_all_leave_and_its_end_brings_all_back(schedule, cut_s):
    for _ in schedule.run(3.0):
        assert not any(schedule.departed())
    for _ in schedule.run(3.0, lambda balancer: True):
        pass
    assert all(schedule.departed())
    for _ in schedule.run(cut_s - 3.0, lambda balancer: True):
        assert all(schedule.departed())
    for _ in schedule.run(5.0):
        pass
    assert not any(schedule.departed())
    for _ in schedule.run(5.0):
        assert not any(schedule.departed())
    assert {balancer.departure.departures for balancer in schedule.balancers} == {1}
