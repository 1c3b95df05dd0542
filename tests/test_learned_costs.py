"""What requests cost and how fast upstreams are, learned from the same answers.

The tests guard against bad measurements, a slow upstream and a costly request taken for
each other, and estimates that grow without bound or never end.
"""

from __future__ import annotations

import random

import pytest
from cost_learning import ROUTE, Learning, outcome, route, upstream

from egrethook.forwarding.data_path import CostAwarePlacement
from egrethook.forwarding.metrics import cost_metrics
from egrethook.logs import set_destination
from egrethook.upstreams import learned_speeds, request_costs
from egrethook.upstreams.learned_speeds import LearnedSpeeds
from egrethook.upstreams.peer_speeds import PeerSpeeds
from egrethook.upstreams.request_costs import (
    DEFAULT_COST_S,
    CostDistribution,
    RequestCosts,
)
from egrethook.upstreams.speeds import SpeedEstimate


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
