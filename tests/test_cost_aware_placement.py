"""What requests cost, how fast upstreams are, and which one answers first.

The tests guard against bad measurements, a slow upstream and a costly request taken for
each other, and estimates that grow without bound or never end.
"""

from __future__ import annotations

import random

import pytest

from egrethook.callers.forwarded_flow import ForwardedFlow
from egrethook.emulator.flow_records import (
    FixedFlowLimit,
    NoColdLimit,
    route_table,
    upstream_record,
)
from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.data_path import CostAwarePlacement
from egrethook.forwarding.features import Feature
from egrethook.forwarding.metrics import cost_metrics
from egrethook.logs import set_destination
from egrethook.upstreams import learned_speeds, request_costs
from egrethook.upstreams.learned_speeds import LearnedSpeeds
from egrethook.upstreams.outstanding import (
    MAX_GROWTH,
    PLACED_WORK_TIME_S,
    OutstandingWork,
    PlacedWork,
)
from egrethook.upstreams.peer_speeds import PeerSpeeds
from egrethook.upstreams.placement import ExpectedFinishCost
from egrethook.upstreams.request_costs import (
    DEFAULT_COST_S,
    CostDistribution,
    RequestCosts,
)
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.selection import LowestCostSelector, Opening
from egrethook.upstreams.speeds import SpeedEstimate
from egrethook.upstreams.upstream import Upstream

ROUTE = route_table(objective_s=0.4).routes[0]


def route(name):
    one = route_table(objective_s=0.4).routes[0]
    return type(one)(
        name=name,
        address=one.address,
        services=one.services,
        priority=one.priority,
        timeout_s=one.timeout_s,
        objective_s=one.objective_s,
    )


def upstream(name, domain="zone-a", **changes):
    return Upstream(upstream_record(name, domain, **changes), 0.0)


def outcome(one, service_s, on=ROUTE, size=168, **changes):
    values = RequestOutcome(one, on, size, 1_000, service_s, False)
    return values._replace(**changes)


class Learning:
    """Costs and speeds that learn from the same answers."""

    def __init__(self):
        self.costs = RequestCosts()
        self.speeds = LearnedSpeeds(self.costs)
        self.costs.set_time_factors(self.speeds)
        self.now = 0.0

    def answer(self, one, service_s, **changes):
        self.now += 0.01
        result = outcome(one, service_s, **changes)
        self.speeds.request_answered(result, self.now)
        self.costs.request_answered(result, self.now)

    def factor(self, one):
        return self.speeds.time_factor(one)


class TestCostDistribution:
    def test_without_samples_the_default_is_assumed(self):
        distribution = CostDistribution()
        assert distribution.mean_s == DEFAULT_COST_S
        assert distribution.remaining_s(0.0) == DEFAULT_COST_S

    def test_request_that_runs_for_long_is_taken_for_a_long_one(self):
        distribution = CostDistribution()
        for number in range(300):
            distribution.observe(0.35 if number % 33 == 0 else 0.05, now=0.0)
        assert distribution.remaining_s(0.0) == pytest.approx(0.059, abs=0.003)
        assert distribution.remaining_s(0.03) == pytest.approx(0.03, abs=0.012)
        assert distribution.remaining_s(0.1) == pytest.approx(0.25, abs=0.03)
        assert distribution.remaining_s(1.0) == pytest.approx(0.5)

    def test_remaining_cost_at_the_start_is_the_mean(self):
        rng = random.Random(1)
        distribution = CostDistribution()
        for _ in range(500):
            distribution.observe(rng.lognormvariate(-3.0, 0.5), now=0.0)
        assert distribution.remaining_s(1e-6) == pytest.approx(
            distribution.mean_s, rel=0.01
        )

    def test_old_samples_give_way_to_new_ones(self):
        distribution = CostDistribution()
        for _ in range(100):
            distribution.observe(0.2, now=0.0)
        for _ in range(100):
            distribution.observe(0.05, now=8 * request_costs.HALF_LIFE_S)
        assert distribution.mean_s == pytest.approx(0.05, rel=0.05)

    @pytest.mark.parametrize("cost_s", [0.0, 1e-9, 1e6])
    def test_costs_out_of_range_are_kept_in_the_outer_buckets(self, cost_s):
        distribution = CostDistribution()
        distribution.observe(cost_s, now=0.0)
        assert distribution.count == 1.0
        assert distribution.remaining_s(cost_s) >= 0.0
        assert distribution.remaining_s(2 * cost_s) >= 0.0


