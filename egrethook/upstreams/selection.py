"""Which upstream gets a new flow."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol

from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.upstream import Upstream

REMOTE_COST = 0.7
"""What a way to another failure domain counts for, in busy flows."""

SILENT_DOMAIN_COST = 3.0
"""What a failure domain that left this opening unanswered counts for, in busy flows."""

SILENT_COST = 6.0
"""What an upstream that left the caller unanswered counts for, in busy flows."""

NEAR_LIMIT = 48
"""Most upstreams of the own failure domain that are compared for one opening."""

FAR_LIMIT = 16
"""Most upstreams of other failure domains that are compared for one opening."""

WINDOW_STRIDE = 31
"""Places by which the upstreams compared move on with each opening."""

SLOW_FACTOR = 2.0
"""An upstream whose mean service time exceeds the service's by this is slow."""


class UpstreamSelector(Protocol):
    """Chooses among the upstreams that may take a new flow."""

    def choose(
        self,
        candidates: Sequence[Upstream],
        tried: Collection[Upstream],
        avoided: Collection[Upstream],
        now: float,
    ) -> Upstream | None:
        """Return the best candidate with room, or None if none has room.

        Parameters
        ----------
        tried : collection of Upstream
            Have had this opening; they don't get it again.
        avoided : collection of Upstream
            Left an earlier opening of the caller unanswered.
        """
        ...


class _Split(NamedTuple):
    """Candidates, and those among them of the own and of other failure domains."""

    candidates: Sequence[Upstream]
    near: list[Upstream]
    far: list[Upstream]


class LeastFlowsSelector:
    """Prefers the fewest busy flows, its own failure domain and good answers.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    limit : FlowLimit
        Bounds the busy flows of each upstream.
    cold : ColdAdmission
        Bounds what cold upstreams get.
    """

    def __init__(self, domain: str, limit: FlowLimit, cold: ColdAdmission) -> None:
        self._cold = cold
        self._domain = domain
        self._limit = limit
        self._turn = 0
        self._splits: dict[str, _Split] = {}

    def choose(
        self,
        candidates: Sequence[Upstream],
        tried: Collection[Upstream],
        avoided: Collection[Upstream],
        now: float,
    ) -> Upstream | None:
        """Return the best candidate with room, or None if none has room."""
        self._turn += 1
        chosen = self._best(self._some(candidates), tried, avoided, now)
        if chosen is None and len(candidates) > NEAR_LIMIT + FAR_LIMIT:
            chosen = self._best(candidates, tried, avoided, now)
        if chosen is not None:
            self._cold.note_sent(chosen, now)
        return chosen

    def _some(self, candidates: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return all candidates, or in turn some of very many."""
        if len(candidates) <= NEAR_LIMIT + FAR_LIMIT:
            return candidates
        _, near, far = self._split(candidates)
        return [
            *_window(near, self._turn, NEAR_LIMIT),
            *_window(far, self._turn, FAR_LIMIT),
        ]

    def _split(self, candidates: Sequence[Upstream]) -> _Split:
        """Return the candidates of the own failure domain, and the others."""
        service = candidates[0].service
        known = self._splits.get(service)
        if known is None or known.candidates is not candidates:
            near = [one for one in candidates if one.domain == self._domain]
            far = [one for one in candidates if one.domain != self._domain]
            known = self._splits[service] = _Split(candidates, near, far)
        return known

    def _best(
        self,
        candidates: Iterable[Upstream],
        tried: Collection[Upstream],
        avoided: Collection[Upstream],
        now: float,
    ) -> Upstream | None:
        usable = [candidate for candidate in candidates if candidate not in tried]
        trusted = [one for one in usable if not one.is_distrusted(now)]
        pool = trusted or usable
        roomy = [
            one
            for one in pool
            if self._limit.admits(one) and self._cold.admits(one, now)
        ]
        if not roomy:
            return None
        # Equal candidates take turns.
        start = self._turn % len(roomy)
        cost = self._cost(pool, [*tried, *avoided])
        return min(roomy[start:] + roomy[:start], key=cost)

    def _cost(
        self, pool: list[Upstream], silent: Collection[Upstream]
    ) -> Callable[[Upstream], float]:
        """Return the function by which candidates are compared."""
        silent_domains = {one.domain for one in silent}
        times = sorted(one.service_time_s for one in pool if one.service_time_s)
        typical_s = times[len(times) // 2] if times else 0.0
        domain = self._domain
        # What an idle flow will cost: the share of time for which flows are busy.
        busy = sum(one.busy_flows for one in pool)
        idle = sum(one.idle_flows for one in pool)
        idle_weight = busy / (busy + idle) if idle else 0.0

        def cost(one: Upstream) -> float:
            value = one.busy_flows + idle_weight * one.idle_flows + 1.0
            if one.service_time_s > SLOW_FACTOR * typical_s > 0.0:
                value *= one.service_time_s / typical_s
            if one.domain != domain:
                value += REMOTE_COST
            if one.domain in silent_domains:
                value += SILENT_DOMAIN_COST
            if one in silent:
                value += SILENT_COST
            return value

        return cost


def _window(upstreams: list[Upstream], turn: int, limit: int) -> list[Upstream]:
    """Return some neighbours of a list; the window moves on with each turn."""
    if len(upstreams) <= limit:
        return upstreams
    start = turn * WINDOW_STRIDE % len(upstreams)
    wrapped = max(0, start + limit - len(upstreams))
    return upstreams[start : start + limit] + upstreams[:wrapped]
