"""View of the published items as needed for forwarding."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any
from zlib import crc32

from egrethook.discovery.records import (
    ItemKind,
    PublishedItem,
    RecordDecoder,
    Route,
    RouteTable,
)
from egrethook.discovery.rewrites import (
    REWRITE_TIME_S,
    RewriteWindow,
    record_hold_time,
)
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import DocumentError
from egrethook.logs import PartLog
from egrethook.upstreams.roster import UpstreamIndex
from egrethook.upstreams.upstream import Upstream

_LOG = PartLog("view")

_Handler = Callable[[Any, PublishedItem, float], None]
"""Method of `ForwardingView` that applies an item of one kind at a time."""


class ForwardingView:
    """Routes, upstreams and the failure domains that are out of service.

    Parameters
    ----------
    decoder : RecordDecoder
        Decodes the values of published items.
    flow_life_s : float
        Maximum lifetime of a flow, in seconds.
    """

    def __init__(self, decoder: RecordDecoder, flow_life_s: float) -> None:
        self._decoder = decoder
        self._upstreams = UpstreamIndex(flow_life_s)
        self._table: RouteTable | None = None
        self._routes: dict[tuple[int, int], Route] = {}
        self._domains_out: set[str] = set()
        self._revision = 0
        self._candidates: dict[str, list[Upstream]] = {}
        self._candidates_version = (0, 0)
        self._updates = 0
        self._changed_after = float("-inf")
        self._logs_upstreams = False
        self._rewrites = RewriteWindow()
        self._item_errors = ErrorBoundary(_LOG, "published item")

    @property
    def revision(self) -> int:
        """The newest revision among the items received."""
        return self._revision

    @property
    def upstreams(self) -> UpstreamIndex:
        """The upstreams."""
        return self._upstreams

    @property
    def table(self) -> RouteTable | None:
        """The active route configuration; None before the first one."""
        return self._table

    @property
    def table_version(self) -> int:
        """The version of the active route configuration; 0 before the first one."""
        return self._table.version if self._table else 0

    @property
    def domains_out(self) -> frozenset[str]:
        """The failure domains that are out of service and get no new flows."""
        return frozenset(self._domains_out)

    @property
    def awaited_items(self) -> int:
        """Number of items that the registry has lost and that may be written again."""
        return len(self._rewrites)

    def update(
        self,
        items: Iterable[PublishedItem],
        now: float,
        changed_after: float | None = None,
        era_began_at: float | None = None,
    ) -> None:
        """Apply changed items.

        An invalid route configuration is ignored; an upstream whose record is
        invalid is removed. What a new era shows as it was before waits until it is
        written again, or is not for some time.

        Parameters
        ----------
        changed_after : float, optional
            Time after which they changed at the registry, in seconds; just now if it
            is not given.
        era_began_at : float, optional
            If they are the differences of a new era: when it is known to have begun,
            in seconds.
        """
        self._updates += 1
        self._changed_after = now if changed_after is None else changed_after
        is_new_era = era_began_at is not None
        if era_began_at is not None:
            self._revision = 0
            self._rewrites.open(era_began_at)
        for item in items:
            self._revision = max(self._revision, item.revision)
            hold_s = self._hold_time(item, is_new_era, now)
            if hold_s:
                self._hold(item, hold_s)
                continue
            self._rewrites.release(item)
            self._apply(item, self._HANDLERS, now)
        if not self._logs_upstreams and len(self._upstreams):
            self._log_first_upstreams()

    def apply_awaited(self, now: float) -> None:
        """Apply what has been held back and was not written again in time."""
        for item in self._rewrites.take_due(now):
            self._updates += 1
            _LOG.info("not written again; as in the registry.", **_label(item))
            self._apply(item, self._AWAITED_HANDLERS, now)

    def _apply(
        self, item: PublishedItem, handlers: Mapping[ItemKind, _Handler], now: float
    ) -> None:
        try:
            handlers[item.kind](self, item, now)
        except DocumentError as error:
            _LOG.alarm(
                "invalid published item; old routes stay, upstream removed.",
                error=str(error),
                **_label(item),
            )
        except Exception as error:
            self._item_errors.note(error, **_label(item))

    def _hold(self, item: PublishedItem, hold_s: float) -> None:
        _LOG.info(
            "older in the registry than here; waiting for it to be written again.",
            lapsed=item.value is None,
            **_label(item),
        )
        self._rewrites.hold(item, hold_s)

    def _hold_time(self, item: PublishedItem, is_new_era: bool, now: float) -> float:
        """Return for how long an item waits from the start of the era, in seconds.

        A failure domain is taken out of service at once, and a configuration has a
        version of its own. A removal waits only if it comes from the comparison of two
        eras.
        """
        if not self._rewrites.is_open(now) or item.kind is ItemKind.ROUTES:
            return 0.0
        if item.value is None:
            return REWRITE_TIME_S if is_new_era else 0.0
        if item.kind is not ItemKind.UPSTREAM:
            return 0.0
        return self._record_hold_time(item.name, item.value)

    def _record_hold_time(self, name: str, value: bytes) -> float:
        """Return for how long a record waits; an invalid one doesn't."""
        known = self._upstreams.last_record(name)
        if known is None:
            return 0.0
        try:
            record = self._decoder.upstream(name, value)
        except DocumentError:
            return 0.0
        is_removed = self._upstreams.get(name) is None
        return record_hold_time(record, known, is_removed)

    def _log_first_upstreams(self) -> None:
        """Log how many upstreams there are; from now on each change is logged."""
        self._logs_upstreams = True
        _LOG.info(
            "first upstreams are known.",
            upstreams=len(self._upstreams),
            revision=self._revision,
        )

    def route(self, address: tuple[int, int]) -> Route | None:
        """Return the route of an address and port."""
        return self._routes.get(address)

    def accepts_flows(self, upstream: Upstream) -> bool:
        """Return whether an upstream may get new flows."""
        return upstream.accepts_flows and upstream.domain not in self._domains_out

    def domains_with_upstreams(self) -> set[str]:
        """Return the failure domains of the upstreams that may get new flows."""
        return {
            upstream.domain
            for upstream in self._upstreams.all()
            if self.accepts_flows(upstream)
        }

    def candidates(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that may get new flows.

        The list is cached until the view changes.
        """
        version = self._upstreams.version, self._updates
        if version != self._candidates_version:
            self._candidates_version = version
            self._candidates = {}
        known = self._candidates.get(service)
        if known is None:
            known = self._candidates[service] = self._find_candidates(service)
        return known

    def _find_candidates(self, service: str) -> list[Upstream]:
        return [
            upstream
            for upstream in self._upstreams.of_service(service)
            if self.accepts_flows(upstream)
        ]

    def _apply_routes(self, item: PublishedItem, now: float) -> None:
        if item.value is None:
            return
        table = self._decoder.routes(item.value)
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        self._routes = {route.address: route for route in table.routes}
        _LOG.info(
            "configuration applied.",
            version=table.version,
            revision=item.revision,
            routes=len(table.routes),
        )

    def _apply_upstream(self, item: PublishedItem, now: float) -> None:
        if item.value is None:
            self._upstreams.remove(item.name, now, self._changed_after)
            _LOG.info(
                "upstream record deleted.",
                upstream=item.name,
                revision=item.revision,
                deleted_within_s=_seconds_since(self._changed_after, now),
                kept_s=self._upstreams.grace_left(item.name, now),
            )
            return
        try:
            record = self._decoder.upstream(item.name, item.value)
        except DocumentError:
            self._upstreams.remove(item.name, now, self._changed_after)
            raise
        upstream = self._upstreams.put(record, now)
        if not self._logs_upstreams:
            return
        _LOG.info(
            "upstream record changed.",
            upstream=item.name,
            revision=item.revision,
            service=record.service,
            phase=record.phase.value,
            started_ms=record.started_ms,
            failure_domain=record.failure_domain,
            cold=upstream.is_cold(now),
        )

    def _apply_domain(self, item: PublishedItem, now: float) -> None:
        if item.value is None:
            self._domains_out.discard(item.name)
        else:
            self._domains_out.add(item.name)
        _LOG.info(
            "failure domain changed.",
            failure_domain=item.name,
            revision=item.revision,
            in_service=item.value is None,
        )

    def _apply_awaited_upstream(self, item: PublishedItem, now: float) -> None:
        """Apply a record that was held back; one that lapsed has had its time."""
        if item.value is None:
            self._upstreams.remove_now(item.name, now)
        else:
            self._apply_upstream(item, now)

    _HANDLERS: Mapping[ItemKind, _Handler] = {
        ItemKind.ROUTES: _apply_routes,
        ItemKind.UPSTREAM: _apply_upstream,
        ItemKind.DOMAIN_OUT: _apply_domain,
    }

    _AWAITED_HANDLERS: Mapping[ItemKind, _Handler] = {
        **_HANDLERS,
        ItemKind.UPSTREAM: _apply_awaited_upstream,
    }


def _label(item: PublishedItem) -> dict[str, object]:
    """Return the log fields that name an item."""
    return {"kind": item.kind.name, "item": item.name, "revision": item.revision}


def _seconds_since(time: float, now: float) -> float | None:
    """Return the time since an event in seconds, or None if it is unknown."""
    return round(now - time, 3) if time > float("-inf") else None


def pick_service(route: Route, flow: bytes) -> str:
    """Return the service of a flow.

    The choice follows the weights and is the same on every balancer.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    total = sum(weighted.weight for weighted in services)
    point = crc32(flow) % max(total, 1)
    for weighted in services:
        point -= weighted.weight
        if point < 0:
            return weighted.service
    return services[-1].service
