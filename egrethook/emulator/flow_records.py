"""Records, configurations and stand-ins for dispatchers in virtual time."""

from __future__ import annotations

from zlib import crc32

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
SLOTS = 2
CALLER_HOST = 0x64400007


def caller_packet(
    port: int, flags: int, target: IPv4Endpoint = TARGET, **fields: object
) -> bytes:
    """Return a packet from a caller's port; fields are those of `Packet`."""
    packet = Packet(port, target[1], CALLER_HOST, target[0], flags)
    return packet._replace(**fields).encode()  # type: ignore[arg-type]


class NoColdLimit:
    """Lets cold upstreams have what warm ones have."""

    def admits(self, upstream: Upstream, now: float) -> bool:
        """Return True."""
        return True

    def note_sent(self, upstream: Upstream, now: float) -> None:
        """Count nothing."""


class FixedFlowLimit:
    """Lets each upstream have the same number of busy flows, however it answers.

    Parameters
    ----------
    most : int
        Busy flows of one upstream through one balancer.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit

    def admits(self, upstream: Upstream) -> bool:
        """Return whether one more flow may be busy."""
        return upstream.busy_flows < self._limit

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float
    ) -> None:
        """Learn nothing."""


class InMemoryDecoder:
    """Takes records that were put into a dictionary instead of encoding them."""

    def __init__(self) -> None:
        self._records: dict[bytes, UpstreamRecord | RouteTable] = {}

    def encode(self, record: UpstreamRecord | RouteTable) -> bytes:
        """Return a value that stands for a record."""
        value = str(len(self._records)).encode()
        self._records[value] = record
        return value

    def upstream(self, name: str, value: bytes) -> UpstreamRecord:
        """Return the record of an upstream."""
        record = self._records.get(value)
        if not isinstance(record, UpstreamRecord):
            raise DocumentError(f"{name}: not a record")
        return record

    def routes(self, value: bytes) -> RouteTable:
        """Return a configuration."""
        table = self._records.get(value)
        if not isinstance(table, RouteTable):
            raise DocumentError("not a configuration")
        return table


def upstream_record(name: str, domain: str, **changes: object) -> UpstreamRecord:
    """Return the record of an upstream with ordinary values."""
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


def route_table(version: int = 1, objective_s: float = 0.15) -> RouteTable:
    """Return a configuration with one route to one service."""
    route = Route(
        name="route",
        address=TARGET,
        services=(WeightedService(SERVICE, 1),),
        priority=1,
        timeout_s=2.0,
        objective_s=objective_s,
    )
    return RouteTable(version, (route,), {})
