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
    """

    upstream: Upstream
    route: Route
    request_bytes: int
    answer_bytes: int
    service_s: float
    retransmitted: bool


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
