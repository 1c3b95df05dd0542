"""Open flows of upstreams that are gone, at one dispatcher without a network.

Guards against callers that wait for an upstream that is gone, flows of a live upstream
that are reset, and requests that run twice.
"""

from __future__ import annotations

import pytest
from dispatcher_harness import DispatcherHarness, packet, reset_callers
from open_flow_harness import (
    cut_off,
    flow_answered,
    flow_request,
    harness_with_open_flows,
    hear_of_another_upstream,
    leave_openings_unanswered,
)

from egrethook.discovery.records import ItemKind
from egrethook.emulator.flow_records import upstream_record
from egrethook.platform.packet_header import ACK, HEADER, SYN


def test_flow_behind_a_cut_is_reset_so_that_its_caller_opens_another():
    harness = harness_with_open_flows()
    harness.put_upstream("b")
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.0)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    hear_of_another_upstream(harness, 1.3)
    harness.advance(1.55)
    assert reset_callers(harness) == []
    flow_request(harness, 2000, "a", 1.6, sequence=11, ack=100)
    assert reset_callers(harness) == [2000]
    header = HEADER.unpack(harness.port.to_callers[0][1])
    assert header[5] == 100, "the sequence number that the caller expects"
    harness.advance(2.2)
    assert reset_callers(harness) == [2000], "no other flow, which has no request"


def test_request_that_must_not_run_twice_is_not_reset():
    harness = harness_with_open_flows(idempotent=False)
    harness.put_upstream("b")
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.0)
    hear_of_another_upstream(harness, 1.15)
    for now in (1.2, 1.6, 2.4, 4.0):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
        harness.advance(now + 0.01)
    harness.advance(8.0)
    assert reset_callers(harness) == []


def test_flows_of_an_upstream_that_refuses_only_new_flows_stay():
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    leave_openings_unanswered(harness, 1.0)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    flow_answered(harness, 2000, "a", 1.3, ack=200)
    flow_request(harness, 2000, "a", 1.9, sequence=21, ack=200)
    harness.advance(2.2)
    assert reset_callers(harness) == []


def test_flows_of_a_slow_upstream_that_answers_openings_stay():
    harness = harness_with_open_flows()
    for now in (1.0, 1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    harness.advance(2.6)
    assert reset_callers(harness) == []


def test_no_upstream_is_gone_just_after_an_interruption():
    """After a pause, packets that were queued meanwhile look like a silence."""
    harness = harness_with_open_flows()
    harness.put_upstream("b")
    harness.now = 0.9
    harness.dispatcher.tick(0.9)
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.0)
    hear_of_another_upstream(harness, 1.15)
    for now in (1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []
    flow_request(harness, 2000, "a", 4.0, sequence=11, ack=100)
    assert reset_callers(harness) == [2000]


def test_silence_from_before_an_interruption_proves_nothing_after_it():
    harness = harness_with_open_flows()
    harness.put_upstream("b")
    cut_off(harness, "zone-a", 0.9)
    harness.now = 1.6
    harness.dispatcher.tick(1.6)
    hear_of_another_upstream(harness, 2.0)
    for now in (2.4, 2.6, 3.0, 4.8):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []


@pytest.mark.parametrize(("gap_s", "resets"), [(0.25, [2000]), (0.35, [])])
def test_balancer_that_stood_still_since_the_request_resets_no_flow(gap_s, resets):
    harness = harness_with_open_flows()
    harness.put_upstream("b")
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.0)
    hear_of_another_upstream(harness, 1.16)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    harness.now = 1.2 + gap_s
    harness.dispatcher.tick(harness.now)
    flow_request(harness, 2000, "a", harness.now + 0.01, sequence=11, ack=100)
    assert reset_callers(harness) == resets


def test_copies_that_were_queued_together_count_as_one_repetition():
    harness = harness_with_open_flows()
    harness.put_upstream("b")
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.0)
    hear_of_another_upstream(harness, 1.2)
    for _ in range(3):
        flow_request(harness, 2000, "a", 1.4, sequence=11, ack=100)
    assert reset_callers(harness) == []


def test_copies_of_a_request_that_were_queued_together_are_no_retransmission():
    harness = harness_with_open_flows()
    leave_openings_unanswered(harness, 0.9)
    for _ in range(3):
        flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    harness.advance(2.0)
    assert reset_callers(harness) == []


