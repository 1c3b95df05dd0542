"""Flow limits after a silence of an upstream that has ended, without a network.

They guard against a balancer that keeps refusing the openings of a service because its
pauses between flows follow service times that were measured during the silence.
"""

from __future__ import annotations

import pytest
from dispatcher_harness import DispatcherHarness, packet

from egrethook.callers.forwarded_flow import OPENING_TIMEOUT_S
from egrethook.discovery.records import ItemKind
from egrethook.emulator.flow_records import (
    NoColdLimit,
    route_table,
    upstream_record,
)
from egrethook.emulator.packets import Packet
from egrethook.forwarding.data_path import build_data_path
from egrethook.platform.packet_header import (
    ACK,
    FIN,
    INSTANCE_PREFIX,
    SYN,
    PacketHeader,
)
from egrethook.upstreams.flow_limit import MAX_PAUSE_S, AimdFlowLimit
from egrethook.upstreams.upstream import Upstream

SERVICE_S = 0.02
"""Service time before and after the silence, and the time step, in seconds."""

SILENCE_S = 2.5
"""Time from the requests that meet the silence to their answers, in seconds."""

RETRANSMISSION_STEPS = 10
"""Time steps between two copies of an unanswered request."""

OPENING_STEPS = 5
"""Time steps between two openings after the silence."""

RECOVERY_S = 6.0
"""Time after the silence from which openings must be served, in seconds.

Half of what a soak allows after its last fault.
"""


class AdaptiveHarness(DispatcherHarness):
    """A dispatcher whose flow limits adapt, with one upstream `a` and its callers."""

    def __init__(self, objective_s):
        super().__init__(("a",))
        self.put(ItemKind.ROUTES, "", route_table(version=2, objective_s=objective_s))
        self.dispatcher = build_data_path(
            "vm",
            "zone-a",
            (),
            self.view,
            PacketHeader(),
            self.port,
            AimdFlowLimit(2),
            NoColdLimit(),
        ).dispatcher
        self.dispatcher.view_is_fresh = True
        self.served = set()
        self._in_service = []

    def send(self, port, flags, sequence=0, ack=0, data=b""):
        token = self.upstream("a").token
        copy = packet(port, flags, ack, token, sequence=sequence, data=data)
        self.dispatcher.handle(copy, self.now)

    def step(self, closing=FIN):
        """Answer the requests in service, and begin those of the openings sent."""
        self.advance(self.now + SERVICE_S)
        for port in self._in_service:
            self.send(port, closing | ACK, 8, 900)
        sent = [
            Packet.decode(one, INSTANCE_PREFIX.size)
            for _, one in self.port.to_upstreams
        ]
        self.port.to_upstreams.clear()
        self._in_service = [one.sport for one in sent if one.flags & SYN]
        for port in self._in_service:
            self.send(port, ACK, 1, 500, b"request")
        self.served.update(self._in_service)

    def pass_silence(self, flows):
        """Let requests on open flows wait for the upstream, then close the flows."""
        ports = range(2000, 2000 + flows)
        for port in ports:
            self.dispatcher.handle(packet(port, SYN), self.now)
            for _ in range(3):
                self.step(closing=0)
        for number in range(round(SILENCE_S / SERVICE_S)):
            if number % RETRANSMISSION_STEPS == 0:
                for port in ports:
                    self.send(port, ACK, 8, 900, b"request")
            self.step()
        for port in ports:
            self.send(port, FIN | ACK, 15, 1400)

    def unserved_after(self, recovery_s, duration_s):
        """Return how many openings are sent to no upstream, and how many begin.

        All begin after the recovery time; each one sent is answered promptly.
        """
        ended_at = self.now
        ports = []
        for number in range(round(duration_s / SERVICE_S)):
            if number % OPENING_STEPS == 0:
                port = 3000 + number
                if self.now >= ended_at + recovery_s:
                    ports.append(port)
                self.dispatcher.handle(packet(port, SYN), self.now)
            self.step()
        return sum(port not in self.served for port in ports), len(ports)


@pytest.mark.parametrize("objective_s", [0.15, 0.5, 1.0])
@pytest.mark.parametrize("flows", [1, 4, 8, 12, 16, 20, 24])
def test_openings_are_served_soon_after_a_silence(flows, objective_s):
    """Before, idle flows are open; all of them send a request into the silence."""
    harness = AdaptiveHarness(objective_s)
    harness.pass_silence(flows)
    assert harness.upstream("a").busy_flows == 0
    unserved, begun = harness.unserved_after(RECOVERY_S, duration_s=20.0)
    assert begun > 100
    assert unserved == 0


def silenced_upstream(flow_limit):
    """Return an upstream that last answered at 0 s, on average after 3 s."""
    upstream = Upstream(upstream_record("a", "zone"), 0.0)
    upstream.flow_limit = flow_limit
    upstream.service_time_s = 3.0
    upstream.last_served_at = 0.0
    return upstream


@pytest.mark.parametrize("on_time", [True, False])
@pytest.mark.parametrize("flow_limit", [0.1, 0.5, 0.99])
def test_pause_below_a_limit_of_one_is_bounded(flow_limit, on_time):
    limit, upstream = AimdFlowLimit(2), silenced_upstream(flow_limit)
    assert not limit.admits(upstream, 0.99 * MAX_PAUSE_S, on_time)
    assert limit.admits(upstream, MAX_PAUSE_S, on_time)


def test_callers_of_new_openings_outlast_a_pause():
    assert MAX_PAUSE_S <= OPENING_TIMEOUT_S


@pytest.mark.parametrize("flow_limit", [1.0, 2.0])
def test_pause_of_late_openings_at_a_limit_of_one_or_more_is_not_bounded(flow_limit):
    """Openings that are on time need no pause there, and adjust the limit."""
    limit, upstream = AimdFlowLimit(2), silenced_upstream(flow_limit)
    pause_s = 3.0 / limit.limit_of(upstream, on_time=False)
    assert pause_s > MAX_PAUSE_S
    assert limit.admits(upstream, 0.0, on_time=True)
    assert not limit.admits(upstream, 0.99 * pause_s, on_time=False)
    assert limit.admits(upstream, pause_s, on_time=False)
