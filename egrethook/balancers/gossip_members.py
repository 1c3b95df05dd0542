"""Gossip membership: which other balancers are alive, and whom to send to."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import MemberInfo

MEMBER_TIMEOUT_S = 2.5
"""Time without a newer heartbeat after which a member counts as dead, in seconds."""

HEARING_TIMEOUT_S = 1.0
"""Time without gossip from any other failure domain, in seconds, that is no cut of one.

Then this balancer may hear nothing at all.
"""

FULL_MESH_MAX_MEMBERS = 8
"""Maximum number of live members, this balancer excluded, that all get each digest.

Larger fleets send to random targets; see `LOCAL_FANOUT` and `REMOTE_FANOUT`.
"""

LOCAL_FANOUT = 2
"""Number of random gossip targets in the local failure domain."""

REMOTE_FANOUT = 1
"""Number of random gossip targets in other failure domains."""

REPORT_FANOUT = 64
"""Maximum number of local members that receive an upstream report."""

DIGEST_SAMPLE_SIZE = 8
"""Number of random members listed in a digest."""

READERS_PER_DOMAIN = 1
"""Number of members that read the registry in each failure domain."""

MEMBER_EXPIRY_S = 20 * MEMBER_TIMEOUT_S
"""Time for which silent members are known, in seconds."""

LOST_DOMAIN_EXPIRY_S = 600.0
"""Time for which members of a failure domain that is lost get digests, in seconds.

