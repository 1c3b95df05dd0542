"""Assembles the parts that place, queue and forward the flows of callers.

A forwarding process and the replays in virtual time use the same assembly.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, NamedTuple

from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.segments import PacketPort, SegmentCodec
from egrethook.discovery.view import ForwardingView
from egrethook.forwarding.features import Feature
from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.selection import LowestCostSelector, UpstreamSelector

if TYPE_CHECKING:
    from egrethook.upstreams.explanation import ChoiceExplainer
    from egrethook.upstreams.learned_speeds import LearnedSpeeds
    from egrethook.upstreams.outliers import OutlierDetector
    from egrethook.upstreams.placement import ExpectedFinishCost
    from egrethook.upstreams.request_costs import RequestCosts
    from egrethook.upstreams.slow_start import SlowStartSelector
    from egrethook.upstreams.speeds import SpeedTable
    from egrethook.upstreams.subsets import PreferredSubsets


class CostAwarePlacement(NamedTuple):
    """The parts that learn what openings cost, and what compares upstreams by it."""

    costs: RequestCosts
    speeds: LearnedSpeeds
    comparison: ExpectedFinishCost


class DataPath(NamedTuple):
    """The parts that decide where the flows of callers go.

    Those of a feature that is off are None.

    Parameters
    ----------
    new_explainer : callable
        Returns what explains where an opening would go.
    outliers : OutlierDetector or None
        Finds upstreams that fail requests.
    cost_aware : CostAwarePlacement or None
        What requests cost, and the speeds of upstreams.
    subsets : PreferredSubsets or None
        What this balancer prefers among the upstreams.
    speeds : SpeedTable or None
        The estimates that balancers exchange.
    """

    dispatcher: FlowDispatcher
    health: PassiveHealth
    selector: UpstreamSelector
    new_explainer: Callable[[], ChoiceExplainer]
    outliers: OutlierDetector | None = None
    cost_aware: CostAwarePlacement | None = None
    subsets: PreferredSubsets | None = None
    speeds: SpeedTable | None = None


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
    if features or live_balancers is not None:
        from egrethook.forwarding.feature_path import build_data_path_with_features

        return build_data_path_with_features(
            name,
            domain,
            features,
            view,
            codec,
            port,
            limit,
            cold_admission,
            live_balancers,
        )
    health = PassiveHealth(name)
    cost = LeastFlowsCost(domain)
    selector = LowestCostSelector(domain, limit, cold_admission, cost)
    dispatcher = FlowDispatcher(view, codec, port, selector, limit, health)
    return DataPath(
        dispatcher,
        health,
        selector,
        lambda: new_explainer(selector, limit, cold_admission, cost),
    )


def new_explainer(
    selector: LowestCostSelector,
    limit: FlowLimit,
    cold_admission: ColdAdmission,
    flow_cost: LeastFlowsCost,
    comparison: ExpectedFinishCost | None = None,
    subsets: PreferredSubsets | None = None,
    outliers: OutlierDetector | None = None,
    slow_start: SlowStartSelector | None = None,
) -> ChoiceExplainer:
    """Return what explains choices; few processes are ever asked to."""
    from egrethook.upstreams.explanation import (
        CandidateCosts,
        ChoiceExplainer,
        FinishCosts,
        FlowCosts,
    )

    costs: CandidateCosts = FlowCosts(flow_cost)
    if comparison is not None:
        costs = FinishCosts(comparison)
    return ChoiceExplainer(
        selector, limit, cold_admission, costs, subsets, outliers, slow_start
    )
