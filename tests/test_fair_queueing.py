"""Rate, retry budget and refusals of fair queueing, and a dispatcher that uses it.

The tests guard against openings that are lost or answered for twice, and against
retries that take the room of first attempts.
"""

from __future__ import annotations

import pytest
from dispatcher_harness import DispatcherHarness, packet, reset_callers
from queueing_builders import opening, outcome, queue_of, upstreams

from egrethook.callers.fair_queue import FairQueue
from egrethook.callers.fair_queueing import (
    MIN_RETRIES,
    RETRY_WINDOW_S,
    FairQueueing,
    MeasuredCost,
    RefusedCallers,
)
from egrethook.callers.forwarded_flow import (
    OPENING_SEND_OFFSETS_S,
    DispatcherCounts,
    ForwardedFlow,
)
from egrethook.callers.queueing_policy import TYPICAL_SERVICE_TIME_S
from egrethook.callers.service_rate import RATE_MARGIN, SmoothedServiceRate
from egrethook.emulator.flow_records import SERVICE, route_table
from egrethook.label_counts import MAX_LABELS, OTHER_LABEL, LabelCounts
from egrethook.logs import set_destination
from egrethook.platform.packet_header import INSTANCE_PREFIX, SYN, PacketHeader

# Rate ------------------------------------------------------------------------------


def test_rate_follows_the_answers():
    rate, (upstream, *_) = SmoothedServiceRate(), upstreams()
    for number in range(300):
        rate.request_answered(outcome(upstream), number / 100)
    rate.answers_per_s(SERVICE, [upstream], 1.0)
    for number in range(100, 300):
        rate.answers_per_s(SERVICE, [upstream], number / 100)
    estimate = rate.answers_per_s(SERVICE, [upstream], 3.0)
    assert 100 <= estimate <= 1.1 * RATE_MARGIN * 100, "an upper estimate"


def test_new_queue_counts_all_slots():
    """Before openings wait, answers show the load and not the room."""
    rate, candidates = SmoothedServiceRate(), upstreams()
    rate.request_answered(outcome(candidates[0]), 0.0)
    assert rate.answers_per_s(SERVICE, candidates, 0.1) == pytest.approx(120.0)


def test_cost_of_a_route_is_that_of_its_requests():
    costs, (upstream, *_) = MeasuredCost(), upstreams()
    route = route_table().routes[0]
    assert costs.expected_cost_s(route) == TYPICAL_SERVICE_TIME_S
    for _ in range(40):
        costs.request_answered(outcome(upstream, 0.3), 0.0)
    assert costs.expected_cost_s(route) == pytest.approx(0.3)
    for change in ({"interrupted": True}, {"retransmitted": True}):
        costs.request_answered(outcome(upstream, 30.0)._replace(**change), 0.0)
    assert costs.expected_cost_s(route) == pytest.approx(0.3), "no cost of the upstream"


# Policy ----------------------------------------------------------------------------


def new_policy():
    return FairQueueing(SmoothedServiceRate(), MeasuredCost(), DispatcherCounts())


def flow(port=2000, now=0.0):
    datagram = packet(port, SYN)
    segment = PacketHeader().decode(datagram)
    return ForwardedFlow(segment, datagram, route_table().routes[0], SERVICE, now)


def test_retries_of_refused_callers_spend_a_budget_while_there_is_a_queue():
    policy, queue = new_policy(), queue_of(opening())
    yielding = []
    for _ in range(20):
        policy.note_refused(flow(), 1.0)
        yielding.append(policy.describe(flow(), queue, 1.0).yields)
    assert yielding == [False] * MIN_RETRIES + [True] * (20 - MIN_RETRIES)


def test_first_attempts_earn_a_fifth_for_retries():
    policy, queue = new_policy(), queue_of(opening())
    for _ in range(40):
        assert not policy.describe(flow(), queue, 1.0).yields
    within = 0
    for _ in range(40):
        policy.note_refused(flow(), 1.0)
        within += not policy.describe(flow(), queue, 1.0).yields
    assert within == MIN_RETRIES + 10, "a fifth of 40 and 10"


def test_retries_are_never_held_without_a_queue():
    policy, queue = new_policy(), FairQueue()
    for _ in range(40):
        policy.note_refused(flow(), 1.0)
        assert not policy.describe(flow(), queue, 1.0).yields


def test_retry_is_recognised_once_and_for_a_moment_only():
    refused = RefusedCallers()
    refused.note_refused(1, "a", 0.0)
    soon = RETRY_WINDOW_S / 2
    assert not refused.is_retry(2, "a", soon) and not refused.is_retry(1, "b", soon)
    assert refused.is_retry(1, "a", soon) and not refused.is_retry(1, "a", soon)
    refused.note_refused(1, "a", 1.0)
    assert not refused.is_retry(1, "a", 1.01 + RETRY_WINDOW_S)


