"""Tests of `FlowDispatcher` at one balancer, without a network.

They guard against openings sent to dead or full upstreams, packets of open flows
sent to the wrong upstream, and capacity that is counted wrongly or never released.
"""

from __future__ import annotations

from dispatcher_harness import DispatcherHarness, packet, reset_callers
from hypothesis import given, settings
from hypothesis import strategies as st

from egrethook.callers.answer_times import RESEND_TIMEOUT_RANGE_S
from egrethook.callers.flow_dispatch import CALLER_TIMEOUT_MARGIN_S
from egrethook.discovery.records import ItemKind, UpstreamPhase
from egrethook.emulator.flow_records import (
    TARGET,
    FixedFlowLimit,
    route_table,
    upstream_record,
)
from egrethook.platform.packet_header import (
    ACK,
    FIN,
    HEADER,
    INSTANCE_PREFIX,
    RST,
    SYN,
)
from egrethook.upstreams.selection import (
    LOCAL_SAMPLE_SIZE,
    REMOTE_SAMPLE_SIZE,
)
from egrethook.upstreams.upstream import flow_token


def test_forwarded_opening_carries_the_upstream_instance_and_token():
    harness = DispatcherHarness()
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    (name, forwarded) = harness.port.to_upstreams[0]
    assert name == "a"
    assert INSTANCE_PREFIX.unpack_from(forwarded)[0] == harness.upstream("a").instance
    header = HEADER.unpack_from(forwarded, INSTANCE_PREFIX.size)
    assert header[8] == flow_token(harness.upstream("a").record) != 0
    assert header[9] == b"sum!"


def test_packet_of_an_untracked_flow_is_routed_by_its_token():
    harness = DispatcherHarness()
    echo = harness.upstream("b").token
    harness.dispatcher.handle(packet(2000, ACK, echo=echo), 0.0)
    assert harness.sent() == ["b"]


def test_packet_with_unknown_token_is_dropped_without_a_reset():
    harness = DispatcherHarness()
    harness.dispatcher.handle(packet(2000, ACK, echo=1), 0.0)
    assert harness.sent() == []
    assert harness.port.to_callers == []
    assert harness.dispatcher.counts.dropped == {"unknown token": 1}


def test_unanswered_opening_is_resent_and_counts_at_the_second_upstream_only():
    harness = DispatcherHarness()
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    harness.dispatcher.tick(RESEND_TIMEOUT_RANGE_S[0] - 0.001)
    assert harness.sent() == ["a"]
    harness.dispatcher.tick(RESEND_TIMEOUT_RANGE_S[0])
    assert harness.sent() == ["b"]
    assert harness.upstream("a").busy_flows == 0
    assert harness.upstream("b").busy_flows == 1


def test_resend_leaves_the_failure_domain_that_did_not_answer():
    """All of zone-b is unreachable, and its upstreams are the least busy."""
    harness = DispatcherHarness(names=())
    for name in ("b1", "b2", "b3"):
        record = upstream_record(name, "zone-b")
        harness.put(ItemKind.UPSTREAM, name, record)
    record = upstream_record("c", "zone-c")
    harness.put(ItemKind.UPSTREAM, "c", record)
    harness.upstream("c").busy_flows = 2
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent()[0].startswith("b")
    harness.dispatcher.tick(0.1)
    assert harness.sent() == ["c"]


def test_first_upstream_gets_the_flow_when_it_answers_after_the_resend():
    harness = DispatcherHarness()
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    harness.dispatcher.tick(0.1)
    harness.sent()
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(2000, ACK, echo=echo), 0.11)
    assert harness.sent() == ["a"]
    assert harness.upstream("a").busy_flows == 1
    assert harness.upstream("b").busy_flows == 0


