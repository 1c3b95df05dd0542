"""The bodies of the platform's store, and the values that lie in it."""

from __future__ import annotations

from binascii import Error as Base64Error
from binascii import a2b_base64
from typing import Any

import msgspec

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
UPSTREAM_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"

_HEX = frozenset("0123456789abcdefABCDEF")

_PHASES = {"ready": UpstreamPhase.READY, "draining": UpstreamPhase.DRAINING}


class Event(msgspec.Struct, rename="camel"):
    """An item of the store, or the deletion of one."""

    key: str
    revision: int
    value: str | None = None
    deleted: bool = False


class RangeBody(msgspec.Struct, rename="camel"):
    """The answer to ``GET /kv-range``; a page, not a snapshot."""

    items: list[Event]
    current_rev: int
    has_more: bool = False


class WatchBody(msgspec.Struct, rename="camel"):
    """The answer to ``GET /kv-watch``."""

    events: list[Event]
    current_rev: int


class _Server(msgspec.Struct, rename="camel"):
    """What an endpoint says of itself.

    `sequence` counts its writes; `born` is the start of its process.
    """

    service: str
    address: str
    zone: str
    state: str
    concurrency: int
    born: int = 0
    warmup_left_ms: float = 0.0


class _Split(msgspec.Struct):
    service: str
    weight: int


class _RouteEntry(msgspec.Struct, rename="camel"):
    """A route; `prefix` is a port between slashes, `host` an address."""

    name: str
    host: str
    prefix: str
    priority: int = 2
    timeout_ms: float = 0.0
    slo_ms: float = 0.0
    service: str | None = None
    split: list[_Split] = []


class _Service(msgspec.Struct, rename="camel"):
    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_RouteEntry]
    services: list[_Service]


_SERVER = msgspec.json.Decoder(_Server)
_CONFIG = msgspec.json.Decoder(_Config)


def published_item(event: Event) -> PublishedItem | None:
    """Return an event as an item, or None if its key means nothing here."""
    if event.key == CONFIG_KEY:
        kind, name = ItemKind.ROUTES, ""
    elif event.key.startswith(UPSTREAM_PREFIX):
        kind, name = ItemKind.UPSTREAM, event.key[len(UPSTREAM_PREFIX) :]
    elif event.key.startswith(EVACUATION_PREFIX):
        kind, name = ItemKind.DOMAIN_OUT, event.key[len(EVACUATION_PREFIX) :]
    else:
        return None
    return PublishedItem(kind, name, event.revision, _value(event))


def _value(event: Event) -> bytes | None:
    if event.deleted or event.value is None:
        return None
    try:
        return a2b_base64(event.value)
    except (Base64Error, ValueError):
        return event.value.encode()


class StoreDecoder:
    """Decodes the values in the store; see `RecordDecoder`."""

    def upstream(self, name: str, value: bytes) -> UpstreamRecord:
        """Decode what an endpoint says of itself.

        Raises
        ------
        DocumentError
            If a field is missing, of another type or of an unknown word.
        """
        entry: _Server = _decode(_SERVER, value)
        digits = "".join(one for one in name.rpartition("-")[2] if one in _HEX)
        host, _, port = entry.address.rpartition(":")
        phase = _PHASES.get(entry.state)
        if phase is None or not host or not port.isdigit() or not digits:
            raise DocumentError(f"{name}: bad state, address or id")
        return UpstreamRecord(
            name=name,
            instance=int(digits, 16) & 0xFFFF_FFFF_FFFF_FFFF,
            service=entry.service,
            address=(host, int(port)),
            failure_domain=entry.zone,
            phase=phase,
            slots=entry.concurrency,
            started_ms=entry.born,
            cold_left_s=entry.warmup_left_ms / 1000.0,
        )

    def routes(self, value: bytes) -> RouteTable:
        """Decode the operator's configuration.

        Raises
        ------
        DocumentError
            If it is not valid.
        """
        config: _Config = _decode(_CONFIG, value)
        return RouteTable(
            version=config.version,
            routes=tuple(_route(entry) for entry in config.routes),
            cold_limits={
                one.name: ColdLimit(one.warmup_s, one.warmup_per_s)
                for one in config.services
            },
        )


def _decode(decoder: msgspec.json.Decoder[Any], value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DocumentError(str(error)) from None


def _route(entry: _RouteEntry) -> Route:
    shares = [WeightedService(one.service, one.weight) for one in entry.split]
    if entry.service is not None:
        shares = [WeightedService(entry.service, 1)]
    try:
        octets = [int(part) for part in entry.host.split(".")]
        address = int.from_bytes(bytes(octets), "big"), int(entry.prefix.strip("/"))
    except ValueError:
        raise DocumentError(f"{entry.name}: bad address or port") from None
    if not shares:
        raise DocumentError(f"{entry.name}: no service")
    return Route(
        name=entry.name,
        address=address,
        services=tuple(shares),
        priority=entry.priority,
        timeout_s=entry.timeout_ms / 1000.0,
        objective_s=entry.slo_ms / 1000.0,
    )
