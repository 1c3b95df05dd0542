"""Records, packets and simplified components for running a dispatcher in isolation."""

from __future__ import annotations

from zlib import crc32

from msgspec import structs

from egrethook.callers.segments import IPv4Endpoint
from egrethook.discovery.records import (
    Route,
    RouteTable,
    UpstreamPhase,
    UpstreamRecord,
    WeightedService,
)
from egrethook.emulator.packets import Packet
from egrethook.exceptions import DocumentError
from egrethook.upstreams.upstream import Upstream

SERVICE = "readings"

TARGET: IPv4Endpoint = (0xC6120001, 8443)
"""Address of the route: 198.18.0.1, port 8443."""

SLOTS = 2
"""Default number of slots of an upstream."""

CALLER_HOST = 0x64400007
"""IPv4 address of the first caller: 100.64.0.7."""


def caller_packet(
    port: int, flags: int, target: IPv4Endpoint = TARGET, **fields: object
) -> bytes:
    """Return an encoded packet from a caller; `fields` override those of `Packet`."""
    packet = Packet(port, target[1], CALLER_HOST, target[0], flags)
    return packet._replace(**fields).encode()  # type: ignore[arg-type]


class NoColdLimit:
    """Does not limit openings to cold upstreams."""

    def admits(self, upstream: Upstream, now: float) -> bool:
        """Return True."""
        return True

    would_admit = admits

    def note_sent(self, upstream: Upstream, now: float) -> None:
        """Do nothing."""


class FixedFlowLimit:
    """Limits each upstream to a constant number of busy flows.

    Parameters
    ----------
    limit : int
        Maximum busy flows of one upstream through one balancer.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit

    def admits(self, upstream: Upstream, now: float, on_time: bool) -> bool:
        """Return whether one more flow may become busy."""
        return upstream.busy_flows < self._limit

    def limit_of(self, upstream: Upstream, on_time: bool) -> float:
        """Return the constant limit."""
        return self._limit

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float, now: float
    ) -> None:
        """Do nothing; the limit is constant."""


class InMemoryDecoder:
    """Keeps records in memory and uses their index as the encoded value."""

    def __init__(self) -> None:
        self._records: dict[bytes, UpstreamRecord | RouteTable] = {}

    def encode(self, record: UpstreamRecord | RouteTable) -> bytes:
        """Store a record and return the value that decodes to it."""
        value = str(len(self._records)).encode()
        self._records[value] = record
        return value

    def upstream(self, name: str, value: bytes) -> UpstreamRecord:
        """Return the record of an upstream."""
        record = self._records.get(value)
        if not isinstance(record, UpstreamRecord):
            raise DocumentError(f"upstream {name}: value is not an upstream record")
        return record

    def routes(self, value: bytes) -> RouteTable:
        """Return the route table."""
        table = self._records.get(value)
        if not isinstance(table, RouteTable):
            raise DocumentError("value is not a route table")
        return table


def upstream_record(name: str, domain: str, **changes: object) -> UpstreamRecord:
    """Return an upstream record with default values, replaced by `changes`."""
    number = crc32(name.encode())
    values: dict[str, object] = {
        "name": name,
        "instance": number,
        "service": SERVICE,
        "address": (name, 80),
        "failure_domain": domain,
        "phase": UpstreamPhase.READY,
        "slots": SLOTS,
        "started_ms": 1,
        "cold_left_s": 0.0,
    }
    return UpstreamRecord(**{**values, **changes})  # type: ignore[arg-type]


def add_route(table: RouteTable, name: str, **changes: object) -> RouteTable:
    """Return a table with one more route, a copy of the first one with `changes`.

    Its port is that of the last route plus one.
    """
    host, port = table.routes[-1].address
    values: dict[str, object] = {"name": name, "address": (host, port + 1)}
    route = structs.replace(table.routes[0], **{**values, **changes})
    return RouteTable(table.version, (*table.routes, route), table.cold_limits)


def route_table(
    version: int = 1, objective_s: float = 0.15, idempotent: bool = True
) -> RouteTable:
    """Return a route table with one route to one service."""
    route = Route(
        name="route",
        address=TARGET,
        services=(WeightedService(SERVICE, 1),),
        priority=1,
        timeout_s=2.0,
        objective_s=objective_s,
        idempotent=idempotent,
    )
    return RouteTable(version, (route,), {})
