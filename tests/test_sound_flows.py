"""Open flows of upstreams that are sound, at one dispatcher without a network.

Guards against a reset of such a flow: silence that this balancer infers must be about
that very flow, fresh and its own.
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

from egrethook.discovery.records import ItemKind, UpstreamPhase
from egrethook.emulator.flow_records import upstream_record
from egrethook.platform.packet_header import SYN
from egrethook.upstreams.health import HealthObservation


def report_silence(harness, now, reports=2):
    """Other balancers report that "a" leaves openings unanswered."""
    harness.advance(now)
    for _ in range(reports):
        silence = HealthObservation(answers=False, silent_s=0.05)
        harness.health.note_report(harness.upstream("a"), silence, now)


def test_long_request_beside_reports_of_other_balancers_resets_no_flow():
    """A balancer that loses its callers to others reports sound upstreams as silent."""
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    report_silence(harness, 1.1)
    for now in (1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
        harness.advance(now + 0.5)
    assert reset_callers(harness) == []


@pytest.mark.parametrize("idempotent", [True, False])
def test_long_request_at_a_draining_upstream_resets_no_flow(idempotent):
    """Nothing but a retransmission tells of it, which also shows a long request."""
    harness = harness_with_open_flows(idempotent=idempotent)
    harness.put(ItemKind.DOMAIN_OUT, "zone-a", upstream_record("any", "zone-a"))
    for now in (1.0, 1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    harness.advance(3.0)
    assert reset_callers(harness) == []


def test_idle_flow_is_not_reset_on_the_silence_of_another_flow():
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    leave_openings_unanswered(harness, 1.0)
    for now in (1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    harness.advance(4.0)
    assert 2001 not in reset_callers(harness)


def test_opening_sent_before_the_latest_answer_shows_no_silence():
    """Guards against dating an unanswered opening by when it was found unanswered."""
    harness = harness_with_open_flows()
    for port in (3000, 3001):
        harness.dispatcher.handle(packet(port, SYN), 1.0)
    flow_request(harness, 2001, "a", 1.0, sequence=11, ack=100)
    flow_answered(harness, 2001, "a", 1.02, ack=200)
    harness.advance(1.03)
    flow_request(harness, 2000, "a", 1.03, sequence=11, ack=100)
    for now in (1.23, 1.63, 2.43):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    harness.advance(3.0)
    assert reset_callers(harness) == []


def test_flow_opened_through_another_balancer_is_judged_by_its_own_upstream():
    """Its opening went to "a" here; the caller has opened it at "b"."""
    harness = DispatcherHarness()
    harness.now = -5.0
    harness.advance(0.0)
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent() == ["a"]
    flow_request(harness, 2000, "b", 0.01)
    flow_answered(harness, 2000, "b", 0.03, ack=100)
    assert harness.upstream("a").unanswered == 0
    assert harness.sent() == ["b", "b"], "no further copy of the opening"
    assert harness.upstream("b").idle_flows == 1


def test_flow_that_was_opened_anew_elsewhere_leaves_its_old_upstream():
    """Guards against judging a flow by the earlier upstream of its port."""
    harness = DispatcherHarness()
    harness.now = -5.0
    harness.advance(0.0)
    assert harness.open(2000, 0.0) == "a"
    flow_answered(harness, 2000, "a", 0.05, ack=100)
    for now in (1.0, 1.2, 1.6):
        flow_request(harness, 2000, "b", now, ack=500)
    assert harness.upstream("a").stalled_since is None
    assert harness.upstream("a").idle_flows == 0
    assert harness.upstream("b").busy_flows == 1


def test_late_copy_of_an_opening_goes_to_one_upstream_and_shows_no_silence():
    """Its first copy went through another balancer, which may have opened the flow."""
    harness = DispatcherHarness()
    harness.now = -5.0
    harness.advance(0.0)
    harness.dispatcher.handle(packet(2000, SYN, ack=1), 0.0)
    harness.advance(0.39)
    assert len(harness.sent()) == 1
    assert all(harness.upstream(name).unanswered == 0 for name in "ab")
    harness.dispatcher.handle(packet(2000, SYN, ack=2), 0.4)
    harness.advance(1.0)
    assert len(harness.sent()) == 1


def test_balancer_that_gets_no_answers_any_more_resets_no_flow():
    """Its callers' packets go through others, since it has left the rotation."""
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.05)
    for now in (1.2, 1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    harness.advance(3.0)
    assert reset_callers(harness) == []


def test_copy_of_a_leaving_balancers_opening_may_open_the_flow_elsewhere():
    """A refusal at the end of the process would then reset an open flow."""
    harness = DispatcherHarness(flow_limit=0)
    harness.advance(0.0)
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.dispatcher.waiting == 1
    harness.advance(0.3)
    harness.dispatcher.refuse_queued(0.3)
    assert reset_callers(harness) == []


@pytest.mark.parametrize("opened_here", [True, False])
def test_new_opening_on_a_known_port_is_placed_anew(opened_here):
    """Its earlier flow ended unseen here, at an upstream that drains by now."""
    harness = DispatcherHarness()
    harness.now = -5.0
    harness.advance(0.0)
    if opened_here:
        assert harness.open(2000, 0.0) == "a"
    else:
        flow_request(harness, 2000, "a", 0.0)
        harness.sent()
    harness.put_upstream("a", phase=UpstreamPhase.DRAINING)
    harness.advance(6.0)
    harness.dispatcher.handle(packet(2000, SYN, sequence=70_000), 6.0)
    assert harness.sent() == ["b"]
    assert harness.upstream("a").busy_flows == 0
    assert harness.upstream("a").idle_flows == 0


def test_copy_of_an_opening_is_no_new_one():
    harness = DispatcherHarness()
    harness.now = -5.0
    harness.advance(0.0)
    assert harness.open(2000, 0.0) == "a"
    harness.dispatcher.handle(packet(2000, SYN, ack=1), 0.2)
    assert harness.sent() == ["a"]
    assert harness.dispatcher.known_flows == 1


def behind_a_cut(harness, **changes):
    """A request of flow 2000 at "a" is repeated while "zone-a" seems to be cut off."""
    harness.put_upstream("b")
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    cut_off(harness, "zone-a", 1.0, **changes)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)


