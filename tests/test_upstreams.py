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


def test_a_fresh_upstream_gets_its_slots_after_the_answers_it_needs():
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    for number in range(20):
        assert warm_up.slots == 1
        warm_up.record_answer(0.04, number * 0.1)
    assert (warm_up.slots, warm_up.warmth) == (2, Warmth.WARM)


def test_ordinary_variation_does_not_make_an_upstream_cold():
    rng = random.Random(3)
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    turned = sum(
        warm_up.record_answer(rng.expovariate(25.0), 0.0) for _ in range(20_000)
    )
    assert turned == 0


def test_service_times_far_above_the_history_make_an_upstream_cold():
    rng = random.Random(3)
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    for _ in range(200):
        warm_up.record_answer(rng.expovariate(25.0), 0.0)
    slow = (warm_up.record_answer(rng.expovariate(2.5), 1.0) for _ in range(20))
    assert any(slow)
    assert warm_up.slots == 1


def test_flows_of_a_cold_upstream_grow_with_time_and_use():
    warm_up = WarmUp(CAPACITY, 1.0, 1.5)
    warm_up.record_open_flows(10, 50.0)
    assert warm_up.connections == 100
    warm_up.record_open_flows(100, 51.0)
    assert warm_up.connections == 150
    warm_up.record_open_flows(150, 51.5)
    assert warm_up.connections == 150


# Admission


def test_a_changed_boot_makes_an_upstream_cold_at_once():
    admission = make_admission()
    assert admission.slots == 2
    admission.report(Report(boot=2, running=0, flows=0, answered=0), 1.0)
    assert admission.slots == 1


def test_a_busy_upstream_is_not_taken_for_a_cold_one():
    admission = make_admission()
    admission.start()
    admission.shed(ShedReason.BUSY, 1.0)
    assert (admission.warmth, admission.has_slot) == (Warmth.WARM, False)
    admission.report(WARM, 1.2)
    assert admission.has_slot


def test_an_overloaded_upstream_is_cold():
    admission = make_admission()
    admission.start()
    admission.shed(ShedReason.OVERLOADED, 1.0)
    assert admission.warmth is Warmth.COLD


def test_flows_are_counted_from_reports_and_what_was_opened_since():
    admission = make_admission()
    for _ in range(5):
        admission.open_flow(0.0)
    admission.report(Report(1, 0, 3, 1000), 0.2)
    assert admission.flows == 8
    admission.report(Report(1, 0, 5, 1000), 1.5)
    assert admission.flows == 5


def test_flows_above_the_connections_are_refused():
    admission = make_admission(COLD)
    admitted = sum(admission.open_flow(0.0) for _ in range(150))
    assert admitted == 100


def test_a_draining_report_stops_new_work():
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


# Queue


def test_the_queue_refuses_what_it_cannot_answer_in_time():
    queue: Backlog[str] = Backlog()
    options = {"service_s": 0.1, "slots": 1, "limit": 10}
    assert queue.offer("a", 1.0, 0.0, **options)
    assert not queue.offer("b", 0.25, 0.0, **options)
    assert queue.offer("c", 0.5, 0.0, **options)
    assert [queue.pop(), queue.pop(), queue.pop()] == ["c", "a", None]


def test_the_queue_has_a_limit():
    queue: Backlog[int] = Backlog()
    offers = [
        queue.offer(n, 9.0, 0.0, service_s=0.01, slots=1, limit=3) for n in range(5)
    ]
    assert offers == [True, True, True, False, False]


def test_expired_requests_leave_the_queue():
    queue: Backlog[str] = Backlog()
    queue.offer("a", 1.0, 0.0, service_s=0.0, slots=1, limit=3)
    queue.offer("b", 2.0, 0.0, service_s=0.0, slots=1, limit=3)
    assert queue.expire(1.5) == ["a"]
    assert queue.remove("b")
    assert len(queue) == 0


# Retries


def test_retries_stay_within_their_share():
    budget = RetryBudget(0.1, 2, 0.0)
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.try_retry(0.0) for _ in range(100)) == 12


def test_the_budget_recovers_with_time():
    budget = RetryBudget(0.0, 2, 0.0)
    assert [budget.try_retry(0.0) for _ in range(3)] == [True, True, False]
    assert budget.try_retry(20.0)


# Choice


def test_the_next_owner_is_near_and_untried():
    far = make_endpoint("far", 1, "domain-2")
    near = make_endpoint("near", 2)
    step = next_hop([far, near], [], "domain-1", random.Random(1))
    assert (step.upstream, step.queue) == ("near", False)
    step = next_hop([far, near], [Tried("near", 2)], "domain-1", random.Random(1))
    assert (step.upstream, step.queue) == ("far", False)


def test_when_all_are_full_the_request_waits_where_the_fewest_wait():
    endpoints = [make_endpoint("a", 1), make_endpoint("b", 2)]
    tried = [Tried("a", 3), Tried("b", 1)]
    step = next_hop(endpoints, tried, "domain-1", random.Random(1))
    assert (step.upstream, step.queue) == ("b", True)
    assert next_hop([], tried, "domain-1", random.Random(1)) is None


def test_first_candidates_are_spread_over_all():
    chooser = WeightedRandomChooser(random.Random(1))
    endpoints = list(make_configuration().endpoints())
    names = {chooser.first(endpoints).name for _ in range(100)}
    assert len(names) == 3
    assert chooser.first([]) is None


# Silence


@pytest.mark.parametrize("answers", [True, False])
def test_a_connection_is_given_up_only_when_a_ping_is_not_answered(answers):
    detector = SilenceDetector(0.0)
    assert detector.check(0.4) is LinkCheck.WAIT
    assert detector.check(0.6) is LinkCheck.PING
    if answers:
        detector.note_received(0.7)
        assert detector.check(1.1) is LinkCheck.WAIT
    else:
        assert detector.check(1.5) is LinkCheck.WAIT
        assert detector.check(1.7) is LinkCheck.GIVE_UP


def test_a_pause_of_this_process_is_not_silence():
    detector = SilenceDetector(0.0)
    detector.check(0.6)
    detector.resume(100.0)
    assert detector.check(100.1) is LinkCheck.WAIT


@pytest.mark.parametrize(
    ("mine", "asked", "goes_to"),
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
def test_a_new_flow_goes_to_the_less_filled_of_two_owners(mine, asked, goes_to):
    candidates = [make_endpoint("a", 1), make_endpoint("b", 2)]
    step = compare_flow_owners(
        [Tried(*entry) for entry in mine],
        [Tried(*entry) for entry in asked],
        candidates,
        random.Random(1),
    )
    assert (step.upstream if step else None) == goes_to
    if step:
        assert step.queue is bool(asked)


def test_a_cold_upstream_counts_as_full_at_the_flows_that_it_bears():
    warm, cold = make_admission(WARM), make_admission(COLD)
    for _ in range(50):
        warm.open_flow(0.0)
        cold.open_flow(0.0)
    assert (warm.flow_fill_ppm, cold.flow_fill_ppm) == (25_000, 500_000)
