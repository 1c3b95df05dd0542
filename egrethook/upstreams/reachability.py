"""Decides whether a balancer reaches any upstream that may get new flows.

The load that this answers: the failure domain of the balancer is cut off from the
others while its own upstreams are out of service or gone. Its callers can't be served
here but through the balancers of other failure domains, to which the router sends them
once no balancer of this domain is ready.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from egrethook.logs import PartLog
from egrethook.upstreams.health import PassiveHealth

RETRY_AFTER_S = 10.0
"""Time after which an unanswered opening no longer counts, in seconds.

Applies to failure domains without known balancers, of which only openings can tell.
"""


_LOG = PartLog("reachability")


class HeardDomains(NamedTuple):
    """Failure domains with live balancers, and those with any known ones."""

    live: frozenset[str] = frozenset()
    known: frozenset[str] = frozenset()


class Reachability:
    """Combines gossip from other failure domains with answers from their upstreams.

    Neither alone is enough: balancers may be down while their domain's upstreams work,
    and a single upstream may leave openings unanswered.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    health : PassiveHealth
        Knows which domains' upstreams answer.
    heard_domains : callable
        Returns the failure domains whose balancers are heard.
    """

    def __init__(
        self,
        domain: str,
        health: PassiveHealth,
        heard_domains: Callable[[], HeardDomains],
    ) -> None:
        self._domain = domain
        self._health = health
        self._heard_domains = heard_domains
        self._reached = True

    def reaches_any(self, domains: Iterable[str], now: float) -> bool:
        """Return whether upstreams of any of these failure domains may be reachable.

        It is True for no domains at all: then other balancers reach none either.
        """
        wanted = set(domains)
        heard = self._heard_domains()
        reached = not wanted or any(
            self._reaches(domain, heard, now) for domain in wanted
        )
        if reached != self._reached:
            self._reached = reached
            self._log_change(wanted, heard)
        return reached

    def _log_change(self, wanted: set[str], heard: HeardDomains) -> None:
        sentence = (
            "an upstream is reachable again."
            if self._reached
            else "no upstream is reachable; not ready."
        )
        _LOG.warning(
            sentence, wanted_domains=sorted(wanted), heard_domains=sorted(heard.live)
        )

    def _reaches(self, domain: str, heard: HeardDomains, now: float) -> bool:
        if domain == self._domain or domain in heard.live:
            return True
        silent_since = self._health.domain_silent_since(domain)
        if silent_since is None:
            return True
        return domain not in heard.known and now - silent_since >= RETRY_AFTER_S
