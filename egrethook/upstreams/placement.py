"""Compares upstreams by when they are expected to answer."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Protocol

from egrethook.discovery.records import Route
from egrethook.upstreams.least_flows import (
    UNANSWERED_COST,
    UNANSWERED_DOMAIN_COST,
    busy_share,
    unanswered_upstreams,
)
from egrethook.upstreams.outstanding import OutstandingWork, PlacedWork
from egrethook.upstreams.selection import Opening, UpstreamPreference
from egrethook.upstreams.upstream import Upstream

REMOTE_SHARE_COST = 0.2
"""Cost of an upstream in another failure domain, in requests of expected cost."""

PLACED_SHARE_COST = 0.5
"""Cost of an upstream that got the mean placed work of its domain, in requests.

Other balancers place theirs likewise: what they have at an upstream can't be seen here.
It doesn't count where a preference keeps the choices of balancers apart.
"""

OVERLOADED_COST_S = 30.0
"""Cost of an upstream whose expected wait exceeds the objective, in seconds."""

SUMMARY_LIFE_S = 0.5
"""Time for which what candidates cost without load is kept, in seconds."""


class CandidateEstimate(NamedTuple):
    """What is expected of an upstream for one opening. All times are in seconds.

    Parameters
    ----------
    time_factor : float
        How long the upstream takes, compared with a typical one.
    service_s : float
        Expected time that it works on the request.
    outstanding_s : float
        Work that it still has to do for this balancer.
    wait_s : float
        Expected wait for one of its slots.
    crowding_s : float
        Expected wait for what other balancers have placed there.
    domain_s : float
        Cost of being in another failure domain.
    penalty_s : float
        For earlier silence, and for an expected wait above the latency objective.
    preference_s : float
        For an upstream that other balancers prefer.
    compared_s : float
        What the choice compares: `finish_s`, parts of which it keeps for up to
        `SUMMARY_LIFE_S`.
    """

    upstream: Upstream
    time_factor: float
    service_s: float
    outstanding_s: float
    wait_s: float
    crowding_s: float
    domain_s: float
    penalty_s: float
    preference_s: float
    compared_s: float

    @property
    def finish_s(self) -> float:
        """Expected time until the answer, with all penalties."""
        return (
            self.service_s
            + self.wait_s
            + self.crowding_s
            + self.domain_s
            + self.penalty_s
            + self.preference_s
        )


class ExpectedCosts(Protocol):
    """Tells the expected cost of a new request."""

    def expected_s(self, route: Route, service: str) -> float:
        """Return the expected cost at a typical upstream, in seconds."""
        ...


class UpstreamFactors(Protocol):
    """Tells how long upstreams take, compared with typical ones."""

    @property
    def factors(self) -> dict[int, float]:
        """The time factor of each upstream with an estimate, by token."""
        ...


class _Weights(NamedTuple):
    """What an upstream costs whatever is in progress, in requests of expected cost.

    Parameters
    ----------
    time_factor : float
        How long the upstream takes, compared with a typical one.
    crowding : float
        For what other balancers have placed there.
    domain : float
        For another failure domain.
    preference : float
        For an upstream that other balancers prefer.
    """

    time_factor: float
    crowding: float
    domain: float
    preference: float

    @property
    def total(self) -> float:
        """The sum of all parts."""
        return self.time_factor + self.crowding + self.domain + self.preference


class _PoolSummary:
    """What is kept for a while of the candidates of a service.

    Attributes
    ----------
    valid_until : float
        When it is to be computed anew, in seconds.
    busy_share : float
        Share of the flows that are busy; 0.0 without idle flows.
    placed_means : dict
        Placed work for each slot of a failure domain, by domain.
    one_request : float
        One request in the unit of placed work; evens out small numbers.
    totals : dict
        The total weight of each upstream, by token.
    """

    __slots__ = (
        "busy_share",
        "one_request",
        "placed_means",
        "totals",
        "valid_until",
    )

    def __init__(
        self,
        pool: Sequence[Upstream],
        placed: dict[int, float],
        one_request: float,
        now: float,
    ) -> None:
        self.one_request = one_request
        self.valid_until = now + SUMMARY_LIFE_S
        self.busy_share = busy_share(pool)
        self.totals: dict[int, float] = {}
        work: dict[str, float] = {}
        slots: dict[str, int] = {}
        for upstream in pool:
            domain = upstream.domain
            work[domain] = work.get(domain, 0.0) + placed.get(upstream.token, 0.0)
            slots[domain] = slots.get(domain, 0) + _slots(upstream)
        self.placed_means = {domain: work[domain] / slots[domain] for domain in work}


class _Load(NamedTuple):
    """What an upstream still has to do for this balancer, in seconds."""

    outstanding_s: float
    wait_s: float
    penalty_s: float

    @property
    def cost_s(self) -> float:
        """What it adds to the cost of an opening, in seconds."""
        return self.wait_s + self.penalty_s


class _Context(NamedTuple):
    """What is the same for all candidates of an opening.

    Parameters
    ----------
    cost_s : float
        Expected cost of a request of the route, in seconds.
    unanswered : collection of Upstream
        Upstreams that left the opening, or an earlier one, unanswered.
    """

    now: float
    cost_s: float
    objective_s: float
    summary: _PoolSummary
    unanswered: Collection[Upstream]

    def silence_s(self, upstream: Upstream) -> float:
        """Return the cost of earlier silence, in seconds."""
        if not self.unanswered:
            return 0.0
        value = 0.0
        if any(upstream.domain == one.domain for one in self.unanswered):
            value += UNANSWERED_DOMAIN_COST
        if upstream in self.unanswered:
            value += UNANSWERED_COST
        return value * self.cost_s


class ExpectedFinishCost:
    """Prefers the upstream that is expected to answer first.

    An expected finish is the wait for a slot, with the outstanding work of this
    balancer, and the cost of the route's requests at the upstream's speed. What other
    balancers have there can't be seen; it is taken to be in proportion to what this
    balancer has placed there lately.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    costs : ExpectedCosts
        What requests cost at a typical upstream.
    speeds : UpstreamFactors
        The speeds of upstreams.
    outstanding : OutstandingWork
        What upstreams still have to do for this balancer.
    preference : UpstreamPreference, optional
        Upstreams that this balancer prefers, all else being equal.
    """

    def __init__(
        self,
        domain: str,
        costs: ExpectedCosts,
        speeds: UpstreamFactors,
        outstanding: OutstandingWork,
        preference: UpstreamPreference | None = None,
    ) -> None:
        self._domain = domain
        self._costs = costs
        self._speeds = speeds
        self._outstanding = outstanding
        self._preference = preference
        self._placed = PlacedWork()
        self._summaries: dict[str, _PoolSummary] = {}

    def for_opening(
        self, pool: Sequence[Upstream], opening: Opening
    ) -> Callable[[Upstream], float]:
        """Return the cost function for comparing candidates, in seconds."""
        context = self._context(pool, opening)
        cost_s = context.cost_s
        totals = context.summary.totals

        def cost(upstream: Upstream) -> float:
            total = totals.get(upstream.token)
            if total is None:
                total = totals[upstream.token] = self._weights(upstream, context).total
            value = cost_s * total
            if upstream.requests or upstream.idle_flows:
                value += self._load(upstream, context).cost_s
            if context.unanswered:
                value += context.silence_s(upstream)
            return value

        return cost

    def estimates(
        self, pool: Sequence[Upstream], opening: Opening
    ) -> list[CandidateEstimate]:
        """Return what the cost of each candidate consists of; changes nothing.

        Parameters
        ----------
        pool : sequence of Upstream
            The candidates; not empty.
        """
        cost_s = self._costs.expected_s(opening.route, pool[0].service)
        summary = self._valid_summary(pool, cost_s, opening.now)
        context = _context_of(opening, cost_s, summary)
        return [self._estimate(upstream, context) for upstream in pool]

    def note_placed(self, upstream: Upstream, opening: Opening) -> None:
        """Record that an upstream gets an opening."""
        cost_s = self._costs.expected_s(opening.route, upstream.service)
        time_factor = self._speeds.factors.get(upstream.token, 1.0)
        self._renew_scale(opening.now)
        self._placed.add(upstream, cost_s * time_factor, opening.now)
        summary = self._summaries.get(upstream.service)
        if summary is not None:
            summary.totals.pop(upstream.token, None)

    def _context(self, pool: Sequence[Upstream], opening: Opening) -> _Context:
        """Return what is the same for all candidates of an opening."""
        now = opening.now
        service = pool[0].service
        cost_s = self._costs.expected_s(opening.route, service)
        self._renew_scale(now)
        summary = self._summaries[service] = self._valid_summary(pool, cost_s, now)
        return _context_of(opening, cost_s, summary)

    def _valid_summary(
        self, pool: Sequence[Upstream], cost_s: float, now: float
    ) -> _PoolSummary:
        """Return the summary that is kept, or a new one in place of an old one."""
        summary = self._summaries.get(pool[0].service)
        if summary is not None and now < summary.valid_until:
            return summary
        one_request = cost_s * self._placed.unit(now)
        return _PoolSummary(pool, self._placed.amounts, one_request, now)

    def _renew_scale(self, now: float) -> None:
        """Start a new scale of placed work if it is due."""
        if self._placed.renew_if_due(now):
            self._summaries.clear()

    def _estimate(self, upstream: Upstream, context: _Context) -> CandidateEstimate:
        weights = self._weights(upstream, context)
        load = self._load(upstream, context)
        cost_s = context.cost_s
        silence_s = context.silence_s(upstream)
        total = context.summary.totals.get(upstream.token, weights.total)
        return CandidateEstimate(
            upstream=upstream,
            time_factor=weights.time_factor,
            service_s=weights.time_factor * cost_s,
            outstanding_s=load.outstanding_s,
            wait_s=load.wait_s,
            crowding_s=weights.crowding * cost_s,
            domain_s=weights.domain * cost_s,
            penalty_s=load.penalty_s + silence_s,
            preference_s=weights.preference * cost_s,
            compared_s=cost_s * total + load.cost_s + silence_s,
        )

    def _weights(self, upstream: Upstream, context: _Context) -> _Weights:
        """Return the costs of an upstream that don't change with each opening."""
        one_request = context.summary.one_request
        placed = self._placed.amounts.get(upstream.token, 0.0) / _slots(upstream)
        mean = context.summary.placed_means.get(upstream.domain, 0.0)
        preference = self._preference
        is_placed = preference is not None and preference.is_placed
        crowding = (placed + one_request) / (mean + one_request)
        return _Weights(
            self._speeds.factors.get(upstream.token, 1.0),
            0.0 if is_placed else PLACED_SHARE_COST * crowding,
            REMOTE_SHARE_COST if upstream.domain != self._domain else 0.0,
            preference.additional_cost(upstream) if preference is not None else 0.0,
        )

    def _load(self, upstream: Upstream, context: _Context) -> _Load:
        """Return what an upstream still has to do for this balancer."""
        outstanding_s = self._outstanding.seconds(
            upstream,
            self._speeds.factors.get(upstream.token, 1.0),
            context.summary.busy_share * context.cost_s,
            context.now,
        )
        wait_s = outstanding_s / _slots(upstream)
        penalty_s = OVERLOADED_COST_S if wait_s > context.objective_s else 0.0
        return _Load(outstanding_s, wait_s, penalty_s)


def _context_of(opening: Opening, cost_s: float, summary: _PoolSummary) -> _Context:
    """Return what is the same for all candidates of an opening."""
    return _Context(
        opening.now,
        cost_s,
        opening.route.objective_s,
        summary,
        unanswered_upstreams(opening),
    )


def _slots(upstream: Upstream) -> int:
    """Return the slots of an upstream, at least one."""
    return upstream.record.slots or 1