def test_counts_by_route_are_bounded():
    counts = LabelCounts()
    for number in range(3000):
        counts.add(f"route-{number}")
    assert len(counts.by_label()) == MAX_LABELS + 1
    assert counts.by_label()[OTHER_LABEL] == 3000 - MAX_LABELS


# Dispatcher ------------------------------------------------------------------------


def fair_harness():
    counts = DispatcherCounts()
    policy = FairQueueing(SmoothedServiceRate(), MeasuredCost(), counts)
    return DispatcherHarness(("a",), flow_limit=1, counts=counts, queueing=policy)


def handle_copies(harness, ports, copies=(0, 1, 2)):
    """Handle some copies of openings, sent when callers send them."""
    for copy in copies:
        harness.advance(OPENING_SEND_OFFSETS_S[copy])
        for port in ports:
            harness.dispatcher.handle(packet(port, SYN, ack=copy), harness.now)


def test_waiting_opening_is_refused_when_it_becomes_hopeless():
    harness = fair_harness()
    harness.open(2000, 0.0)
    handle_copies(harness, [2001])
    harness.advance(1.3)
    assert reset_callers(harness) == []
    harness.advance(1.36)
    assert reset_callers(harness) == [2001]
    counts = harness.dispatcher.counts
    assert counts.reset == {"no room in time": 1}
    assert counts.refused_by_route.by_label() == {"route": 1}


@pytest.mark.parametrize("copies", [(0,), (0, 1), (0, 2), (1, 2), (2,)])
def test_opening_that_another_balancer_may_have_opened_is_not_refused(copies):
    """Routers that change send copies of an opening to different balancers."""
    harness = fair_harness()
    harness.open(2000, 0.0)
    handle_copies(harness, [2001], copies)
    harness.advance(1.36)
    harness.advance(3.0)
    assert reset_callers(harness) == []
    assert harness.dispatcher.counts.dropped == {"may be open elsewhere": 1}


def test_copy_number_beyond_those_that_callers_send_is_harmless():
    harness = fair_harness()
    harness.open(2000, 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.0)
    harness.dispatcher.handle(packet(2001, SYN, ack=2**32 - 1), 0.2)
    assert harness.dispatcher.waiting == 1


def test_opening_that_may_have_been_sent_is_never_refused():
    harness = fair_harness()
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent() == ["a"]
    handle_copies(harness, range(2100, 2130))
    harness.advance(1.36)
    harness.advance(3.0)
    assert reset_callers(harness)
    assert 2000 not in reset_callers(harness)
    sent = {
        PacketHeader().decode(data[INSTANCE_PREFIX.size :]).caller[1]
        for _, data in harness.port.to_upstreams
    }
    assert not sent & set(reset_callers(harness))


def test_opening_whose_caller_has_given_up_is_dropped_without_a_reset():
    harness = fair_harness()
    harness.open(2000, 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.0)
    harness.dispatcher.tick(2.0)
    assert reset_callers(harness) == []
    assert harness.dispatcher.counts.dropped == {"waited too long": 1}


def test_new_opening_does_not_pass_those_that_wait():
    """Room that is there again, as after a pause, goes to the head of the queue."""
    harness = fair_harness()
    harness.open(2000, 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.01)
    harness.upstream("a").busy_flows = 0
    harness.dispatcher.handle(packet(2002, SYN), 0.02)
    ((_, sent),) = harness.port.to_upstreams
    assert PacketHeader().decode(sent[INSTANCE_PREFIX.size :]).caller[1] == 2001
    assert harness.dispatcher.waiting == 1


class LinesOfPart:
    def __init__(self):
        self.lines = []

    def write(self, level, part, sentence, fields):
        if part == "queueing":
            self.lines.append((sentence, fields))


@pytest.fixture
def queueing_log():
    log = LinesOfPart()
    previous = set_destination(log)
    yield log.lines
    set_destination(previous)


def test_log_tells_when_a_queue_forms_and_ends(queueing_log):
    harness = fair_harness()
    harness.open(2000, 0.0)
    handle_copies(harness, range(2001, 2006))
    assert [sentence for sentence, _ in queueing_log] == ["openings wait for room."]
    harness.advance(1.36)
    sentence, fields = queueing_log[-1]
    assert sentence == "no opening waits any more."
    assert (fields["waited"], fields["refused"]) == (5, 5)