def test_upstream_with_unanswered_openings_is_distrusted_until_it_answers():
    harness = DispatcherHarness()
    for port in (2000, 2001, 2002):
        harness.dispatcher.handle(packet(port, SYN), 0.0)
    assert harness.sent() == ["a", "b", "a"]
    harness.dispatcher.tick(0.1)
    assert harness.upstream("a").is_ejected(0.2)
    assert not harness.upstream("b").is_ejected(0.2)
    harness.sent()
    harness.dispatcher.handle(packet(2003, SYN), 0.2)
    assert harness.sent() == ["b"]
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(2000, ACK, echo=echo), 0.21)
    assert not harness.upstream("a").is_ejected(0.22)


def test_reconnecting_caller_avoids_the_upstream_that_did_not_answer():
    """The process of the first upstream has ended, so its address resets callers."""
    harness = DispatcherHarness(names=())
    for name in ("a1", "a2"):
        harness.put(ItemKind.UPSTREAM, name, upstream_record(name, "zone-a"))
    harness.put(ItemKind.UPSTREAM, "c", upstream_record("c", "zone-c"))
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    (first,) = harness.sent()
    harness.dispatcher.handle(packet(2001, SYN), 0.012)
    assert harness.sent() == ["c"]
    # The second opening may also be another flow of the caller, so the first one
    # counts as unanswered only after the resend timeout.
    assert harness.upstream(first).unanswered == 0
    harness.dispatcher.tick(0.05)
    assert harness.upstream(first).unanswered == 1


def test_second_flow_of_a_caller_does_not_count_as_a_reconnect():
    harness = DispatcherHarness(names=())
    for name in ("a1", "a2"):
        harness.put(ItemKind.UPSTREAM, name, upstream_record(name, "zone-a"))
    harness.put(ItemKind.UPSTREAM, "c", upstream_record("c", "zone-c"))
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.002)
    assert sorted(harness.sent()) == ["a1", "a2"]


def test_opening_compares_a_bounded_number_of_many_upstreams():
    harness = DispatcherHarness(names=())
    for number in range(300):
        record = upstream_record(f"up-{number}", f"zone-{'ab'[number % 2]}")
        harness.put(ItemKind.UPSTREAM, record.name, record)
    compared = []
    admits = FixedFlowLimit(3).admits
    harness.limit.admits = lambda one, now, on_time: (
        compared.append(one.name) or admits(one, now, on_time)
    )
    names = set()
    for port in range(2000, 2100):
        compared.clear()
        harness.dispatcher.handle(packet(port, SYN), 0.0)
        assert len(compared) <= LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE
        names.update(harness.sent())
    # The 100 openings go to 100 different upstreams of the own failure domain.
    assert len(names) == 100
    assert names <= {f"up-{number}" for number in range(0, 300, 2)}


def test_opening_compares_all_upstreams_when_the_first_ones_are_full():
    harness = DispatcherHarness(names=())
    for number in range(300):
        harness.put_upstream(f"up-{number}")
    for upstream in harness.view.upstreams.all()[1:]:
        upstream.busy_flows = 3
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent() == ["up-0"]


def test_closed_flow_frees_capacity_for_a_queued_opening():
    harness = DispatcherHarness(names=("a",), flow_limit=1)
    harness.open(2000, 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.02)
    assert harness.sent() == []
    assert harness.dispatcher.waiting == 1
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(2000, FIN | ACK, echo=echo), 0.05)
    assert harness.sent() == ["a", "a"]
    assert harness.dispatcher.waiting == 0


def test_flow_without_packets_stops_counting_as_busy():
    harness = DispatcherHarness(names=("a",), flow_limit=1)
    harness.open(2000, 0.0)
    harness.dispatcher.tick(4.0)
    assert harness.upstream("a").busy_flows == 0


