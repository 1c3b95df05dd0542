"""Relayed packets that await an acknowledgement."""

from __future__ import annotations

from dataclasses import dataclass, replace

from egrethook.balancers.peer_packets import Relay

RELAY_TIMEOUT_S = 0.1
"""Time to wait for the acknowledgement of a relay, in seconds."""

RELAY_MAX_ATTEMPTS = 2
"""Number of times a relay is sent to one balancer."""

PENDING_RELAY_LIMIT = 20_000
"""Maximum number of relays tracked; further ones are sent once, untracked."""


@dataclass
class PendingRelay:
    """A relay that has not been acknowledged."""

    relay: Relay
    target: str
    due_at: float
    attempts: int = 1


class RelayTable:
    """Tracks relays until they are acknowledged or abandoned."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingRelay] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, relay: Relay, target: str, now: float) -> Relay:
        """Assign an id to a relay, start tracking it and return it."""
        self._last_id += 1
        numbered = replace(relay, relay_id=self._last_id)
        if len(self._pending) < PENDING_RELAY_LIMIT:
            due_at = now + RELAY_TIMEOUT_S
            self._pending[self._last_id] = PendingRelay(numbered, target, due_at)
        return numbered

    def acknowledge(self, relay_id: int) -> str | None:
        """Stop tracking a relay; return its target, or None if it was not tracked."""
        pending = self._pending.pop(relay_id, None)
        return pending.target if pending else None

    def due(self, now: float) -> tuple[list[PendingRelay], list[PendingRelay]]:
        """Return the overdue relays to resend, and those to abandon."""
        to_resend: list[PendingRelay] = []
        given_up: list[PendingRelay] = []
        for relay_id, pending in list(self._pending.items()):
            if pending.due_at > now:
                # Resent entries keep their place, so entries are not sorted by
                # due time and the scan cannot stop here.
                continue
            if pending.attempts >= RELAY_MAX_ATTEMPTS:
                del self._pending[relay_id]
                given_up.append(pending)
                continue
            pending.attempts += 1
            pending.due_at = now + RELAY_TIMEOUT_S
            to_resend.append(pending)
        return to_resend, given_up
