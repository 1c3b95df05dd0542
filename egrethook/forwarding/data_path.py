"""Assembles the parts that place, queue and forward the flows of callers.

A forwarding process and the replays in virtual time use the same assembly.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple
from zlib import crc32

from egrethook.callers.fair_queueing import FairQueueing, MeasuredCost
from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.forwarded_flow import DispatcherCounts
from egrethook.callers.queueing_policy import QueueingPolicy
from egrethook.callers.segments import PacketPort, SegmentCodec
from egrethook.callers.service_rate import SmoothedServiceRate
from egrethook.discovery.view import ForwardingView
from egrethook.forwarding.features import Feature
from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.learned_speeds import LearnedSpeeds
from egrethook.upstreams.outlier_selection import OutlierSelector
from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.outstanding import OutstandingWork
from egrethook.upstreams.placement import ExpectedFinishCost, LeastFlowsCost
from egrethook.upstreams.request_costs import RequestCosts
from egrethook.upstreams.requests import RequestListener, StallListener
from egrethook.upstreams.selection import (
    CandidateFilter,
    CostTerm,
    LowestCostSelector,
    PlacementCost,
    UpstreamSelector,
)
from egrethook.upstreams.slow_start import SlowStartSelector


class CostAwarePlacement(NamedTuple):
    """The parts that learn what openings cost, and what compares upstreams by it."""

    costs: RequestCosts
    speeds: LearnedSpeeds
    comparison: ExpectedFinishCost


class DataPath(NamedTuple):
    """The parts that decide where the flows of callers go.

    `outliers` and `cost_aware` are None if their features are off.
    """

    dispatcher: FlowDispatcher
    health: PassiveHealth
    selector: UpstreamSelector
    outliers: OutlierDetector | None = None
    cost_aware: CostAwarePlacement | None = None


def build_data_path(
    name: str,
    domain: str,
    features: Collection[Feature],
    view: ForwardingView,
    codec: SegmentCodec,
    port: PacketPort,
    limit: FlowLimit,
    cold_admission: ColdAdmission,
    live_balancers: Callable[[], int] | None = None,
) -> DataPath:
    """Return the connected parts of one balancer.

    Parameters
    ----------
    name, domain : str
        The name of the balancer and its failure domain.
    features : collection of Feature
        The optional parts that are switched on.
    view : ForwardingView
        The current routes and upstreams.
    codec : SegmentCodec
        Reads and writes packet headers.
    port : PacketPort
        Sends packets to upstreams and callers.
    limit : FlowLimit
        Limits the busy flows of each upstream.
    cold_admission : ColdAdmission
        Limits the openings of cold upstreams.
    live_balancers : callable, optional
        Returns the number of live balancers, this one included; 0 if unknown. If
        given, the flows of a service grow by slow start after the start.
    """
    health = PassiveHealth(name)
    filters: list[CandidateFilter] = []
    listeners: list[RequestListener] = []
    stall_listeners: list[StallListener] = []
    terms: list[CostTerm] = []
    cost: PlacementCost = LeastFlowsCost(domain)
    cost_aware = None
    first_round = 0
    if Feature.COST_AWARE_PLACEMENT in features:
        cost_aware = _cost_aware_placement(domain, terms)
        cost = cost_aware.comparison
        listeners += [cost_aware.speeds, cost_aware.costs]
        first_round = crc32(name.encode())
    selector: UpstreamSelector = LowestCostSelector(
        domain, limit, cold_admission, cost, filters, first_round
    )
    outliers = None
    if Feature.OUTLIER_EJECTION in features:
        outliers = OutlierDetector(name, lambda service: len(view.candidates(service)))
        listeners.append(outliers)
        stall_listeners.append(outliers)
        selector = OutlierSelector(selector, outliers)
    if live_balancers is not None:
        selector = _with_slow_start(selector, live_balancers, listeners)
    counts = DispatcherCounts()
    queueing: QueueingPolicy | None = None
    if Feature.FAIR_QUEUEING in features:
        queueing = _fair_queueing(counts, listeners)
    dispatcher = FlowDispatcher(
        view,
        codec,
        port,
        selector,
        limit,
        health,
        listeners,
        stall_listeners,
        counts,
        queueing,
    )
    return DataPath(dispatcher, health, selector, outliers, cost_aware)


def _cost_aware_placement(domain: str, terms: Sequence[CostTerm]) -> CostAwarePlacement:
    """Return the connected parts of cost-aware placement."""
    costs = RequestCosts()
    speeds = LearnedSpeeds(costs)
    costs.set_time_factors(speeds)
    outstanding = OutstandingWork(costs)
    comparison = ExpectedFinishCost(domain, costs, speeds, outstanding, terms)
    return CostAwarePlacement(costs, speeds, comparison)


def _fair_queueing(
    counts: DispatcherCounts, listeners: list[RequestListener]
) -> QueueingPolicy:
    """Return the policy for fair queueing; it learns rate and costs as a listener."""
    rate = SmoothedServiceRate()
    costs = MeasuredCost()
    listeners += [rate, costs]
    return FairQueueing(rate, costs, counts)


def _with_slow_start(
    selector: UpstreamSelector,
    live_balancers: Callable[[], int],
    listeners: list[RequestListener],
) -> UpstreamSelector:
    """Return a selector with slow start; it learns from prompt answers."""
    slow_start = SlowStartSelector(selector, live_balancers)
    listeners.append(slow_start)
    return slow_start
