"""Requests on open flows, and what their answers or silence show.

Upstreams answer callers directly. A request is answered once its caller acknowledges a
first part of the answer, and stalled once its caller repeats it.
"""

from __future__ import annotations

from collections.abc import Sequence

from egrethook.callers.forwarded_flow import DispatcherCounts, ForwardedFlow
from egrethook.callers.interruptions import Interruptions
from egrethook.callers.segments import Segment
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.requests import RequestListener, StallListener
from egrethook.upstreams.reset_cause import ResetCause

MAX_STALL_S = 0.3
"""Time between two ticks above which unanswered requests prove nothing, in seconds.

An idle process ticks every 0.2 s.
"""


class RequestTracker:
    """Follows the requests on open flows, and tells others what they show.

    Parameters
    ----------
    limit : FlowLimit
        Adapts the flow limit of each upstream to its service times.
    health : PassiveHealth
        Learns which upstreams answer requests.
    listeners : sequence of RequestListener
        Learn from the requests that are answered.
    stall_listeners : sequence of StallListener
        Learn from the requests that are sent again.
    counts : DispatcherCounts
        Counts answered requests by their time.
    """

    def __init__(
        self,
        limit: FlowLimit,
        health: PassiveHealth,
        listeners: Sequence[RequestListener],
        stall_listeners: Sequence[StallListener],
        counts: DispatcherCounts,
    ) -> None:
        self._limit = limit
        self._health = health
        self._listeners = listeners
        self._stall_listeners = stall_listeners
        self._counts = counts
        self._interruptions = Interruptions()
        self._long_interruptions = Interruptions(MAX_STALL_S)

    def note_tick(self, now: float) -> None:
        """Record that the process runs."""
        if self._long_interruptions.is_catching_up(now):
            self._health.forget_unanswered_openings()
        self._interruptions.note_tick(now)
        self._long_interruptions.note_tick(now)

    def expect_queued_packets(self) -> None:
        """Record that packets have queued before the first tick, as during a start."""
        self._long_interruptions.expect_queued_packets()

    def is_catching_up(self, now: float) -> bool:
        """Return whether packets handled now have queued here for long."""
        return self._long_interruptions.is_catching_up(now)

    def track(self, flow: ForwardedFlow, segment: Segment, now: float) -> bool:
        """Detect requests and their answers; the flow is busy in between.

        Returns
        -------
        bool
            Whether the packet repeats a request that is unanswered.
        """
        if flow.is_answered_by(segment):
            self._note_answer(flow, segment, now)
        is_repeated = flow.is_retransmission(segment, now)
        if flow.is_new_data(segment):
            flow.record_request(segment, now)
        elif is_repeated:
            self._note_repetition(flow, now)
        return is_repeated

    def _note_answer(self, flow: ForwardedFlow, segment: Segment, now: float) -> None:
        service_s = now - flow.sent_at
        upstream = flow.tried[0]
        upstream.note_service_time(service_s)
        self._limit.note_answer(upstream, service_s, flow.route.objective_s, now)
        self._counts.request_times.observe(service_s)
        is_held_up = self._interruptions.occurred_since(flow.sent_at, now)
        outcome = flow.outcome(segment, service_s, is_held_up)
        self._health.note_progress(upstream, now)
        for listener in self._listeners:
            listener.request_answered(outcome, now)
        flow.record_answer(segment)

    def _note_repetition(self, flow: ForwardedFlow, now: float) -> None:
        flow.note_retransmission(now)
        upstream = flow.tried[0]
        self._health.note_stalled_request(upstream, flow.sent_at, now)
        for listener in self._stall_listeners:
            listener.request_stalled(upstream, flow.route, flow.sent_at, now)

    def reset_cause(self, flow: ForwardedFlow, now: float) -> ResetCause | None:
        """Return why to reset an open flow, or None if its upstream may still answer.

        There is no cause if this process stood still since the request.
        """
        if self._long_interruptions.occurred_since(flow.sent_at, now):
            return None
        return self._health.reset_cause(flow.tried[0], flow.unanswered_request, now)

    def silence(self, flow: ForwardedFlow, now: float) -> dict[str, object]:
        """Return whose silence ends a flow and how old the evidence is, for the log."""
        upstream, request = flow.tried[0], flow.unanswered_request
        return {
            "upstream": upstream.name,
            "silent_ms": round((now - request.sent_at) * 1000),
            "repeated_ms": round((now - request.repeated_at[0]) * 1000),
            "since_sign_of_life_ms": _milliseconds_since(upstream.alive_at, now),
            "longest_gap_ms": round(self._interruptions.longest_gap_s * 1000),
        }


def _milliseconds_since(time: float, now: float) -> int | None:
    """Return the time since an event in milliseconds, or None if there was none."""
    return round((now - time) * 1000) if time > float("-inf") else None
