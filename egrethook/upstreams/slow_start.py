"""Limits what a balancer that has just started sends to a service at once.

After a power loss all balancers are new and all callers come at once. Each balancer
knows only its own flows, so limits on each upstream alone would let the fleet send a
multiple of what the upstreams hold, and callers would wait in the upstreams' FIFO
queues, where nobody can choose between them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from egrethook.upstreams.flow_limit import ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.selection import Opening, UpstreamSelector
from egrethook.upstreams.upstream import Upstream

SLOW_START_S = 2.0
"""Time after the first opening of a service for which its window holds, in seconds."""

MIN_WINDOW = 2.0
"""Lower bound of the window, in busy flows of a service."""

FLOWS_PER_SLOT = 1.0
"""Window with which slow start ends, in busy flows per slot of the service."""


class _Window:
    """The busy flows that one service may have."""

    __slots__ = ("flows", "slots", "until")

    def __init__(self, slots: int, live_balancers: int, now: float) -> None:
        self.slots = slots
        self.flows = max(MIN_WINDOW, slots / max(1, live_balancers))
        self.until = now + SLOW_START_S


class SlowStartSelector:
    """Holds openings back while a new balancer has its window of busy flows.

    The window starts with the balancer's share of the slots, grows by one flow with
    each prompt answer, and never shrinks. It ends after `SLOW_START_S`.

    Parameters
    ----------
    selector : UpstreamSelector
        Chooses the upstream of an opening within the window.
    live_balancers : callable
        Returns the number of balancers that are known to be alive, this one included.
    """

    def __init__(
        self, selector: UpstreamSelector, live_balancers: Callable[[], int]
    ) -> None:
        self._selector = selector
        self._live_balancers = live_balancers
        self._windows: dict[str, _Window] = {}

    def choose(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Upstream | None:
        """Return the best candidate, or None if none has room or the window is full."""
        if candidates and not opening.tried and self._is_full(candidates, opening.now):
            return None
        return self._selector.choose(candidates, opening)

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Open the window further after a prompt answer."""
        window = self._windows.get(outcome.upstream.service)
        if window is None or now > window.until:
            return
        prompt_s = max(
            ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE * outcome.route.objective_s
        )
        if outcome.service_s <= prompt_s:
            window.flows += 1.0

    def _is_full(self, candidates: Sequence[Upstream], now: float) -> bool:
        service = candidates[0].service
        window = self._windows.get(service)
        if window is None:
            slots = sum(upstream.record.slots for upstream in candidates)
            window = _Window(slots, self._live_balancers(), now)
            self._windows[service] = window
        if now > window.until or window.flows >= FLOWS_PER_SLOT * window.slots:
            return False
        return sum(one.busy_flows for one in candidates) >= window.flows
