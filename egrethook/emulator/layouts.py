"""The deployment layouts and the documents published for an emulated fleet."""

from __future__ import annotations

import itertools
import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from egrethook.exceptions import AddressInUseError

LOOPBACK = "127.0.0.1"

FLEET_SECRET = "emulated-fleet-secret"
"""Shared secret of the emulated fleet; not for production use."""

TOKEN_KEY = "000102030405060708090a0b0c0d0e0f"
"""Token signing key of the emulated fleet; not for production use."""

PRESETS: dict[str, dict[str, Any]] = {
    "ordinary": {},
    "peak": {"queue_per_slot": 16, "retry_share": 0.05},
    "maintenance": {"queue_per_slot": 8, "flow_fill": 0.9},
}


@dataclass(frozen=True)
class ServiceLayout:
    """A service, the name prefix of its endpoints and the domain of each endpoint."""

    name: str
    prefix: str
    domains: tuple[str, ...]


@dataclass(frozen=True)
class Layout:
    """A deployment layout.

    Parameters
    ----------
    region : str
        Region of all failure domains.
    balancers : dict of str to tuple of str
        Names of the entry VMs in each failure domain.
    services : tuple of ServiceLayout
        Services and their endpoints.
    inter_domain_delay_s : float
        One-way delay between failure domains, in seconds.
    """

    region: str
    balancers: dict[str, tuple[str, ...]]
    services: tuple[ServiceLayout, ...]
    inter_domain_delay_s: float

    @property
    def domains(self) -> list[str]:
        """The failure domains."""
        return list(self.balancers)


def _round_robin(domains: list[str], count: int) -> tuple[str, ...]:
    return tuple(domains[index % len(domains)] for index in range(count))


_CORNISA = ["sala-bilbao", "sala-santander", "sala-oviedo"]
_PNW_EAST = ["pnw-east-a", "pnw-east-b", "pnw-east-c", "pnw-east-d"]

LAYOUTS = {
    "cantabrico": Layout(
        region="cornisa",
        balancers={
            "sala-bilbao": ("bilbao-1", "bilbao-2"),
            "sala-santander": ("santander-1", "santander-2"),
            "sala-oviedo": ("oviedo-1", "oviedo-2"),
        },
        services=(
            ServiceLayout("cartera", "cartera", _round_robin(_CORNISA, 7)),
            ServiceLayout("extractos", "extractos", _round_robin(_CORNISA, 3)),
        ),
        inter_domain_delay_s=0.003,
    ),
    "cascadia": Layout(
        region="pnw-east",
        balancers={
            "pnw-east-a": ("pnw-a-1", "pnw-a-2"),
            "pnw-east-b": ("pnw-b-1", "pnw-b-2"),
            "pnw-east-c": ("pnw-c-1",),
            "pnw-east-d": ("pnw-d-1",),
        },
        services=(
            ServiceLayout("gauge-svc", "gauge", _round_robin(_PNW_EAST, 7)),
            ServiceLayout("chart-svc", "chart", _round_robin(_PNW_EAST, 4)),
        ),
        inter_domain_delay_s=0.005,
    ),
}


FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Port range of emulated deployments, below the kernel's ephemeral ports.

