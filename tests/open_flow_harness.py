"""A dispatcher with two open flows at one upstream, without a network."""

from __future__ import annotations

from dispatcher_harness import DispatcherHarness, packet

from egrethook.discovery.records import ItemKind
from egrethook.emulator.flow_records import route_table
from egrethook.platform.packet_header import ACK, SYN


def flow_request(harness, port, name, now, sequence=1, ack=1):
    """Send a request, or a retransmission of it, on an open flow."""
    harness.advance(now)
    echo = harness.upstream(name).token
    data = packet(port, ACK, echo=echo, ack=ack, sequence=sequence, data=bytes(10))
    harness.dispatcher.handle(data, now)


def flow_answered(harness, port, name, now, ack):
    harness.advance(now)
    echo = harness.upstream(name).token
    harness.dispatcher.handle(packet(port, ACK, echo=echo, ack=ack, sequence=11), now)


def leave_openings_unanswered(harness, now):
    """Two openings to "a" get no answer, which ejects it."""
    harness.advance(now)
    for port in (3000, 3001):
        harness.dispatcher.handle(packet(port, SYN), now)
    harness.advance(now + 0.1)
    assert harness.upstream("a").ejected
    harness.sent()


def hear_of_another_upstream(harness, now):
    """A request at "b" is answered, so that callers' packets still come here."""
    flow_request(harness, 4000, "b", now - 0.01)
    flow_answered(harness, 4000, "b", now, ack=100)


def cut_off(harness, domain, now, openings=3):
    """Gossip of a failure domain has stopped; openings of callers go unanswered."""
    harness.health.set_gossip_age(lambda one: 1.5 if one == domain else 0.1)
    for number in range(openings):
        sent_at = now + number * 0.01
        harness.health.note_unanswered_opening(
            harness.upstream("a"), sent_at, sent_at + 0.05, caller=number
        )


def harness_with_open_flows(idempotent=True):
    """Flows 2000 and 2001 are open at "a"; both have had their first answer."""
    harness = DispatcherHarness(names=("a",))
    harness.now = -5.0
    harness.advance(0.0)
    table = route_table(version=2, idempotent=idempotent)
    harness.put(ItemKind.ROUTES, "", table)
    for port in (2000, 2001):
        flow_request(harness, port, "a", 0.02)
        flow_answered(harness, port, "a", 0.05, ack=100)
        harness.sent()
    return harness
