"""Relayed packets that wait for an acknowledgement."""

from __future__ import annotations

from dataclasses import dataclass, replace

from egrethook.balancers.peer_packets import Relay

RELAY_TIMEOUT_S = 0.1
"""Time in which a relay is acknowledged, in seconds."""

RELAY_MAX_ATTEMPTS = 2
"""How often a relay is sent to one balancer."""

PENDING_RELAY_LIMIT = 20_000
"""Most relays that wait for an acknowledgement."""


@dataclass
class PendingRelay:
    """A relay that has not been acknowledged."""

    relay: Relay
    target: str
    due_at: float
    attempts: int = 1


class RelayTable:
    """Remembers relays until they are acknowledged or given up."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingRelay] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, relay: Relay, target: str, now: float) -> Relay:
        """Number a relay and wait for its acknowledgement."""
        self._last_id += 1
        numbered = replace(relay, relay_id=self._last_id)
        if len(self._pending) < PENDING_RELAY_LIMIT:
            due_at = now + RELAY_TIMEOUT_S
            self._pending[self._last_id] = PendingRelay(numbered, target, due_at)
        return numbered

    def acknowledge(self, relay_id: int) -> str | None:
        """Return the target of a relay that arrived, or None if not waiting."""
        pending = self._pending.pop(relay_id, None)
        return pending.target if pending else None

    def due(self, now: float) -> tuple[list[PendingRelay], list[PendingRelay]]:
        """Return the relays to send again and the relays to give up."""
        to_resend: list[PendingRelay] = []
        given_up: list[PendingRelay] = []
        for relay_id, pending in list(self._pending.items()):
            if pending.due_at > now:
                # Entries are in the order in which they were added, and all
                # wait equally long, but those sent again stand behind.
                continue
            if pending.attempts >= RELAY_MAX_ATTEMPTS:
                del self._pending[relay_id]
                given_up.append(pending)
                continue
            pending.attempts += 1
            pending.due_at = now + RELAY_TIMEOUT_S
            to_resend.append(pending)
        return to_resend, given_up
