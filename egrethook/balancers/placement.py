"""Forwards callers' packets to an owner with free capacity.

The owner of an upstream is the balancer that admits flows and requests to it; see
`ownership`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from egrethook.addresses import Address
from egrethook.balancers.membership import FULL_MESH_MAX_MEMBERS, Membership
from egrethook.balancers.ownership import Ownership
from egrethook.balancers.peer_packets import Relay, Tried
from egrethook.balancers.relays import PendingRelay
from egrethook.callers.packets import (
    ExecutorPacket,
    Grant,
    Open,
    Refused,
    Run,
)
from egrethook.clock import Clock
from egrethook.published.configuration import Configuration, Endpoint
from egrethook.upstreams.choice import Chooser, compare_flow_owners, next_hop
from egrethook.upstreams.executor import Executor
from egrethook.upstreams.interfaces import ConfigurationSource, PacketSender
from egrethook.verdicts import Refusal, Verdict

ASSUMED_BACKLOG = 1000
"""Backlog assumed for an upstream whose owner has not reported one."""

RETRY_AFTER_MS = 100
"""Retry delay sent with a refusal, in milliseconds."""

OwnerPacket = Open | Grant | Run
"""Packets that any owner with free capacity may serve."""


def wants_ack(packet: OwnerPacket | ExecutorPacket, membership: Membership) -> bool:
    """Return whether a relay of a packet requests an acknowledgement.

    In a small fleet every relay does, so that a dead balancer is bypassed at
    once. In a large fleet acknowledgements would cost more than all other control
    traffic, so only packets that the caller has retransmitted request one.
    """
    small = len(membership.members) < FULL_MESH_MAX_MEMBERS
    return small or getattr(packet, "copy", 0) > 0


class Relayer(Protocol):
    """Sends relays to other balancers and tracks their acknowledgements."""

    def relay(self, target: str, relay: Relay) -> None:
        """Send a relay."""
        ...


class Placement:
    """Forwards a packet from owner to owner until one has free capacity.

    Parameters
    ----------
    name, domain : str
        This balancer and its failure domain.
    membership : Membership
        The view of the other balancers.
    ownership : Ownership
        Determines the owners in that view.
    source : ConfigurationSource
        Provides the active configuration.
    relayer : Relayer
        Sends packets to other balancers.
    sender : PacketSender
        Sends packets to callers.
    chooser : Chooser
        Chooses the first candidate.
    encode : callable
        Encodes a caller's packet.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        membership: Membership,
        ownership: Ownership,
        source: ConfigurationSource,
        relayer: Relayer,
        sender: PacketSender,
        chooser: Chooser,
        encode: Callable[[Any], bytes],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._domain = domain
        self._membership = membership
        self._ownership = ownership
        self._source = source
        self._relayer = relayer
        self._sender = sender
        self._chooser = chooser
        self._encode = encode
        self._clock = clock
        self._rng = rng
        self._executor: Executor | None = None
        self._passed_on = 0
        self._admitters: dict[type, Callable[[Any, str, bool], bool]] = {}

    @property
    def passed_on(self) -> int:
        """Number of packets forwarded to another owner for lack of capacity here."""
        return self._passed_on

    def attach(self, executor: Executor) -> None:
        """Set the executor of this balancer."""
        self._executor = executor
        self._admitters = {
            Open: executor.issuer.open,
            Grant: executor.issuer.grant,
            Run: executor.run_idempotent,
        }

    # Packets for any owner --------------------------------------------------

    def send_to_first_owner(self, packet: OwnerPacket, raw: bytes) -> None:
        """Send a caller's new packet to the owner of the first upstream chosen."""
        configuration = self._source.configuration
        if configuration is None:
            self._refuse(packet, Refusal.NO_CONFIGURATION)
            return
        if packet.service_name not in configuration.services:
            known = configuration.is_complete
            code = Refusal.UNKNOWN_SERVICE if known else Refusal.NO_CONFIGURATION
            self._refuse(packet, code)
            return
        target = self._chooser.first(configuration.candidates(packet.service_name))
        if target is None:
            self._refuse(packet, Refusal.NO_UPSTREAM)
            return
        self._send_to_owner(packet, raw, target, [], 0, queue=False)

    def handle_relay(self, relay: Relay, packet: OwnerPacket) -> None:
        """Serve a relayed packet, or forward it to another owner."""
        if self._source.configuration is None:
            self._refuse(packet, Refusal.NO_CONFIGURATION)
            return
        self._serve_or_forward(
            packet, relay.packet, relay.upstream, relay.tried, relay.hops, relay.queue
        )

    def relay_elsewhere(self, run: Run, failed: str) -> bool:
        """Forward a failed idempotent request to another owner.

        Implements `upstreams.interfaces.RequestRelay`.

        Parameters
        ----------
        run : Run
            The request.
        failed : str
            The upstream that failed.

        Returns
        -------
        bool
            Whether it was forwarded; False if every candidate has been tried.
        """
        configuration = self._source.configuration
        if configuration is None:
            return False
        tried = self._add_tried([], run.service_name, failed)
        fresh = replace(run, token=b"")
        candidates = configuration.candidates(run.service_name)
        step = next_hop(candidates, tried, self._domain, self._rng)
        if step is None or step.queue:
            return False
        self._send_to_next(fresh, self._encode(fresh), configuration, tried, 0)
        return True

    def _send_to_owner(
        self,
        packet: OwnerPacket,
        raw: bytes,
        target: Endpoint,
        tried: list[Tried],
        hops: int,
        queue: bool,
    ) -> None:
        configuration = self._source.configuration
        assert configuration is not None
        now = self._clock.now()
        owners = self._ownership.owners(target, configuration, now)
        if not owners:
            self._refuse(packet, Refusal.NO_UPSTREAM)
        elif owners[0] != self._name:
            # A `Relay` holds at most 64 tried upstreams.
            relay = Relay(
                relay_id=0,
                sender=self._name,
                revision=configuration.revision,
                packet=raw,
                upstream=target.name,
                tried=tried[:64],
                hops=hops + 1,
                queue=queue,
                ack=wants_ack(packet, self._membership),
            )
            self._relayer.relay(owners[0], relay)
        else:
            self._serve_or_forward(packet, raw, target.name, tried, hops, queue)

    def _serve_or_forward(
        self,
        packet: OwnerPacket,
        raw: bytes,
        upstream: str,
        tried: list[Tried],
        hops: int,
        queue: bool,
    ) -> None:
        """Serve a packet as the owner of an upstream, or forward it."""
        configuration = self._source.configuration
        assert configuration is not None
        if not queue and self._forward_for_comparison(packet, raw, tried, hops):
            return
        if self.admit_locally(packet, upstream, queue):
            return
        if queue:
            self._refuse(packet, Refusal.FULL)
            return
        more = self._add_tried(tried, packet.service_name, upstream)
        self._send_to_next(packet, raw, configuration, more, hops)

    def _forward_for_comparison(
        self, packet: OwnerPacket, raw: bytes, tried: list[Tried], hops: int
    ) -> bool:
        """Forward a new flow to a second owner, or back to the first, to compare loads.

        The second owner compares the flow fill of its upstreams (see `Tried`) with
        that of the first owner's; the owner of the least filled upstream admits the
        flow. A packet that its caller has retransmitted, or that has been relayed more
        than twice, skips the comparison and is admitted wherever there is capacity.

        Returns
        -------
        bool
            Whether the packet was forwarded.
        """
        # Two relays suffice for a comparison: to the first owner and to the second.
        if not isinstance(packet, Open) or packet.copy or hops > 2:
            return False
        executor, configuration = self._executor, self._source.configuration
        assert executor is not None and configuration is not None
        if executor.issuer.has_opened(packet):
            return False
        own_fills = executor.pool.flow_fills(packet.service_name)
        candidates = configuration.candidates(packet.service_name)
        step = compare_flow_owners(own_fills, tried, candidates, self._rng)
        if step is None:
            return False
        target = configuration.endpoint(packet.service_name, step.upstream)
        if target is None:
            return False
        self._send_to_owner(packet, raw, target, tried or own_fills, hops, step.queue)
        return True

    def admit_locally(self, packet: OwnerPacket, upstream: str, queue: bool) -> bool:
        """Admit a packet to an upstream owned here, if the view is trusted."""
        if not self._membership.trusted(self._clock.now()):
            return False
        return self._admitters[type(packet)](packet, upstream, queue)

    def _add_tried(
        self, tried: list[Tried], service: str, upstream: str
    ) -> list[Tried]:
        """Add the upstreams owned here and the requested one to those tried."""
        assert self._executor is not None
        known = {entry.upstream for entry in tried}
        own_backlogs = self._executor.pool.queue_lengths(service)
        added = [entry for entry in own_backlogs if entry.upstream not in known]
        known.update(entry.upstream for entry in added)
        if upstream and upstream not in known:
            added.append(Tried(upstream, ASSUMED_BACKLOG))
        return [*tried, *added]

    def _send_to_next(
        self,
        packet: OwnerPacket,
        raw: bytes,
        configuration: Configuration,
        tried: list[Tried],
        hops: int,
    ) -> None:
        candidates = configuration.candidates(packet.service_name)
        step = next_hop(candidates, tried, self._domain, self._rng)
        if step is None or hops >= configuration.limits.max_hops:
            self._refuse(packet, Refusal.FULL)
            return
        self._passed_on += 1
        target = configuration.endpoint(packet.service_name, step.upstream)
        assert target is not None
        self._send_to_owner(packet, raw, target, tried, hops, step.queue)

    def _refuse(self, packet: OwnerPacket, code: Refusal) -> None:
        """Refuse a packet; the verdict allows for another copy of it having run."""
        attempt = packet.attempt if isinstance(packet, Run) else 0
        refused = Refused(
            number=packet.number,
            attempt=attempt,
            verdict=Verdict.MAY_HAVE_RUN,
            code=code,
            retry_after_ms=RETRY_AFTER_MS,
        )
        self._sender.send(Address(packet.caller_host, packet.caller_port), refused)

    def restart(self, run: Run) -> None:
        """Place an idempotent request as if it were new."""
        fresh = replace(run, token=b"")
        self.send_to_first_owner(fresh, self._encode(fresh))

    # Relays that were not acknowledged ---------------------------------------

    def relay_failed(self, pending: PendingRelay, packet: OwnerPacket) -> None:
        """Try another owner after a relay was not acknowledged."""
        relay = pending.relay
        self._membership.relay_unacked(pending.target, self._clock.now())
        configuration = self._source.configuration
        if configuration is None or relay.hops >= configuration.limits.max_hops:
            self._refuse(packet, Refusal.FULL)
            return
        target = configuration.endpoint(packet.service_name, relay.upstream)
        owners = (
            self._ownership.owners(target, configuration, self._clock.now())
            if target
            else []
        )
        if target is not None and owners and owners[0] != pending.target:
            tried = list(relay.tried)
            self._send_to_owner(
                packet, relay.packet, target, tried, relay.hops, relay.queue
            )
            return
        tried = self._add_tried(list(relay.tried), packet.service_name, relay.upstream)
        self._send_to_next(packet, relay.packet, configuration, tried, relay.hops)
