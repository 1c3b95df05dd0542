"""Counters and gauges of one balancer, for Prometheus."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest


class Metrics:
    """The metrics of one process in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.packets = Counter(
            "egrethook_packets",
            "Packets from callers by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.dropped = Counter(
            "egrethook_dropped",
            "Packets dropped by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.resets = Counter(
            "egrethook_resets",
            "Flows given up by reason.",
            ["code"],
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "egrethook_peer_bytes",
            "Bytes sent to other balancers by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.requests = Gauge(
            "egrethook_requests",
            "Requests of this executor by what became of them.",
            ["state"],
            registry=self.registry,
        )
        self.revision = Gauge(
            "egrethook_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )
        self.refused_values = Gauge(
            "egrethook_refused_values",
            "Published values that are not valid; the last good ones stay.",
            registry=self.registry,
        )
        self.conflicts = Gauge(
            "egrethook_address_conflicts",
            "Endpoints left out because another one holds their address.",
            registry=self.registry,
        )
        self.live_members = Gauge(
            "egrethook_live_members",
            "Other balancers that are expected to answer.",
            registry=self.registry,
        )
        self.pauses = Counter(
            "egrethook_pauses",
            "Times that this process was stopped for a while.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the text format."""
        return generate_latest(self.registry)
