"""Which other balancers are alive, learnt from gossip alone."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from zlib import crc32

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import MemberInfo

MEMBER_TIMEOUT_S = 2.5
"""Time without a newer beat after which a member is taken to be gone, in seconds."""

MESH_LIMIT = 8
"""Most members that all gossip with each other directly."""

DOMAIN_PARTNERS = 2
"""Random partners in the own failure domain, in a larger fleet."""

REMOTE_PARTNERS = 1
"""Random partners in other failure domains, in a larger fleet."""

NEIGHBOURS = 64
"""Most members of the own failure domain that are told of an upstream."""

SAMPLE = 8
"""Members that one digest names."""

READERS = 1
"""Readers of the registry in each failure domain."""


@dataclass(slots=True)
class _Known:
    info: MemberInfo
    heard_at: float


class GossipMembers:
    """The members with their newest beats.

    Parameters
    ----------
    own : MemberInfo
        This balancer.
    seeds : iterable of Address
        Members to ask before any is known; they may be stale.
    rng : random.Random
        Draws partners.
    """

    def __init__(
        self, own: MemberInfo, seeds: Iterable[Address], rng: random.Random
    ) -> None:
        self._own = own
        self._seeds: list[Address] = []
        self.set_seeds(seeds)
        self._rng = rng
        self._known: dict[Address, _Known] = {}

    @property
    def own(self) -> MemberInfo:
        """This balancer, with its newest beat."""
        return self._own

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the members to ask before any is known."""
        self._seeds = [seed for seed in seeds if seed != self._own.address]

    def beat(self, leaving: bool) -> MemberInfo:
        """Return this balancer's record with the next beat."""
        own = self._own
        self._own = MemberInfo(
            own.address, own.failure_domain, own.incarnation, own.beat + 1, leaving
        )
        return self._own

    def merge(self, infos: Iterable[MemberInfo], now: float) -> None:
        """Take what another balancer tells."""
        for info in infos:
            if info.address == self._own.address:
                continue
            known = self._known.get(info.address)
            if known is None or known.info.incarnation != info.incarnation:
                if not self._outdated(info, known, now):
                    self._known[info.address] = _Known(info, now)
            elif info.beat > known.info.beat:
                known.info = info
                known.heard_at = now

    def _outdated(self, info: MemberInfo, known: _Known | None, now: float) -> bool:
        """Return whether others may still be telling of an older incarnation."""
        if known is None or now - known.heard_at >= MEMBER_TIMEOUT_S / 2:
            return False
        return info.beat >= known.info.beat

    def live(self, now: float) -> list[MemberInfo]:
        """Return the members whose beats have moved lately."""
        return [
            known.info
            for known in self._known.values()
            if now - known.heard_at < MEMBER_TIMEOUT_S
        ]

    def knows(self, info: MemberInfo) -> bool:
        """Return whether this incarnation of a member has been heard of."""
        known = self._known.get(info.address)
        return known is not None and known.info.incarnation == info.incarnation

    def forget(self, now: float) -> None:
        """Drop members that have been silent for long."""
        limit_s = 20 * MEMBER_TIMEOUT_S
        for address, known in list(self._known.items()):
            if now - known.heard_at > limit_s:
                del self._known[address]

    def partners(self, now: float) -> list[Address]:
        """Return whom to send the next digest to."""
        live = self.live(now)
        if len(live) < 2:
            wanted = [*(one.address for one in live), *self._seeds]
            return list(dict.fromkeys([*wanted, *self._known]))[:MESH_LIMIT]
        if len(live) <= MESH_LIMIT:
            return [one.address for one in live]
        return self._draw(live, DOMAIN_PARTNERS, REMOTE_PARTNERS)

    def audience(self, now: float) -> list[Address]:
        """Return whom to tell of a change."""
        live = self.live(now)
        if len(live) <= MESH_LIMIT:
            return [one.address for one in live]
        return self._draw(live, DOMAIN_PARTNERS + 1, REMOTE_PARTNERS)

    def neighbours(self, now: float) -> list[Address]:
        """Return the members of the own failure domain, or some of very many."""
        domain = self._own.failure_domain
        near = [one.address for one in self.live(now) if one.failure_domain == domain]
        return self._rng.sample(near, min(NEIGHBOURS, len(near)))

    def sample(self, now: float) -> tuple[MemberInfo, ...]:
        """Return members to name in a digest."""
        live = self.live(now)
        return tuple(self._rng.sample(live, min(SAMPLE, len(live))))

    def is_reader(self, now: float) -> bool:
        """Return whether this balancer is to read the registry for its domain."""
        own = self._own
        if own.leaving:
            return False
        peers = [
            one.address
            for one in self.live(now)
            if one.failure_domain == own.failure_domain and not one.leaving
        ]
        mine = _rank(own.address)
        return sum(_rank(address) < mine for address in peers) < READERS

    def is_among_first(self, subject: str, count: int, now: float) -> bool:
        """Return whether this balancer is one of the few chosen for a subject."""
        own = self._own
        if own.leaving:
            return False
        mine = _rank(own.address, subject)
        ahead = sum(
            _rank(one.address, subject) < mine
            for one in self.live(now)
            if not one.leaving
        )
        return ahead < count

    def _draw(self, live: list[MemberInfo], near: int, far: int) -> list[Address]:
        domain = self._own.failure_domain
        local = [one.address for one in live if one.failure_domain == domain]
        remote = [one.address for one in live if one.failure_domain != domain]
        return [
            *self._rng.sample(local, min(near, len(local))),
            *self._rng.sample(remote, min(far, len(remote))),
        ]


def _rank(address: Address, subject: str = "") -> tuple[int, Address]:
    return crc32(f"{address}{subject}".encode()), address
