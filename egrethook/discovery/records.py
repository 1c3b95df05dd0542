"""What a service registry publishes, free of its encoding.

Records are msgspec structs: data classes whose definition costs a starting
process next to nothing.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from msgspec import Struct


class ItemKind(enum.IntEnum):
    """What a published item describes."""

    ROUTES = 1
    UPSTREAM = 2
    DOMAIN_OUT = 3


class PublishedItem(NamedTuple):
    """One item as published, with the revision of its last change.

    `value` is None once the item has been deleted.
    """

    kind: ItemKind
    name: str
    revision: int
    value: bytes | None


class Snapshot(NamedTuple):
    """All items, complete up to a revision."""

    items: Sequence[PublishedItem]
    revision: int


class Changes(NamedTuple):
    """The items that changed after one revision, up to another."""

    after: int
    revision: int
    items: Sequence[PublishedItem]


class UpstreamPhase(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRecord(Struct, frozen=True):
    """An upstream as it registers itself.

    Parameters
    ----------
    name : str
        The registry's name of the upstream.
    instance : int
        The number by which packets address this upstream and no other.
    started_ms : int
        The Unix time of its start in milliseconds; tells incarnations apart.
    cold_left_s : float
        How much longer it is cold, in seconds, when the record was written.
    """

    name: str
    instance: int
    service: str
    address: tuple[str, int]
    failure_domain: str
    phase: UpstreamPhase
    slots: int
    started_ms: int
    cold_left_s: float


class WeightedService(NamedTuple):
    """A service and its share of a route's new flows."""

    service: str
    weight: int


class Route(Struct, frozen=True):
    """Where new flows to one address and port go.

    Parameters
    ----------
    address : tuple of int
        The IPv4 address as a number, and the port.
    priority : int
        0 is the highest.
    timeout_s : float
        How long the requests inside may take, in seconds.
    objective_s : float
        The latency objective of the requests inside, in seconds.
    """

    name: str
    address: tuple[int, int]
    services: tuple[WeightedService, ...]
    priority: int
    timeout_s: float
    objective_s: float


class ColdLimit(Struct, frozen=True):
    """What a cold upstream of a service bears.

    Parameters
    ----------
    duration_s : float
        How long an upstream is cold after its start, in seconds.
    rate_per_s : float
        Requests a second that it bears meanwhile; 0 declares no limit.
    """

    duration_s: float
    rate_per_s: float


class RouteTable(Struct, frozen=True):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    cold_limits: dict[str, ColdLimit]


class RecordDecoder(Protocol):
    """Decodes the values of published items.

    Each method raises `DocumentError` for a value that is not valid.
    """

    def upstream(self, name: str, value: bytes) -> UpstreamRecord:
        """Decode the record of an upstream."""
        ...

    def routes(self, value: bytes) -> RouteTable:
        """Decode the operators' configuration."""
        ...


class RecordSource(Protocol):
    """Reads a registry.

    Raises
    ------
    SourceUnavailableError
        If a call is refused, fails or is not answered in time.
    HistoryLostError
        If changes since a revision are no longer known.
    """

    @property
    def calls(self) -> int:
        """Calls made so far."""
        ...

    async def snapshot(self) -> Snapshot:
        """Read all items."""
        ...

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, at most so many seconds."""
        ...

    async def aclose(self) -> None:
        """Close the connections."""
        ...
