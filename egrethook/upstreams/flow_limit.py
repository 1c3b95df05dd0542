"""How many flows of an upstream may be busy through one balancer.

The balancers share an upstream without telling each other. Each lets more flows be
busy while answers come well in time and fewer when they do not, so that a balancer
with much to do gets the room that the others leave, and a full upstream is not driven
into shedding.
"""

from __future__ import annotations

from typing import Protocol

from egrethook.upstreams.upstream import Upstream

PROMPT_OBJECTIVE_SHARE = 0.5
"""An answer within this part of its latency objective is prompt."""

ALWAYS_PROMPT_S = 0.03
"""An answer within this time is always prompt, in seconds."""

MIN_FLOW_LIMIT = 1.0
"""Busy flows that an upstream always may have."""

MAX_FLOWS_ABOVE_SLOTS = 4
"""Most busy flows beyond an upstream's slots."""

DECREASE_FACTOR = 0.8
"""What is left of a limit after an answer that was not prompt."""


class FlowLimit(Protocol):
    """Bounds the busy flows of each upstream."""

    def admits(self, upstream: Upstream) -> bool:
        """Return whether one more flow may be busy."""
        ...

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float
    ) -> None:
        """Take the time of an answer, and what was asked for."""
        ...


class AimdFlowLimit:
    """Additive increase while answers are prompt, multiplicative decrease else.

    Parameters
    ----------
    start : int
        Busy flows of an upstream that has not answered yet; never less than one more
        than its slots.
    """

    def __init__(self, start: int) -> None:
        self._start = start

    @property
    def start(self) -> int:
        """Busy flows of an upstream that has not answered yet."""
        return self._start

    @start.setter
    def start(self, start: int) -> None:
        self._start = start

    def admits(self, upstream: Upstream) -> bool:
        """Return whether one more flow may be busy."""
        return upstream.busy_flows < int(self._limit(upstream))

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float
    ) -> None:
        """Take the time of an answer, and what was asked for."""
        limit = self._limit(upstream)
        if service_s > max(ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE * objective_s):
            upstream.flow_limit = max(MIN_FLOW_LIMIT, limit * DECREASE_FACTOR)
        elif upstream.busy_flows >= int(limit):
            # Only what was used up has shown that more can be borne.
            upper_bound = upstream.record.slots + MAX_FLOWS_ABOVE_SLOTS
            upstream.flow_limit = min(upper_bound, limit + 1.0 / limit)

    def _limit(self, upstream: Upstream) -> float:
        if upstream.flow_limit is None:
            return max(self._start, upstream.record.slots + 1)
        return upstream.flow_limit
