"""Upstream affinity of flows whose callers cannot echo a token.

The benchmarks compare these methods with routing by token.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from egrethook.addresses import Address
from egrethook.balancers.ownership import rank
from egrethook.published.configuration import Configuration, Endpoint

FLOW_TABLE_LIMIT = 100_000
"""Maximum number of flows in one balancer's table."""

FLOW_IDLE_TIMEOUT_S = 300.0
"""Time without packets after which a flow is evicted, in seconds."""


@dataclass(frozen=True)
class FlowKey:
    """The key of a flow whose packets carry no token."""

    service: str
    caller: Address

    @property
    def digest(self) -> int:
        """A hash of the key that is equal on all balancers."""
        text = f"{self.service}|{self.caller}".encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class FlowAffinity(Protocol):
    """Chooses the upstream of a flow whose packets carry no token."""

    def choose(
        self, flow: FlowKey, configuration: Configuration, now: float
    ) -> Endpoint | None:
        """Return the upstream that gets a packet, or None if the service has none."""
        ...


class HashAffinity:
    """The baseline: the flow's hash modulo the number of upstreams."""

    def choose(
        self, flow: FlowKey, configuration: Configuration, now: float
    ) -> Endpoint | None:
        """Return the upstream that gets a packet, or None if the service has none."""
        candidates = configuration.candidates(flow.service)
        if not candidates:
            return None
        candidates.sort(key=lambda endpoint: endpoint.name)
        return candidates[flow.digest % len(candidates)]


@dataclass
class _TableEntry:
    """The upstream of one flow in one balancer's table."""

    endpoint: Endpoint
    used_at: float


class TableAffinity:
    """Rendezvous hashing for new flows, with a table of known flows.

    The table is local: a balancer that has not seen a flow routes its packets by
    the hash over its own view of the upstreams.
    """

    def __init__(self) -> None:
        self._table: OrderedDict[FlowKey, _TableEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._table)

    def choose(
        self, flow: FlowKey, configuration: Configuration, now: float
    ) -> Endpoint | None:
        """Return the upstream that gets a packet, or None if the service has none."""
        entry = self._table.get(flow)
        if entry is not None and _is_current(entry.endpoint, configuration):
            entry.used_at = now
            self._table.move_to_end(flow)
            return entry.endpoint
        chosen = rendezvous(flow, configuration.candidates(flow.service))
        if chosen is None:
            self._table.pop(flow, None)
            return None
        self._table[flow] = _TableEntry(chosen, now)
        self._table.move_to_end(flow)
        self._evict(now)
        return chosen

    def _evict(self, now: float) -> None:
        """Evict idle flows, and the least recently used ones above the limit."""
        while self._table:
            oldest = next(iter(self._table.values()))
            if (
                len(self._table) <= FLOW_TABLE_LIMIT
                and now - oldest.used_at < FLOW_IDLE_TIMEOUT_S
            ):
                return
            self._table.popitem(last=False)


def rendezvous(flow: FlowKey, candidates: Sequence[Endpoint]) -> Endpoint | None:
    """Return the candidate with the highest score, weighted by connection limit."""
    by_name = {endpoint.name: endpoint for endpoint in candidates}
    weights = ((name, float(e.connections)) for name, e in by_name.items())
    ranked = rank(str(flow.digest), weights)
    return by_name[ranked[0]] if ranked else None


def _is_current(endpoint: Endpoint, configuration: Configuration) -> bool:
    """Return whether a flow's upstream is unchanged and its domain in service."""
    current = configuration.endpoint(endpoint.service, endpoint.name)
    return (
        current is not None
        and current.incarnation == endpoint.incarnation
        and current.flow_address == endpoint.flow_address
        and configuration.in_service(current.domain)
    )
