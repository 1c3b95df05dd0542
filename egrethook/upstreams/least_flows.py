"""Compares upstreams by their busy flows."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from egrethook.upstreams.selection import Opening, UpstreamPreference
from egrethook.upstreams.upstream import Upstream

REMOTE_DOMAIN_COST = 0.7
"""Cost of an upstream in another failure domain, in busy flows."""

UNANSWERED_DOMAIN_COST = 3.0
"""Cost of an upstream in a domain that left the caller unanswered, in busy flows."""

UNANSWERED_COST = 6.0
"""Cost of an upstream that left the caller unanswered, in busy flows."""

SLOW_SERVICE_TIME_FACTOR = 2.0
"""Factor over the median service time above which an upstream is slow."""


class LeastFlowsCost:
    """Prefers few busy flows, the local failure domain and normal service times.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    preference : UpstreamPreference, optional
        Upstreams that this balancer prefers, all else being equal.
    """

    def __init__(
        self, domain: str, preference: UpstreamPreference | None = None
    ) -> None:
        self._domain = domain
        self._preference = preference

    def for_opening(
        self, pool: Sequence[Upstream], opening: Opening
    ) -> Callable[[Upstream], float]:
        """Return the cost function for comparing candidates, in busy flows."""
        unanswered = unanswered_upstreams(opening)
        unanswered_domains = {upstream.domain for upstream in unanswered}
        times = sorted(
            upstream.service_time_s for upstream in pool if upstream.service_time_s
        )
        typical_s = times[len(times) // 2] if times else 0.0
        domain = self._domain
        idle_weight = busy_share(pool)
        preference = self._preference
        additional_cost = preference.additional_cost if preference else None

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

    def note_placed(self, upstream: Upstream, opening: Opening) -> None:
        """Do nothing; busy flows are counted elsewhere."""


def unanswered_upstreams(opening: Opening) -> Collection[Upstream]:
    """Return the upstreams that left the opening, or an earlier one, unanswered."""
    if not opening.tried and not opening.avoided:
        return ()
    return [*opening.tried, *opening.avoided]


def busy_share(pool: Sequence[Upstream]) -> float:
    """Return the expected cost of an idle flow: the share of time flows are busy."""
    busy = sum([upstream.busy_flows for upstream in pool])
    idle = sum([upstream.idle_flows for upstream in pool])
    return busy / (busy + idle) if idle else 0.0
