"""Chooses the owner that gets a request or flow, and the next one if it has no room."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from egrethook.balancers.peer_packets import Tried
from egrethook.published.configuration import Endpoint
from egrethook.upstreams.admission import FULL_PPM


class Chooser(Protocol):
    """Chooses the upstream whose owner is asked first."""

    def first(self, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Return one of the candidates, or None if there are none."""
        ...


class WeightedRandomChooser:
    """Chooses at random, weighted by slots.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def first(self, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Return one of the candidates, or None if there are none."""
        if not candidates:
            return None
        weights = [endpoint.slots for endpoint in candidates]
        return self._rng.choices(candidates, weights)[0]


@dataclass(frozen=True)
class NextHop:
    """Where a request goes next when an owner had no room.

    Parameters
    ----------
    upstream : str
        Upstream whose owner is asked next.
    queue : bool
        Whether to queue the request there, because all others have been asked.
    """

    upstream: str
    queue: bool


def compare_flow_owners(
    own_fills: Sequence[Tried],
    first_owner_fills: Sequence[Tried],
    candidates: Sequence[Endpoint],
    rng: random.Random,
) -> NextHop | None:
    """Place a new flow at the less filled of two owners' upstreams.

    The first owner relays the packet to a second one together with the fill of its
    own upstreams. The second admits the flow or returns it. The fills are exact,
    because each owner counts the flows of its own upstreams.

    Parameters
    ----------
    own_fills : sequence of Tried
        Fill of the upstreams owned by this balancer, in the field `backlog`.
    first_owner_fills : sequence of Tried
        Fill of the first owner's upstreams; empty at the first owner itself.
    candidates : sequence of Endpoint
        The upstreams that may get new work.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    NextHop or None
        Where to relay the flow; None if this owner should admit it.
    """
    least = min((entry.backlog for entry in own_fills), default=FULL_PPM)
    if first_owner_fills:
        best = min(first_owner_fills, key=lambda entry: entry.backlog)
        if best.backlog < least:
            # `queue` ends the search: the first owner admits the flow or refuses it.
            return NextHop(best.upstream, queue=True)
        return None
    local_names = {entry.upstream for entry in own_fills}
    others = [endpoint for endpoint in candidates if endpoint.name not in local_names]
    if least >= FULL_PPM or not others:
        return None
    return NextHop(rng.choice(others).name, queue=False)


def next_hop(
    candidates: Iterable[Endpoint],
    tried: Collection[Tried],
    domain: str,
    rng: random.Random,
) -> NextHop | None:
    """Return the next owner to ask.

    Owners in the same failure domain come first. When all have been asked, the
    request is queued at the shortest backlog.

    Parameters
    ----------
    candidates : iterable of Endpoint
        The upstreams that may get new work.
    tried : collection of Tried
        Upstreams that had no room, with their backlogs.
    domain : str
        Failure domain of the owner that relays the request.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    NextHop or None
        None if there are no candidates.
    """
    candidates = list(candidates)
    backlogs = {entry.upstream: entry.backlog for entry in tried}
    untried = [endpoint for endpoint in candidates if endpoint.name not in backlogs]
    if untried:
        near = [endpoint for endpoint in untried if endpoint.domain == domain]
        return NextHop(rng.choice(near or untried).name, queue=False)
    known = [endpoint for endpoint in candidates if endpoint.name in backlogs]
    if not known:
        return None
    shortest = min(backlogs[endpoint.name] for endpoint in known)
    equal = [e for e in known if backlogs[e.name] == shortest]
    return NextHop(rng.choice(equal).name, queue=True)
