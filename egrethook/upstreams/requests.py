"""What the packets of callers show of single requests."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from egrethook.discovery.records import Route
from egrethook.upstreams.upstream import Upstream


class RequestOutcome(NamedTuple):
    """A request whose answer has begun to arrive at its caller.

    Parameters
    ----------
    upstream : Upstream
        The upstream that answered.
    route : Route
        The route that the flow was opened on.
    request_bytes : int
        Bytes of the request that have passed through this balancer.
    answer_bytes : int
        Bytes of the answer that the caller has acknowledged so far.
    service_s : float
        Time from the request to the first acknowledged part of its answer, in seconds.
    retransmitted : bool
        Whether the caller has sent the request more than once; the service time then
        includes the time for which a packet was lost or held up.
    found_busy : int
        Other requests of this balancer that the upstream had in progress when this
        one began.
    interrupted : bool
        Whether the service time includes a pause of this process or a silence of the
        upstream.
    """

    upstream: Upstream
    route: Route
    request_bytes: int
    answer_bytes: int
    service_s: float
    retransmitted: bool
    found_busy: int = 0
    interrupted: bool = False

    @property
    def is_sound(self) -> bool:
        """Whether the service time shows how long the upstream took."""
        return not self.retransmitted and not self.interrupted

    @property
    def free_share(self) -> float:
        """Share of the upstream's slots that this balancer left free for the request.

        A request that finds all of them busy waits in the upstream's queue.
        """
        slots = max(1, self.upstream.record.slots)
        return max(0.0, 1.0 - self.found_busy / slots)


class RequestListener(Protocol):
    """Learns from the requests of the flows that pass through this balancer."""

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Handle the first part of an answer."""
        ...


class StallListener(Protocol):
    """Learns from requests that their callers have sent again."""

    def request_stalled(
        self, upstream: Upstream, route: Route, sent_at: float, now: float
    ) -> None:
        """Handle a request that is unanswered, given when it was first sent."""
        ...
