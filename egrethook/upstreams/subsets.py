"""Prefers different upstreams at each balancer, so that few balancers share one.

Load that it answers: many balancers with few requests each, before many small
upstreams. A balancer sees its own flows only, and with none in progress all upstreams
look alike to it, so that balancers fill some upstreams while others are idle.

The upstreams of a service stand on a ring, each as wide as its slots, and the balancers
at equal distances along it. A balancer prefers the upstreams that follow its place; the
further away, the less. Each failure domain has a ring, which its own balancers share. A
domain with more than its share of the balancers cannot serve them all: some of them
take places among the upstreams of other domains, in the parts that are left there.

All balancers compute the same ring from the live members and the registry; one with
an outdated view takes a place a little off its own.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from typing import NamedTuple
from zlib import crc32

from egrethook.upstreams.least_flows import REMOTE_DOMAIN_COST
from egrethook.upstreams.upstream import Upstream

COST_STEP = 0.15
"""Cost of an upstream one place further along the ring, in busy flows."""

MAX_COST = 1.5
"""Cost of all upstreams far away on the ring, in busy flows."""

AWAY_COST = 0.3
"""Cost of its own domain's upstreams to a balancer placed elsewhere, in busy flows."""

PREFERRED_COUNT = 16
"""Number of upstreams that are always compared for an opening."""

REFRESH_INTERVAL_S = 1.0
"""Minimum interval between two refreshes of a service, in seconds."""

REFRESH_MAX_UPSTREAMS = 1_000
"""Number of refreshed upstreams after which further services wait for their turn."""


class FleetMember(NamedTuple):
    """A live balancer; its name is the same in all views."""

    name: str
    domain: str


class _Place(NamedTuple):
    """Where a balancer stands among those of its failure domain.

    Parameters
    ----------
    position : float
        The share of the domain's balancers before it, from 0.0 to below 1.0.
    domain_shares : dict of str to float
        Share of all balancers in each failure domain.
    members : int
        Number of live balancers, this one included.
    """

    position: float
    domain_shares: dict[str, float]
    members: int


class _Ring:
    """Upstreams side by side, each as wide as the load that it can take.

    Parameters
    ----------
    upstreams : sequence of Upstream
        The upstreams, in the order of their tokens.
    widths : sequence of float
        The width of each.
    """

    def __init__(self, upstreams: Sequence[Upstream], widths: Sequence[float]) -> None:
        self._upstreams = upstreams
        self._ends = list(accumulate(widths))

    def __len__(self) -> int:
        return len(self._upstreams)

    def from_position(self, position: float, count: int) -> list[Upstream]:
        """Return the upstreams that follow a position between 0.0 and 1.0."""
        if not self._upstreams:
            return []
        start = bisect_right(self._ends, position * self._ends[-1])
        start = min(start, len(self._upstreams) - 1)
        following = self._upstreams[start : start + count]
        return [*following, *self._upstreams[: min(start, count - len(following))]]


class _ServiceRing(NamedTuple):
    """What this balancer prefers among the upstreams of one service."""

    candidates: Sequence[Upstream]
    refreshed_at: float
    costs: dict[int, float]
    preferred: list[Upstream]


class PreferredSubsets:
    """The additional cost of each upstream by its distance on the ring.

    Before other balancers are known no upstream has any.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    accepts_flows : callable
        Returns whether an upstream may get new flows.
    """

    def __init__(self, domain: str, accepts_flows: Callable[[Upstream], bool]) -> None:
        self._domain = domain
        self._accepts_flows = accepts_flows
        self._members: frozenset[FleetMember] = frozenset()
        self._place: _Place | None = None
        self._rings: dict[str, _ServiceRing] = {}
        self._costs: dict[int, float] = {}
        self._default_cost = 0.0

    @property
    def is_placed(self) -> bool:
        """Whether this balancer has a place among others."""
        return self._place is not None

    @property
    def members(self) -> int:
        """Number of balancers whose places are known, 0 if there is no ring."""
        return self._place.members if self._place else 0

    def set_members(self, own_name: str, others: Iterable[FleetMember]) -> bool:
        """Set the live balancers; return whether they have changed."""
        own = FleetMember(own_name, self._domain)
        members = frozenset((own, *others))
        if members == self._members:
            return False
        self._members = members
        self._place = _place_of(own, members) if len(members) > 1 else None
        self._default_cost = MAX_COST if self._place else 0.0
        if self._place is None:
            self._costs = {}
        self._rings = {
            service: ring._replace(candidates=())
            for service, ring in self._rings.items()
        }
        return True

    def additional_cost(self, upstream: Upstream) -> float:
        """Return the additional cost of an upstream, in busy flows or requests."""
        return self._costs.get(upstream.token, self._default_cost)

    def preferred(self, service: str) -> list[Upstream]:
        """Return the upstreams to compare in any case, the closest first."""
        ring = self._rings.get(service)
        if ring is None or self._place is None:
            return []
        return [one for one in ring.preferred if self._accepts_flows(one)]

    def refresh(
        self,
        services: Iterable[str],
        candidates_of: Callable[[str], Sequence[Upstream]],
        now: float,
    ) -> None:
        """Follow changes of members and upstreams, a bounded number at once."""
        if self._place is None:
            return
        refreshed = 0
        for service in services:
            ring = self._rings.get(service)
            if ring is not None and now - ring.refreshed_at < REFRESH_INTERVAL_S:
                continue
            candidates = candidates_of(service)
            if ring is not None and ring.candidates is candidates:
                continue
            self._refresh_service(service, candidates, self._place, now)
            refreshed += len(candidates)
            if refreshed >= REFRESH_MAX_UPSTREAMS:
                return

    def _refresh_service(
        self, service: str, candidates: Sequence[Upstream], place: _Place, now: float
    ) -> None:
        previous = self._rings.get(service)
        if previous is not None:
            for token in previous.costs:
                self._costs.pop(token, None)
        costs, preferred = _find_preferred(candidates, self._domain, place)
        self._rings[service] = _ServiceRing(candidates, now, costs, preferred)
        self._costs.update(costs)