class TestRequestCosts:
    @pytest.mark.parametrize("fault", ["retransmitted", "interrupted"])
    def test_bad_measurements_are_not_learned(self, fault):
        learning = Learning()
        one = upstream("a")
        for _ in range(10):
            learning.answer(one, 0.05)
        for _ in range(10):
            learning.answer(one, 2.0, **{fault: True})
        assert learning.costs.expected_s(ROUTE, one.service) == pytest.approx(0.05)
        assert learning.factor(one) == pytest.approx(1.0)

    def test_route_without_data_costs_what_its_service_does(self):
        costs = RequestCosts()
        one = upstream("a")
        for number in range(10):
            costs.request_answered(outcome(one, 0.2, on=route("known")), number)
        assert costs.expected_s(route("new"), one.service) == pytest.approx(0.2)
        assert costs.expected_s(route("new"), "other service") == DEFAULT_COST_S

    def test_sizes_are_told_apart_where_their_costs_differ(self):
        costs = RequestCosts()
        one = upstream("a")
        for number in range(40):
            costs.request_answered(outcome(one, 0.05, size=200), number * 0.1)
            costs.request_answered(outcome(one, 0.4, size=60_000), number * 0.1)
        small = costs.typical_s(outcome(one, 0.0, size=200))
        large = costs.typical_s(outcome(one, 0.0, size=60_000))
        assert small == pytest.approx(0.05)
        assert large == pytest.approx(0.4)

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(request_costs, "MAX_ROUTES", 8)
        costs = RequestCosts()
        for number in range(100):
            one = upstream(f"up-{number}", service=f"service-{number}")
            on = route(f"route-{number}")
            for size in range(0, 2_000_000, 50_000):
                costs.request_answered(outcome(one, 0.05, on=on, size=size), number)
        assert len(list(costs.by_route())) == 8
        assert len(costs._services) == 8
        sizes = [len(one.by_size) for one in costs._routes.values()]
        assert max(sizes) <= request_costs.MAX_SIZE_CLASS + 1