def test_open_flow_is_busy_only_while_a_request_is_under_way():
    harness = DispatcherHarness(names=("a",), flow_limit=1)
    echo = harness.upstream("a").token

    def send(now, sequence, ack, data=b""):
        later = packet(2000, ACK, ack, echo, sequence=sequence, data=data)
        harness.dispatcher.handle(later, now)

    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    send(0.01, 1, 500, b"request")
    assert harness.upstream("a").busy_flows == 1
    harness.dispatcher.handle(packet(2001, SYN), 0.02)
    assert harness.dispatcher.waiting == 1
    send(0.04, 8, 900)
    assert harness.dispatcher.waiting == 0
    assert harness.upstream("a").idle_flows == 1
    # Both the packet that freed capacity and the queued opening are forwarded.
    assert harness.sent() == ["a", "a", "a", "a"]
    harness.dispatcher.handle(packet(2001, FIN | ACK, echo=echo), 0.05)
    send(5.0, 8, 900, b"second")
    assert (harness.upstream("a").busy_flows, harness.upstream("a").idle_flows) == (
        1,
        0,
    )
    send(5.0, 8, 900, b"second")
    send(5.04, 14, 1400)
    assert (harness.upstream("a").busy_flows, harness.upstream("a").idle_flows) == (
        0,
        1,
    )


def test_retransmitted_packet_does_not_count_as_a_new_request():
    harness = DispatcherHarness(names=("a",))
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    request = packet(2000, ACK, 500, echo, sequence=1, data=b"request")
    harness.dispatcher.handle(request, 0.01)
    harness.dispatcher.handle(packet(2000, ACK, 900, echo, sequence=8), 0.04)
    harness.dispatcher.handle(request, 0.21)
    assert harness.upstream("a").busy_flows == 0


def test_flow_opened_elsewhere_is_tracked_from_its_next_request():
    harness = DispatcherHarness()
    echo = harness.upstream("b").token
    request = packet(2000, ACK, 500, echo, sequence=1, data=b"request")
    harness.dispatcher.handle(request, 0.0)
    assert harness.upstream("b").busy_flows == 1
    harness.dispatcher.handle(packet(2000, FIN | ACK, 900, echo, sequence=8), 0.1)
    assert harness.upstream("b").busy_flows == harness.upstream("b").idle_flows == 0


def test_new_flow_goes_to_the_upstream_with_fewer_idle_flows():
    harness = DispatcherHarness(names=("a", "b"))
    a, b = harness.upstream("a"), harness.upstream("b")
    a.busy_flows, a.idle_flows = 1, 9
    b.busy_flows, b.idle_flows = 1, 1
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent() == ["b"]


def test_opening_past_the_caller_timeout_is_dropped_without_blaming_an_upstream():
    harness = DispatcherHarness(names=("a",), flow_limit=1)
    harness.open(2000, 0.0)
    # Second retransmission: the caller began 0.6 s ago and times out in 0.8 s.
    harness.dispatcher.handle(packet(2001, SYN, ack=2), 0.0)
    harness.dispatcher.tick(0.9)
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(2000, FIN | ACK, echo=echo), 0.9)
    assert harness.sent() == ["a"]
    assert harness.dispatcher.counts.dropped == {"waited too long": 1}
    assert harness.upstream("a").unanswered == 0


def test_opening_without_a_route_is_refused_only_when_the_view_is_fresh():
    harness = DispatcherHarness()
    elsewhere = (TARGET[0], 99)
    harness.dispatcher.view_is_fresh = False
    harness.dispatcher.handle(packet(2000, SYN, target=elsewhere), 0.0)
    assert harness.port.to_callers == []
    harness.dispatcher.view_is_fresh = True
    harness.dispatcher.view_changed(0.1)
    (caller, reset) = harness.port.to_callers[0]
    assert caller == (0x64400007, 2000)
    fields = HEADER.unpack(reset)
    assert fields[7] == RST and fields[3] == elsewhere[0] and fields[1] == 99


def test_opening_without_a_route_is_held_until_the_view_has_one():
    harness = DispatcherHarness()
    harness.dispatcher.view_is_fresh = False
    elsewhere = (TARGET[0], 99)
    harness.dispatcher.handle(packet(2000, SYN, target=elsewhere), 0.0)
    table = route_table(version=2)
    route = table.routes[0]
    moved = type(route)(
        name=route.name,
        address=elsewhere,
        services=route.services,
        priority=1,
        timeout_s=2.0,
        objective_s=0.15,
    )
    harness.put(ItemKind.ROUTES, "", type(table)(2, (moved,), {}))
    harness.dispatcher.view_changed(0.2)
    assert harness.sent() == ["a"]


