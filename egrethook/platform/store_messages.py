"""Response bodies of the platform's key-value store, and the values in it.

Field names are the platform's; doc comments say what misleading ones hold. Fields
that the load balancer does not use are not declared here, and are ignored.
"""

from __future__ import annotations

from binascii import Error as Base64Error
from binascii import a2b_base64
from typing import Annotated

import msgspec

from egrethook.addresses import Address
from egrethook.decoding import decode_json
from egrethook.discovery.records import (
    ColdLimit,
    ItemKind,
    PublishedItem,
    Route,
    RouteTable,
    UpstreamPhase,
    UpstreamRecord,
    WeightedService,
)
from egrethook.exceptions import DocumentError

CONFIG_KEY = "op/config"
"""Key of the operators' configuration."""

UPSTREAM_PREFIX = "servers/"
"""Prefix of the keys of upstream records."""

EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys that each take one failure domain out of service."""

RECORD_MAX_BYTES = 8_192
"""Maximum size of an upstream's record, in bytes; a longer value is none.

Its bytes are not kept: with up to a megabyte each they would not fit a gossip message.
"""

Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""A count that fits the 64 signed bits of gossip messages."""

Slots = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
"""Number of requests that an upstream runs at once."""

WarmupLeftMs = Annotated[float, msgspec.Meta(le=86_400_000)]
"""Rest of a warm-up, in milliseconds; at most a day, and below 0 if it is over."""

_IDEMPOTENT_TYPES = frozenset({"safe", "download"})
"""Types of routes whose requests are idempotent."""

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")

_PHASES = {"ready": UpstreamPhase.READY, "draining": UpstreamPhase.DRAINING}


class Event(msgspec.Struct, rename="camel"):
    """An item of the store, or the deletion of one; `value` is base64."""

    key: str
    revision: Number
    value: str | None = None
    deleted: bool = False


class RangeBody(msgspec.Struct, rename="camel"):
    """Response to ``GET /kv-range``: one page of the items.

    Items may change between two pages, so the pages together are no snapshot of a
    single revision.
    """

    items: list[Event]
    current_rev: Number
    has_more: bool = False


class WatchBody(msgspec.Struct, rename="camel"):
    """Response to ``GET /kv-watch``."""

    events: list[Event]
    current_rev: Number


class _Server(msgspec.Struct, rename="camel"):
    """The record by which an upstream registers itself.

    `concurrency` is its number of slots, `zone` its failure domain, `born` the
    Unix time of its process start in milliseconds, and `warmup_left_ms` how much
    longer it was cold when it wrote the record. `sequence` counts the writes of this
    incarnation. `version`, of its software, is required but not used: a record without
    it comes from another writer.
    """

    service: str
    address: str
    zone: str
    version: str
    state: str
    concurrency: Slots
    warmup_left_ms: WarmupLeftMs
    sequence: Number
    born: Number = 0


class _Split(msgspec.Struct):
    """A service and its relative weight among the new flows of a route."""

    service: str
    weight: int


class _RouteEntry(msgspec.Struct, rename="camel"):
    """A route for new flows.

    Despite their names, `host` is an IPv4 address and `prefix` a port between
    slashes, such as ``/443/``. `type` is the kind of the requests, see
    `_IDEMPOTENT_TYPES`. `priority` 0 is the highest; `slo_ms` is the latency
    objective of requests. A route has either a `service` or a `split`.
    """

    name: str
    host: str
    prefix: str
    type: str = ""
    priority: int = 2
    timeout_ms: float = 0.0
    slo_ms: float = 0.0
    service: str | None = None
    split: list[_Split] = []


class _Service(msgspec.Struct, rename="camel"):
    """Limits of a service's cold upstreams; see `ColdLimit`."""

    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Config(msgspec.Struct, rename="camel"):
    """The operators' configuration, stored under `CONFIG_KEY`."""

    version: Number
    routes: list[_RouteEntry]
    services: list[_Service]


