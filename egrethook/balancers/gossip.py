"""Replicates registry changes between balancers by push-pull gossip."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import anyio

from egrethook.addresses import Address
from egrethook.balancers.delta_parts import (
    DELTA_MAX_BYTES,
    DeltaAssembly,
    split_delta,
)
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
from egrethook.discovery.records import Changes, PublishedItem, StateVersion
from egrethook.discovery.replica import Replica
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import BadMessageError
from egrethook.logs import PartLog
from egrethook.token_bucket import TokenBucket
from egrethook.upstreams.health import HealthObservation

GOSSIP_INTERVAL_S = 0.3
"""Mean interval between two rounds of digests, in seconds."""

PUSH_MAX_BYTES = 1_000
"""Maximum size of the items that are pushed without a request, in bytes."""

PULL_INTERVAL_S = 0.1
"""Minimum interval between two requests for changes, in seconds."""

REPORTS_PER_S = 40.0
"""Rate limit of the upstream reports sent, per second."""

_LOG = PartLog("gossip")


class ReportListener(Protocol):
    """Receives health observations of upstreams from other balancers."""

    def __call__(self, token: int, observation: HealthObservation) -> None:
        """Handle an observation of the upstream with this flow token."""
        ...


class MessageHandler(Protocol):
    """Handles messages of one type."""

    def __call__(self, message: Any, source: Address, /) -> None:
        """Handle a message, given the address that it came from."""
        ...


class Gossip:
    """Sends digests, answers them with deltas, and pushes new changes.

    Parameters
    ----------
    socket : DatagramSocket
        The socket for gossip messages.
    members : GossipMembers
        The gossip membership.
    replica : Replica
        The replicated items.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Adds jitter to the gossip interval.
    detect_pause : callable
        Called before received messages are handled, to detect that the machine
        was suspended.
    on_report : callable
        Called with each upstream report received.
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
        self._handlers: dict[type, MessageHandler] = {
            Digest: self._on_digest,
            Delta: self._on_delta,
            UpstreamReport: lambda report, source: on_report(
                report.token, report.observation
            ),
        }
        self._report_limiter = TokenBucket(REPORTS_PER_S, REPORTS_PER_S)
        self._leaving = False
        self._last_request_at = float("-inf")
        self._assembly = DeltaAssembly()
        self._bytes_sent = 0
        self._refused = 0
        self._round_errors = ErrorBoundary(_LOG, "round of digests")
        self._message_errors = ErrorBoundary(_LOG, "message")

    @property
    def bytes_sent(self) -> int:
        """Number of bytes sent to other balancers."""
        return self._bytes_sent

    @property
    def refused(self) -> int:
        """Number of received datagrams that could not be decoded."""
        return self._refused

    def leave(self) -> None:
        """Mark this balancer as leaving in all further digests."""
        self._leaving = True

    async def send_digests(self) -> None:
        """Send a round of digests every gossip interval until cancelled."""
        while True:
            with self._round_errors:
                self._send_round()
            await anyio.sleep(GOSSIP_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def _send_round(self) -> None:
        now = self._clock.now()
        self._members.next_heartbeat(self._leaving)
        self._members.remove_expired(now)
        self._send(self._digest(now), self._members.gossip_targets(now))

    async def receive(self) -> None:
        """Receive and handle messages until cancelled."""
        while True:
            batch = await self._socket.receive()
            await self._detect_pause()
            for datagram, source in batch:
                with self._message_errors:
                    self._handle(datagram, Address(*source))

    def propagate(self, items: Sequence[PublishedItem], previous: StateVersion) -> None:
        """Push changes that have just been merged.

        If the revision has advanced, all changes since the previous one are pushed,
        also those that were merged earlier: receivers take the push as complete. The
        first snapshot is not pushed.

        Parameters
        ----------
        items : sequence of PublishedItem
            The items that changed.
        previous : StateVersion
            The state held before the merge.
        """
        now = self._clock.now()
        is_new_era = previous.era != self._replica.version.era
        if not previous.revision or not (items or is_new_era):
            return
        changes = self._changes_to_push(items, previous)
        if changes is None or _total_size(changes.items) > PUSH_MAX_BYTES:
            # Send only a digest: members that lack a large change, or a new era,
            # request it once instead of receiving it from several members.
            self._send(self._digest(now), self._members.push_targets(now))
            return
        era_age_s = now - self._replica.era_seen_at
        delta = Delta(changes, self._replica.age(now), era_age_s=era_age_s)
        self._send(delta, self._members.push_targets(now))

    def _changes_to_push(
        self, items: Sequence[PublishedItem], previous: StateVersion
    ) -> Changes | None:
        """Return the changes to push, or None if they are too many or a whole state."""
        era, revision = version = self._replica.version
        if era != previous.era:
            return None
        if version == previous:
            # They follow a gap and prove nothing about the revision.
            return Changes(revision, revision, items, era=era)
        catalog = self._replica.catalog
        changes = catalog.changes_since(previous.revision, PUSH_MAX_BYTES)
        return changes if changes.revision == revision else None

    def _handle(self, datagram: bytes, source: Address) -> None:
        try:
            message = decode(datagram)
        except BadMessageError as error:
            self._refused += 1
            _LOG.warning("invalid datagram dropped.", source=str(source), error=error)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, source)

    def report(self, token: int, observation: HealthObservation) -> None:
        """Send an observation of an upstream to the local failure domain.

        Reports above the rate limit are dropped.
        """
        now = self._clock.now()
        if not self._report_limiter.take(now):
            return
        self.send_to_domain(UpstreamReport(token, observation))

    def set_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Set what handles one type of message; others are ignored."""
        self._handlers[message_type] = handler

    def send_to_domain(self, message: GossipMessage) -> None:
        """Send a message to the live members of the local failure domain."""
        self._send(message, self._members.report_targets(self._clock.now()))

    def send_to(self, message: GossipMessage, targets: Sequence[Address]) -> None:
        """Send a message to some members."""
        self._send(message, targets)

    def _on_digest(self, digest: Digest, source: Address) -> None:
        now = self._clock.now()
        target = digest.sender.address
        self._members.note_contact(digest.sender.failure_domain, now)
        was_known = self._members.knows(digest.sender)
        self._members.merge((digest.sender, *digest.members), now)
        # A sender whose record is taken as outdated is not answered: it may take this
        # balancer's record so too, and the answers would never end.
        is_new = not was_known and self._members.knows(digest.sender)
        own_version = self._replica.version
        if digest.asks and digest.version < own_version:
            self._send_missing(target, digest.version, now)
        elif is_new or digest.version < own_version:
            # A new member learns of other members from the answer, a lagging one
            # that a newer state exists.
            self._send(self._digest(now), [target])
        if digest.version > own_version:
            self._request_changes(target, now)
        else:
            self._replica.confirm(digest.version, now - digest.age_s)

    def _on_delta(self, delta: Delta, source: Address) -> None:
        now = self._clock.now()
        whole = self._assembly.add(source, delta, now)
        if whole is None:
            # The other parts are under way.
            self._last_request_at = now
            return
        changes = whole.changes
        if changes.replaces and changes.version > self._replica.version:
            self._log_replacement(changes, source)
        self._replica.apply_changes(changes, now - whole.age_s, now - whole.era_age_s)
        if self._replica.version < changes.version:
            self._request_changes(source, now)

    def _log_replacement(self, changes: Changes, source: Address) -> None:
        _LOG.info(
            "a member's state replaces what may lack removals.",
            member=str(source),
            held_era=self._replica.version.era,
            held_revision=self._replica.revision,
            era=changes.era,
            after=changes.after,
            revision=changes.revision,
            items=len(changes.items),
        )

    def _send_missing(self, target: Address, held: StateVersion, now: float) -> None:
        """Send what a member lacks that holds an older state."""
        catalog = self._replica.catalog
        if held.era == catalog.version.era:
            changes = catalog.changes_since(held.revision, DELTA_MAX_BYTES)
        else:
            changes = catalog.whole_state()
        current = changes.revision == self._replica.revision
        age_s = self._replica.age(now) if current else float("inf")
        for delta in split_delta(changes, age_s, now - self._replica.era_seen_at):
            self._send(delta, [target])

    def _request_changes(self, target: Address, now: float) -> None:
        """Request the missing changes from a member with a newer state."""
        if now - self._last_request_at < PULL_INTERVAL_S:
            return
        self._last_request_at = now
        self._send(self._digest(now, asks=True), [target])

    def _digest(self, now: float, asks: bool = False) -> Digest:
        era, revision = self._replica.version
        return Digest(
            self._members.own,
            revision,
            self._replica.age(now),
            self._members.sample(now),
            asks,
            era,
        )

    def _send(self, message: GossipMessage, targets: Sequence[Address]) -> None:
        datagram = encode(message)
        if len(datagram) > DATAGRAM_MAX_BYTES:
            # Members that need it read it from the registry instead.
            _LOG.warning("message too large to send.", bytes=len(datagram))
            return
        for target in targets:
            self._bytes_sent += len(datagram)
            self._socket.send(target, datagram)


def _total_size(items: Sequence[PublishedItem]) -> int:
    return sum(item_size(item) for item in items)