def hold_packets(harness):
    """Make the view stale and forget the route; packets are held from now on."""
    harness.dispatcher.view_is_fresh = False
    harness.view.__init__(harness.decoder, flow_life_s=60.0)


def publish_again(harness, now):
    harness.put(ItemKind.ROUTES, "", route_table(), now)
    for name in ("a", "b"):
        harness.put_upstream(name, now)
    harness.dispatcher.view_is_fresh = True
    harness.dispatcher.view_changed(now)


def test_packet_with_unknown_token_is_held_until_the_view_is_fresh():
    """A balancer that has just started knows no upstream yet."""
    harness = DispatcherHarness()
    echo = harness.upstream("a").token
    hold_packets(harness)
    harness.dispatcher.handle(packet(2000, ACK, echo=echo, data=b"get"), 0.0)
    assert harness.sent() == []
    publish_again(harness, 0.2)
    assert harness.sent() == ["a"]


def test_held_packets_of_callers_that_gave_up_are_dropped():
    harness = DispatcherHarness()
    echo = harness.upstream("a").token
    hold_packets(harness)
    harness.dispatcher.handle(packet(2000, ACK, echo=echo, data=b"get"), 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.0)
    harness.dispatcher.view_changed(1.0)
    publish_again(harness, 1.5)
    assert harness.sent() == []
    assert harness.dispatcher.counts.dropped == {"waited too long": 2}


def test_held_openings_keep_their_arrival_time():
    harness = DispatcherHarness(names=("a",))
    hold_packets(harness)
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    # Too close to the caller's timeout for a missing answer to be evidence.
    publish_again(harness, 1.5 - CALLER_TIMEOUT_MARGIN_S)
    harness.dispatcher.tick(1.35)
    assert harness.upstream("a").unanswered == 0


def test_copies_of_an_opening_that_were_queued_together_are_sent_once():
    """Copies pile up in the socket while a process starts."""
    harness = DispatcherHarness()
    for copy in range(3):
        harness.dispatcher.handle(packet(2000, SYN, ack=copy), 0.0)
    assert harness.sent() == ["a"]


def test_first_copies_are_served_before_held_retransmissions():
    harness = DispatcherHarness(names=("a",), flow_limit=1)
    hold_packets(harness)
    for port, copy in ((2000, 0), (2000, 1), (2001, 0)):
        harness.dispatcher.handle(packet(port, SYN, ack=copy), 0.0)
    publish_again(harness, 0.1)
    ports = [
        HEADER.unpack_from(sent, INSTANCE_PREFIX.size)[1]
        for _, sent in harness.port.to_upstreams
    ]
    assert ports == [2001, 2000]


def test_draining_upstream_keeps_its_flows_but_gets_no_new_ones():
    harness = DispatcherHarness()
    harness.open(2000, 0.0)
    echo = harness.upstream("a").token
    harness.put_upstream("a", phase=UpstreamPhase.DRAINING)
    harness.dispatcher.handle(packet(2001, SYN), 0.1)
    assert harness.sent() == ["b"]
    harness.dispatcher.handle(packet(2000, ACK, echo=echo), 0.1)
    assert harness.sent() == ["a"]


def test_failure_domain_out_of_service_gets_no_new_flows_until_it_returns():
    harness = DispatcherHarness()
    harness.put(ItemKind.DOMAIN_OUT, "zone-a", route_table())
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent() == ["b"]
    harness.put(ItemKind.DOMAIN_OUT, "zone-a", None)
    harness.dispatcher.handle(packet(2001, SYN), 0.0)
    assert harness.sent() == ["a"]


def test_restarted_upstream_gets_a_new_token_and_the_old_one_stays_routable():
    harness = DispatcherHarness(names=("a",))
    old = harness.upstream("a").token
    harness.put_upstream("a", started_ms=2)
    assert harness.upstream("a").token != old
    harness.dispatcher.handle(packet(2000, ACK, echo=old), 0.0)
    assert harness.sent() == ["a"]


