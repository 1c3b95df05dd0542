"""Links between callers, balancers and upstreams: delays, losses and cuts."""

from __future__ import annotations

import random
from collections.abc import Callable

from egrethook.emulator.flow_events import EventQueue

INTRA_DOMAIN_DELAY_S = 0.0001


class Links:
    """The state of all links of a simulation.

    Parameters
    ----------
    caller_delay_s, inter_domain_delay_s : float
        One-way delays to callers and between failure domains, in seconds.
    loss_share : float
        Share of the packets from callers that get lost.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        caller_delay_s: float,
        inter_domain_delay_s: float,
        loss_share: float,
    ) -> None:
        self._events = events
        self._rng = rng
        self._caller_delay_s = caller_delay_s
        self._inter_domain_delay_s = inter_domain_delay_s
        self._loss_share = loss_share
        self._redirects: dict[int, int] = {}
        self._cut_at: dict[frozenset[str], float] = {}

    # Callers ---------------------------------------------------------------------

    def after_caller_delay(
        self, action: Callable[[], None], processing_s: float = 0.0
    ) -> None:
        """Schedule an action after the delay to a caller and a time for processing."""
        self._events.after(processing_s + self._caller_delay_s, action)

    def loses_packet(self) -> bool:
        """Draw whether a packet from a caller gets lost."""
        return self._loss_share > 0.0 and self._rng.random() < self._loss_share

    def redirect(self, vm: int, other: int, duration_s: float) -> None:
        """Hand the packets of a balancer's callers to another one for a while."""
        self._redirects[vm] = other

        def end() -> None:
            self._redirects.pop(vm, None)

        self._events.after(duration_s, end)

    def receiver(self, vm: int) -> int:
        """Return the balancer that gets the packets sent to a balancer."""
        return self._redirects.get(vm, vm)

    # Failure domains -------------------------------------------------------------

    def after_domain_delay(
        self, domain: str, other: str, action: Callable[[], None]
    ) -> None:
        """Schedule an action after the delay between two failure domains."""
        delay_s = INTRA_DOMAIN_DELAY_S
        if other != domain:
            delay_s += self._inter_domain_delay_s
        self._events.after(delay_s, action)

    def cut(self, domain: str, other: str) -> None:
        """Let no packet and no gossip pass between two failure domains any more."""
        self._cut_at[frozenset((domain, other))] = self._events.now

    def is_cut(self, domain: str, other: str) -> bool:
        """Return whether the link between two failure domains is cut."""
        return frozenset((domain, other)) in self._cut_at

    def gossip_age(self, domain: str, other: str) -> float:
        """Return the time since a domain's balancers heard of another domain's."""
        now = self._events.now
        return now - self._cut_at.get(frozenset((domain, other)), now)
