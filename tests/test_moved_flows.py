"""Flows whose packets pass through several balancers, at one of them and at all.

Guards against packets of an open flow that reach other upstreams, against silence that
is taken from them, and against capacity that is counted twice.
"""

from __future__ import annotations

import random
from functools import partial
from zlib import crc32

import pytest
from dispatcher_harness import DispatcherHarness, packet, reset_callers
from open_flow_harness import (
    flow_answered,
    flow_request,
    harness_with_open_flows,
    hear_of_another_upstream,
)

from egrethook.discovery.records import ItemKind
from egrethook.emulator.flow_records import upstream_record
from egrethook.emulator.flow_world import FlowWorld
from egrethook.emulator.packets import Packet
from egrethook.platform.packet_header import (
    ACK,
    FIN,
    INSTANCE_PREFIX,
    SYN,
    PacketHeader,
)
from egrethook.upstreams.upstream import flow_token


def settled(**options):
    harness = DispatcherHarness(**options)
    harness.now = -5.0
    harness.advance(0.0)
    return harness


def test_one_late_opening_reaches_fewer_than_three_other_upstreams():
    """The first copy queued at a starting VM; a later one has opened it elsewhere."""
    harness = settled(names=("a", "c", "d", "e"))
    harness.dispatcher.handle(packet(2000, SYN), 0.5)
    harness.advance(2.0)
    assert len(harness.sent()) < 3


def queue_one(names, port=2000):
    """Queue an opening while the only slot of each upstream is taken."""
    harness = settled(names=names, flow_limit=1)
    for number, _ in enumerate(names):
        harness.open(5000 + number, 0.0)
    harness.dispatcher.handle(packet(port, SYN), 0.05)
    assert harness.dispatcher.waiting == 1
    harness.sent()
    return harness


def free_all(harness, names, now):
    for number in range(len(names)):
        for name in names:
            echo = harness.upstream(name).token
            flow = harness.dispatcher._flows.get(packet_key(harness, 5000 + number))
            if flow and flow.tried[0].name == name:
                harness.dispatcher.handle(
                    packet(5000 + number, ACK | FIN, echo=echo, sequence=1), now
                )


def packet_key(harness, port):
    return PacketHeader().decode(packet(port, SYN)).flow


def openings_to(harness):
    names = [
        name
        for name, data in harness.port.to_upstreams
        if Packet.decode(data, INSTANCE_PREFIX.size).flags & SYN
    ]
    harness.port.to_upstreams.clear()
    return names


def test_queued_opening_whose_next_copy_went_elsewhere_shows_no_silence():
    """Queued 0.35 s, the copy at 0.2 s not seen here: it may be open elsewhere."""
    names = ("a", "c", "d")
    harness = queue_one(names)
    harness.advance(0.4)
    free_all(harness, names, 0.4)
    harness.advance(1.0)
    openings = openings_to(harness)
    silent = [name for name in names if harness.upstream(name).unanswered]
    assert (len(openings) < 3, silent) == (True, []), openings


def test_queued_opening_is_not_sent_after_a_packet_of_its_open_flow():
    """The packet's token tells that the flow is open at "b"."""
    names = ("a", "c", "d")
    harness = queue_one(names)
    harness.put_upstream("b", phase=upstream_record("b", "z").phase)
    harness.upstream("b").busy_flows += 1  # full for openings from here
    harness.advance(0.3)
    flow_request(harness, 2000, "b", 0.3)
    openings_to(harness)
    free_all(harness, names, 0.35)
    harness.advance(0.9)
    assert openings_to(harness) == []


def test_flow_with_unknown_token_is_not_judged_by_the_old_upstream_of_its_port():
    """The port is used again; "z" was just added and its record isn't here yet."""
    harness = harness_with_open_flows()
    harness.put(ItemKind.UPSTREAM, "a", None, now=0.1)
    harness.advance(4.0)
    for now in (4.0, 4.2, 4.6, 5.4):
        harness.advance(now)
        data = packet(2000, ACK, echo=777, ack=5000, sequence=900, data=bytes(10))
        harness.dispatcher.handle(data, now)
    assert reset_callers(harness) == []


def test_late_copy_is_not_refused_since_the_first_may_be_open_elsewhere():
    harness = settled(names=("a",), flow_limit=0)
    harness.dispatcher.handle(packet(2000, SYN, ack=2), 0.0)
    harness.advance(0.05)
    for port in range(2001, 2040):
        harness.dispatcher.handle(packet(port, SYN, ack=2), 0.05)
    assert reset_callers(harness) == []


