"""Assembles the parts that place, queue and forward the flows of callers.

A forwarding process and the replays in virtual time use the same assembly.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple
from zlib import crc32

from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.segments import PacketPort, SegmentCodec
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
from egrethook.upstreams.speeds import SpeedTable
from egrethook.upstreams.subsets import PreferredSubsets


class DataPath(NamedTuple):
    """The parts that decide where the flows of callers go.

    Parameters
    ----------
    subsets : PreferredSubsets or None
        What this balancer prefers among the upstreams, if that is switched on.
    speeds : SpeedTable or None
        The estimates that balancers exchange, if that is switched on.
    """

    dispatcher: FlowDispatcher
    health: PassiveHealth
    selector: UpstreamSelector
    subsets: PreferredSubsets | None
    speeds: SpeedTable | None


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
    subsets = None
    speeds: SpeedTable | None = None
    first_round = 0
    if Feature.SHARED_SPEEDS in features:
        subsets = PreferredSubsets(domain, view.accepts_flows)
        first_round = crc32(name.encode())
    selector = LeastFlowsSelector(
        domain, limit, cold_admission, filters, subsets, first_round
    )
    dispatcher = FlowDispatcher(view, codec, port, selector, limit, health, listeners)
    return DataPath(dispatcher, health, selector, subsets, speeds)
