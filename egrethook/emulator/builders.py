"""Builds small configurations and clocks for schedules, benchmarks and tests."""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType

from egrethook.addresses import Address
from egrethook.callers.tokens import KeyRing
from egrethook.published.configuration import (
    Configuration,
    Domain,
    Endpoint,
    Limits,
    Vm,
)
from egrethook.types import UpstreamState, VmState

SERVICE = "orders"
DOMAIN = "domain-1"
NODES = ("node-1", "node-2", "node-3")
UPSTREAMS = ("upstream-1", "upstream-2", "upstream-3")


class ManualClock:
    """A clock that only `advance` moves."""

    def __init__(self, now: float = 1000.0) -> None:
        self._now = now

    def now(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self._now += seconds


def make_vm(name: str, number: int, domain: str = DOMAIN) -> Vm:
    """Return an entry VM with default values."""
    host = f"10.0.0.{number}"
    return Vm(
        name=name,
        domain=domain,
        callers=Address(host, 1),
        peers=Address(host, 2),
        admin=Address(host, 3),
        state=VmState.LIVE,
        weight=1.0,
    )


def make_endpoint(name: str, number: int, domain: str = DOMAIN) -> Endpoint:
    """Return an upstream with default values."""
    return Endpoint(
        name=name,
        service=SERVICE,
        address=Address("10.1.0.1", 100 + number),
        flow_address=Address("10.1.0.1", 200 + number),
        domain=domain,
        incarnation=1,
        state=UpstreamState.ACTIVE,
        slots=2,
        connections=2000,
        cold_slots=1,
        cold_connections=100,
        cold_answers=20,
    )


def make_configuration(
    nodes: tuple[str, ...] = NODES, upstreams: tuple[str, ...] = UPSTREAMS
) -> Configuration:
    """Return a configuration with one service in one failure domain."""
    endpoints = {n: make_endpoint(n, i) for i, n in enumerate(upstreams)}
    return Configuration(
        revision=1,
        complete_revision=1,
        preset="ordinary",
        limits=Limits(),
        domains=MappingProxyType({DOMAIN: Domain(DOMAIN, "region-1", True)}),
        keys=KeyRing({1: b"0123456789abcdef"}, 1),
        services=MappingProxyType({SERVICE: MappingProxyType(endpoints)}),
        vms=MappingProxyType({n: make_vm(n, i) for i, n in enumerate(nodes)}),
    )


@dataclass
class FixedConfigurationSource:
    """A configuration source whose configuration does not change by itself."""

    configuration: Configuration | None
