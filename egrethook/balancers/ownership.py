"""Which balancer owns an upstream: weighted rendezvous hashing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from typing import Protocol

from egrethook.published.configuration import Configuration, Endpoint, Vm

OWNERS_PER_UPSTREAM = 3
"""How many ranks of owners are remembered for each upstream."""

HASH_RANGE = 2**64
"""Number of values of the hash."""


class EligibleMembers(Protocol):
    """Tells which balancers of a failure domain may own upstreams."""

    @property
    def version(self) -> int:
        """A number that grows with each change."""
        ...

    def eligible(self, domain: str, now: float) -> list[Vm]:
        """Return the other balancers that may own."""
        ...


def rendezvous_score(balancer: str, upstream: str, weight: float) -> float:
    """Return the score of a balancer for an upstream; the highest owns it."""
    digest = hashlib.blake2b(f"{balancer}|{upstream}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return -weight / math.log(uniform)


Score = tuple[float, str]
"""The score of a balancer for an upstream, and its name."""


def scores(upstream: str, members: Iterable[tuple[str, float]]) -> list[Score]:
    """Return the scores of members from the highest to the lowest."""
    scored = [
        (rendezvous_score(name, upstream, weight), name) for name, weight in members
    ]
    return sorted(scored, reverse=True)


def rank(upstream: str, members: Iterable[tuple[str, float]]) -> list[str]:
    """Return the names of members from the highest score to the lowest."""
    return [name for _, name in scores(upstream, members)]


class DomainRanking:
    """The highest ranks of the upstreams that one set of balancers serves.

    When balancers come or go, only the ranks that change are worked out anew.

    Parameters
    ----------
    vms : list of Vm
        The balancers that serve.
    """

    def __init__(self, vms: list[Vm]) -> None:
        self._weights = _weights(vms)
        self._ranks: dict[str, list[Score]] = {}

    def serves(self, name: str) -> bool:
        """Return whether a balancer is among those that serve."""
        return name in self._weights

    def owners(self, upstream: str) -> list[str]:
        """Return the first `OWNERS_PER_UPSTREAM` balancers for an upstream."""
        found = self._ranks.get(upstream)
        if found is None:
            found = scores(upstream, self._weights.items())[:OWNERS_PER_UPSTREAM]
            self._ranks[upstream] = found
        return [name for _, name in found]

    def update(self, vms: list[Vm]) -> None:
        """Take another set of balancers."""
        weights = _weights(vms)
        gone = {n for n, w in self._weights.items() if weights.get(n) != w}
        new = [(n, w) for n, w in weights.items() if self._weights.get(n) != w]
        self._weights = weights
        for upstream, ranked in list(self._ranks.items()):
            if any(name in gone for _, name in ranked):
                # Who comes after those that are left is not remembered.
                del self._ranks[upstream]
            elif new:
                added = [*ranked, *scores(upstream, new)]
                self._ranks[upstream] = sorted(added, reverse=True)[
                    :OWNERS_PER_UPSTREAM
                ]


def _weights(vms: list[Vm]) -> dict[str, float]:
    return {vm.name: vm.weight for vm in vms}


class Ownership:
    """Finds owners in one balancer's view.

    Parameters
    ----------
    vm : Vm
        This balancer as it knows itself.
    members : EligibleMembers
        The view of the others.
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
        """Stop owning upstreams."""
        self._can_own = False
        self._version = -1

    def owners(
        self, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> list[str]:
        """Return the owner of an upstream and those who come after it.

        The owner lives in the upstream's failure domain; when no balancer
        lives there, in the nearest other one.
        """
        ranking = self._ranking(endpoint.domain, configuration, now)
        return ranking.owners(endpoint.name)

    def owns(
        self, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> bool:
        """Return whether this balancer owns an upstream."""
        ranking = self._ranking(endpoint.domain, configuration, now)
        # Ranking is needed only where this balancer is among those that serve.
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
        """Bring the rankings up to date with members and domains."""
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
        """Return the balancers that serve a domain's upstreams."""
        for candidate in nearest_domains(domain, configuration):
            vms = self._members.eligible(candidate, now)
            if candidate == self._vm.domain and self._can_own:
                vms = [*vms, self._vm]
            if vms:
                return vms
        return []


def nearest_domains(domain: str, configuration: Configuration) -> list[str]:
    """Return the failure domains from the nearest to the farthest."""
    home = configuration.domains.get(domain)
    region = home.region if home else ""

    def distance(other: str) -> tuple[bool, bool, str]:
        return (
            other != domain,
            configuration.domains[other].region != region,
            other,
        )

    return sorted(configuration.domains, key=distance)