def _place_of(own: FleetMember, members: Iterable[FleetMember]) -> _Place:
    """Return the place of a balancer among the live ones."""
    counts = Counter(member.domain for member in members)
    total = sum(counts.values())
    own_key = _order(own)
    before = sum(
        member.domain == own.domain and _order(member) < own_key for member in members
    )
    shares = {domain: count / total for domain, count in counts.items()}
    return _Place(before / counts[own.domain], shares, total)


def _order(member: FleetMember) -> tuple[int, str]:
    return crc32(member.name.encode()), member.name


def _find_preferred(
    candidates: Sequence[Upstream], domain: str, place: _Place
) -> tuple[dict[int, float], list[Upstream]]:
    """Return the costs of the closest upstreams by token, and those to prefer."""
    slots: Counter[str] = Counter()
    for upstream in candidates:
        slots[upstream.domain] += upstream.record.slots
    total = sum(slots.values())
    if not total:
        return {}, []
    capacity = {name: count / total for name, count in slots.items()}
    ordered = sorted(candidates, key=_token)
    local = [upstream for upstream in ordered if upstream.domain == domain]
    local_ring = _Ring(local, [upstream.record.slots for upstream in local])
    remote = [upstream for upstream in ordered if upstream.domain != domain]
    remote_ring = _Ring(remote, _spare_slots(remote, capacity, place.domain_shares))
    # The share of this domain's balancers whose place is among its own upstreams.
    own_share = place.domain_shares[domain]
    local_share = min(1.0, capacity.get(domain, 0.0) / own_share)
    spread = max(1.0, len(candidates) / place.members)
    if place.position < local_share:
        position = place.position / local_share
        costs = _costs_along(local_ring, position, spread, 0.0)
        costs |= _costs_along(remote_ring, place.position, spread, 0.0)
        home, home_position = local_ring, position
    else:
        position = (place.position - local_share) / (1.0 - local_share)
        costs = _costs_along(remote_ring, position, spread, -REMOTE_DOMAIN_COST)
        costs |= _costs_along(local_ring, place.position, spread, AWAY_COST)
        home, home_position = remote_ring, position
    return costs, home.from_position(home_position, PREFERRED_COUNT)


def _token(upstream: Upstream) -> int:
    return upstream.token


def _spare_slots(
    upstreams: Sequence[Upstream],
    capacity: dict[str, float],
    domain_shares: dict[str, float],
) -> list[float]:
    """Return the slots that the balancers of an upstream's own domain leave.

    If they leave none anywhere, all slots count.
    """
    spare = {
        domain: max(0.0, 1.0 - domain_shares.get(domain, 0.0) / share)
        for domain, share in capacity.items()
        if share
    }
    widths = [one.record.slots * spare.get(one.domain, 0.0) for one in upstreams]
    return widths if any(widths) else [one.record.slots for one in upstreams]


def _costs_along(
    ring: _Ring, position: float, spread: float, offset: float
) -> dict[int, float]:
    """Return the costs of the upstreams that follow a position, by token.

    Parameters
    ----------
    spread : float
        Number of upstreams for each balancer, at least 1.
    offset : float
        Added to each cost, in busy flows.
    """
    count = min(len(ring), round(spread * MAX_COST / COST_STEP))
    return {
        upstream.token: offset + COST_STEP * distance / spread
        for distance, upstream in enumerate(ring.from_position(position, count))
    }
