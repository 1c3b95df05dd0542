"""Warm-up, admission, queueing, retries, choice of owners and keepalive.

Guards against overload of upstreams, especially cold ones, and against closing the
connection of an upstream that is only slow.
"""

from __future__ import annotations

import random

import pytest
from helpers import COLD, WARM
from hypothesis import given
from hypothesis import strategies as st

from egrethook.balancers.peer_packets import Tried
from egrethook.emulator.builders import make_configuration, make_endpoint
from egrethook.published.configuration import Limits
from egrethook.retries import RetryBudget
from egrethook.upstreams.admission import FULL_PPM, Admission, Report, ShedReason
from egrethook.upstreams.backlog import Backlog
from egrethook.upstreams.choice import (
    WeightedRandomChooser,
    compare_flow_owners,
    next_hop,
)
from egrethook.upstreams.silence import LinkCheck, SilenceDetector
from egrethook.upstreams.warmup import Capacity, Warmth, WarmUp

CAPACITY = Capacity(2, 2000, 1, 100, 20)


def make_admission(report: Report = WARM) -> Admission:
    admission = Admission(make_endpoint("upstream-1", 1), Limits())
    admission.connect(report, 0.0)
    return admission


# Warm-up


def test_new_upstream_gets_all_slots_after_its_warm_up_answers():
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    for number in range(20):
        assert warm_up.slots == 1
        warm_up.record_answer(0.04, number * 0.1)
    assert (warm_up.slots, warm_up.warmth) == (2, Warmth.WARM)


def test_normal_service_time_variation_keeps_an_upstream_warm():
    rng = random.Random(3)
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    cold_count = sum(
        warm_up.record_answer(rng.expovariate(25.0), 0.0) for _ in range(20_000)
    )
    assert cold_count == 0


def test_service_times_far_above_the_average_make_an_upstream_cold():
    rng = random.Random(3)
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    for _ in range(200):
        warm_up.record_answer(rng.expovariate(25.0), 0.0)
    slow = (warm_up.record_answer(rng.expovariate(2.5), 1.0) for _ in range(20))
    assert any(slow)
    assert warm_up.slots == 1


def test_flow_limit_of_a_cold_upstream_grows_with_time_and_use():
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    warm_up.record_open_flows(10, 50.0)
    assert warm_up.connections == 100
    warm_up.record_open_flows(100, 51.0)
    assert warm_up.connections == 150
    warm_up.record_open_flows(150, 51.5)
    assert warm_up.connections == 150


# Admission


def test_changed_boot_number_makes_an_upstream_cold():
    admission = make_admission()
    assert admission.slots == 2
    admission.report(Report(boot=2, running=0, flows=0, answered=0), 1.0)
    assert admission.slots == 1


def test_busy_upstream_stays_warm_without_a_slot_until_its_next_report():
    admission = make_admission()
    admission.start()
    admission.shed(ShedReason.BUSY, 1.0)
    assert (admission.warmth, admission.has_slot) == (Warmth.WARM, False)
    admission.report(WARM, 1.2)
    assert admission.has_slot


def test_overloaded_upstream_becomes_cold():
    admission = make_admission()
    admission.start()
    admission.shed(ShedReason.OVERLOADED, 1.0)
    assert admission.warmth is Warmth.COLD


def test_flows_count_reported_and_recently_opened_ones():
    admission = make_admission()
    for _ in range(5):
        admission.open_flow(0.0)
    admission.report(Report(1, 0, 3, 1000), 0.2)
    assert admission.flows == 8
    admission.report(Report(1, 0, 5, 1000), 1.5)
    assert admission.flows == 5


def test_flows_above_the_connection_limit_are_refused():
    admission = make_admission(COLD)
    admitted = sum(admission.open_flow(0.0) for _ in range(150))
    assert admitted == 100


def test_draining_report_stops_new_work():
    admission = make_admission()
    admission.report(Report(1, 0, 0, 1000, draining=True), 1.0)
    assert not admission.accepts_work
    assert not admission.open_flow(1.0)


@given(st.lists(st.sampled_from(["start", "finish", "shed", "report", "cold"])))
def test_no_more_starts_than_slots_whatever_happens(events):
    admission = make_admission()
    started = 0
    for now, event in enumerate(events):
        if event == "start" and admission.has_slot:
            admission.start()
            started += 1
            assert started <= 2
        elif event == "finish" and started:
            admission.finish(0.04, now)
            started -= 1
        elif event == "shed" and started:
            admission.shed(ShedReason.BUSY, now)
            started -= 1
        elif event == "report":
            admission.report(Report(1, started, 0, 1000), now)
        elif event == "cold":
            admission.report(Report(now + 2, started, 0, 0), now)
        assert admission.running == started


# Backlog