class TestLearnedSpeeds:
    def test_slow_upstream_and_costly_route_are_not_confused(self):
        """The slow upstream gets all cheap requests, the others the costly ones too."""
        learning = Learning()
        slow, *others = [upstream(name) for name in ("slow", "b", "c", "d")]
        cheap, costly = route("cheap"), route("costly")
        rng = random.Random(1)
        for _ in range(200):
            learning.answer(slow, 2.0 * rng.lognormvariate(-3.0, 0.3), on=cheap)
            other = rng.choice(others)
            learning.answer(other, rng.lognormvariate(-3.0, 0.3), on=cheap)
            learning.answer(other, rng.lognormvariate(-1.0, 0.3), on=costly)
        ratio = learning.factor(slow) / learning.factor(others[0])
        assert ratio == pytest.approx(2.0, rel=0.25)
        service = slow.service
        cost_ratio = learning.costs.expected_s(
            costly, service
        ) / learning.costs.expected_s(cheap, service)
        assert cost_ratio == pytest.approx(7.4, rel=0.25)

    def test_one_expensive_request_does_not_make_an_upstream_slow(self):
        learning = Learning()
        ups = [upstream(name) for name in "abcd"]
        for _ in range(8):
            for one in ups:
                learning.answer(one, 0.05)
        learning.answer(ups[0], 0.35)
        assert learning.factor(ups[0]) < 1.15

    def test_upstreams_that_are_all_slow_are_the_normal_of_their_service(self):
        learning = Learning()
        ups = [upstream(name) for name in "abc"]
        for _ in range(60):
            for one in ups:
                learning.answer(one, 0.3)
        assert [learning.factor(one) for one in ups] == pytest.approx([1.0] * 3)
        expected_s = learning.costs.expected_s(ROUTE, ups[0].service)
        assert expected_s == pytest.approx(0.3, rel=0.05)

    def test_requests_that_waited_for_a_slot_do_not_make_an_upstream_slow(self):
        learning = Learning()
        ups = [upstream(name) for name in "abc"]
        for _ in range(30):
            for one in ups:
                learning.answer(one, 0.05)
            learning.answer(ups[0], 0.1, found_busy=2)
        assert learning.factor(ups[0]) < 1.1
        expected_s = learning.costs.expected_s(ROUTE, ups[0].service)
        assert expected_s == pytest.approx(0.05)

    def test_estimates_age_towards_a_typical_speed(self):
        learning = Learning()
        slow, other = upstream("slow"), upstream("other")
        for _ in range(40):
            learning.answer(slow, 0.15)
            learning.answer(other, 0.05)
        learned = learning.factor(slow)
        assert learned > 1.4
        later = learning.now + 3 * learned_speeds.OWN_HALF_LIFE_S
        learning.speeds.own_estimates(later)
        assert 1.0 < learning.factor(slow) < learned
        learning.speeds.own_estimates(later + 20 * learned_speeds.OWN_HALF_LIFE_S)
        assert learning.factor(slow) == 1.0
        assert learning.speeds.spread().upstreams == 0

    def test_peer_estimates_count_but_are_not_passed_on(self):
        speeds = LearnedSpeeds(RequestCosts())
        one = upstream("a")
        speeds.apply_peer_estimates([SpeedEstimate(one.token, 3.0, 10.0)], 0.0)
        assert speeds.time_factor(one) == pytest.approx(2.5, abs=0.1)
        assert not speeds.own_estimates(0.1)
        speeds.own_estimates(20 * learned_speeds.PEER_HALF_LIFE_S)
        assert speeds.time_factor(one) == 1.0

    @pytest.mark.parametrize("factor", [0.0, -1.0, 1e9, float("nan")])
    def test_peer_estimates_out_of_range_are_ignored(self, factor):
        speeds = LearnedSpeeds(RequestCosts())
        one = upstream("a")
        speeds.apply_peer_estimates([SpeedEstimate(one.token, factor, 10.0)], 0.0)
        speeds.apply_peer_estimates([SpeedEstimate(one.token, 2.0, factor - 1)], 0.0)
        assert speeds.time_factor(one) < 10.0

    def test_peer_estimate_that_is_repeated_counts_once(self):
        """Each one combines all reports that still count, those of before too."""
        speeds = LearnedSpeeds(RequestCosts())
        one = upstream("a")
        speeds.apply_peer_estimates([SpeedEstimate(one.token, 3.0, 2.0)], 0.0)
        once = speeds.time_factor(one)
        for _ in range(10):
            speeds.apply_peer_estimates([SpeedEstimate(one.token, 3.0, 2.0)], 0.0)
        assert speeds.time_factor(one) == pytest.approx(once)
        speeds.apply_peer_estimates([SpeedEstimate(one.token, 1.0, 2.0)], 0.0)
        assert speeds.time_factor(one) == 1.0

    def test_peers_that_agree_on_a_very_slow_upstream_are_believed(self):
        """No factor that balancers send each other is out of range here."""
        speeds, peers = LearnedSpeeds(RequestCosts()), PeerSpeeds()
        one = upstream("a")
        for reporter in ("x", "y", "z"):
            combined = peers.note(reporter, [SpeedEstimate(one.token, 15.0, 10.0)], 0.0)
            speeds.apply_peer_estimates(combined, 0.0)
        assert speeds.time_factor(one) > 5.0

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(learned_speeds, "MAX_UPSTREAMS", 5)
        learning = Learning()
        for number in range(50):
            learning.answer(upstream(f"up-{number}"), 0.05)
        peers = [SpeedEstimate(number, 2.0, 1.0) for number in range(50)]
        learning.speeds.apply_peer_estimates(peers, learning.now)
        assert learning.speeds.spread().upstreams <= 10


