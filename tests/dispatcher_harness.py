"""A dispatcher without a network, shared by the tests of openings and of open flows."""

from __future__ import annotations

from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.discovery.view import ForwardingView
from egrethook.emulator.flow_records import (
    TARGET,
    FixedFlowLimit,
    InMemoryDecoder,
    NoColdLimit,
    caller_packet,
    route_table,
    upstream_record,
)
from egrethook.platform.packet_header import ACK, SYN, PacketHeader
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.selection import LowestCostSelector


class RecordingPort:
    def __init__(self):
        self.to_upstreams = []
        self.to_callers = []

    def to_upstream(self, address, packet):
        self.to_upstreams.append((address[0], packet))

    def to_caller(self, caller, packet):
        self.to_callers.append((caller, packet))


def packet(port, flags, ack=0, echo=0, target=TARGET, **fields):
    return caller_packet(
        port, flags, target, acknowledged=ack, echo=echo, checksum=b"sum!", **fields
    )


class DispatcherHarness:
    """A dispatcher with upstreams `a`, in its own failure domain, and `b`."""

    def __init__(self, names=("a", "b"), flow_limit=3, **options):
        self.decoder = InMemoryDecoder()
        self.view = ForwardingView(self.decoder, flow_life_s=60.0)
        self.port = RecordingPort()
        self.limit = limit = FixedFlowLimit(flow_limit)
        self.health = PassiveHealth("vm")
        self.selector = LowestCostSelector(
            "zone-a", limit, NoColdLimit(), LeastFlowsCost("zone-a")
        )
        self.dispatcher = FlowDispatcher(
            self.view,
            PacketHeader(),
            self.port,
            self.selector,
            limit,
            self.health,
            **options,
        )
        self.revision = 0
        self.put(ItemKind.ROUTES, "", route_table())
        for name in names:
            self.put_upstream(name)
        self.dispatcher.view_is_fresh = True
        self.now = 0.0

    def advance(self, until):
        """Tick as often as a running process does."""
        while self.now + 0.1 < until:
            self.now += 0.1
            self.dispatcher.tick(self.now)
        self.now = until
        self.dispatcher.tick(until)

    def put(self, kind, name, record, now=0.0):
        self.revision += 1
        value = None if record is None else self.decoder.encode(record)
        self.view.update([PublishedItem(kind, name, self.revision, value)], now)

    def put_upstream(self, name, now=0.0, **changes):
        record = upstream_record(name, f"zone-{name}", **changes)
        self.put(ItemKind.UPSTREAM, name, record, now)

    def sent(self):
        names = [name for name, _ in self.port.to_upstreams]
        self.port.to_upstreams.clear()
        return names

    def upstream(self, name):
        return self.view.upstreams.get(name)

    def open(self, port, now):
        """Open a flow and return the name of its upstream."""
        self.dispatcher.handle(packet(port, SYN), now)
        (name,) = self.sent()
        echo = self.upstream(name).token
        self.dispatcher.handle(packet(port, ACK, echo=echo), now + 0.01)
        self.sent()
        return name


def reset_callers(harness):
    """Return the ports of the callers that were reset."""
    return [caller[1] for caller, _ in harness.port.to_callers]
