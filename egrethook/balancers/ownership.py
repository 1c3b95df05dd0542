"""Ownership of upstreams by weighted rendezvous hashing.

The owner of an upstream is the balancer that admits flows and requests to it.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from typing import Protocol

from egrethook.published.configuration import Configuration, Endpoint, Vm

RANKING_LENGTH = 3
"""Number of balancers cached for each upstream: its owner and the next candidates."""

HASH_RANGE = 2**64
"""Number of distinct hash values."""


class EligibleMembers(Protocol):
    """Provides the members that may own upstreams."""

    @property
    def version(self) -> int:
        """Counter that is incremented with each change."""
        ...

    def eligible(self, domain: str, now: float) -> list[Vm]:
        """Return the other balancers in a failure domain that may own upstreams."""
        ...


def rendezvous_score(balancer: str, upstream: str, weight: float) -> float:
    """Return the score of a balancer for an upstream; the highest score owns it."""
    digest = hashlib.blake2b(f"{balancer}|{upstream}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return -weight / math.log(uniform)


Score = tuple[float, str]
"""The score of a balancer for an upstream, and its name."""


def scores(upstream: str, members: Iterable[tuple[str, float]]) -> list[Score]:
    """Return the scores of all members for an upstream, highest first."""
    scored = [
        (rendezvous_score(name, upstream, weight), name) for name, weight in members
    ]
    return sorted(scored, reverse=True)


def rank(upstream: str, members: Iterable[tuple[str, float]]) -> list[str]:
    """Return the names of all members for an upstream, highest score first."""
    return [name for _, name in scores(upstream, members)]


class DomainRanking:
    """Cached owner rankings for the upstreams served by one set of balancers.

    When the set changes, only the affected rankings are recomputed.

    Parameters
    ----------
    vms : list of Vm
        The balancers in the set.
    """

    def __init__(self, vms: list[Vm]) -> None:
        self._weights = _weights(vms)
        self._ranks: dict[str, list[Score]] = {}

    def serves(self, name: str) -> bool:
        """Return whether a balancer belongs to the set."""
        return name in self._weights

    def owners(self, upstream: str) -> list[str]:
        """Return the `RANKING_LENGTH` highest-ranked balancers, the owner first."""
        found = self._ranks.get(upstream)
        if found is None:
            found = scores(upstream, self._weights.items())[:RANKING_LENGTH]
            self._ranks[upstream] = found
        return [name for _, name in found]

    def update(self, vms: list[Vm]) -> None:
        """Replace the set of balancers."""
        weights = _weights(vms)
        gone = {n for n, w in self._weights.items() if weights.get(n) != w}
        new = [(n, w) for n, w in weights.items() if self._weights.get(n) != w]
        self._weights = weights
        for upstream, ranked in list(self._ranks.items()):
            if any(name in gone for _, name in ranked):
                # The balancer that moves up is not in the cached ranking.
                del self._ranks[upstream]
            elif new:
                added = [*ranked, *scores(upstream, new)]
                self._ranks[upstream] = sorted(added, reverse=True)[:RANKING_LENGTH]


def _weights(vms: list[Vm]) -> dict[str, float]:
    return {vm.name: vm.weight for vm in vms}


class Ownership:
    """Determines the owners of upstreams in one balancer's view of the fleet.

    Parameters
    ----------
    vm : Vm
        This balancer.
    members : EligibleMembers
        The view of the other balancers.
    """

    def __init__(self, vm: Vm, members: EligibleMembers) -> None:
        self._vm = vm
        self._members = members
        self._can_own = True
        self._version = -1
        self._configuration: Configuration | None = None
        self._regions: dict[str, str] = {}
        self._rankings: dict[str, DomainRanking] = {}

    def resign(self) -> None:
        """Exclude this balancer from ownership."""
        self._can_own = False
        self._version = -1

    def owners(
        self, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> list[str]:
        """Return the owner of an upstream, followed by the next candidates.

        The owner is in the upstream's failure domain, or in the nearest domain
        with an eligible balancer if there is none.
        """
        ranking = self._ranking(endpoint.domain, configuration, now)
        return ranking.owners(endpoint.name)

    def owns(
        self, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> bool:
        """Return whether this balancer owns an upstream."""
        ranking = self._ranking(endpoint.domain, configuration, now)
        # Skip the hash computation for domains served by other balancers.
        if not ranking.serves(self._vm.name):
            return False
        return ranking.owners(endpoint.name)[:1] == [self._vm.name]

    def _ranking(
        self, domain: str, configuration: Configuration, now: float
    ) -> DomainRanking:
        self._refresh(configuration, now)
        found = self._rankings.get(domain)
        if found is None:
            vms = self._serving_vms(domain, configuration, now)
            found = self._rankings[domain] = DomainRanking(vms)
        return found

    def _refresh(self, configuration: Configuration, now: float) -> None:
        """Update the rankings after changes to the members or failure domains."""
        if configuration is not self._configuration:
            self._configuration = configuration
            regions = {d.name: d.region for d in configuration.domains.values()}
            if regions != self._regions:
                self._regions = regions
                self._rankings.clear()
        if self._members.version == self._version:
            return
        self._version = self._members.version
        for domain, ranking in self._rankings.items():
            ranking.update(self._serving_vms(domain, configuration, now))

    def _serving_vms(
        self, domain: str, configuration: Configuration, now: float
    ) -> list[Vm]:
        """Return the balancers that serve the upstreams of a failure domain."""
        for candidate in nearest_domains(domain, configuration):
            vms = self._members.eligible(candidate, now)
            if candidate == self._vm.domain and self._can_own:
                vms = [*vms, self._vm]
            if vms:
                return vms
        return []


def nearest_domains(domain: str, configuration: Configuration) -> list[str]:
    """Return all failure domains, nearest first: same domain, same region, others."""
    home = configuration.domains.get(domain)
    region = home.region if home else ""

    def distance(other: str) -> tuple[bool, bool, str]:
        return (
            other != domain,
            configuration.domains[other].region != region,
            other,
        )

    return sorted(configuration.domains, key=distance)