def test_answer_counts_when_the_record_has_lapsed_and_returned():
    harness = harness_with_open_flows()
    flow_request(harness, 2000, "a", 3.0, sequence=11, ack=100)
    harness.put(ItemKind.UPSTREAM, "a", None, now=3.1)
    harness.put_upstream("a", now=3.2)
    flow_answered(harness, 2000, "a", 3.3, ack=200)
    assert harness.upstream("a").alive_at == 3.3


def test_flow_opened_anew_elsewhere_is_not_placed_again_by_a_late_copy():
    """The table keeps the sequence number of the port's earlier opening."""
    harness = settled()
    assert harness.open(2000, 0.0) == "a"
    flow_request(harness, 2000, "b", 1.0, ack=500)
    harness.sent()
    harness.dispatcher.handle(packet(2000, SYN, ack=1, sequence=4242), 1.05)
    harness.advance(1.5)
    assert harness.sent() in ([], ["b"])


def names_of_equal_tokens():
    rng = random.Random(1)
    names = {}
    while True:
        name = f"up-{rng.getrandbits(64):016x}"
        other = names.setdefault(crc32(f"{name}/1".encode()), name)
        if other != name:
            return sorted((name, other))


def test_open_flow_stays_at_its_upstream_when_a_newcomer_shares_its_token():
    lower, higher = names_of_equal_tokens()
    harness = settled(names=(higher,))
    assert harness.open(2000, 0.0) == higher
    harness.put_upstream(lower, now=1.0)
    flow_request(harness, 2000, higher, 1.1, ack=500)
    assert harness.sent() == [higher]


class FullUpstreamWorld(FlowWorld):
    """Some upstreams hold as many flows as they can: no answer to an opening."""

    full: frozenset[str] = frozenset()

    def _on_upstream_packet(self, upstream, data):
        is_opening = Packet.decode(data, INSTANCE_PREFIX.size).flags & SYN
        if not (is_opening and upstream.record.name in self.full):
            super()._on_upstream_packet(upstream, data)


@pytest.mark.parametrize("seed", range(10))
def test_flows_of_a_full_upstream_with_long_requests_are_not_reset(seed):
    domains = ("zone-a", "zone-b")
    world = FullUpstreamWorld(seed, domains * 3)
    for number in range(6):
        world.add_upstream(f"up-{number}", domains[number % 2], slots=40)
    for vm in world.vms:
        world.publish(vm)

    def service_time_s():
        if world.rng.random() < 0.1:
            return world.rng.uniform(0.6, 1.8)
        return world.rng.uniform(0.01, 0.05)

    world.draw_service_time_s = service_time_s
    for number in range(90):
        pause_s = partial(world.rng.expovariate, 0.5)
        keep = partial(world.call, number % 6, think_time_s=pause_s, deadline_s=3.0)
        world.after(number * 0.02, keep)
    for number in range(300):
        world.after(number * 0.03, partial(world.call, number % 6, retransmits=True))
    world.after(3.0, partial(setattr, world, "full", frozenset({"up-0"})))
    world.run(10.0)
    assert world.upstreams_of_reset_flows == []