def test_flow_of_an_upstream_without_openings_is_reset_once_its_record_is_gone():
    """Without openings, the registry tells a gone upstream from a long request."""
    harness = harness_with_open_flows()
    harness.put(ItemKind.DOMAIN_OUT, "zone-a", upstream_record("any", "zone-a"))
    for now in (1.0, 1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    harness.advance(2.8)
    assert reset_callers(harness) == []
    token = harness.upstream("a").token
    harness.put(ItemKind.UPSTREAM, "a", None, now=2.8)

    def repeat(now):
        harness.advance(now)
        data = packet(2000, ACK, echo=token, ack=100, sequence=11, data=bytes(10))
        harness.dispatcher.handle(data, now)

    repeat(4.0)
    assert reset_callers(harness) == [], "its record may only have lapsed"
    repeat(5.1)
    assert reset_callers(harness) == [2000]


def repeat_long_request(harness, token, times):
    """Flow 2000 sends a request at the first time, and repeats it at the others."""
    for now in times:
        harness.advance(now)
        harness.view.upstreams.expire(now)
        data = packet(2000, ACK, echo=token, ack=100, sequence=11, data=bytes(10))
        harness.dispatcher.handle(data, now)


def test_flow_opened_before_the_record_of_a_restarted_upstream_is_not_reset():
    """Guards against resets of sound flows, opened with the token of before a restart.

    The upstream started again while it was cut off from the registry.
    """
    harness = harness_with_open_flows()
    token = harness.upstream("a").token
    harness.put_upstream("a", now=1.0, started_ms=2)
    repeat_long_request(harness, token, (8.0, 8.2, 8.6, 9.4))
    assert reset_callers(harness) == []


def test_flow_is_not_reset_after_a_restarted_upstream_has_registered_anew():
    """The same, but the old record had expired before the new one came."""
    harness = harness_with_open_flows()
    token = harness.upstream("a").token
    harness.put(ItemKind.UPSTREAM, "a", None, now=1.0)
    harness.advance(4.0)
    harness.view.upstreams.expire(4.0)
    assert harness.upstream("a") is None
    harness.put_upstream("a", now=4.1, started_ms=2)
    repeat_long_request(harness, token, (8.0, 8.2, 8.6, 9.4))
    assert reset_callers(harness) == []


def test_flow_of_a_restarted_upstream_is_reset_once_no_record_is_left():
    """Guards against callers that wait for an upstream that restarted, then ended."""
    harness = harness_with_open_flows()
    token = harness.upstream("a").token
    harness.put_upstream("a", now=1.0, started_ms=2)
    harness.put(ItemKind.UPSTREAM, "a", None, now=5.0)
    repeat_long_request(harness, token, (6.0, 6.2, 6.6))
    assert reset_callers(harness) == []
    repeat_long_request(harness, token, (7.4,))
    assert reset_callers(harness) == [2000]


def test_sign_of_life_at_the_new_incarnation_keeps_flows_of_the_old_token():
    """Guards against resets while a cut hides an upstream from the registry again."""
    harness = harness_with_open_flows()
    token = harness.upstream("a").token
    harness.put_upstream("a", now=1.0, started_ms=2)
    flow_request(harness, 2002, "a", 4.9)
    new_token = harness.upstream("a").token
    harness.put(ItemKind.UPSTREAM, "a", None, now=5.0)
    answered = packet(2002, ACK, echo=new_token, ack=100, sequence=11)
    harness.dispatcher.handle(answered, 5.1)
    repeat_long_request(harness, token, (6.0, 6.2, 6.6, 7.4))
    assert reset_callers(harness) == []


def test_opening_shows_whether_an_upstream_that_stalls_is_alive():
    """Its stalled requests make it look busy, so it would get no openings at all."""
    harness = DispatcherHarness(flow_limit=1)
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    harness.sent()
    harness.dispatcher.handle(packet(3000, SYN), 1.25)
    assert harness.sent() == ["b"]
    harness.dispatcher.handle(packet(3001, SYN), 1.35)
    assert harness.sent() == ["a"]
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(3001, ACK, echo=echo), 1.36)
    harness.sent()
    flow_request(harness, 2000, "a", 1.8, sequence=11, ack=100)
    harness.advance(2.5)
    assert reset_callers(harness) == [], "it is alive"


def test_cold_upstream_that_stalls_gets_no_openings_beyond_its_limit():
    harness = DispatcherHarness()
    harness.selector._cold_admission.admits = lambda upstream, now: False
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    harness.sent()
    harness.dispatcher.handle(packet(3000, SYN), 1.4)
    assert harness.sent() == []


def test_old_silence_does_not_reset_flows_that_come_back_to_this_balancer():
    """Guards against flows of a live upstream that are reset.

    The upstream was silent, and meanwhile the router sent its flows elsewhere, so that
    its answers weren't seen here. Later one of them comes back.
    """
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    leave_openings_unanswered(harness, 1.0)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    harness.advance(5.0)
    harness.port.to_callers.clear()
    flow_request(harness, 2002, "a", 5.0, sequence=11, ack=100)
    # Its request is lost on the way, and the next copy arrives.
    flow_request(harness, 2002, "a", 5.2, sequence=11, ack=100)
    harness.advance(5.3)
    assert reset_callers(harness) == []


def test_flows_of_a_draining_upstream_stay_after_one_of_them_has_moved_away():
    """Guards against a moved flow's retransmission that no answer outdates."""
    harness = harness_with_open_flows()
    harness.put(ItemKind.DOMAIN_OUT, "zone-a", upstream_record("any", "zone-a"))
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    harness.advance(6.0)
    flow_request(harness, 2001, "a", 6.0, sequence=11, ack=100)
    assert reset_callers(harness) == []


class RecordingListener:
    def __init__(self):
        self.service_times = []

    def request_answered(self, outcome, now):
        self.service_times.append(outcome.service_s)


class RecordingStallListener:
    def __init__(self):
        self.ages = []

    def request_stalled(self, upstream, route, sent_at, now):
        self.ages.append(now - sent_at)


def test_first_request_of_a_flow_opened_in_advance_is_timed_from_its_first_byte():
    """Otherwise a good upstream would look slow, or look as if it let requests hang."""
    answers, stalls = RecordingListener(), RecordingStallListener()
    harness = DispatcherHarness(
        names=("a",), listeners=[answers], stall_listeners=[stalls]
    )
    for port in (2000, 2001):
        harness.open(port, 0.0)
    flow_request(harness, 2000, "a", 2.0, ack=0)
    flow_request(harness, 2001, "a", 2.0, ack=0)
    flow_answered(harness, 2000, "a", 2.04, ack=100)
    flow_request(harness, 2001, "a", 2.3, ack=0)
    assert [round(one, 3) for one in answers.service_times] == [0.04]
    assert [round(one, 3) for one in stalls.ages] == [0.3]
