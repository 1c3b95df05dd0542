"""Limits what a balancer that has just started sends to a service at once.

After a power loss all balancers are new and all callers come at once. Each balancer
knows only its own flows, so limits on each upstream alone would let the fleet send a
multiple of what the upstreams hold, and callers would wait in the upstreams' FIFO
queues, where nobody can choose between them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from egrethook.logs import PartLog
from egrethook.upstreams.flow_limit import ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.selection import Opening, UpstreamSelector
from egrethook.upstreams.upstream import Upstream

SLOW_START_S = 2.0
"""Time after the first opening of a service for which its window holds, in seconds."""

INITIAL_WINDOW = 2.0
"""Window of a balancer that has not heard of others yet, in busy flows of a service."""

FLEET_HEARD_AFTER_S = 0.5
"""Time after which most of the live balancers have been heard, in seconds."""

PROMPT_INCREASE = 0.5
"""Added to the window while a whole window is answered promptly, in busy flows."""

SLOW_INCREASE = 0.02
"""Added for other answers, in busy flows: upstreams may be slow at any load."""

_LOG = PartLog("queueing")


class _Window:
    """The busy flows that one service may have."""

    __slots__ = ("flows", "has_ended", "has_share", "started_at")

    def __init__(self, now: float) -> None:
        self.flows = INITIAL_WINDOW
        self.started_at = now
        self.has_share = False
        self.has_ended = False


class SlowStartSelector:
    """Holds openings back that exceed the window of a balancer that has just started.

    The window starts with two flows and grows with each answer. Once the fleet is
    known, it is at least the balancer's share of the slots. It never shrinks, and ends
    when it has reached the slots of the service, or after `SLOW_START_S`.

    Parameters
    ----------
    selector : UpstreamSelector
        Chooses the upstream of an opening within the window.
    live_balancers : callable
        Returns the number of live balancers, this one included; 0 if unknown.
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

    def holds_back(self, candidates: Sequence[Upstream], now: float) -> bool:
        """Return whether the window is full for a new opening; changes nothing."""
        window = self._windows.get(candidates[0].service) or _Window(now)
        age_s = now - window.started_at
        if window.has_ended or age_s > SLOW_START_S:
            return False
        slots = sum(upstream.record.slots for upstream in candidates)
        flows = window.flows
        balancers = self._live_balancers()
        if age_s > FLEET_HEARD_AFTER_S and not window.has_share and balancers:
            flows = max(flows, slots / balancers)
        return sum(one.busy_flows for one in candidates) >= flows and flows < slots

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Open the window further, faster if the answer was prompt."""
        window = self._windows.get(outcome.upstream.service)
        if window is None or window.has_ended:
            return
        prompt_s = max(
            ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE * outcome.route.objective_s
        )
        is_prompt = outcome.service_s <= prompt_s
        increase = PROMPT_INCREASE if is_prompt else SLOW_INCREASE
        window.flows += increase / window.flows

    def _is_full(self, candidates: Sequence[Upstream], now: float) -> bool:
        service = candidates[0].service
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window(now)
            _LOG.info("slow start begins.", service=service, window=window.flows)
        if window.has_ended:
            return False
        age_s = now - window.started_at
        slots = sum(upstream.record.slots for upstream in candidates)
        if age_s > FLEET_HEARD_AFTER_S and not window.has_share:
            self._grant_share(window, slots)
        if age_s > SLOW_START_S or window.flows >= slots:
            self._end(window, service, now)
            return False
        return sum(upstream.busy_flows for upstream in candidates) >= window.flows

    def _grant_share(self, window: _Window, slots: int) -> None:
        """Open the window to this balancer's share of the slots, if that is known."""
        balancers = self._live_balancers()
        if balancers:
            window.flows = max(window.flows, slots / balancers)
            window.has_share = True

    def _end(self, window: _Window, service: str, now: float) -> None:
        window.has_ended = True
        _LOG.info(
            "slow start ends.",
            service=service,
            window=round(window.flows, 1),
            after_ms=round((now - window.started_at) * 1000),
        )