An outgoing connection could take an ephemeral port before the process that the port
was allocated for has started.
"""

_PORT_COUNT = LAST_PORT - FIRST_PORT
_PORT_OFFSETS = itertools.count(secrets.randbelow(_PORT_COUNT))
"""Starts at a random offset, so that concurrent deployments rarely collide."""


def free_address() -> str:
    """Return a loopback address that no TCP or UDP socket is bound to."""
    for _ in range(_PORT_COUNT):
        address = (LOOPBACK, FIRST_PORT + next(_PORT_OFFSETS) % _PORT_COUNT)
        if _is_free(address, socket.SOCK_STREAM) and _is_free(
            address, socket.SOCK_DGRAM
        ):
            return f"{address[0]}:{address[1]}"
    raise AddressInUseError(f"all ports from {FIRST_PORT} to {LAST_PORT} are in use")


def _is_free(address: tuple[str, int], kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(address)
        except OSError:
            return False
    return True


def _loopback_address(owner: str) -> str:
    return free_address()


@dataclass
class EmulatedFleet:
    """The addresses and published documents of an emulated deployment.

    Parameters
    ----------
    layout : Layout
        Deployment layout.
    allocate : callable
        Returns a new address for the VM, upstream or emulator of a given name.

    Attributes
    ----------
    platform, fabric, fabric_control : str
        Addresses of the platform, the fabric and the fabric's control interface.
    vms, endpoints : dict of str to dict
        Published documents of the entry VMs and the upstreams, by name.
    control_addresses : dict of str to str
        Address of the control interface of each upstream.
    service_by_endpoint : dict of str to str
        Service of each upstream.
    """

    layout: Layout
    allocate: Callable[[str], str] = _loopback_address
    platform: str = ""
    fabric: str = ""
    fabric_control: str = ""
    vms: dict[str, dict[str, Any]] = field(default_factory=dict)
    endpoints: dict[str, dict[str, Any]] = field(default_factory=dict)
    control_addresses: dict[str, str] = field(default_factory=dict)
    service_by_endpoint: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.platform = self.allocate("platform")
        self.fabric = self.allocate("fabric")
        self.fabric_control = self.allocate("fabric")
        for domain, names in self.layout.balancers.items():
            for name in names:
                self.add_vm(name, domain)
        for service in self.layout.services:
            for number, domain in enumerate(service.domains, 1):
                name = f"{service.prefix}-{number}"
                self.add_endpoint(service.name, name, domain)

    @property
    def platform_url(self) -> str:
        """The base URL of the platform."""
        return f"http://{self.platform}"

    def add_vm(self, name: str, domain: str) -> None:
        """Add an entry VM."""
        self.vms[name] = {
            "name": name,
            "failure_domain": domain,
            "callers": self.allocate(name),
            "peers": self.allocate(name),
            "admin": self.allocate(name),
        }

    def add_endpoint(self, service: str, name: str, domain: str) -> None:
        """Add an upstream to a service."""
        self.service_by_endpoint[name] = service
        self.control_addresses[name] = self.allocate(name)
        self.endpoints[name] = {
            "name": name,
            "address": self.allocate(name),
            "flow_address": self.allocate(name),
            "failure_domain": domain,
        }

    def index(self) -> dict[str, Any]:
        """Return the initial index, without a revision and the list of values."""
        return {
            "preset": "ordinary",
            "presets": PRESETS,
            "failure_domains": {
                domain: {"region": self.layout.region} for domain in self.layout.domains
            },
            "keys": {"1": TOKEN_KEY},
            "signing_key": 1,
        }

    def service_value(self, service: str) -> dict[str, Any]:
        """Return the published value of a service."""
        endpoints = [
            endpoint
            for name, endpoint in self.endpoints.items()
            if self.service_by_endpoint[name] == service
        ]
        return {
            "kind": "services",
            "name": service,
            "services": [{"name": service, "endpoints": endpoints}],
        }

    def vms_value(self, domain: str) -> dict[str, Any]:
        """Return the published value of the entry VMs of a failure domain."""
        vms = [vm for vm in self.vms.values() if vm["failure_domain"] == domain]
        return {"kind": "vms", "name": domain, "vms": vms}

    def values(self) -> list[dict[str, Any]]:
        """Return all published values except the index."""
        services = [self.service_value(s.name) for s in self.layout.services]
        return [*services, *(self.vms_value(d) for d in self.layout.domains)]

    def balancer_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of a balancer process."""
        vm = {key: value for key, value in self.vms[name].items() if key != "state"}
        return {
            **vm,
            "platform": self.platform_url,
            "fleet_secrets": [FLEET_SECRET],
            "leave_s": 1.0,
        }
