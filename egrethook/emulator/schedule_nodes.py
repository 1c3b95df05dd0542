"""The balancers of the seeded fault schedules, and their connections to upstreams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from egrethook.balancers.executors import ExecutorRouter
from egrethook.balancers.handover import (
    TransferredRights,
    answer_to_part,
    rank_heirs,
    split_into_parts,
)
from egrethook.balancers.membership import Membership
from egrethook.balancers.ownership import Ownership
from egrethook.balancers.peer_packets import HandOver, HandOverAck, Relay
from egrethook.balancers.placement import Placement
from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.packets import Run
from egrethook.emulator.builders import (
    DOMAIN,
    FixedConfigurationSource,
)
from egrethook.types import ExecutorId
from egrethook.upstreams.admission import Report
from egrethook.upstreams.choice import WeightedRandomChooser
from egrethook.upstreams.executor import Executor

if TYPE_CHECKING:
    from egrethook.emulator.schedules import ScheduleWorld


@dataclass
class Execution:
    """A request sent to an upstream, which may have begun to process it."""

    node: ScheduleNode
    upstream: str
    run_id: int
    run: Run
    begun: bool = False


class ScheduleLink:
    """A connection whose requests stay in flight until a step processes them."""

    def __init__(self, world: ScheduleWorld, node: ScheduleNode, name: str) -> None:
        self._world = world
        self._node = node
        self._name = name

    def execute(self, run_id: int, run: Run, deadline_ms: int) -> None:
        """Send a request."""
        self._world.executions.append(Execution(self._node, self._name, run_id, run))

    def cancel(self, run_id: int) -> None:
        """Do nothing; an upstream may ignore a cancellation."""


class ScheduleNode:
    """The decision logic of one balancer, connected to the simulated network.

    A node that leaves hands over its rights in parts to an heir, another node.
    """

    def __init__(self, world: ScheduleWorld, name: str, incarnation: int) -> None:
        self.identity = ExecutorId(name, incarnation)
        self.name = name
        self._world = world
        clock = world.clock
        source = FixedConfigurationSource(world.configuration)
        self.membership = Membership(name, DOMAIN, incarnation, clock.now())
        self.membership.set_published_vms(world.configuration.vms.values(), clock.now())
        vm = world.configuration.vms[name]
        ownership = Ownership(vm, self.membership)
        self.placement = Placement(
            name=name,
            domain=DOMAIN,
            membership=self.membership,
            ownership=ownership,
            source=source,
            relayer=self,
            sender=world,
            chooser=WeightedRandomChooser(world.rng),
            encode=CALLER_CODEC.encode,
            clock=clock,
            rng=world.rng,
        )
        self.executor = Executor(self.identity, source, world, self.placement, clock)
        self.placement.attach(self.executor)
        self.router = ExecutorRouter(
            name=name,
            membership=self.membership,
            source=source,
            relayer=self,
            placement=self.placement,
            executor=self.executor,
            clock=clock,
        )
        self.unacked_parts: dict[int, HandOver] = {}
        self.heir = ""
        for endpoint in world.configuration.endpoints():
            if ownership.owns(endpoint, world.configuration, clock.now()):
                link = ScheduleLink(world, self, endpoint.name)
                limits = world.configuration.limits
                self.executor.pool.add(endpoint, limits, link)
                self.executor.connected(endpoint.name, Report(1, 0, 0, 100))

    def relay(self, target: str, relay: Relay) -> None:
        """Send a relay to another node."""
        self._world.post(target, relay)

    def receive(self, message: Any) -> None:
        """Handle a delivered message."""
        handlers: dict[type, Callable[[Any], None]] = {
            Run: self._on_run,
            Relay: self._on_relay,
            HandOver: self._on_hand_over,
            HandOverAck: self._on_ack,
        }
        handlers[type(message)](message)

    def _on_run(self, run: Run) -> None:
        token = self._world.configuration.keys.unseal(run.token)
        self.router.route_to_executor(run, CALLER_CODEC.encode(run), token)

    def _on_relay(self, relay: Relay) -> None:
        run = CALLER_CODEC.decode(relay.packet)
        token = self._world.configuration.keys.unseal(run.token)
        self.router.route_to_executor(run, relay.packet, token, relay.hops)

    def _on_hand_over(self, part: HandOver) -> None:
        status = self.executor.rights.receive(part, self._world.clock.now())
        ack = answer_to_part(part, status)
        if ack is not None:
            self._world.post(part.executor.balancer, ack)

    def _on_ack(self, ack: HandOverAck) -> None:
        part = self.unacked_parts.get(ack.part)
        if part is None or part.transfer_id != ack.transfer_id or not ack.accepted:
            return
        del self.unacked_parts[ack.part]
        if not self.unacked_parts:
            self.router.end_hand_over(self.heir)

    def leave(self) -> None:
        """Stop executing requests and send the rights to the first-ranked heir."""
        now = self._world.clock.now()
        names = rank_heirs(self.identity, self.membership.eligible(DOMAIN, now))
        members = self.membership.members
        heirs = [name for name in names if members[name].incarnation]
        if self.executor.rights.stopped or not heirs:
            return
        self.membership.leave()
        rights = self.executor.rights
        inherited = rights.inherited
        transferred = TransferredRights(
            self.identity, rights.stop_and_export(now), inherited
        )
        self.router.begin_hand_over()
        self.heir = heirs[0]
        heir = ExecutorId(self.heir, members[self.heir].incarnation)
        parts = split_into_parts(transferred, heir, self._world.rng.getrandbits(40))
        self.unacked_parts = {part.part: part for part in parts}
        self.resend_unacked_parts()

    def resend_unacked_parts(self) -> None:
        """Send the parts of the hand-over that are not acknowledged yet."""
        for part in self.unacked_parts.values():
            self._world.post(self.heir, part)
