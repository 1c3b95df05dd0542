"""Selects the upstream for a new flow."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol

from egrethook.discovery.records import Route
from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.upstream import Upstream

LOCAL_SAMPLE_SIZE = 48
"""Maximum upstreams of this balancer's failure domain compared for one opening."""

REMOTE_SAMPLE_SIZE = 16
"""Maximum upstreams of other failure domains compared for one opening."""

SAMPLE_STRIDE = 31
"""Positions by which the sample advances with each opening."""


class Opening(NamedTuple):
    """An opening that needs an upstream.

    Parameters
    ----------
    route : Route
        The route of the flow.
    tried : collection of Upstream
        Upstreams that got this opening already; they are excluded.
    avoided : collection of Upstream
        Upstreams that left an earlier opening of the caller unanswered.
    on_time : bool
        Whether the full limits apply: it can still meet its latency objective, or is
        late and due its guaranteed share of the room.
    now : float
        The current time, in seconds.
    """

    route: Route
    tried: Collection[Upstream]
    avoided: Collection[Upstream]
    on_time: bool
    now: float


class UpstreamSelector(Protocol):
    """Chooses an upstream among those that may take a new flow."""

    def choose(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Upstream | None:
        """Return the best candidate with room, or None if none has room."""
        ...


class PlacementCost(Protocol):
    """Compares candidates; the one with the lowest cost gets the opening."""

    def for_opening(
        self, pool: Sequence[Upstream], opening: Opening
    ) -> Callable[[Upstream], float]:
        """Return the cost function for comparing candidates.

        Parameters
        ----------
        pool : sequence of Upstream
            All candidates, with and without room; not empty.
        """
        ...

    def note_placed(self, upstream: Upstream, opening: Opening) -> None:
        """Handle that an upstream gets an opening."""
        ...


class UpstreamPreference(Protocol):
    """Prefers some upstreams of a service, all else being equal."""

    @property
    def is_placed(self) -> bool:
        """Whether it keeps the choices of different balancers apart."""
        ...

    def additional_cost(self, upstream: Upstream) -> float:
        """Return the additional cost of an upstream, in busy flows or requests."""
        ...

    def preferred(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that are compared in any case."""
        ...


class _DomainSplit(NamedTuple):
    """Candidates, split into those of this balancer's failure domain and others."""

    candidates: Sequence[Upstream]
    members: frozenset[Upstream]
    local: list[Upstream]
    remote: list[Upstream]


class LowestCostSelector:
    """Chooses the candidate with the lowest cost among those with room.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    limit : FlowLimit
        Limits the busy flows of each upstream.
    cold_admission : ColdAdmission
        Limits the openings of cold upstreams.
    cost : PlacementCost
        Compares candidates.
    preference : UpstreamPreference, optional
        Adds to the sample of a large number of candidates.
    first_round : int
        Where the rotation among equal candidates begins. Balancers that begin apart
        don't all choose the same ones.
    """

    def __init__(
        self,
        domain: str,
        limit: FlowLimit,
        cold_admission: ColdAdmission,
        cost: PlacementCost,
        preference: UpstreamPreference | None = None,
        first_round: int = 0,
    ) -> None:
        self._cost = cost
        self._preference = preference
        self._cold_admission = cold_admission
        self._domain = domain
        self._limit = limit
        self._round = first_round
        self._splits: dict[str, _DomainSplit] = {}

    def choose(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Upstream | None:
        """Return the best candidate with room, or None if none has room."""
        self._round += 1
        sample = candidates
        if len(candidates) > LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE:
            split = self._splits[candidates[0].service] = self._split(candidates)
            sample = self._sample(split, self._round)
        chosen = self._best(sample, opening)
        if chosen is None and len(candidates) > LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE:
            chosen = self._best(candidates, opening)
        if chosen is not None:
            self._cold_admission.note_sent(chosen, opening.now)
            self._cost.note_placed(chosen, opening)
        return chosen

    def next_sample(self, candidates: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return what the next opening compares first; changes nothing."""
        if len(candidates) <= LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE:
            return candidates
        return self._sample(self._split(candidates), self._round + 1)

    def next_order(self, available: Sequence[Upstream]) -> list[Upstream]:
        """Return the order in which the next opening compares; changes nothing.

        The first of equal candidates is chosen.
        """
        return _rotated(available, self._round + 1)

    def _sample(self, split: _DomainSplit, round_number: int) -> Sequence[Upstream]:
        """Return a rotating sample of a large number of candidates."""
        preference = self._preference
        service = split.candidates[0].service
        preferred = preference.preferred(service) if preference else ()
        # What is preferred may be older than the candidates.
        return [
            *(upstream for upstream in preferred if upstream in split.members),
            *_rotating_slice(split.local, round_number, LOCAL_SAMPLE_SIZE),
            *_rotating_slice(split.remote, round_number, REMOTE_SAMPLE_SIZE),
        ]

    def _split(self, candidates: Sequence[Upstream]) -> _DomainSplit:
        """Return the candidates split by failure domain.

        The last split of the service is used until the candidate list is replaced.
        """
        service = candidates[0].service
        known = self._splits.get(service)
        if known is None or known.candidates is not candidates:
            local = [
                upstream for upstream in candidates if upstream.domain == self._domain
            ]
            remote = [
                upstream for upstream in candidates if upstream.domain != self._domain
            ]
            known = _DomainSplit(candidates, frozenset(candidates), local, remote)
        return known

    def _best(
        self, candidates: Iterable[Upstream], opening: Opening
    ) -> Upstream | None:
        tried, now, on_time = opening.tried, opening.now, opening.on_time
        usable = [candidate for candidate in candidates if candidate not in tried]
        not_ejected = [upstream for upstream in usable if not upstream.is_ejected(now)]
        # If all are ejected, ejection is ignored.
        pool = not_ejected or usable
        if not tried and (unchecked := self._first_unchecked(not_ejected, now)):
            return unchecked
        available = [
            upstream
            for upstream in pool
            if self._limit.admits(upstream, now, on_time)
            and self._cold_admission.admits(upstream, now)
        ]
        if not available:
            return None
        cost = self._cost.for_opening(pool, opening)
        return min(_rotated(available, self._round), key=cost)

    def _first_unchecked(
        self, upstreams: Iterable[Upstream], now: float
    ) -> Upstream | None:
        """Return an upstream that may be gone, whatever its load.

        An opening shows it: a live one answers at once, and from another one it soon
        moves on.
        """
        for upstream in upstreams:
            if upstream.needs_check(now) and self._cold_admission.admits(upstream, now):
                upstream.checked_at = now
                return upstream
        return None


def _rotated(available: Sequence[Upstream], round_number: int) -> list[Upstream]:
    """Return the candidates so that those of equal cost take turns."""
    start = round_number % len(available)
    return [*available[start:], *available[:start]]


def _rotating_slice(
    upstreams: list[Upstream], round_number: int, limit: int
) -> list[Upstream]:
    """Return `limit` consecutive entries; the start advances with each round."""
    if len(upstreams) <= limit:
        return upstreams
    start = round_number * SAMPLE_STRIDE % len(upstreams)
    wrapped_count = max(0, start + limit - len(upstreams))
    return upstreams[start : start + limit] + upstreams[:wrapped_count]