def flow_at(one, sent_at, on=ROUTE):
    flow = ForwardedFlow(None, b"", on, one.service, sent_at, sent_at=sent_at)
    flow.occupy(one)
    return flow


class TestOutstandingWork:
    def make(self):
        costs = RequestCosts()
        one = upstream("a")
        for number in range(300):
            service_s = 0.35 if number % 33 == 0 else 0.05
            costs.request_answered(outcome(one, service_s), number * 0.001)
        return OutstandingWork(costs), one

    def test_long_running_request_counts_for_more_than_a_new_one(self):
        work, one = self.make()
        assert work.seconds(one, 1.0, 0.0, now=10.0) == 0.0
        flow = flow_at(one, sent_at=9.99)
        new_s = work.seconds(one, 1.0, 0.0, now=10.0)
        flow.release()
        flow_at(one, sent_at=9.9)
        assert work.seconds(one, 1.0, 0.0, now=10.0) > 3 * new_s

    def test_slow_upstream_has_more_to_do(self):
        work, one = self.make()
        flow_at(one, sent_at=10.0)
        normal_s = work.seconds(one, 1.0, 0.0, now=10.0)
        assert work.seconds(one, 2.0, 0.0, now=10.0) == pytest.approx(2 * normal_s)

    def test_idle_flows_count_for_their_requests_to_come(self):
        work, one = self.make()
        flow = flow_at(one, sent_at=10.0)
        flow.mark_idle()
        assert not one.requests
        assert work.seconds(one, 1.0, 0.01, now=10.0) == pytest.approx(0.01)
        flow.release()
        assert work.seconds(one, 1.0, 0.01, now=10.0) == 0.0

    def test_placed_work_fades_and_its_scale_is_renewed(self):
        placed = PlacedWork()
        old, new = upstream("old"), upstream("new")
        placed.add(old, 1.0, 0.0)
        placed.add(new, 1.0, PLACED_WORK_TIME_S)
        ratio = placed.amounts[old.token] / placed.amounts[new.token]
        assert ratio == pytest.approx(0.368, abs=0.001)
        later = (MAX_GROWTH + 2) * PLACED_WORK_TIME_S
        assert not placed.renew_if_due(PLACED_WORK_TIME_S)
        placed.add(new, 1.0, later - 0.001)
        assert placed.renew_if_due(later)
        assert list(placed.amounts) == [new.token]
        assert placed.amounts[new.token] == pytest.approx(1.0, abs=0.001)
        assert placed.unit(later) == 1.0
        assert placed.renew_if_due(later + 1e6)
        assert not placed.amounts


class Placement:
    """A selector over upstreams with known speeds."""

    def __init__(self, *candidates, factors=(), preference=None):
        self.candidates = list(candidates)
        self.learning = Learning()
        for _ in range(20):
            for one, factor in zip(self.candidates, factors or [1.0] * 9, strict=False):
                self.learning.answer(one, 0.05 * factor)
        self.now = self.learning.now
        self.cost = ExpectedFinishCost(
            "zone-a",
            self.learning.costs,
            self.learning.speeds,
            OutstandingWork(self.learning.costs),
            preference,
        )

    def opening(self, tried=(), avoided=(), route=ROUTE):
        return Opening(route, tried, avoided, True, self.now)

    def estimate(self, one, **fields):
        estimates = self.cost.estimates(self.candidates, self.opening(**fields))
        return estimates[self.candidates.index(one)]

    def choose(self, **fields):
        limit = FixedFlowLimit(9)
        selector = LowestCostSelector("zone-a", limit, NoColdLimit(), self.cost)
        return selector.choose(self.candidates, self.opening(**fields))


