"""Spreads the registry's changes between balancers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import anyio

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import (
    DATAGRAM_MAX_BYTES,
    Delta,
    Digest,
    GossipMessage,
    UpstreamReport,
    decode,
    encode,
)
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.clock import Clock
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.catalog import item_size
from egrethook.discovery.records import Changes, PublishedItem
from egrethook.discovery.replica import Replica
from egrethook.exceptions import BadMessageError
from egrethook.logs import PartLog
from egrethook.token_bucket import TokenBucket
from egrethook.upstreams.health import HealthObservation

GOSSIP_INTERVAL_S = 0.3
"""Time between two digests to the same target, in seconds."""

DELTA_MAX_BYTES = 48_000
"""Bytes of items in one delta before it is compressed.

It fits a datagram whatever its items are, unless the first one alone is longer.
"""

PUSH_MAX_BYTES = 1_000
"""Most bytes of items that are sent without being asked for."""

PULL_INTERVAL_S = 0.1
"""Time between two digests that ask for changes, in seconds."""

REPORTS_PER_S = 40.0
"""Reports on upstreams that are passed on in a second."""

_LOG = PartLog("gossip")


class ReportListener(Protocol):
    """Is told what another balancer has found out about an upstream."""

    def __call__(self, token: int, verdict: HealthObservation) -> None:
        """Take what was found out about the upstream with a token."""
        ...


class Gossip:
    """Sends digests, answers them with deltas, and passes changes on.

    Parameters
    ----------
    socket : DatagramSocket
        The socket for other balancers.
    members : GossipMembers
        Whom to talk to.
    replica : Replica
        What is spread.
    clock : Clock
        Tells the time.
    rng : random.Random
        Spreads the beats.
    detect_pause : callable
        Called before messages are handled, to notice a pause of the process.
    on_report : callable
        Called with each report on an upstream.
    """

    def __init__(
        self,
        socket: DatagramSocket,
        members: GossipMembers,
        replica: Replica,
        clock: Clock,
        rng: random.Random,
        detect_pause: Callable[[], Awaitable[None]],
        on_report: ReportListener,
    ) -> None:
        self._socket = socket
        self._members = members
        self._replica = replica
        self._clock = clock
        self._rng = rng
        self._detect_pause = detect_pause
        self._on_report = on_report
        self._report_limiter = TokenBucket(REPORTS_PER_S, REPORTS_PER_S)
        self._leaving = False
        self._last_request_at = float("-inf")
        self._bytes_sent = 0
        self._refused = 0

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to other balancers."""
        return self._bytes_sent

    @property
    def refused(self) -> int:
        """Datagrams that were no messages."""
        return self._refused

    def leave(self) -> None:
        """Tell the others from now on that this balancer is leaving."""
        self._leaving = True

    async def send_digests(self) -> None:
        """Send digests until cancelled."""
        while True:
            now = self._clock.now()
            self._members.next_heartbeat(self._leaving)
            self._members.remove_expired(now)
            self._send(self._digest(now), self._members.gossip_targets(now))
            await anyio.sleep(GOSSIP_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def receive(self) -> None:
        """Handle messages until cancelled."""
        while True:
            batch = await self._socket.receive()
            await self._detect_pause()
            for datagram, source in batch:
                self._handle(datagram, Address(*source))

    def propagate(self, items: Sequence[PublishedItem], before: int) -> None:
        """Tell others of changes that have just been merged."""
        now = self._clock.now()
        if not items or not before:
            return
        changes = Changes(before, self._replica.revision, items)
        if sum(item_size(item) for item in items) > PUSH_MAX_BYTES:
            # Who lacks it asks once, in place of getting it from several.
            self._send(self._digest(now), self._members.push_targets(now))
            return
        delta = Delta(changes, self._replica.age(now))
        self._send(delta, self._members.push_targets(now))

    def _handle(self, datagram: bytes, source: Address) -> None:
        try:
            message = decode(datagram)
        except BadMessageError as error:
            self._refused += 1
            _LOG.warning("a datagram was refused.", source=str(source), error=error)
            return
        if isinstance(message, Digest):
            self._on_digest(message)
        elif isinstance(message, Delta):
            self._on_delta(message, source)
        else:
            self._on_report(message.token, message.verdict)

    def report(self, token: int, verdict: HealthObservation) -> None:
        """Tell the other balancers of this failure domain of an upstream."""
        now = self._clock.now()
        if not self._report_limiter.take(now):
            return
        report = UpstreamReport(token, verdict)
        self._send(report, self._members.report_targets(now))

    def _on_digest(self, digest: Digest) -> None:
        now = self._clock.now()
        target = digest.sender.address
        is_new = not self._members.knows(digest.sender)
        self._members.merge((digest.sender, *digest.members), now)
        own_revision = self._replica.revision
        if digest.asks and digest.revision < own_revision:
            self._send_missing(target, digest.revision, now)
        elif is_new or digest.revision < own_revision:
            # A newcomer learns of the others, who lags what there is to ask for.
            self._send(self._digest(now), [target])
        if digest.revision > own_revision:
            self._request_changes(target, now)
        elif digest.revision == own_revision:
            self._replica.confirm(own_revision, now - digest.age_s)

    def _on_delta(self, delta: Delta, source: Address) -> None:
        now = self._clock.now()
        self._replica.apply_changes(delta.changes, now - delta.age_s)
        if self._replica.revision < delta.changes.revision:
            self._request_changes(source, now)

    def _send_missing(self, target: Address, after: int, now: float) -> None:
        changes = self._replica.catalog.changes_since(after, DELTA_MAX_BYTES)
        if changes is None:
            return
        current = changes.revision == self._replica.revision
        age_s = self._replica.age(now) if current else float("inf")
        self._send(Delta(changes, age_s), [target])

    def _request_changes(self, target: Address, now: float) -> None:
        """Show a better informed member what is held here; it sends the rest."""
        if now - self._last_request_at < PULL_INTERVAL_S:
            return
        self._last_request_at = now
        self._send(self._digest(now, asks=True), [target])

    def _digest(self, now: float, asks: bool = False) -> Digest:
        return Digest(
            self._members.own,
            self._replica.revision,
            self._replica.age(now),
            self._members.sample(now),
            asks,
        )

    def _send(self, message: GossipMessage, targets: Sequence[Address]) -> None:
        datagram = encode(message)
        if len(datagram) > DATAGRAM_MAX_BYTES:
            # Whoever lacks this reads the registry itself.
            _LOG.warning("a message is too long to be sent.", bytes=len(datagram))
            return
        for target in targets:
            self._bytes_sent += len(datagram)
            self._socket.send(target, datagram)
