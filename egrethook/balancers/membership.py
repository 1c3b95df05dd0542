"""Membership of the fleet: the published list of VMs, combined with heartbeats."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from egrethook.balancers.peer_packets import Heartbeat, MemberState, Suspicion
from egrethook.published.configuration import Vm
from egrethook.types import ExecutorId, VmState

HEARTBEAT_INTERVAL_S = 0.5
"""Interval between heartbeats to the same neighbour, in seconds."""

HEARTBEAT_TIMEOUT_S = 2.0
"""Time without a heartbeat after which a neighbour is suspected, in seconds."""

SUSPICION_TTL_S = 10.0
"""Time for which a suspicion is included in heartbeats, in seconds."""

PAUSE_DISTRUST_S = 1.0
"""Time after a process pause in which the view is not trusted, in seconds.

A heartbeat received in the meantime ends it early.
"""

FULL_MESH_MAX_MEMBERS = 12
"""Maximum size of a full mesh of heartbeats, this balancer included.

A larger fleet limits heartbeats to the failure domain; a larger failure domain
limits them to ring neighbours.
"""

NEIGHBOURS_PER_SIDE = 3
"""Heartbeat neighbours on each side of the ring in a larger failure domain."""

UNACKED_RELAY_LIMIT = 2
"""Consecutive unacknowledged relays after which a member is avoided."""

RELAY_AVOIDANCE_S = 2.0
"""Time for which a member with unacknowledged relays is avoided, in seconds."""


@dataclass
class Member:
    """State of another balancer, as known here.

    Parameters
    ----------
    last_heard_at : float or None
        Time of the last heartbeat, or of the end of a later pause of this process, in
        seconds; None before the first heartbeat.
    incarnation : int
        The incarnation in the last heartbeat; 0 before the first.
    inherited : frozenset of ExecutorId
        The executors whose rights the member has taken over.
    """

    vm: Vm
    added_at: float
    last_heard_at: float | None = None
    incarnation: int = 0
    state: MemberState = MemberState.LIVE
    revision: int = 0
    suspected_at: float | None = None
    unacked_relays: int = 0
    avoided_until: float = 0.0
    inherited: frozenset[ExecutorId] = field(default_factory=frozenset)


class Membership:
    """One balancer's view of the other members of the fleet.

    Parameters
    ----------
    name, domain : str
        This balancer and its failure domain.
    incarnation : int
        Random number drawn when this process started.
    now : float
        The start time, in seconds.
    """

    def __init__(self, name: str, domain: str, incarnation: int, now: float) -> None:
        self._name = name
        self._domain = domain
        self._incarnation = incarnation
        self._members: dict[str, Member] = {}
        self._suspicions: dict[str, tuple[Suspicion, float]] = {}
        self._distrusted_until = 0.0
        self._started_at = now
        self._leaving = False
        self._sequence = 0
        self._version = 0
        self._alive: dict[str, bool] = {}

    @property
    def version(self) -> int:
        """Counter that is incremented whenever the set of eligible members changes."""
        return self._version

    @property
    def members(self) -> dict[str, Member]:
        """The other balancers by name."""
        return self._members

    @property
    def leaving(self) -> bool:
        """Whether this balancer is leaving the fleet."""
        return self._leaving

    def leave(self) -> None:
        """Announce this balancer as leaving, so that it owns no upstreams."""
        self._leaving = True
        self._version += 1

    def set_published_vms(self, vms: Iterable[Vm], now: float) -> None:
        """Apply the published list of the VMs that run balancers.

        A member whose peer address has changed starts with a fresh state.
        """
        published = {vm.name: vm for vm in vms if vm.name != self._name}
        for name in self._members.keys() - published.keys():
            del self._members[name]
        for name, vm in published.items():
            member = self._members.get(name)
            if member is None or member.vm.peers != vm.peers:
                self._members[name] = Member(vm, now)
            else:
                member.vm = vm
        self.refresh(now)

    def observe(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a received heartbeat.

        Returns
        -------
        bool
            Whether the sender is a known member.
        """
        member = self._members.get(heartbeat.balancer)
        if member is None:
            return False
        member.last_heard_at = now
        member.incarnation = heartbeat.incarnation
        member.state = heartbeat.state
        member.revision = max(member.revision, heartbeat.revision)
        member.suspected_at = None
        member.unacked_relays = 0
        member.avoided_until = 0.0
        member.inherited = frozenset(heartbeat.inherited)
        self._suspicions.pop(heartbeat.balancer, None)
        for suspicion in heartbeat.suspicions:
            self._apply_suspicion(suspicion, now)
        self._distrusted_until = 0.0
        self.refresh(now)
        return True

    def _apply_suspicion(self, suspicion: Suspicion, now: float) -> None:
        member = self._members.get(suspicion.balancer)
        if member is None or member.incarnation not in (0, suspicion.incarnation):
            return
        # A recent heartbeat received directly overrides a suspicion of others.
        if (
            member.last_heard_at is not None
            and now - member.last_heard_at < HEARTBEAT_TIMEOUT_S
        ):
            return
        if member.suspected_at is None:
            member.suspected_at = now
            self._suspicions[suspicion.balancer] = (suspicion, now)

    def heartbeat(self, revision: int, inherited: Iterable[ExecutorId]) -> Heartbeat:
        """Build the next heartbeat to send."""
        self._sequence += 1
        # A `Heartbeat` holds at most 64 suspicions and 64 inherited executors.
        return Heartbeat(
            balancer=self._name,
            incarnation=self._incarnation,
            state=MemberState.LEAVING if self._leaving else MemberState.LIVE,
            revision=revision,
            sequence=self._sequence,
            suspicions=[suspicion for suspicion, _ in self._suspicions.values()][:64],
            inherited=list(inherited)[:64],
        )

    def neighbours(self) -> list[str]:
        """Return the members with which this balancer exchanges heartbeats."""
        local = self.domain_members()
        if len(self._members) < FULL_MESH_MAX_MEMBERS:
            return sorted(self._members)
        if len(local) < FULL_MESH_MAX_MEMBERS:
            return local
        ring = sorted([*local, self._name])
        own_index = ring.index(self._name)
        offsets = [*range(1, NEIGHBOURS_PER_SIDE + 1), *range(-NEIGHBOURS_PER_SIDE, 0)]
        return sorted({ring[(own_index + offset) % len(ring)] for offset in offsets})

    def domain_members(self) -> list[str]:
        """Return the other members of this failure domain."""
        return sorted(
            name
            for name, member in self._members.items()
            if member.vm.domain == self._domain
        )

    def suspect_silent(self, now: float) -> list[str]:
        """Suspect neighbours whose heartbeats have timed out.

        Returns
        -------
        list of str
            The newly suspected members.
        """
        silent = []
        for name in self.neighbours():
            member = self._members[name]
            last = (
                member.last_heard_at
                if member.last_heard_at is not None
                else member.added_at
            )
            if member.suspected_at is None and now - last > HEARTBEAT_TIMEOUT_S:
                member.suspected_at = now
                suspicion = Suspicion(name, member.incarnation)
                self._suspicions[name] = (suspicion, now)
                silent.append(name)
        self._suspicions = {
            name: entry
            for name, entry in self._suspicions.items()
            if now - entry[1] < SUSPICION_TTL_S
        }
        self.refresh(now)
        return silent

    def relay_acked(self, name: str) -> None:
        """Reset the count of unacknowledged relays of a member."""
        member = self._members.get(name)
        if member is not None:
            member.unacked_relays = 0
            member.avoided_until = 0.0

    def relay_unacked(self, name: str, now: float) -> None:
        """Count an unacknowledged relay; avoid the member after several in a row."""
        member = self._members.get(name)
        if member is None:
            return
        member.unacked_relays += 1
        if member.unacked_relays >= UNACKED_RELAY_LIMIT:
            member.avoided_until = now + RELAY_AVOIDANCE_S
            self.refresh(now)

    def distrust_after_pause(self, now: float) -> None:
        """Stop trusting the view after this process was paused.

        Other balancers may have taken over its upstreams in the meantime.
        """
        self._distrusted_until = now + PAUSE_DISTRUST_S
        for member in self._members.values():
            # Heartbeats missed while this process was paused are no evidence
            # against their senders.
            if member.last_heard_at is not None:
                member.last_heard_at = now

    def trusted(self, now: float) -> bool:
        """Return whether work may be admitted on the basis of this view."""
        return now >= self._distrusted_until or not self._members

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a member is neither suspected nor avoided."""
        if name == self._name:
            return True
        member = self._members.get(name)
        if member is None:
            return False
        return member.suspected_at is None and now >= member.avoided_until

    def startup_grace_elapsed(self, now: float) -> bool:
        """Return whether this process has run long enough to know the live members."""
        return now - self._started_at > HEARTBEAT_TIMEOUT_S

    def is_suspected(self, name: str) -> bool:
        """Return whether a balancer is suspected or no longer published.

        Unacknowledged relays do not count: a busy process may acknowledge late.
        """
        member = self._members.get(name)
        return member is None or member.suspected_at is not None

    def eligible(self, domain: str, now: float) -> list[Vm]:
        """Return the live members of a failure domain that may own upstreams."""
        return [
            member.vm
            for name, member in self._members.items()
            if member.vm.domain == domain
            and member.vm.state is VmState.LIVE
            and member.state is MemberState.LIVE
            and self.is_alive(name, now)
        ]

    def heir_of(self, executor: ExecutorId, now: float) -> str | None:
        """Return the live member that took over an executor's rights, if any."""
        for name, member in self._members.items():
            if executor in member.inherited and self.is_alive(name, now):
                return name
        return None

    def members_ahead_of(self, revision: int) -> list[Member]:
        """Return the members with a newer configuration revision, in random order."""
        ahead = [m for m in self._members.values() if m.revision > revision]
        random.shuffle(ahead)
        return ahead

    def refresh(self, now: float) -> None:
        """Increment the version if the set of eligible members has changed."""
        alive = {
            name: self.is_alive(name, now)
            and member.state is MemberState.LIVE
            and member.vm.state is VmState.LIVE
            for name, member in self._members.items()
        }
        if alive != self._alive:
            self._alive = alive
            self._version += 1
