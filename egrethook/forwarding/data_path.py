"""Assembles the parts that place, queue and forward the flows of callers.

A forwarding process and the replays in virtual time use the same assembly.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.segments import PacketPort, SegmentCodec
from egrethook.discovery.view import ForwardingView
from egrethook.forwarding.features import Feature
from egrethook.upstreams.cold_limit import ColdAdmission
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.outlier_selection import OutlierSelector
from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.requests import RequestListener, StallListener
from egrethook.upstreams.selection import (
    CandidateFilter,
    LeastFlowsSelector,
    UpstreamSelector,
)


class DataPath(NamedTuple):
    """The parts that decide where the flows of callers go.

    `outliers` is None if that part is switched off.
    """

    dispatcher: FlowDispatcher
    health: PassiveHealth
    selector: UpstreamSelector
    outliers: OutlierDetector | None


def build_data_path(
    name: str,
    domain: str,
    features: Collection[Feature],
    view: ForwardingView,
    codec: SegmentCodec,
    port: PacketPort,
    limit: FlowLimit,
    cold_admission: ColdAdmission,
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
    """
    health = PassiveHealth(name)
    filters: list[CandidateFilter] = []
    listeners: list[RequestListener] = []
    stall_listeners: list[StallListener] = []
    selector: UpstreamSelector = LeastFlowsSelector(
        domain, limit, cold_admission, filters
    )
    outliers = None
    if Feature.OUTLIER_EJECTION in features:
        outliers = OutlierDetector(name, lambda service: len(view.candidates(service)))
        listeners.append(outliers)
        stall_listeners.append(outliers)
        selector = OutlierSelector(selector, outliers)
    dispatcher = FlowDispatcher(
        view, codec, port, selector, limit, health, listeners, stall_listeners
    )
    return DataPath(dispatcher, health, selector, outliers)
