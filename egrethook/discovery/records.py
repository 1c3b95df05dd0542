"""Records published by a service registry, independent of their encoding.

Records are msgspec structs. They serve as data classes, but defining them adds
almost nothing to the start time of a process.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from msgspec import Struct


class ItemKind(enum.IntEnum):
    """Kind of a published item; `DOMAIN_OUT` takes a failure domain out of service."""

    ROUTES = 1
    UPSTREAM = 2
    DOMAIN_OUT = 3


class StateVersion(NamedTuple):
    """Names a state of the registry; ordered by era, then by revision.

    A registry that comes back from an older copy of its state begins a new era, in
    which it gives out revisions again. `era` is 0 for a registry without eras, and
    `revision` is 0 if nothing is held.
    """

    era: int
    revision: int


class PublishedItem(NamedTuple):
    """A published item, with the revision of its last change.

    `value` is None if the item was deleted.
    """

    kind: ItemKind
    name: str
    revision: int
    value: bytes | None


class Snapshot(NamedTuple):
    """All items, complete up to a revision of an era."""

    items: Sequence[PublishedItem]
    revision: int
    era: int = 0

    @property
    def version(self) -> StateVersion:
        """The state up to which every change is included."""
        return StateVersion(self.era, self.revision)


class Changes(NamedTuple):
    """The items that changed after one revision of an era, up to and including another.

    `replaces` is True if removals may be missing. The items then replace all that a
    reader holds of revisions after `after` and up to `revision`.
    """

    after: int
    revision: int
    items: Sequence[PublishedItem]
    replaces: bool = False
    era: int = 0

    @property
    def version(self) -> StateVersion:
        """The state up to which every change is included."""
        return StateVersion(self.era, self.revision)

    @property
    def is_whole_state(self) -> bool:
        """Whether the items are all that the registry held at the revision."""
        return self.replaces and not self.after


class UpstreamPhase(enum.Enum):
    """State that an upstream reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRecord(Struct, frozen=True):
    """Registration record of an upstream.

    Parameters
    ----------
    name : str
        The name of the upstream in the registry.
    instance : int
        Number that identifies this upstream in the header of packets sent to it.
    started_ms : int
        Unix time of its start, in milliseconds; distinguishes incarnations.
    cold_left_s : float
        Remaining warm-up time when the record was written, in seconds.
    writes : int
        How often this incarnation had written its record before; 0 if unknown.
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
    writes: int = 0


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: int


class Route(Struct, frozen=True):
    """Destination of new flows to one address and port.

    Parameters
    ----------
    address : tuple of int
        The IPv4 address as a number, and the port.
    priority : int
        Priority of the route; 0 is the highest.
    timeout_s : float
        Timeout of the requests in the flow, in seconds.
    objective_s : float
        Latency objective of the requests in the flow, in seconds.
    idempotent : bool
        Whether the requests in the flow may be sent again after they may have run.
    """

    name: str
    address: tuple[int, int]
    services: tuple[WeightedService, ...]
    priority: int
    timeout_s: float
    objective_s: float
    idempotent: bool = False


class ColdLimit(Struct, frozen=True):
    """Rate limit of the upstreams of a service during warm-up.

    Parameters
    ----------
    duration_s : float
        Warm-up time after the start of an upstream, in seconds.
    rate_per_s : float
        Maximum requests per second during warm-up; 0 means no limit.
    """

    duration_s: float
    rate_per_s: float


class RouteTable(Struct, frozen=True):
    """One version of the route configuration published by the operators."""

    version: int
    routes: tuple[Route, ...]
    cold_limits: dict[str, ColdLimit]


class RecordDecoder(Protocol):
    """Decodes the values of published items.

    Each method raises `DocumentError` for an invalid value.
    """

    def upstream(self, name: str, value: bytes) -> UpstreamRecord:
        """Decode the record of an upstream."""
        ...

    def routes(self, value: bytes) -> RouteTable:
        """Decode a route configuration."""
        ...


class RecordSource(Protocol):
    """Client of a service registry.

    Raises
    ------
    SourceUnavailableError
        If a call is refused, fails or times out.
    HistoryLostError
        If the registry no longer holds the changes after a revision.
    """

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        ...

    async def snapshot(self) -> Snapshot:
        """Return all items."""
        ...

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting at most `wait_s` for any."""
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...
