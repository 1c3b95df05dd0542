"""Selects the upstream for a new flow."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol

from egrethook.discovery.records import Route
from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.upstream import Upstream

REMOTE_DOMAIN_COST = 0.7
"""Cost of an upstream in another failure domain, in busy flows."""

UNANSWERED_DOMAIN_COST = 3.0
"""Cost of an upstream in a domain that left the caller unanswered, in busy flows."""

UNANSWERED_COST = 6.0
"""Cost of an upstream that left the caller unanswered, in busy flows."""

LOCAL_SAMPLE_SIZE = 48
"""Maximum upstreams of this balancer's failure domain compared for one opening."""

REMOTE_SAMPLE_SIZE = 16
"""Maximum upstreams of other failure domains compared for one opening."""

SAMPLE_STRIDE = 31
"""Positions by which the sample advances with each opening."""

SLOW_SERVICE_TIME_FACTOR = 2.0
"""Factor over the median service time above which an upstream is slow."""


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
        Whether the opening can still meet its latency objective.
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


class CandidateFilter(Protocol):
    """Leaves out upstreams for a while, beyond those that are ejected."""

    def admits(self, upstream: Upstream, opening: Opening) -> bool:
        """Return whether an upstream may get an opening."""
        ...


class UpstreamPreference(Protocol):
    """Prefers some upstreams of a service, all else being equal."""

    def additional_cost(self, upstream: Upstream) -> float:
        """Return the additional cost of an upstream, in busy flows."""
        ...

    def preferred(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that are compared in any case."""
        ...


class _DomainSplit(NamedTuple):
    """Candidates, split into those of this balancer's failure domain and others."""

    candidates: Sequence[Upstream]
    local: list[Upstream]
    remote: list[Upstream]


class LeastFlowsSelector:
    """Prefers few busy flows, the local failure domain and normal service times.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    limit : FlowLimit
        Limits the busy flows of each upstream.
    cold_admission : ColdAdmission
        Limits the openings of cold upstreams.
    filters : sequence of CandidateFilter
        Leave out upstreams; ignored if they leave out all.
    preference : UpstreamPreference, optional
        Adds to the costs of upstreams, and to the sample of a large number of them.
    first_round : int
        Where the rotation among equal candidates starts; balancers that start together
        choose the same upstreams if it is the same for all.
    """

    def __init__(
        self,
        domain: str,
        limit: FlowLimit,
        cold_admission: ColdAdmission,
        filters: Sequence[CandidateFilter] = (),
        preference: UpstreamPreference | None = None,
        first_round: int = 0,
    ) -> None:
        self._preference = preference
        self._filters = filters
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
        chosen = self._best(self._sample(candidates), opening)
        if chosen is None and len(candidates) > LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE:
            chosen = self._best(candidates, opening)
        if chosen is not None:
            self._cold_admission.note_sent(chosen, opening.now)
        return chosen

    def _sample(self, candidates: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return all candidates, or a rotating sample of a large number."""
        if len(candidates) <= LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE:
            return candidates
        _, local, remote = self._split(candidates)
        preference = self._preference
        return [
            *(preference.preferred(candidates[0].service) if preference else ()),
            *_rotating_slice(local, self._round, LOCAL_SAMPLE_SIZE),
            *_rotating_slice(remote, self._round, REMOTE_SAMPLE_SIZE),
        ]

    def _split(self, candidates: Sequence[Upstream]) -> _DomainSplit:
        """Return the candidates split by failure domain.

        The split is cached for each service until the candidate list is replaced.
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
            known = self._splits[service] = _DomainSplit(candidates, local, remote)
        return known

    def _best(
        self, candidates: Iterable[Upstream], opening: Opening
    ) -> Upstream | None:
        tried, now, on_time = opening.tried, opening.now, opening.on_time
        usable = [candidate for candidate in candidates if candidate not in tried]
        not_ejected = [upstream for upstream in usable if not upstream.is_ejected(now)]
        # If all are ejected, ejection is ignored.
        pool = not_ejected or usable
        for candidate_filter in self._filters:
            admitted = [one for one in pool if candidate_filter.admits(one, opening)]
            pool = admitted or pool
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
        # Rotate the order so that candidates of equal cost take turns.
        start = self._round % len(available)
        cost = self._cost(pool, [*tried, *opening.avoided])
        return min(available[start:] + available[:start], key=cost)

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

    def _cost(
        self, pool: list[Upstream], unanswered: Collection[Upstream]
    ) -> Callable[[Upstream], float]:
        """Return the cost function for comparing candidates."""
        unanswered_domains = {upstream.domain for upstream in unanswered}
        times = sorted(
            upstream.service_time_s for upstream in pool if upstream.service_time_s
        )
        typical_s = times[len(times) // 2] if times else 0.0
        domain = self._domain
        preference = self._preference
        additional_cost = preference.additional_cost if preference else None
        # Expected cost of an idle flow: the share of time for which flows are busy.
        busy = sum(upstream.busy_flows for upstream in pool)
        idle = sum(upstream.idle_flows for upstream in pool)
        idle_weight = busy / (busy + idle) if idle else 0.0

        def cost(upstream: Upstream) -> float:
            value = upstream.busy_flows + idle_weight * upstream.idle_flows + 1.0
            if upstream.service_time_s > SLOW_SERVICE_TIME_FACTOR * typical_s > 0.0:
                value *= upstream.service_time_s / typical_s
            if upstream.domain != domain:
                value += REMOTE_DOMAIN_COST
            if upstream.domain in unanswered_domains:
                value += UNANSWERED_DOMAIN_COST
            if upstream in unanswered:
                value += UNANSWERED_COST
            if additional_cost is not None:
                value += additional_cost(upstream)
            return value

        return cost


def _rotating_slice(
    upstreams: list[Upstream], round_number: int, limit: int
) -> list[Upstream]:
    """Return `limit` consecutive entries; the start advances with each round."""
    if len(upstreams) <= limit:
        return upstreams
    start = round_number * SAMPLE_STRIDE % len(upstreams)
    wrapped_count = max(0, start + limit - len(upstreams))
    return upstreams[start : start + limit] + upstreams[:wrapped_count]
