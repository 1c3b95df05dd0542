"""Messaging between balancers: one task receives, one per neighbour sends."""

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
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import BadMessageError
from egrethook.logs import PartLog
from egrethook.metrics import Metrics
from egrethook.network import Datagrams

ANNOUNCE_INTERVAL_S = 2.0
"""Minimum interval between announcements to all members, in seconds."""

_LOG = PartLog("peers")


class PeerHub:
    """Sends and receives messages between balancers.

    Parameters
    ----------
    datagrams : Datagrams
        The socket for peer messages.
    codec : PeerCodec
        Encodes and authenticates messages.
    membership : Membership
        The view of the other balancers.
    metrics : Metrics
        Counts bytes sent and messages dropped.
    clock : Clock
        Source of the current time.
    heartbeat : callable
        Builds the next heartbeat.
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
        self._message_errors = ErrorBoundary(_LOG, "message")
        self._announced_at = 0.0
        self._handlers: dict[type, Callable[[Any, str], None]] = {
            Heartbeat: self._on_heartbeat,
            Relay: self._on_relay,
            RelayAck: self._on_relay_ack,
        }

    @property
    def pending_relays(self) -> int:
        """Number of relays awaiting an acknowledgement."""
        return len(self._relays)

    def add_handler(self, kind: type, handler: Callable[[Any, str], None]) -> None:
        """Add a handler for a message type; it runs after those already added.

        It gets the message and the sender's address as ``host:port``.
        """
        existing = self._handlers.get(kind)
        if existing is None:
            self._handlers[kind] = handler
            return

        def both(message: Any, sender: str) -> None:
            existing(message, sender)
            handler(message, sender)

        self._handlers[kind] = both

    async def receive(self, detect_pause: Callable[[], Any]) -> None:
        """Receive and handle messages until cancelled.

        Parameters
        ----------
        detect_pause : callable
            Called before received messages are handled, to detect that the process
            was paused.
        """
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
                    with self._message_errors:
                        handler(message, f"{host}:{port}")

    async def send_heartbeats(self, name: str) -> None:
        """Send heartbeats to a neighbour until cancelled."""
        while True:
            self.send(name, self._heartbeat())
            await anyio.sleep(HEARTBEAT_INTERVAL_S * random.uniform(0.9, 1.1))

    def announce(self, urgent: bool) -> None:
        """Send a heartbeat to all members if it carries urgent news.

        Does nothing within `ANNOUNCE_INTERVAL_S` of the last announcement.

        Parameters
        ----------
        urgent : bool
            Whether all members need to know this balancer's state at once: that it
            is leaving, or which rights it has taken over.
        """
        now = self._clock.now()
        if not urgent or now - self._announced_at < ANNOUNCE_INTERVAL_S:
            return
        self._announced_at = now
        self.send_heartbeat_to(self._membership.members)

    def send_heartbeat_to(self, names: Iterable[str]) -> None:
        """Send one heartbeat to several members immediately."""
        heartbeat = self._heartbeat()
        for name in names:
            self.send(name, heartbeat)

    def send(self, name: str, message: Any) -> None:
        """Send a message to a member; does nothing if the name is unknown."""
        member = self._membership.members.get(name)
        if member is None:
            return
        data = self._codec.encode(message)
        kind = type(message).__name__.lower()
        self._metrics.peer_bytes.labels(kind=kind).inc(len(data))
        self._datagrams.send(member.vm.peers, data)

    def relay(self, target: str, relay: Relay) -> None:
        """Send a relay and, if it requests one, track its acknowledgement."""
        if relay.ack:
            relay = self._relays.add(relay, target, self._clock.now())
        self.send(target, relay)

    def resend_due_relays(self) -> list[PendingRelay]:
        """Resend overdue relays; return those that have used up their attempts."""
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
