"""The tasks that talk to the other balancers: one receives, one a neighbour sends."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import anyio

from egrethook.balancers.membership import HEARTBEAT_INTERVAL_S, Membership
from egrethook.balancers.messages import PeerCodec
from egrethook.balancers.peer_packets import Heartbeat, Relay, RelayAck
from egrethook.balancers.relays import PendingRelay, RelayTable
from egrethook.clock import Clock
from egrethook.exceptions import BadMessageError
from egrethook.metrics import Metrics
from egrethook.network import Datagrams

ANNOUNCE_INTERVAL_S = 2.0
"""Time between announcements to all members while there is something to tell, in s."""


class PeerHub:
    """Sends and receives the messages between balancers.

    Parameters
    ----------
    datagrams : Datagrams
        The socket for other balancers.
    codec : PeerCodec
        Signs and checks messages.
    membership : Membership
        The view of the others.
    metrics : Metrics
        Counts bytes and what is dropped.
    clock : Clock
        The time.
    heartbeat : callable
        Returns the heartbeat to send now.
    """

    def __init__(
        self,
        datagrams: Datagrams,
        codec: PeerCodec,
        membership: Membership,
        metrics: Metrics,
        clock: Clock,
        heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self._datagrams = datagrams
        self._codec = codec
        self._membership = membership
        self._metrics = metrics
        self._clock = clock
        self._heartbeat = heartbeat
        self._relays = RelayTable()
        self._announced_at = 0.0
        self._handlers: dict[type, Callable[[Any, str], None]] = {
            Heartbeat: self._on_heartbeat,
            Relay: self._on_relay,
            RelayAck: self._on_relay_ack,
        }

    @property
    def pending_relays(self) -> int:
        """Relays that wait for an acknowledgement."""
        return len(self._relays)

    def add_handler(self, kind: type, handler: Callable[[Any, str], None]) -> None:
        """Name who takes the messages of a kind, after the hub itself."""
        existing = self._handlers.get(kind)
        if existing is None:
            self._handlers[kind] = handler
            return

        def both(message: Any, sender: str) -> None:
            existing(message, sender)
            handler(message, sender)

        self._handlers[kind] = both

    async def receive(self, detect_pause: Callable[[], Any]) -> None:
        """Serve messages until cancelled."""
        while True:
            batch = await self._datagrams.receive()
            await detect_pause()
            for data, (host, port) in batch:
                try:
                    message = self._codec.decode(data)
                except BadMessageError:
                    self._metrics.dropped.labels(reason="peer").inc()
                    continue
                handler = self._handlers.get(type(message))
                if handler is not None:
                    handler(message, f"{host}:{port}")

    async def send_heartbeats(self, name: str) -> None:
        """Send heartbeats to one neighbour until cancelled."""
        while True:
            self.send(name, self._heartbeat())
            await anyio.sleep(HEARTBEAT_INTERVAL_S * random.uniform(0.9, 1.1))

    def announce(self, urgent: bool) -> None:
        """Send a heartbeat to all members if there is something all should know."""
        now = self._clock.now()
        if not urgent or now - self._announced_at < ANNOUNCE_INTERVAL_S:
            return
        self._announced_at = now
        self.send_heartbeat_to(self._membership.members)

    def send_heartbeat_to(self, names: Iterable[str]) -> None:
        """Send a heartbeat, with all that it carries, to some members at once."""
        heartbeat = self._heartbeat()
        for name in names:
            self.send(name, heartbeat)

    def send(self, name: str, message: Any) -> None:
        """Send a message to a member, if it is one."""
        member = self._membership.members.get(name)
        if member is None:
            return
        data = self._codec.encode(message)
        kind = type(message).__name__.lower()
        self._metrics.peer_bytes.labels(kind=kind).inc(len(data))
        self._datagrams.send(member.vm.peers, data)

    def relay(self, target: str, relay: Relay) -> None:
        """Send a relay and, if it asks for one, wait for its acknowledgement."""
        if relay.ack:
            relay = self._relays.add(relay, target, self._clock.now())
        self.send(target, relay)

    def resend_due_relays(self) -> list[PendingRelay]:
        """Send unacknowledged relays again; return those given up."""
        to_resend, given_up = self._relays.due(self._clock.now())
        for pending in to_resend:
            self.send(pending.target, pending.relay)
        return given_up

    def _on_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        self._membership.observe(heartbeat, self._clock.now())

    def _on_relay(self, relay: Relay, _: str) -> None:
        if relay.ack:
            self.send(relay.sender, RelayAck(relay.relay_id))

    def _on_relay_ack(self, ack: RelayAck, _: str) -> None:
        target = self._relays.acknowledge(ack.relay_id)
        if target is not None:
            self._membership.relay_acked(target)