class TestExpectedFinishCost:
    def test_fast_upstream_is_preferred_until_it_has_more_to_do(self):
        fast, slow = upstream("fast"), upstream("slow")
        placement = Placement(fast, slow, factors=(0.5, 1.5))
        assert placement.choose() is fast
        for _ in range(4):
            flow_at(fast, placement.now)
        assert placement.choose() is slow

    def test_opening_avoids_a_slot_that_a_long_request_holds(self):
        held, busy = upstream("held", slots=1), upstream("busy", slots=1)
        placement = Placement(held, busy)
        for _ in range(2):
            placement.learning.answer(busy, 0.35)
        flow_at(held, placement.now - 0.12)
        flow_at(busy, placement.now - 0.04)
        assert placement.choose() is busy

    def test_cheap_work_takes_a_free_slot_and_costly_work_the_fast_upstream(self):
        fast, slow = upstream("fast", slots=1), upstream("slow", slots=1)
        placement = Placement(fast, slow, factors=(0.5, 1.5))
        costs = placement.learning.costs
        for name, cost_s in (("cheap", 0.01), ("costly", 0.4)):
            for _ in range(8):
                costs.request_answered(outcome(fast, cost_s, on=route(name)), 1.0)
        flow_at(fast, placement.now, on=ROUTE)
        assert placement.choose(route=route("cheap")) is slow
        assert placement.choose(route=route("costly")) is fast

    def test_upstream_whose_work_passes_the_objective_gets_nothing(self):
        loaded, remote = upstream("loaded"), upstream("remote", "zone-b")
        placement = Placement(loaded, remote, factors=(0.3, 3.0))
        flow_at(loaded, placement.now - 3.0)
        assert placement.estimate(loaded).outstanding_s > 2 * ROUTE.objective_s
        assert placement.choose() is remote

    def test_other_domains_and_silent_upstreams_cost_more(self):
        local, remote = upstream("local"), upstream("remote", "zone-b")
        placement = Placement(local, remote)
        assert placement.choose() is local
        assert placement.choose(avoided=[local]) is remote
        estimate = placement.estimate(local, avoided=[local])
        assert estimate.penalty_s > placement.estimate(remote).domain_s > 0.0

    def test_preferences_of_the_balancer_count(self):
        first, second = upstream("first"), upstream("second")

        class Preference:
            is_placed = True

            def additional_cost(self, one):
                return 0.0 if one is second else 2.0

        placement = Placement(first, second, preference=Preference())
        assert placement.choose() is second
        estimate = placement.estimate(first)
        assert estimate.preference_s == pytest.approx(2.0 * estimate.service_s)

    def test_check_of_an_upstream_is_placed_after_hours_without_openings(self):
        """Its upstream is chosen without a comparison, which renews the scale."""
        one, other = upstream("a"), upstream("b")
        placement = Placement(one, other)
        placement.now = 50_000.0
        one.stalled_since = placement.now - 1.0
        assert placement.choose() is one
        assert placement.estimate(one).crowding_s > placement.estimate(other).crowding_s

    def test_equal_upstreams_take_turns(self):
        ups = [upstream(f"up-{number}") for number in range(5)]
        placement = Placement(*ups)
        chosen = [placement.choose().name for _ in range(50)]
        counts = [chosen.count(one.name) for one in ups]
        assert max(counts) - min(counts) <= 1

    def test_work_placed_is_in_proportion_to_slots(self):
        small, large = upstream("small", slots=2), upstream("large", slots=6)
        placement = Placement(small, large)
        chosen = [placement.choose().name for _ in range(80)]
        assert 2.5 < chosen.count("large") / chosen.count("small") < 3.5

    def test_without_data_all_upstreams_are_alike(self):
        ups = [upstream("a"), upstream("b")]
        costs = RequestCosts()
        cost = ExpectedFinishCost(
            "zone-a", costs, LearnedSpeeds(costs), OutstandingWork(costs)
        )
        first, second = cost.estimates(ups, Opening(ROUTE, (), (), True, 0.0))
        assert first[1:] == second[1:]
        assert first.service_s == DEFAULT_COST_S

    def test_estimates_add_up_to_the_cost_that_is_compared(self):
        ups = [upstream("a"), upstream("b", "zone-b"), upstream("c")]
        placement = Placement(*ups, factors=(0.5, 1.0, 2.0))
        flow_at(ups[0], placement.now - 0.02)
        flow_at(ups[1], placement.now - 3.0).mark_idle()
        opening = placement.opening(avoided=[ups[2]])
        cost = placement.cost.for_opening(ups, opening)
        for estimate in placement.cost.estimates(ups, opening):
            assert estimate.finish_s == pytest.approx(cost(estimate.upstream))