_SERVER_DECODER = msgspec.json.Decoder(_Server)
_CONFIG_DECODER = msgspec.json.Decoder(_Config)


def published_item(event: Event) -> PublishedItem | None:
    """Return an event as an item, or None if its key is not used here."""
    if event.key == CONFIG_KEY:
        kind, name = ItemKind.ROUTES, ""
    elif event.key.startswith(UPSTREAM_PREFIX):
        kind, name = ItemKind.UPSTREAM, event.key[len(UPSTREAM_PREFIX) :]
    elif event.key.startswith(EVACUATION_PREFIX):
        kind, name = ItemKind.DOMAIN_OUT, event.key[len(EVACUATION_PREFIX) :]
    else:
        return None
    value = _value(event)
    if kind is not ItemKind.ROUTES and value and len(value) > RECORD_MAX_BYTES:
        value = b""
    return PublishedItem(kind, name, event.revision, value)


def _value(event: Event) -> bytes | None:
    if event.deleted or event.value is None:
        return None
    try:
        return a2b_base64(event.value)
    except (Base64Error, ValueError):
        # If base64 decoding fails, the value is passed on as plain text.
        return event.value.encode()


class StoreDecoder:
    """Decodes the values in the store; see `RecordDecoder`."""

    def upstream(self, name: str, value: bytes) -> UpstreamRecord:
        """Decode the record of an upstream.

        The instance number is the hexadecimal number after the last hyphen of the
        name; other characters in it are ignored, and only its lowest 64 bits count.

        Raises
        ------
        DocumentError
            If a field is missing or invalid, or the name has no instance number.
        """
        entry: _Server = decode_json(_SERVER_DECODER, value)
        digits = "".join(
            char for char in name.rpartition("-")[2] if char in _HEX_DIGITS
        )
        phase = _PHASES.get(entry.state)
        if phase is None or not digits:
            raise DocumentError(
                f"upstream {name}: expected state ready or draining and a hexadecimal"
                f" id; got {entry.state[:80]!r}"
            )
        try:
            address = Address.parse_ipv4(entry.address)
        except ValueError as error:
            raise DocumentError(f"upstream {name}: {error}") from None
        return UpstreamRecord(
            name=name,
            instance=int(digits, 16) & 0xFFFF_FFFF_FFFF_FFFF,
            service=entry.service,
            address=address,
            failure_domain=entry.zone,
            phase=phase,
            slots=entry.concurrency,
            started_ms=entry.born,
            cold_left_s=entry.warmup_left_ms / 1000.0,
            writes=entry.sequence,
        )

    def routes(self, value: bytes) -> RouteTable:
        """Decode the operators' configuration.

        Raises
        ------
        DocumentError
            If the configuration is not valid.
        """
        config: _Config = decode_json(_CONFIG_DECODER, value)
        return RouteTable(
            version=config.version,
            routes=tuple(_route(entry) for entry in config.routes),
            cold_limits={
                service.name: ColdLimit(service.warmup_s, service.warmup_per_s)
                for service in config.services
            },
        )


def _route(entry: _RouteEntry) -> Route:
    shares = [WeightedService(part.service, part.weight) for part in entry.split]
    if entry.service is not None:
        shares = [WeightedService(entry.service, 1)]
    try:
        octets = [int(part) for part in entry.host.split(".")]
        address = int.from_bytes(bytes(octets), "big"), int(entry.prefix.strip("/"))
    except ValueError:
        raise DocumentError(
            f"route {entry.name}: expected an IPv4 address and /port/,"
            f" got {entry.host!r} and {entry.prefix!r}"
        ) from None
    if not shares:
        raise DocumentError(f"route {entry.name} has neither a service nor a split")
    return Route(
        name=entry.name,
        address=address,
        services=tuple(shares),
        priority=entry.priority,
        timeout_s=entry.timeout_ms / 1000.0,
        objective_s=entry.slo_ms / 1000.0,
        idempotent=entry.type in _IDEMPOTENT_TYPES,
    )
