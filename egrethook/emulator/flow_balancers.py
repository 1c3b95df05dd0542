"""The balancers of a simulation: real flow dispatchers with views of their own."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.segments import IPv4Endpoint
from egrethook.discovery.view import ForwardingView
from egrethook.emulator.flow_records import InMemoryDecoder, NoColdLimit
from egrethook.forwarding.data_path import (
    CostAwarePlacement,
    DataPath,
    build_data_path,
)
from egrethook.forwarding.features import Feature
from egrethook.platform.packet_header import PacketHeader
from egrethook.upstreams.flow_limit import AimdFlowLimit, FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.subsets import PreferredSubsets

INITIAL_FLOW_LIMIT = 2


def default_limit() -> FlowLimit:
    """Return the adaptive limit that balancers use by default."""
    return AimdFlowLimit(INITIAL_FLOW_LIMIT)


class BalancerNetwork(Protocol):
    """The network of a simulation as its balancers see it."""

    def passes(self, vm: int, upstream: str) -> bool:
        """Return whether packets of a balancer reach an upstream."""
        ...

    def packet_to_upstream(self, domain: str, name: str, packet: bytes) -> None:
        """Deliver a packet from a balancer to an upstream."""
        ...

    def reset_to_caller(self, port: int) -> None:
        """Deliver a reset from a balancer to the port of a caller."""
        ...

    def gossip_age(self, domain: str, other: str) -> float:
        """Return the time since a domain's balancers heard of another domain's."""
        ...

    def live_balancers(self) -> int:
        """Return the number of balancers that are up."""
        ...


class _SimulatedPacketPort:
    """Passes the packets of a dispatcher to the simulated network."""

    def __init__(self, network: BalancerNetwork, domain: str, vm: int) -> None:
        self._network = network
        self._domain = domain
        self._vm = vm

    def to_upstream(self, address: tuple[str, int], packet: bytes) -> None:
        """Send a packet to an upstream."""
        if self._network.passes(self._vm, address[0]):
            self._network.packet_to_upstream(self._domain, address[0], packet)

    def to_caller(self, caller: IPv4Endpoint, packet: bytes) -> None:
        """Reset the caller; the only packets sent to callers are resets."""
        self._network.reset_to_caller(caller[1])


@dataclass
class SimulatedVm:
    """A balancer with its dispatcher and its view of the configuration.

    A balancer that is not `up` drops all packets; one that is `paused` handles them
    when it goes on.
    """

    domain: str
    view: ForwardingView
    dispatcher: FlowDispatcher
    health: PassiveHealth
    outliers: OutlierDetector | None = None
    name: str = ""
    up: bool = True
    paused: bool = False
    subsets: PreferredSubsets | None = None
    waiting_packets: list[bytes] = field(default_factory=list)
    cost_aware: CostAwarePlacement | None = None
    data_path: DataPath | None = None

    def receive(self, packet: bytes, now: float) -> None:
        """Handle a packet of a caller, or keep it until the balancer goes on."""
        if self.paused:
            self.waiting_packets.append(packet)
        elif self.up:
            self.dispatcher.handle(packet, now)

    def tick(self, now: float) -> None:
        """Do what is due, unless the balancer stands still."""
        if self.up and not self.paused:
            self.dispatcher.tick(now)
            self.view.upstreams.expire(now)

    def resume(self, now: float) -> None:
        """End a pause and handle the packets that have waited."""
        self.paused = False
        packets, self.waiting_packets = self.waiting_packets, []
        for packet in packets:
            self.dispatcher.handle(packet, now)
        self.dispatcher.tick(now)


class BalancerBuilder:
    """Builds balancers with equal options and numbers them in sequence.

    Parameters
    ----------
    new_limit : callable
        Returns the limit on the busy flows of each upstream through one balancer.
    features : collection of Feature
        The optional parts that are switched on.
    slow_start : bool
        Whether balancers start with few flows of a service.
    """

    def __init__(
        self,
        network: BalancerNetwork,
        decoder: InMemoryDecoder,
        new_limit: Callable[[], FlowLimit],
        features: Collection[Feature],
        slow_start: bool,
    ) -> None:
        self._network = network
        self._decoder = decoder
        self._new_limit = new_limit
        self._features = features
        self._live_balancers = network.live_balancers if slow_start else None
        self._numbers = itertools.count()

    def build(self, domain: str) -> SimulatedVm:
        """Return a new balancer of a failure domain, without any configuration."""
        view = ForwardingView(self._decoder, flow_life_s=60.0)
        number = next(self._numbers)
        name = f"vm-{number}"
        data_path = build_data_path(
            name,
            domain,
            self._features,
            view,
            PacketHeader(),
            _SimulatedPacketPort(self._network, domain, number),
            self._new_limit(),
            NoColdLimit(),
            self._live_balancers,
        )
        data_path.dispatcher.view_is_fresh = True
        data_path.health.set_gossip_age(partial(self._network.gossip_age, domain))
        return SimulatedVm(
            domain,
            view,
            data_path.dispatcher,
            data_path.health,
            data_path.outliers,
            name,
            subsets=data_path.subsets,
            cost_aware=data_path.cost_aware,
            data_path=data_path,
        )
