"""Routes callers' packets to the executor named in their token.

The executor is the balancer process that issued the token. Only it, or the heir to
which it has handed over its rights, may run the token's non-idempotent requests.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from egrethook.balancers.membership import Membership
from egrethook.balancers.peer_packets import Relay
from egrethook.balancers.placement import Placement, Relayer, wants_ack
from egrethook.balancers.relays import PendingRelay
from egrethook.callers.packets import Cancel, Done, ExecutorPacket, Fetch, Run
from egrethook.callers.tokens import Token
from egrethook.clock import Clock
from egrethook.types import ExecutorId
from egrethook.upstreams.executor import Executor
from egrethook.upstreams.interfaces import ConfigurationSource
from egrethook.verdicts import Refusal

EXECUTOR_MAX_HOPS = 4
"""Maximum number of relays of a packet on the way to its executor."""


def any_executor_may_serve(packet: ExecutorPacket) -> bool:
    """Return whether a packet may be served by any executor, not just its own."""
    return isinstance(packet, Run) and packet.idempotent


class ExecutorRouter:
    """Handles packets whose token belongs to this executor, and relays the others.

    Parameters
    ----------
    name : str
        Name of this balancer.
    membership : Membership
        The view of the other balancers.
    source : ConfigurationSource
        Provides the active configuration.
    relayer : Relayer
        Sends packets to other balancers.
    placement : Placement
        Places idempotent requests whose executor is gone.
    executor : Executor
        The executor of this balancer.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        name: str,
        membership: Membership,
        source: ConfigurationSource,
        relayer: Relayer,
        placement: Placement,
        executor: Executor,
        clock: Clock,
    ) -> None:
        self._name = name
        self._membership = membership
        self._source = source
        self._relayer = relayer
        self._placement = placement
        self._executor = executor
        self._clock = clock
        self._handing_over = False
        self._heir: str | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            Fetch: executor.fetch,
            Done: executor.done,
            Cancel: executor.cancel,
        }

    def begin_hand_over(self) -> None:
        """Drop requests that cannot run here until the heir holds the rights."""
        self._handing_over = True

    def end_hand_over(self, heir: str | None) -> None:
        """Relay requests that cannot run here to the heir, if there is one."""
        self._handing_over = False
        self._heir = heir

    def route_to_executor(
        self, packet: ExecutorPacket, raw: bytes, token: Token, hops: int = 0
    ) -> None:
        """Handle a packet here or relay it to the executor named in its token."""
        if self._executor.rights.holds(token.executor_id):
            self._execute(packet, raw, token, hops)
            return
        target = self._locate(token.executor_id)
        if target is None or hops >= EXECUTOR_MAX_HOPS:
            self._executor_gone(packet, token)
            return
        self._relay_to_executor(packet, raw, target, hops)

    def _execute(
        self, packet: ExecutorPacket, raw: bytes, token: Token, hops: int
    ) -> None:
        if not isinstance(packet, Run):
            self._handlers[type(packet)](packet)
        elif packet.idempotent:
            if not self._placement.admit_locally(packet, token.upstream, queue=False):
                self._placement.restart(packet)
        elif not self._executor.run_granted(packet, token):
            self._relay_to_heir_or_predecessor(packet, raw, token, hops)

    def _relay_to_heir_or_predecessor(
        self, packet: Run, raw: bytes, token: Token, hops: int
    ) -> None:
        """Relay a request that this executor may not run to one that can answer it.

        That is the heir if this executor has handed over its rights, otherwise the
        predecessor from which it took over the rights of the token.
        """
        if self._handing_over:
            # Until the heir holds the rights, no balancer may run the request or
            # report that it has not run. The caller will retransmit it.
            return
        rights = self._executor.rights
        predecessor = rights.predecessor_of(token.executor_id)
        target = self._heir if rights.stopped else predecessor
        if target is None or hops >= EXECUTOR_MAX_HOPS:
            self._executor_gone(packet, token)
        else:
            self._relay_to_executor(packet, raw, target, hops)

    def _locate(self, executor: ExecutorId) -> str | None:
        """Return the holder of an executor's rights, or None if there is none."""
        heir = self._membership.heir_of(executor, self._clock.now())
        if heir is not None:
            return heir
        member = self._membership.members.get(executor.balancer)
        if member is None or member.incarnation not in (0, executor.incarnation):
            return None
        return executor.balancer

    def _relay_to_executor(
        self, packet: ExecutorPacket, raw: bytes, target: str, hops: int
    ) -> None:
        configuration = self._source.configuration
        revision = configuration.revision if configuration else 0
        relay = Relay(
            relay_id=0,
            sender=self._name,
            revision=revision,
            packet=raw,
            hops=hops + 1,
            ack=wants_ack(packet, self._membership),
        )
        self._relayer.relay(target, relay)

    def _executor_gone(self, packet: ExecutorPacket, token: Token) -> None:
        """Restart an idempotent request; refuse any other, as it may have run."""
        if not isinstance(packet, Run):
            return
        if packet.idempotent:
            self._placement.restart(packet)
            return
        if not self._has_complete_view():
            # A balancer that has just started may not know the executor or its
            # heir yet. The caller retransmits, usually to another balancer.
            return
        self._executor.refuse_unknown(packet, token.caller, Refusal.EXECUTOR_GONE)

    def _has_complete_view(self) -> bool:
        """Return whether this balancer knows the full configuration and the members."""
        configuration = self._source.configuration
        complete = configuration is not None and configuration.is_complete
        return complete and self._membership.startup_grace_elapsed(self._clock.now())

    def relay_failed(
        self, pending: PendingRelay, packet: ExecutorPacket, token: Token
    ) -> None:
        """Handle a relay that was not acknowledged."""
        relay, target = pending.relay, pending.target
        self._membership.relay_unacked(target, self._clock.now())
        heir = self._membership.heir_of(token.executor_id, self._clock.now())
        if heir is not None and heir != target and relay.hops < EXECUTOR_MAX_HOPS:
            self._relay_to_executor(packet, relay.packet, heir, relay.hops)
        elif any_executor_may_serve(packet) or self._membership.is_suspected(target):
            self._executor_gone(packet, token)
        # Otherwise the executor is probably just slow. The caller retransmits; a
        # verdict sent now could end a request that is about to be answered.