def test_withdrawn_upstream_gets_packets_of_its_open_flows_only():
    harness = DispatcherHarness()
    echo = harness.upstream("a").token
    harness.put(ItemKind.UPSTREAM, "a", None)
    harness.dispatcher.handle(packet(2000, ACK, echo=echo), 0.0)
    assert harness.sent() == ["a"]
    harness.dispatcher.handle(packet(2001, SYN), 0.0)
    assert harness.sent() == ["b"]
    harness.view.upstreams.expire(61.0)
    harness.dispatcher.handle(packet(2000, ACK, echo=echo), 61.0)
    assert harness.sent() == []


def test_withdrawn_upstream_that_just_answered_stays_in_use_for_a_while():
    harness = DispatcherHarness()
    harness.open(2000, 10.0)
    echo = harness.upstream("a").token
    harness.dispatcher.handle(packet(2000, FIN | ACK, echo=echo), 10.1)
    harness.sent()
    harness.put(ItemKind.UPSTREAM, "a", None, now=10.5)
    harness.dispatcher.handle(packet(2001, SYN), 11.0)
    assert harness.sent() == ["a"]
    harness.dispatcher.tick(11.0 + RESEND_TIMEOUT_RANGE_S[0] + 0.01)
    harness.sent()
    harness.view.upstreams.expire(12.8)
    harness.dispatcher.handle(packet(2002, SYN), 12.8)
    assert harness.sent() == ["b"]


def test_unreadable_record_is_skipped_and_the_other_upstreams_are_used():
    harness = DispatcherHarness()
    harness.put(ItemKind.UPSTREAM, "a", route_table())
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    assert harness.sent() == ["b"]


def test_older_route_table_does_not_replace_a_newer_one():
    harness = DispatcherHarness()
    harness.put(ItemKind.ROUTES, "", route_table(version=5))
    harness.put(ItemKind.ROUTES, "", route_table(version=4))
    assert harness.view.table.version == 5


def test_queued_openings_are_refused_when_the_process_ends():
    """Their callers reconnect at once, in place of a timeout after 1.4 s."""
    harness = DispatcherHarness(names=("a",), flow_limit=1)
    harness.dispatcher.handle(packet(2000, SYN), 0.0)
    harness.dispatcher.handle(packet(2001, SYN), 0.0)
    assert harness.dispatcher.waiting == 1
    harness.dispatcher.refuse_queued(0.0)
    assert reset_callers(harness) == [2001]
    assert harness.dispatcher.counts.reset == {"process leaving": 1}


@given(
    st.lists(
        st.tuples(
            st.sampled_from((2000, 2001, 2002)),
            st.integers(0, 255),
            st.integers(0, 2**32 - 1),
            st.integers(0, 2**32 - 1),
            st.sampled_from(("a", "b", "none", "random")),
            st.sampled_from((0, 1, 200)),
            st.floats(0.0, 1.0),
            st.integers(0, 40),
        ),
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
@settings(max_examples=300, deadline=None)
def test_no_sequence_of_packets_ends_the_dispatcher(steps, rng):
    """Flags, numbers and tokens are arbitrary, and some packets are cut short."""
    harness = DispatcherHarness()
    for port, flags, ack, sequence, owner, length, pause_s, cut in steps:
        harness.advance(harness.now + pause_s)
        tokens = {"none": 0, "random": rng.getrandbits(32)}
        token = tokens.get(owner) or getattr(harness.upstream(owner), "token", 0)
        data = packet(
            port, flags, ack=ack, echo=token, sequence=sequence, data=bytes(length)
        )
        harness.dispatcher.handle(
            data[: len(data) - cut] if cut > 30 else data, harness.now
        )
    harness.advance(harness.now + 40.0)
    assert harness.dispatcher.known_flows == 0
    assert harness.upstream("a").busy_flows == harness.upstream("a").idle_flows == 0
    harness.sent()
    harness.dispatcher.handle(packet(3000, SYN), harness.now)
    assert len(harness.sent()) == 1