A domain is lost while none of its members is live.
"""


@dataclass(slots=True)
class _MemberEntry:
    info: MemberInfo
    last_heard_at: float


class GossipMembers:
    """Known members, with the newest heartbeat counter seen from each.

    Parameters
    ----------
    own : MemberInfo
        This balancer.
    seeds : iterable of Address
        Bootstrap addresses, used until live members are known; may be stale.
    rng : random.Random
        Chooses random targets.
    """

    def __init__(
        self, own: MemberInfo, seeds: Iterable[Address], rng: random.Random
    ) -> None:
        self._own = own
        self._seeds: list[Address] = []
        self.set_seeds(seeds)
        self._rng = rng
        self._entries: dict[Address, _MemberEntry] = {}
        # Times of the last two datagrams from each failure domain.
        self._contacts: dict[str, tuple[float, float]] = {}

    @property
    def own(self) -> MemberInfo:
        """This balancer's own record, with its current heartbeat counter."""
        return self._own

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the bootstrap addresses."""
        self._seeds = [seed for seed in seeds if seed != self._own.address]

    def next_heartbeat(self, leaving: bool) -> MemberInfo:
        """Increment this balancer's heartbeat counter and return its record."""
        own = self._own
        self._own = MemberInfo(
            own.address, own.failure_domain, own.incarnation, own.beat + 1, leaving
        )
        return self._own

    def merge(self, members: Iterable[MemberInfo], now: float) -> None:
        """Merge member records received from another balancer.

        Within an incarnation the higher heartbeat counter wins.
        """
        for info in members:
            if info.address == self._own.address:
                continue
            entry = self._entries.get(info.address)
            if entry is None or entry.info.incarnation != info.incarnation:
                if not self._is_outdated(info, entry, now):
                    self._entries[info.address] = _MemberEntry(info, now)
            elif info.beat > entry.info.beat:
                entry.info = info
                entry.last_heard_at = now

    def _is_outdated(
        self, info: MemberInfo, entry: _MemberEntry | None, now: float
    ) -> bool:
        """Return whether a record probably describes an earlier incarnation.

        A restarted process counts from 0 again, so a different incarnation with
        an equal or higher counter is older gossip still in circulation.
        """
        if entry is None or now - entry.last_heard_at >= MEMBER_TIMEOUT_S / 2:
            return False
        return info.beat >= entry.info.beat

    def live(self, now: float) -> list[MemberInfo]:
        """Return the members whose heartbeat counter has advanced recently."""
        return [
            entry.info
            for entry in self._entries.values()
            if now - entry.last_heard_at < MEMBER_TIMEOUT_S
        ]

    def live_domains(self, now: float) -> frozenset[str]:
        """Return the failure domains of the live members."""
        return frozenset(member.failure_domain for member in self.live(now))

    def known_domains(self, now: float) -> frozenset[str]:
        """Return the failure domains of members that are known, dead ones included."""
        return frozenset(
            entry.info.failure_domain
            for entry in self._entries.values()
            if now - entry.last_heard_at <= MEMBER_EXPIRY_S
        )

    def live_in_own_domain(self, now: float) -> list[Address]:
        """Return the live members of the local failure domain that are not leaving."""
        domain = self._own.failure_domain
        return [
            member.address
            for member in self.live(now)
            if member.failure_domain == domain and not member.leaving
        ]

    def note_contact(self, domain: str, now: float) -> None:
        """Record that a datagram came directly from a failure domain."""
        last_at, _ = self._contacts.get(domain, (float("-inf"), 0.0))
        self._contacts[domain] = now, last_at

    def contact_age(self, domain: str, now: float) -> float | None:
        """Return the time since a datagram came from a failure domain, in seconds.

        It is None if no member of the domain is remembered.
        """
        entries = self._entries.values()
        if all(entry.info.failure_domain != domain for entry in entries):
            return None
        return now - self._contacts.get(domain, (float("-inf"), 0.0))[0]

    def unexpected_silence(self, domain: str, now: float) -> float | None:
        """Return the time since a datagram came from a failure domain, in seconds.

        It is None if its members have all said that they leave, if none ever came, or
        if none has come lately from any other domain: then the fault is on this side.
        """
        stays = any(
            entry.info.failure_domain == domain and not entry.info.leaving
            for entry in self._entries.values()
        )
        if not stays or domain not in self._contacts:
            return None
        others_at = [at for one, (at, _) in self._contacts.items() if one != domain]
        if now - max(others_at, default=float("-inf")) > HEARING_TIMEOUT_S:
            return None
        return now - self._contacts[domain][0]

    def confirmed_contact_at(self, domain: str) -> float:
        """Return when the last datagram but one came from a domain, in seconds."""
        return self._contacts.get(domain, (0.0, float("-inf")))[1]

    def knows(self, info: MemberInfo) -> bool:
        """Return whether this incarnation of a member is known."""
        entry = self._entries.get(info.address)
        return entry is not None and entry.info.incarnation == info.incarnation

    def remove_expired(self, now: float) -> None:
        """Drop members that have been silent for `MEMBER_EXPIRY_S`.

        Those of a lost failure domain are kept for longer: it may have been cut off.
        """
        live_domains = self.live_domains(now)
        for address, entry in list(self._entries.items()):
            is_lost = entry.info.failure_domain not in live_domains
            limit_s = LOST_DOMAIN_EXPIRY_S if is_lost else MEMBER_EXPIRY_S
            if now - entry.last_heard_at > limit_s:
                del self._entries[address]

    def gossip_targets(self, now: float) -> list[Address]:
        """Return the targets of the next digest.

        With fewer than two live members, seeds and members that have timed out are
        included, so that the balancer can join or rejoin the fleet. Otherwise a member
        of a failure domain that is lost is: after a cut of the network, nobody else
        would send across it.
        """
        live = self.live(now)
        if len(live) < 2:
            wanted = [*(member.address for member in live), *self._seeds]
            return list(dict.fromkeys([*wanted, *self._entries]))[
                :FULL_MESH_MAX_MEMBERS
            ]
        if len(live) <= FULL_MESH_MAX_MEMBERS:
            return [*(member.address for member in live), *self._lost_target(live)]
        targets = self._choose_random(live, LOCAL_FANOUT, REMOTE_FANOUT)
        return targets + self._lost_target(live)

    def _lost_target(self, live: list[MemberInfo]) -> list[Address]:
        """Return a random member of the failure domains that are lost, if any."""
        live_domains = {member.failure_domain for member in live}
        live_domains.add(self._own.failure_domain)
        lost = [
            address
            for address, entry in self._entries.items()
            if entry.info.failure_domain not in live_domains
        ]
        return [self._rng.choice(lost)] if lost else []

    def push_targets(self, now: float) -> list[Address]:
        """Return the targets to which a change is pushed immediately."""
        live = self.live(now)
        if len(live) <= FULL_MESH_MAX_MEMBERS:
            return [member.address for member in live]
        return self._choose_random(live, LOCAL_FANOUT + 1, REMOTE_FANOUT)

    def report_targets(self, now: float) -> list[Address]:
        """Return the targets of an upstream report.

        These are the live members of the local failure domain, or a random
        sample of `REPORT_FANOUT` of them.
        """
        domain = self._own.failure_domain
        near = [
            member.address
            for member in self.live(now)
            if member.failure_domain == domain
        ]
        return self._rng.sample(near, min(REPORT_FANOUT, len(near)))

    def sample(self, now: float) -> tuple[MemberInfo, ...]:
        """Return a random sample of live members to list in a digest."""
        live = self.live(now)
        return tuple(self._rng.sample(live, min(DIGEST_SAMPLE_SIZE, len(live))))

    def is_reader(self, now: float) -> bool:
        """Return whether this balancer reads the registry for its failure domain.

        Each member ranks the live, not leaving members of the domain by a hash
        of their addresses; the first `READERS_PER_DOMAIN` read.
        """
        own = self._own
        if own.leaving:
            return False
        peers = [
            member.address
            for member in self.live(now)
            if member.failure_domain == own.failure_domain and not member.leaving
        ]
        own_rank = _rank(own.address)
        return sum(_rank(address) < own_rank for address in peers) < READERS_PER_DOMAIN

    def is_among_first(self, subject: str, count: int, now: float) -> bool:
        """Return whether this balancer ranks among the first members for a subject.

        Parameters
        ----------
        subject : str
            Key that is ranked for, such as the name of an upstream; each subject has
            its own ranking.
        count : int
            Number of members chosen.
        now : float
            The current time, in seconds.
        """
        own = self._own
        if own.leaving:
            return False
        own_rank = _rank(own.address, subject)
        ahead = sum(
            _rank(member.address, subject) < own_rank
            for member in self.live(now)
            if not member.leaving
        )
        return ahead < count

    def _choose_random(
        self, live: list[MemberInfo], local_count: int, remote_count: int
    ) -> list[Address]:
        domain = self._own.failure_domain
        local = [member.address for member in live if member.failure_domain == domain]
        remote = [member.address for member in live if member.failure_domain != domain]
        return [
            *self._rng.sample(local, min(local_count, len(local))),
            *self._rng.sample(remote, min(remote_count, len(remote))),
        ]


def _rank(address: Address, subject: str = "") -> tuple[int, Address]:
    return crc32(f"{address}{subject}".encode()), address
