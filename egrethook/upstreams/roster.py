"""The upstreams that a balancer knows, including those removed recently."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from weakref import WeakValueDictionary

from egrethook.discovery.records import UpstreamPhase, UpstreamRecord
from egrethook.upstreams.upstream import Registration, Upstream

EXPIRED_RECORD_GRACE_S = 2.2
"""Time for which an answering upstream is kept after its record expired, in seconds.

Records that expire during a registry outage are published again within about 2 s of
its end.
"""

MIN_OUTAGE_FOR_EXPIRY_S = 2.4
"""Shortest registry outage in which a record can expire, in seconds.

A record expires after three heartbeats of 1.2 s; at the start of an outage it is at
most one heartbeat old.
"""

RECENT_ANSWER_S = 1.5
"""Age of the last answer up to which an upstream counts as alive, in seconds."""


def _grace_end(now: float, removed_after: float) -> float:
    """Return until when an upstream is kept whose record was removed, in seconds.

    Parameters
    ----------
    removed_after : float
        When the registry was last known to hold the record, in seconds.
    """
    may_have_expired = now - removed_after >= MIN_OUTAGE_FOR_EXPIRY_S
    counted_from = now if may_have_expired else removed_after
    return counted_from + EXPIRED_RECORD_GRACE_S


class UpstreamIndex:
    """Index of the upstreams by name, by service and by token.

    Tokens of removed upstreams stay valid for `flow_life_s`, so that packets of
    their open flows still reach them.

    Parameters
    ----------
    flow_life_s : float
        Maximum lifetime of a flow, in seconds.
    """

    def __init__(self, flow_life_s: float) -> None:
        self._flow_life_s = flow_life_s
        self._by_name: dict[str, Upstream] = {}
        self._by_token: dict[int, Upstream] = {}
        self._by_service: defaultdict[str, dict[str, Upstream]] = defaultdict(dict)
        self._version = 0
        # When the grace periods of upstreams without a record end, by name.
        self._grace_ends: dict[str, float] = {}
        self._gone: dict[int, Upstream] = {}
        self._registrations: WeakValueDictionary[str, Registration] = (
            WeakValueDictionary()
        )

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def version(self) -> int:
        """Counter that increases with each change of an upstream."""
        return self._version

    @property
    def by_token(self) -> Mapping[int, Upstream]:
        """Current and recently removed upstreams by token, for open flows."""
        return self._by_token

    def get(self, name: str) -> Upstream | None:
        """Return the current incarnation of an upstream."""
        return self._by_name.get(name)

    def of_service(self, service: str) -> Collection[Upstream]:
        """Return the current upstreams of a service, draining ones included."""
        return self._by_service[service].values()

    def services(self) -> list[str]:
        """Return the services that have or had upstreams."""
        return list(self._by_service)

    def all(self) -> list[Upstream]:
        """Return all current upstreams."""
        return list(self._by_name.values())

    def put(self, record: UpstreamRecord, now: float) -> Upstream:
        """Add or update an upstream; the record may describe a new incarnation."""
        self._grace_ends.pop(record.name, None)
        self._version += 1
        registration = self._registrations.setdefault(record.name, Registration())
        registration.absent_since = None
        known = self._by_name.get(record.name)
        if known is not None and known.record.started_ms == record.started_ms:
            self._remove_from_service(known)
            known.update(record, now)
            self._add_to_service(known)
            return known
        if known is not None:
            self._remove_from_service(known)
            self._retire(known, now)
        known = Upstream(record, now, registration)
        self._by_name[record.name] = known
        self._claim_token(known)
        return known

    def remove(self, name: str, now: float, removed_after: float | None = None) -> None:
        """Remove an upstream whose record is gone.

        If it was ready and answered recently, its record has perhaps expired during a
        registry outage, and the upstream is kept for `EXPIRED_RECORD_GRACE_S`. Further
        removals in that time neither extend it nor end it.

        Parameters
        ----------
        removed_after : float, optional
            When the registry was last known to hold the record, in seconds; just now
            if it is not given. The grace period counts from then, unless there may
            have been an outage that has just ended.
        """
        known = self._by_name.get(name)
        if known is None or name in self._grace_ends:
            return
        known.registration.absent_since = now
        was_ready = known.record.phase is UpstreamPhase.READY
        if was_ready and now - known.answered_at < RECENT_ANSWER_S:
            ends_at = _grace_end(now, now if removed_after is None else removed_after)
            if now < ends_at:
                self._grace_ends[name] = ends_at
                return
        self._drop(known, now)

    def remove_now(self, name: str, now: float) -> None:
        """Remove an upstream whose record has been awaited in vain."""
        known = self._by_name.get(name)
        if known is not None:
            self._drop(known, now)

    def last_record(self, name: str) -> UpstreamRecord | None:
        """Return the newest record under a name, one that was removed included."""
        known = self._by_name.get(name)
        if known is not None:
            return known.record
        records = [one.record for one in self._gone.values() if one.name == name]
        return max(records, key=lambda record: record.started_ms, default=None)

    def grace_left(self, name: str, now: float) -> float:
        """Return for how long an upstream is kept without a record, in seconds."""
        ends_at = self._grace_ends.get(name)
        return 0.0 if ends_at is None else round(ends_at - now, 3)

    def expire(self, now: float) -> None:
        """Drop upstreams whose grace period is over, and tokens after `flow_life_s`."""
        for name, ends_at in list(self._grace_ends.items()):
            if now >= ends_at:
                self._drop(self._by_name[name], now)
        for token, upstream in list(self._gone.items()):
            gone_at = upstream.gone_at
            if gone_at is None or now - gone_at < self._flow_life_s:
                continue
            del self._gone[token]
            if self._by_token.get(token) is upstream:
                del self._by_token[token]
                self._pass_on_token(token)

    def _drop(self, upstream: Upstream, now: float) -> None:
        """Remove an upstream without a record; it is gone since that is absent."""
        registration = upstream.registration
        if registration.absent_since is None:
            registration.absent_since = now
        del self._by_name[upstream.name]
        self._grace_ends.pop(upstream.name, None)
        self._remove_from_service(upstream)
        self._retire(upstream, registration.absent_since)

    def _retire(self, upstream: Upstream, now: float) -> None:
        self._version += 1
        upstream.gone_at = now
        self._gone[upstream.token] = upstream

    def _claim_token(self, upstream: Upstream) -> None:
        """Assign a token; of several upstreams that share it, the lowest name gets it.

        One that was removed keeps it while its flows may be open. Without its token,
        an upstream gets no new flows.
        """
        current = self._by_token.get(upstream.token)
        if current is not None and current.name != upstream.name:
            if current.gone_at is not None or upstream.name > current.name:
                return
            self._remove_from_service(current)
        self._by_token[upstream.token] = upstream
        self._add_to_service(upstream)

    def _pass_on_token(self, token: int) -> None:
        """Assign a free token to the current upstreams that share it."""
        for upstream in self.all():
            if upstream.token == token:
                self._claim_token(upstream)

    def _add_to_service(self, upstream: Upstream) -> None:
        """Add an upstream to its service if it holds its token."""
        if self._by_token.get(upstream.token) is upstream:
            self._by_service[upstream.service][upstream.name] = upstream

    def _remove_from_service(self, upstream: Upstream) -> None:
        self._by_service[upstream.service].pop(upstream.name, None)
