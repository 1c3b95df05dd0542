"""Limits the busy flows that one balancer has at an upstream.

A flow is busy from the start of a request until its answer.

Balancers share an upstream without coordinating. Each raises its limit while answers
are prompt and lowers it when they are not. A balancer with a high load thus gets the
capacity that others leave unused, and a full upstream is not driven into shedding.
"""

from __future__ import annotations

from typing import Protocol

from egrethook.upstreams.upstream import Upstream

PROMPT_OBJECTIVE_SHARE = 0.5
"""Fraction of the latency objective within which an answer is prompt."""

ALWAYS_PROMPT_S = 0.03
"""Service time up to which an answer is prompt whatever its objective, in seconds."""

MIN_FLOW_LIMIT = 1.0
"""Lower bound of the limit, in busy flows."""

MAX_FLOWS_ABOVE_SLOTS = 4
"""Upper bound of the limit, in busy flows above the upstream's slots."""

DECREASE_FACTOR = 0.8
"""Factor applied to the limit after an answer that was not prompt."""


class FlowLimit(Protocol):
    """Limits the busy flows of each upstream."""

    def admits(self, upstream: Upstream) -> bool:
        """Return whether one more flow may become busy."""
        ...

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float
    ) -> None:
        """Adjust the limit to the service time of an answer and its objective."""
        ...


class AimdFlowLimit:
    """Additive increase while answers are prompt, multiplicative decrease otherwise.

    Parameters
    ----------
    initial_limit : int
        Limit of an upstream that has not answered yet; at least one more than its
        slots is used.
    """

    def __init__(self, initial_limit: int) -> None:
        self._initial_limit = initial_limit

    @property
    def initial_limit(self) -> int:
        """Limit of an upstream that has not answered yet."""
        return self._initial_limit

    @initial_limit.setter
    def initial_limit(self, initial_limit: int) -> None:
        self._initial_limit = initial_limit

    def admits(self, upstream: Upstream) -> bool:
        """Return whether one more flow may become busy."""
        return upstream.busy_flows < int(self._limit(upstream))

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float
    ) -> None:
        """Adjust the limit to the service time of an answer and its objective."""
        limit = self._limit(upstream)
        if service_s > max(ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE * objective_s):
            upstream.flow_limit = max(MIN_FLOW_LIMIT, limit * DECREASE_FACTOR)
        elif upstream.busy_flows >= int(limit):
            # A prompt answer justifies a higher limit only if the limit was reached.
            upper_bound = upstream.record.slots + MAX_FLOWS_ABOVE_SLOTS
            upstream.flow_limit = min(upper_bound, limit + 1.0 / limit)

    def _limit(self, upstream: Upstream) -> float:
        if upstream.flow_limit is None:
            return max(self._initial_limit, upstream.record.slots + 1)
        return upstream.flow_limit