class TestMeasurements:
    """What a running balancer learns, in virtual time."""

    def make_world(self, **options):
        features = (Feature.COST_AWARE_PLACEMENT,)
        world = FlowWorld(1, ("zone-a",), features=features, **options)
        world.add_upstream("up-0", "zone-a")
        (vm,) = world.vms
        world.publish(vm)
        world.run(0.5)
        return world, vm

    def learned(self, vm):
        return [(cost.samples, cost.mean_s) for cost in vm.cost_aware.costs.by_route()]

    def test_time_from_request_to_answer_is_learned(self):
        world, vm = self.make_world()
        world.call(0, service_time_s=0.06)
        world.run(1.0)
        ((samples, mean_s),) = self.learned(vm)
        assert samples == 1.0
        assert mean_s == pytest.approx(0.066, abs=0.002)

    def test_request_measured_across_a_pause_is_not_learned(self):
        world, vm = self.make_world()
        world.call(0, service_time_s=0.06)
        world.after(0.03, lambda: world.pause(vm, 0.2))
        world.run(1.0)
        assert world.answered_share() == 1.0
        assert not self.learned(vm)

    def test_retransmitted_request_is_not_learned(self):
        world, vm = self.make_world()
        world.call(0, service_time_s=0.3, think_time_s=lambda: 9.0)
        world.run(1.0)
        assert world.answered_share() == 1.0
        assert not self.learned(vm)

    def test_request_that_waited_behind_others_is_not_learned(self):
        world, vm = self.make_world(new_limit=lambda: FixedFlowLimit(3))
        for number in range(3):
            world.after(0.02 * number, lambda: world.call(0, service_time_s=0.06))
        world.run(1.0)
        ((samples, mean_s),) = self.learned(vm)
        assert samples == 2.0
        assert mean_s == pytest.approx(0.066, abs=0.002)

    def test_no_request_stays_in_progress(self):
        world, vm = self.make_world()
        for number in range(30):
            world.after(number * 0.01, lambda: world.call(0))
        world.run(5.0)
        (one,) = vm.view.upstreams.all()
        assert one.busy_flows == 0
        assert not one.requests

    def test_nothing_is_learned_with_the_feature_off(self):
        world = FlowWorld(1, ("zone-a",))
        assert world.vms[0].cost_aware is None


class RecordingLog:
    def __init__(self):
        self.lines = []

    def write(self, level, part, sentence, fields):
        self.lines.append((part, sentence))


@pytest.fixture
def log():
    recording = RecordingLog()
    previous = set_destination(recording)
    yield recording
    set_destination(previous)


def test_a_slow_upstream_and_a_changed_cost_are_logged_once(log):
    learning = Learning()
    ups = [upstream(name) for name in "abcdef"]
    for service_s in (0.05, 0.4, 0.05):
        for _ in range(60):
            learning.answer(ups[0], service_s)
            for one in ups[1:]:
                learning.answer(one, 0.05)
    assert log.lines == [
        ("costs", "the cost of a route has changed."),
        ("speeds", "an upstream is slow."),
        ("speeds", "an upstream is no longer slow."),
    ]


def test_metrics_show_costs_and_the_spread_of_speeds():
    learning = Learning()
    for _ in range(20):
        learning.answer(upstream("a"), 0.05)
        learning.answer(upstream("b"), 0.2)
    metrics = cost_metrics(CostAwarePlacement(learning.costs, learning.speeds, None))
    samples = {
        (one.name, *one.labels.values()): one.value
        for metric in metrics
        for one in metric.samples
    }
    assert 0.05 < samples["egrethook_route_cost_seconds", ROUTE.name] < 0.2
    assert samples["egrethook_upstream_time_factor", "fastest"] < 0.8
    assert samples["egrethook_upstream_time_factor", "slowest"] > 1.25
    assert samples["egrethook_upstreams_measured",] == 2