def test_backlog_refuses_requests_that_would_miss_their_deadline():
    queue: Backlog[str] = Backlog()
    options = {"service_s": 0.1, "slots": 1, "limit": 10}
    assert queue.offer("a", 1.0, 0.0, **options)
    assert not queue.offer("b", 0.25, 0.0, **options)
    assert queue.offer("c", 0.5, 0.0, **options)
    assert [queue.pop(), queue.pop(), queue.pop()] == ["c", "a", None]


def test_backlog_refuses_requests_above_its_limit():
    queue: Backlog[int] = Backlog()
    accepted = [
        queue.offer(n, 9.0, 0.0, service_s=0.01, slots=1, limit=3) for n in range(5)
    ]
    assert accepted == [True, True, True, False, False]


def test_expired_requests_are_removed_from_the_backlog():
    queue: Backlog[str] = Backlog()
    queue.offer("a", 1.0, 0.0, service_s=0.0, slots=1, limit=3)
    queue.offer("b", 2.0, 0.0, service_s=0.0, slots=1, limit=3)
    assert queue.expire(1.5) == ["a"]
    assert queue.remove("b")
    assert len(queue) == 0


# Retries


def test_retries_stay_within_their_share_of_requests():
    budget = RetryBudget(0.1, 2, 0.0)
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.try_retry(0.0) for _ in range(100)) == 12


def test_retry_budget_recovers_with_time():
    budget = RetryBudget(0.0, 2, 0.0)
    assert [budget.try_retry(0.0) for _ in range(3)] == [True, True, False]
    assert budget.try_retry(20.0)


# Choice of owners


def test_next_hop_prefers_untried_owners_in_the_same_domain():
    far = make_endpoint("far", 1, "domain-2")
    near = make_endpoint("near", 2)
    hop = next_hop([far, near], [], "domain-1", random.Random(1))
    assert (hop.upstream, hop.queue) == ("near", False)
    hop = next_hop([far, near], [Tried("near", 2)], "domain-1", random.Random(1))
    assert (hop.upstream, hop.queue) == ("far", False)


def test_next_hop_is_the_shortest_backlog_when_all_are_full():
    endpoints = [make_endpoint("a", 1), make_endpoint("b", 2)]
    tried = [Tried("a", 3), Tried("b", 1)]
    hop = next_hop(endpoints, tried, "domain-1", random.Random(1))
    assert (hop.upstream, hop.queue) == ("b", True)
    assert next_hop([], tried, "domain-1", random.Random(1)) is None


def test_first_choice_is_spread_over_all_candidates():
    chooser = WeightedRandomChooser(random.Random(1))
    endpoints = list(make_configuration().endpoints())
    names = {chooser.first(endpoints).name for _ in range(100)}
    assert len(names) == 3
    assert chooser.first([]) is None


# Keepalive


@pytest.mark.parametrize("answers", [True, False])
def test_connection_is_closed_only_after_an_unanswered_ping(answers):
    detector = SilenceDetector(0.0)
    assert detector.check(0.4) is LinkCheck.WAIT
    assert detector.check(0.6) is LinkCheck.PING
    if answers:
        detector.note_received(0.7)
        assert detector.check(1.1) is LinkCheck.WAIT
    else:
        assert detector.check(1.5) is LinkCheck.WAIT
        assert detector.check(1.7) is LinkCheck.GIVE_UP


def test_pause_of_this_process_is_not_a_dead_connection():
    detector = SilenceDetector(0.0)
    detector.check(0.6)
    detector.resume(100.0)
    assert detector.check(100.1) is LinkCheck.WAIT


# Choice of owners for flows


@pytest.mark.parametrize(
    ("own_fills", "first_owner_fills", "expected"),
    [
        ([("a", 100)], [], "b"),
        ([("b", 100)], [("a", 100)], None),
        ([("b", 200)], [("a", 100)], "a"),
        ([("b", 50)], [("a", 100)], None),
        ([("b", FULL_PPM)], [("a", 100)], "a"),
        ([("b", FULL_PPM)], [("a", FULL_PPM)], None),
        ([("a", FULL_PPM)], [], None),
        ([("a", 1), ("b", 2)], [], None),
    ],
)
def test_new_flow_goes_to_the_less_filled_of_two_owners(
    own_fills, first_owner_fills, expected
):
    candidates = [make_endpoint("a", 1), make_endpoint("b", 2)]
    hop = compare_flow_owners(
        [Tried(*entry) for entry in own_fills],
        [Tried(*entry) for entry in first_owner_fills],
        candidates,
        random.Random(1),
    )
    assert (hop.upstream if hop else None) == expected
    if hop:
        assert hop.queue is bool(first_owner_fills)


def test_flow_fill_is_relative_to_the_limit_of_a_cold_upstream():
    warm, cold = make_admission(WARM), make_admission(COLD)
    for _ in range(50):
        warm.open_flow(0.0)
        cold.open_flow(0.0)
    assert (warm.flow_fill_ppm, cold.flow_fill_ppm) == (25_000, 500_000)