def test_flow_in_a_domain_whose_gossip_is_heard_stays():
    """All its upstreams may be full, which leaves openings unanswered."""
    harness = harness_with_open_flows()
    behind_a_cut(harness)
    harness.health.set_gossip_age(lambda domain: 0.9)
    hear_of_another_upstream(harness, 1.3)
    for now in (1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []


def test_flow_in_a_domain_that_still_answers_stays():
    """Its balancers may have ended while its upstreams serve."""
    harness = harness_with_open_flows()
    record = upstream_record("c", "zone-a")
    harness.put(ItemKind.UPSTREAM, "c", record)
    behind_a_cut(harness)
    flow_request(harness, 2005, "c", 1.25)
    flow_answered(harness, 2005, "c", 1.3, ack=100)
    hear_of_another_upstream(harness, 1.35)
    for now in (1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []


def test_two_unanswered_openings_are_no_cut():
    harness = harness_with_open_flows()
    behind_a_cut(harness, openings=2)
    hear_of_another_upstream(harness, 1.3)
    for now in (1.6, 2.4):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []


def test_openings_long_before_the_request_are_no_cut():
    harness = harness_with_open_flows()
    harness.put_upstream("b")
    cut_off(harness, "zone-a", 1.0)
    hear_of_another_upstream(harness, 1.3)
    for now in (3.1, 3.3, 3.7, 4.5):
        flow_request(harness, 2000, "a", now, sequence=11, ack=100)
    assert reset_callers(harness) == []
