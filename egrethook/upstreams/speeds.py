"""Estimates of how fast upstreams are, as balancers exchange them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

MAX_TIME_FACTOR = 10.0
"""Bound of all time factors and of their inverse."""


class SpeedEstimate(NamedTuple):
    """How long an upstream takes, compared with others for the same requests.

    Parameters
    ----------
    token : int
        The token that packets of the upstream's flows carry.
    time_factor : float
        Its service times over what the same requests take elsewhere: 2.0 is an
        upstream that takes twice as long.
    weight : float
        Number of recent answers that the estimate rests on.
    """

    token: int
    time_factor: float
    weight: float


class SpeedTable(Protocol):
    """Holds estimates of this balancer and of others."""

    def own_estimates(self, now: float) -> Sequence[SpeedEstimate]:
        """Return the estimates that rest on this balancer's own answers."""
        ...

    def apply_peer_estimates(
        self, estimates: Iterable[SpeedEstimate], now: float
    ) -> None:
        """Take over the combined estimates of other balancers.

        An estimate replaces the one given earlier for the same upstream, and loses
        weight with time.
        """
        ...
