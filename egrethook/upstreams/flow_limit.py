"""Limits the busy flows that one balancer has at an upstream.

A flow is busy from the start of a request until its answer.

Balancers share an upstream without coordinating. Each raises its limit while answers
are prompt and lowers it when they are not. A balancer with a high load thus gets the
capacity that others leave unused, and a full upstream is not driven into shedding.

Where there are more balancers than slots, even one flow from each is too many. A limit
below 1 is therefore a pause between flows: at 0.25, a flow may be busy for a fifth of
the time. Openings that are already late may use a part of the limit only, because in
an upstream's own FIFO queue they would make those behind them late as well.
"""

from __future__ import annotations

from typing import Protocol

from egrethook.upstreams.upstream import Upstream

PROMPT_OBJECTIVE_SHARE = 0.5
"""Fraction of the latency objective within which an answer is prompt."""

ALWAYS_PROMPT_S = 0.03
"""Service time up to which an answer is prompt whatever its objective, in seconds."""

MIN_FLOW_LIMIT = 0.1
"""Lower bound of the limit, in busy flows."""

MAX_PAUSE_S = 1.4
"""Upper bound of a pause while the limit is below 1, in seconds.

Callers abandon an opening after that time.
"""

INITIAL_LATE_SHARE = 0.25
"""Fraction of the limit that late openings may use before the first answers."""

MIN_LATE_SHARE = 0.1
"""Lower bound of the fraction of the limit that late openings may use."""

LATE_SHARE_INCREASE = 0.05
"""Added to the fraction for late openings after a prompt answer."""

LATE_SHARE_DECREASE_FACTOR = 0.7
"""Factor applied to the fraction for late openings after any other answer."""

MIN_PROMPT_SHARE = 0.3
"""Fraction of prompt answers of a service below which no limit is less than 1.

If the upstreams are slow whatever their load, pauses would only waste capacity.
"""

PROMPT_SHARE_WEIGHT = 0.05
"""Weight of the latest answer in the moving average of the prompt fraction."""

MAX_FLOWS_ABOVE_SLOTS = 4
"""Upper bound of the limit, in busy flows above the upstream's slots."""

DECREASE_FACTOR = 0.8
"""Factor applied to the limit after an answer that was not prompt."""


class FlowLimit(Protocol):
    """Limits the busy flows of each upstream."""

    def admits(self, upstream: Upstream, now: float, on_time: bool) -> bool:
        """Return whether one more flow may become busy.

        Parameters
        ----------
        on_time : bool
            Whether the full limit applies, not the lower one for late openings.
        """
        ...

    def limit_of(self, upstream: Upstream, on_time: bool) -> float:
        """Return the limit, in busy flows; below 1.0 it means pauses between flows."""
        ...

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float, now: float
    ) -> None:
        """Adjust the limit to the service time of an answer and its objective."""
        ...


class AimdFlowLimit:
    """Additive increase while answers are prompt, multiplicative decrease otherwise.

    Parameters
    ----------
    initial_limit : int
        Limit of an upstream that has not answered yet; the number of its slots is
        used if that is higher.
    """

    def __init__(self, initial_limit: int) -> None:
        self._initial_limit = initial_limit
        self._prompt_shares: dict[str, float] = {}
        self._late_shares: dict[str, float] = {}

    @property
    def initial_limit(self) -> int:
        """Limit of an upstream that has not answered yet."""
        return self._initial_limit

    @initial_limit.setter
    def initial_limit(self, initial_limit: int) -> None:
        self._initial_limit = initial_limit

    def admits(self, upstream: Upstream, now: float, on_time: bool) -> bool:
        """Return whether one more flow may become busy."""
        lower_bound = self._lower_bound(upstream.service)
        limit = full_limit = max(self._limit(upstream), lower_bound)
        if not on_time:
            limit = self._late_limit(upstream.service, limit, lower_bound)
        if limit >= 1.0:
            return upstream.busy_flows < int(limit)
        if upstream.busy_flows:
            return False
        pause_s = max(upstream.service_time_s, ALWAYS_PROMPT_S) / limit
        if full_limit < 1.0:
            # Nothing is admitted during a pause, and only answers adjust the limit.
            pause_s = min(pause_s, MAX_PAUSE_S)
        return now - upstream.last_served_at >= pause_s

    def limit_of(self, upstream: Upstream, on_time: bool) -> float:
        """Return the limit, in busy flows; below 1.0 it means pauses between flows."""
        lower_bound = self._lower_bound(upstream.service)
        limit = max(self._limit(upstream), lower_bound)
        return (
            limit if on_time else self._late_limit(upstream.service, limit, lower_bound)
        )

    def note_answer(
        self, upstream: Upstream, service_s: float, objective_s: float, now: float
    ) -> None:
        """Adjust the limit to the service time of an answer and its objective."""
        upstream.last_served_at = now
        is_prompt = service_s <= max(
            ALWAYS_PROMPT_S, PROMPT_OBJECTIVE_SHARE * objective_s
        )
        self._update_shares(upstream.service, is_prompt)
        limit = self._limit(upstream)
        if not is_prompt:
            upstream.flow_limit = max(MIN_FLOW_LIMIT, limit * DECREASE_FACTOR)
        elif upstream.busy_flows >= int(limit):
            # A prompt answer justifies a higher limit only if the limit was reached.
            upper_bound = upstream.record.slots + MAX_FLOWS_ABOVE_SLOTS
            upstream.flow_limit = min(upper_bound, limit + min(limit, 1.0 / limit))

    def _update_shares(self, service: str, is_prompt: bool) -> None:
        prompt_share = self._prompt_shares.get(service, 1.0)
        prompt_share += PROMPT_SHARE_WEIGHT * (is_prompt - prompt_share)
        self._prompt_shares[service] = prompt_share
        late_share = self._late_shares.get(service, INITIAL_LATE_SHARE)
        if is_prompt:
            late_share = min(1.0, late_share + LATE_SHARE_INCREASE)
        else:
            late_share = max(MIN_LATE_SHARE, late_share * LATE_SHARE_DECREASE_FACTOR)
        self._late_shares[service] = late_share

    def _limit(self, upstream: Upstream) -> float:
        if upstream.flow_limit is None:
            return max(self._initial_limit, upstream.record.slots)
        return upstream.flow_limit

    def _late_limit(self, service: str, limit: float, lower_bound: float) -> float:
        late_share = self._late_shares.get(service, INITIAL_LATE_SHARE)
        return max(limit * late_share, lower_bound)

    def _lower_bound(self, service: str) -> float:
        if self._prompt_shares.get(service, 1.0) < MIN_PROMPT_SHARE:
            return 1.0
        return MIN_FLOW_LIMIT
