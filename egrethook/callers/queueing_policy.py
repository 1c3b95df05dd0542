"""What varies in how openings wait: their order, and the rate at which they leave."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from egrethook.callers.forwarded_flow import ForwardedFlow
from egrethook.callers.waiting import OpeningQueue, WaitingOpening, WaitingQueue
from egrethook.upstreams.upstream import Upstream, upstream_load

TYPICAL_SERVICE_TIME_S = 0.05
"""Time that an upstream usually needs to serve an opening, in seconds."""


class QueueingPolicy(Protocol):
    """Decides how the openings of each service wait."""

    @property
    def lets_new_openings_pass(self) -> bool:
        """Whether a new opening may take room while others wait."""
        ...

    def new_queue(self) -> OpeningQueue:
        """Return an empty queue for one service."""
        ...

    def describe(
        self, flow: ForwardedFlow, queue: OpeningQueue, now: float
    ) -> WaitingOpening:
        """Return the queue entry of an opening."""
        ...

    def answers_per_s(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate at which upstreams complete requests of this balancer."""
        ...

    def rate_now(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate without taking an opening to wait; changes nothing."""
        ...

    def service_s(self, candidates: Sequence[Upstream]) -> float:
        """Return the expected time from sending an opening to its answer."""
        ...

    def note_queued(self, flow: ForwardedFlow, queue: OpeningQueue, now: float) -> None:
        """Handle that an opening was queued."""
        ...

    def note_refused(self, flow: ForwardedFlow, now: float) -> None:
        """Handle that an opening was refused; its caller may try again at once."""
        ...

    def note_empty(self, service: str, now: float) -> None:
        """Handle that no opening of a service waits any more."""
        ...


class PriorityQueueing:
    """Queues by priority, then arrival; the whole queue is served before a new opening.

    The rate comes from the busy flows by Little's law.
    """

    lets_new_openings_pass = True

    def new_queue(self) -> OpeningQueue:
        """Return an empty queue for one service."""
        return WaitingQueue()

    def describe(
        self, flow: ForwardedFlow, queue: OpeningQueue, now: float
    ) -> WaitingOpening:
        """Return the queue entry of an opening."""
        return WaitingOpening(
            flow.route.priority,
            now,
            flow.due_at,
            flow.segment.flow,
        )

    def answers_per_s(
        self, service: str, candidates: Sequence[Upstream], now: float
    ) -> float:
        """Return the rate that follows from the flows that are busy now."""
        return upstream_load(candidates, TYPICAL_SERVICE_TIME_S).answers_per_s

    rate_now = answers_per_s

    def service_s(self, candidates: Sequence[Upstream]) -> float:
        """Return the mean service time of the flows that are busy now, in seconds."""
        load = upstream_load(candidates, TYPICAL_SERVICE_TIME_S)
        return max(load.service_s, TYPICAL_SERVICE_TIME_S)

    def note_queued(self, flow: ForwardedFlow, queue: OpeningQueue, now: float) -> None:
        """Do nothing."""

    def note_refused(self, flow: ForwardedFlow, now: float) -> None:
        """Do nothing."""

    def note_empty(self, service: str, now: float) -> None:
        """Do nothing."""
