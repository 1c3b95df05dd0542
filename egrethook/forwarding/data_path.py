"""Assembles the parts that place, queue and forward the flows of callers.

A forwarding process and the replays in virtual time use the same assembly.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

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
from egrethook.upstreams.requests import RequestListener
from egrethook.upstreams.selection import (
    CandidateFilter,
    LeastFlowsSelector,
    UpstreamSelector,
)
from egrethook.upstreams.slow_start import SlowStartSelector


class DataPath(NamedTuple):
    """The parts that decide where the flows of callers go."""

    dispatcher: FlowDispatcher
    health: PassiveHealth
    selector: UpstreamSelector


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
    selector: UpstreamSelector = LeastFlowsSelector(
        domain, limit, cold_admission, filters
    )
    counts = DispatcherCounts()
    queueing: QueueingPolicy | None = None
    if Feature.FAIR_QUEUEING in features:
        queueing = _fair_queueing(counts, listeners)
    if live_balancers is not None:
        selector = _with_slow_start(selector, live_balancers, listeners)
    dispatcher = FlowDispatcher(
        view, codec, port, selector, limit, health, listeners, counts, queueing
    )
    return DataPath(dispatcher, health, selector)


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
