"""Assembles the data path of a balancer with optional features.

Processes without any don't import this module, since they would start later.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from zlib import crc32

from egrethook.callers.fair_queueing import FairQueueing, MeasuredCost
from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.forwarded_flow import DispatcherCounts
from egrethook.callers.segments import PacketPort, SegmentCodec
from egrethook.callers.service_rate import SmoothedServiceRate
from egrethook.discovery.view import ForwardingView
from egrethook.forwarding.data_path import (
    CostAwarePlacement,
    DataPath,
    new_explainer,
)
from egrethook.forwarding.features import Feature
from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.learned_speeds import LearnedSpeeds
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.outlier_selection import OutlierSelector
from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.outstanding import OutstandingWork
from egrethook.upstreams.placement import ExpectedFinishCost
from egrethook.upstreams.plausible_answers import PlausibleAnswers
from egrethook.upstreams.request_costs import RequestCosts
from egrethook.upstreams.requests import RequestListener, StallListener
from egrethook.upstreams.selection import (
    LowestCostSelector,
    PlacementCost,
    UpstreamPreference,
    UpstreamSelector,
)
from egrethook.upstreams.slow_start import SlowStartSelector
from egrethook.upstreams.subsets import PreferredSubsets


def build_data_path_with_features(
    name: str,
    domain: str,
    features: Collection[Feature],
    view: ForwardingView,
    codec: SegmentCodec,
    port: PacketPort,
    limit: FlowLimit,
    cold_admission: ColdAdmission,
    live_balancers: Callable[[], int] | None,
) -> DataPath:
    """Return the connected parts of one balancer; see `build_data_path`."""
    health = PassiveHealth(name)
    listeners: list[RequestListener] = []
    learners: list[RequestListener] = []
    stall_listeners: list[StallListener] = []
    subsets = outliers = cost_aware = queueing = None
    if Feature.SHARED_SPEEDS in features:
        subsets = PreferredSubsets(domain, view.accepts_flows)
    flow_cost = LeastFlowsCost(domain, subsets)
    cost: PlacementCost = flow_cost
    comparison = None
    if Feature.COST_AWARE_PLACEMENT in features:
        cost_aware = _cost_aware_placement(domain, subsets)
        cost = comparison = cost_aware.comparison
        learners += [cost_aware.speeds, cost_aware.costs]
    starts_apart = subsets is not None or cost_aware is not None
    first_round = crc32(name.encode()) if starts_apart else 0
    lowest_cost = LowestCostSelector(
        domain, limit, cold_admission, cost, subsets, first_round
    )
    selector: UpstreamSelector = lowest_cost
    slow_start = None
    if Feature.OUTLIER_EJECTION in features:
        outliers = OutlierDetector(name, lambda service: len(view.candidates(service)))
        listeners.append(outliers)
        stall_listeners.append(outliers)
        selector = OutlierSelector(selector, outliers)
        learners = [PlausibleAnswers(outliers, learners)]
    if live_balancers is not None:
        slow_start = SlowStartSelector(selector, live_balancers)
        listeners.append(slow_start)
        selector = slow_start
    counts = DispatcherCounts()
    if Feature.FAIR_QUEUEING in features:
        rate, costs = SmoothedServiceRate(), MeasuredCost()
        listeners += [rate, costs]
        queueing = FairQueueing(rate, costs, counts)
    dispatcher = FlowDispatcher(
        view,
        codec,
        port,
        selector,
        limit,
        health,
        [*listeners, *learners],
        stall_listeners,
        counts,
        queueing,
    )
    speeds = cost_aware.speeds if cost_aware and subsets else None
    return DataPath(
        dispatcher,
        health,
        selector,
        lambda: new_explainer(
            lowest_cost,
            limit,
            cold_admission,
            flow_cost,
            comparison,
            subsets,
            outliers,
            slow_start,
        ),
        outliers,
        cost_aware,
        subsets,
        speeds,
    )


def _cost_aware_placement(
    domain: str, preference: UpstreamPreference | None
) -> CostAwarePlacement:
    """Return the connected parts of cost-aware placement."""
    costs = RequestCosts()
    speeds = LearnedSpeeds(costs)
    costs.set_time_factors(speeds)
    outstanding = OutstandingWork(costs)
    comparison = ExpectedFinishCost(domain, costs, speeds, outstanding, preference)
    return CostAwarePlacement(costs, speeds, comparison)