class AstrayWorld(FlowWorld):
    """Notes where the packets of each open flow arrive."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.arrivals = {}
        self.opened_at = {}

    def _on_upstream_packet(self, upstream, data):
        received = Packet.decode(data, INSTANCE_PREFIX.size)
        call = self._calls_by_port.get(received.sport)
        if call is not None and call.token:
            own = flow_token(upstream.record) == call.token
            if own and not received.flags & SYN:
                self.opened_at.setdefault(received.sport, self.now)
            if received.sport in self.opened_at:
                self.arrivals.setdefault(received.sport, []).append((self.now, own))
        super()._on_upstream_packet(upstream, data)

    def ports_astray(self, span_s=2.0):
        """Return flows of which three packets reach others and none its own in 2 s."""
        astray = []
        for port, arrivals in self.arrivals.items():
            run, last_own = [], self.opened_at[port]
            for time, own in arrivals:
                if not own:
                    run.append(time)
                    continue
                if len(run) >= 3 and time - last_own >= span_s:
                    astray.append((port, last_own, run, time))
                run, last_own = [], time
        return astray


@pytest.mark.parametrize("seed", range(20))
def test_late_openings_of_a_starting_balancer_send_no_flow_astray(seed):
    """Its socket holds first copies; the second ones opened the flows elsewhere."""
    domains = ("zone-a", "zone-b")
    world = AstrayWorld(seed, domains * 3)
    for number in range(6):
        world.add_upstream(f"up-{number}", domains[number % 2], slots=30)
    for vm in world.vms:
        world.publish(vm)

    def pause_s():
        return world.rng.expovariate(0.4)

    for number in range(400):
        keep = partial(world.call, number % 6, think_time_s=pause_s, deadline_s=3.0)
        world.after(number * 0.02, keep)

    def restart(vm):
        world.pause(world.vms[vm], 0.8)
        world.after(0.15, partial(world.redirect, vm, (vm + 2) % 6, 1.0))

    for number in range(8):
        world.after(0.9 * (number + 1), partial(restart, number % 6))
    world.run(12.0)
    assert world.ports_astray() == []


def test_sign_of_life_after_a_record_was_removed_refutes_the_removal():
    """Its record is missing, e.g. its heartbeats are refused, but it answers flows."""
    harness = harness_with_open_flows()
    token = harness.upstream("a").token
    harness.put(ItemKind.UPSTREAM, "a", None, now=0.1)

    def send(port, now, ack, sequence, data=bytes(10)):
        harness.advance(now)
        copy = packet(port, ACK, echo=token, ack=ack, sequence=sequence, data=data)
        harness.dispatcher.handle(copy, now)

    send(2000, 9.5, 100, 11)
    send(2000, 9.7, 100, 11)
    send(2001, 9.9, 100, 11)
    send(2001, 10.0, 200, 21, b"")
    send(2000, 10.1, 100, 11)
    send(2000, 10.9, 100, 11)
    assert reset_callers(harness) == []


@pytest.mark.parametrize("seed", range(40))
def test_capacity_is_counted_once_and_does_not_leak(seed):
    """Random packets, removals and returns; probes `_follow_token`."""
    rng = random.Random(seed)
    names = ("a", "b", "c")
    harness = settled(names=names, flow_limit=2)
    upstreams, tokens = set(), {}
    for _ in range(1500):
        harness.advance(harness.now + rng.choice((0.0, 0.01, 0.05, 0.2, 0.7)))
        now = harness.now
        for name in names:
            if harness.upstream(name):
                upstreams.add(harness.upstream(name))
                tokens[name] = harness.upstream(name).token
        port, action = rng.randrange(2000, 2006), rng.random()
        if action < 0.3:
            copy = packet(port, SYN, ack=rng.randrange(3), sequence=rng.randrange(2))
        elif action < 0.9:
            flags = ACK | (FIN if rng.random() < 0.1 else 0)
            copy = packet(
                port,
                flags,
                ack=rng.randrange(1, 9) * 50,
                echo=tokens[rng.choice(names)],
                sequence=rng.randrange(9) * 10,
                data=bytes(rng.choice((0, 10))),
            )
        else:
            name = rng.choice(names)
            if harness.upstream(name) and rng.random() < 0.5:
                harness.put(ItemKind.UPSTREAM, name, None, now)
            else:
                harness.put_upstream(name, now)
            harness.view.upstreams.expire(now)
            continue
        harness.dispatcher.handle(copy, now)
        flows = harness.dispatcher._flows.values()
        for upstream in upstreams:
            own = [flow for flow in flows if flow._upstream is upstream]
            busy = [flow for flow in own if flow.is_busy]
            assert upstream.busy_flows == len(busy)
            assert upstream.idle_flows == len(own) - len(busy)
            assert list(upstream.requests) == list(upstream.requests.keys())
            assert set(upstream.requests) == set(busy)
    harness.advance(harness.now + 40.0)
    assert all(one.busy_flows == one.idle_flows == 0 for one in upstreams)
    assert not any(one.requests for one in upstreams)


def test_one_opening_whose_caller_moves_away_condemns_no_domain():
    """One unanswered opening is sent to three upstreams; they count as three."""
    harness = harness_with_open_flows()
    for name in ("c", "d"):
        record = upstream_record(name, "zone-a")
        harness.put(ItemKind.UPSTREAM, name, record)
    flow_request(harness, 2000, "a", 1.0, sequence=11, ack=100)
    harness.sent()
    harness.dispatcher.handle(packet(3000, SYN), 1.05)
    flow_request(harness, 2000, "a", 1.2, sequence=11, ack=100)
    harness.advance(1.3)
    assert sorted(openings_to(harness)) == ["a", "c", "d"]
    harness.put_upstream("b")
    hear_of_another_upstream(harness, 1.4)
    flow_request(harness, 2000, "a", 1.6, sequence=11, ack=100)
    flow_request(harness, 2000, "a", 2.4, sequence=11, ack=100)
    assert reset_callers(harness) == []
