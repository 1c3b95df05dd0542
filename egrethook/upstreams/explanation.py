"""Explains which upstream an opening would get now, without placing it.

Nothing here changes what a selector, a limit or a detector remembers.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.placement import (
    CandidateEstimate,
    ExpectedFinishCost,
)
from egrethook.upstreams.selection import (
    LOCAL_SAMPLE_SIZE,
    REMOTE_SAMPLE_SIZE,
    LowestCostSelector,
    Opening,
    UpstreamPreference,
)
from egrethook.upstreams.slow_start import SlowStartSelector
from egrethook.upstreams.upstream import Upstream


class Reason(enum.Enum):
    """Why a candidate would be chosen, or why not."""

    CHOSEN = "chosen"
    TRIAL = "chosen: a trial is due"
    CHECK = "chosen: it may be gone, and an opening shows it"
    HIGHER_COST = "higher cost"
    NO_ROOM = "no room"
    COLD = "cold: its share of openings is used"
    EJECTED = "ejected: it left openings unanswered"
    LEFT_OUT = "left out: its answers differ from its peers'"


class Hold(enum.Enum):
    """Why an opening would get no upstream at once."""

    NO_CANDIDATE = "no upstream may get new flows"
    NO_ROOM = "no upstream has room"
    NO_ROOM_IN_SAMPLE = "none of the sample has room; all would be compared"
    SLOW_START = "the window of the slow start is full"


class CandidateCost(NamedTuple):
    """The cost by which a candidate is compared.

    Parameters
    ----------
    value : float
        The cost, in the unit of its `CandidateCosts`.
    estimate : CandidateEstimate or None
        What it consists of, if it is an expected finish.
    """

    value: float
    estimate: CandidateEstimate | None = None


class CandidateCosts(Protocol):
    """Tells the cost of candidates, without an effect on later choices."""

    @property
    def unit(self) -> str:
        """The unit of the costs."""
        ...

    def of(self, pool: Sequence[Upstream], opening: Opening) -> list[CandidateCost]:
        """Return the cost of each candidate; the pool is not empty."""
        ...


class FinishCosts:
    """The expected finish of each candidate, in seconds."""

    unit = "s"

    def __init__(self, comparison: ExpectedFinishCost) -> None:
        self._comparison = comparison

    def of(self, pool: Sequence[Upstream], opening: Opening) -> list[CandidateCost]:
        """Return the cost of each candidate; the pool is not empty."""
        estimates = self._comparison.estimates(pool, opening)
        return [CandidateCost(one.compared_s, one) for one in estimates]


class FlowCosts:
    """The busy flows of each candidate, with what is added to them."""

    unit = "flows"

    def __init__(self, comparison: LeastFlowsCost) -> None:
        self._comparison = comparison

    def of(self, pool: Sequence[Upstream], opening: Opening) -> list[CandidateCost]:
        """Return the cost of each candidate; the pool is not empty."""
        cost = self._comparison.for_opening(pool, opening)
        return [CandidateCost(cost(upstream)) for upstream in pool]


class ExplainedCandidate(NamedTuple):
    """What a choice would know of one upstream.

    Parameters
    ----------
    flow_limit : float
        Limit of its busy flows; below 1.0 it means pauses between flows.
    preference : float
        Additional cost because other balancers prefer it, in busy flows or requests.
    """

    upstream: Upstream
    reason: Reason
    cost: CandidateCost
    flow_limit: float
    is_ejected: bool
    is_left_out: bool
    is_cold: bool
    preference: float


class ChoiceExplanation(NamedTuple):
    """What would happen to an opening now.

    Parameters
    ----------
    unit : str
        The unit of the costs.
    total : int
        Number of upstreams that may get new flows, compared or not.
    hold : Hold or None
        Why none would be chosen at once; None if one is.
    candidates : list of ExplainedCandidate
        Those compared first: the chosen one, the others with room by cost, the rest.
    """

    unit: str
    total: int
    hold: Hold | None
    candidates: list[ExplainedCandidate]


class _Pick(NamedTuple):
    """The upstream that would be chosen, and why."""

    upstream: Upstream
    reason: Reason


class ChoiceExplainer:
    """Explains the choices of the selectors that share the given parts.

    Parameters
    ----------
    selector : LowestCostSelector
        Knows which candidates are compared next, and in which order.
    limit : FlowLimit
        Limits the busy flows of each upstream.
    cold_admission : ColdAdmission
        Limits the openings of cold upstreams.
    costs : CandidateCosts
        Compares candidates.
    preference : UpstreamPreference, optional
        Upstreams that this balancer prefers.
    outliers : OutlierDetector, optional
        Knows which upstreams are left out.
    slow_start : SlowStartSelector, optional
        Holds openings back after the start.
    """

    def __init__(
        self,
        selector: LowestCostSelector,
        limit: FlowLimit,
        cold_admission: ColdAdmission,
        costs: CandidateCosts,
        preference: UpstreamPreference | None = None,
        outliers: OutlierDetector | None = None,
        slow_start: SlowStartSelector | None = None,
    ) -> None:
        self._selector = selector
        self._limit = limit
        self._cold_admission = cold_admission
        self._costs = costs
        self._preference = preference
        self._outliers = outliers
        self._slow_start = slow_start

    def explain(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> ChoiceExplanation:
        """Return what a new opening would meet; changes nothing.

        Parameters
        ----------
        candidates : sequence of Upstream
            The upstreams of one service that may get new flows.
        opening : Opening
            The opening; no upstream has got it yet.
        """
        unit = self._costs.unit
        if not candidates:
            return ChoiceExplanation(unit, 0, Hold.NO_CANDIDATE, [])
        now = opening.now
        admitted = self._admitted(candidates, now)
        compared = self._selector.next_sample(admitted)
        not_ejected = [one for one in compared if not one.is_ejected(now)]
        pool = not_ejected or compared
        reasons = {one: self._obstacle(one, opening) for one in pool}
        costs = dict(zip(pool, self._costs.of(pool, opening), strict=True))
        available = [one for one in pool if reasons[one] is Reason.HIGHER_COST]
        pick = self._first_pick(candidates, not_ejected, opening)
        hold = None
        if self._slow_start and self._slow_start.holds_back(candidates, now):
            pick, hold = None, Hold.SLOW_START
        elif pick is None and available:
            order = self._selector.next_order(available)
            best = min(order, key=lambda upstream: costs[upstream].value)
            pick = _Pick(best, Reason.CHOSEN)
        elif pick is None:
            is_whole = len(compared) == len(admitted)
            hold = Hold.NO_ROOM if is_whole else Hold.NO_ROOM_IN_SAMPLE
        if pick is not None:
            reasons[pick.upstream] = pick.reason
        shown = self._shown(candidates, compared, pick, now)
        others = [one for one in shown if one not in costs]
        costs |= self._costs_of_others(pool, others, opening)
        explained = [
            self._explained(one, reasons.get(one), costs[one], opening) for one in shown
        ]
        explained.sort(key=_order)
        return ChoiceExplanation(unit, len(candidates), hold, explained)

    def _admitted(
        self, candidates: Sequence[Upstream], now: float
    ) -> Sequence[Upstream]:
        """Return the candidates without outliers, or all if nothing is left."""
        outliers = self._outliers
        if outliers is None or outliers.is_idle:
            return candidates
        admitted = [one for one in candidates if outliers.admits(one, now)]
        return admitted or candidates

    def _obstacle(self, upstream: Upstream, opening: Opening) -> Reason:
        """Return why an upstream may not be chosen, else that its cost decides."""
        if not self._limit.admits(upstream, opening.now, opening.on_time):
            return Reason.NO_ROOM
        if not self._cold_admission.would_admit(upstream, opening.now):
            return Reason.COLD
        return Reason.HIGHER_COST

    def _first_pick(
        self,
        candidates: Sequence[Upstream],
        not_ejected: Sequence[Upstream],
        opening: Opening,
    ) -> _Pick | None:
        """Return what is chosen before costs are compared, if anything is."""
        now = opening.now
        if self._outliers is not None:
            trial = self._outliers.next_trial(candidates, opening)
            if trial is not None:
                return _Pick(trial, Reason.TRIAL)
        for upstream in not_ejected:
            if upstream.needs_check(now) and self._cold_admission.would_admit(
                upstream, now
            ):
                return _Pick(upstream, Reason.CHECK)
        return None

    def _costs_of_others(
        self, pool: Sequence[Upstream], others: list[Upstream], opening: Opening
    ) -> dict[Upstream, CandidateCost]:
        """Return what upstreams outside of the pool would cost beside it."""
        costs = self._costs.of([*pool, *others], opening)[len(pool) :]
        return dict(zip(others, costs, strict=True))

    def _shown(
        self,
        candidates: Sequence[Upstream],
        compared: Sequence[Upstream],
        pick: _Pick | None,
        now: float,
    ) -> list[Upstream]:
        """Return what is compared, then outliers while there are few."""
        shown = dict.fromkeys(compared)
        if pick is not None:
            shown[pick.upstream] = None
        outliers = self._outliers
        if outliers is None or outliers.is_idle:
            return list(shown)
        left_out = [one for one in candidates if not outliers.admits(one, now)]
        free = max(0, LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE - len(shown))
        return list(shown | dict.fromkeys(left_out[:free]))

    def _explained(
        self,
        upstream: Upstream,
        reason: Reason | None,
        cost: CandidateCost,
        opening: Opening,
    ) -> ExplainedCandidate:
        now = opening.now
        is_left_out = self._outliers is not None and not self._outliers.admits(
            upstream, now
        )
        if reason is None:
            reason = Reason.LEFT_OUT if is_left_out else Reason.EJECTED
            if not is_left_out and not upstream.is_ejected(now):
                reason = self._obstacle(upstream, opening)
        preference = self._preference
        return ExplainedCandidate(
            upstream,
            reason,
            cost,
            self._limit.limit_of(upstream, opening.on_time),
            upstream.is_ejected(now),
            is_left_out,
            upstream.is_cold(now),
            preference.additional_cost(upstream) if preference else 0.0,
        )


_RANKS = {Reason.CHOSEN: 0, Reason.TRIAL: 0, Reason.CHECK: 0, Reason.HIGHER_COST: 1}
"""Order in which candidates are shown, before their cost; others come last."""


def _order(candidate: ExplainedCandidate) -> tuple[int, float]:
    return _RANKS.get(candidate.reason, 2), candidate.cost.value
