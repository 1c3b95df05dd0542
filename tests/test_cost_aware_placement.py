"""Which upstream answers first: its work, and the choice by what has been learned.

The tests guard against a slow upstream and a costly request taken for each other, and
against work that is counted where there is none.
"""

from __future__ import annotations

import pytest
from cost_learning import ROUTE, Learning, flow_at, outcome, route, upstream

from egrethook.emulator.flow_records import FixedFlowLimit, NoColdLimit
from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.features import Feature
from egrethook.upstreams.learned_speeds import LearnedSpeeds
from egrethook.upstreams.outstanding import (
    MAX_GROWTH,
    PLACED_WORK_TIME_S,
    OutstandingWork,
    PlacedWork,
)
from egrethook.upstreams.placement import ExpectedFinishCost
from egrethook.upstreams.request_costs import DEFAULT_COST_S, RequestCosts
from egrethook.upstreams.selection import LowestCostSelector, Opening


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
