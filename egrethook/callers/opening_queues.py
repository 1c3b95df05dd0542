"""Openings that wait for capacity, with one queue for each service."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from egrethook.callers.flow_output import FlowOutput
from egrethook.callers.forwarded_flow import (
    COPY_DELAY_S,
    DispatcherCounts,
    FlowState,
    ForwardedFlow,
)
from egrethook.callers.queueing_policy import (
    TYPICAL_SERVICE_TIME_S,
    PriorityQueueing,
    QueueingPolicy,
)
from egrethook.callers.segments import SegmentCodec
from egrethook.callers.waiting import OpeningQueue, WaitingOpening
from egrethook.discovery.view import ForwardingView
from egrethook.logs import PartLog
from egrethook.upstreams.upstream import upstream_load

_LOG = PartLog("flows")


WAITED_TOO_LONG = "waited too long"
"""Reason to drop an opening whose caller has given up."""

MAYBE_OPEN_ELSEWHERE = "may be open elsewhere"
"""Reason to drop an opening of which a copy may have gone to another balancer."""

REFUSAL_MARGIN_S = 0.1
"""Time for which a packet may have been under way or queued here, in seconds."""


class QueueState(NamedTuple):
    """The queue of a service, as a new opening meets it.

    Parameters
    ----------
    waiting : int
        Number of queued openings.
    expected_wait_s : float
        Time in which they are expected to be served, in seconds.
    comes_first : bool
        Whether they are served before a new opening.
    """

    waiting: int
    expected_wait_s: float
    comes_first: bool


class OpeningQueues:
    """Queues openings while no upstream has capacity, or refuses them.

    Parameters
    ----------
    view : ForwardingView
        The current upstreams.
    codec : SegmentCodec
        Describes flows in log lines.
    output : FlowOutput
        Refuses and drops openings.
    flows : dict
        The dispatcher's flows by key; those that are queued are added and removed.
    counts : DispatcherCounts
        Counts the openings that waited.
    send : callable
        Sends an opening; returns False if no upstream has capacity.
    policy : QueueingPolicy, optional
        Decides the order, and which openings can't be served in time.
    """

    def __init__(
        self,
        view: ForwardingView,
        codec: SegmentCodec,
        output: FlowOutput,
        flows: dict[bytes, ForwardedFlow],
        counts: DispatcherCounts,
        send: Callable[[ForwardedFlow, float], bool],
        policy: QueueingPolicy | None = None,
    ) -> None:
        self._view = view
        self._codec = codec
        self._output = output
        self._flows = flows
        self._counts = counts
        self._send = send
        self._policy = policy or PriorityQueueing()
        self._queues: dict[str, OpeningQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def state_of(self, service: str, now: float) -> QueueState:
        """Return what a new opening of a service would meet; changes nothing."""
        queue = self._queues.get(service)
        if not queue:
            return QueueState(0, 0.0, False)
        rate = self._policy.rate_now(service, self._view.candidates(service), now)
        return QueueState(
            len(queue),
            queue.expected_wait_s(rate),
            not self._policy.lets_new_openings_pass,
        )

    def send_or_add(self, flow: ForwardedFlow, now: float) -> None:
        """Send an opening at once, or queue or refuse it."""
        queue = self._queues.get(flow.service)
        if queue and not self._policy.lets_new_openings_pass:
            self._add(flow, now)
            self.serve(flow.service, now)
        elif self._send(flow, now):
            self._flows[flow.segment.flow] = flow
        else:
            self._add(flow, now)

    def _add(self, flow: ForwardedFlow, now: float) -> None:
        """Queue an opening, or refuse it if the caller would time out in the queue."""
        queue = self._queues.get(flow.service)
        if queue is None:
            queue = self._queues[flow.service] = self._policy.new_queue()
        opening = self._policy.describe(flow, queue, now)
        wait_s = queue.expected_wait_s(self._answers_per_s(flow.service, now), opening)
        if now + wait_s + TYPICAL_SERVICE_TIME_S > flow.caller_timeout_at:
            if flow.lacks_copy_due_by(now - COPY_DELAY_S):
                self._log_drop(flow, MAYBE_OPEN_ELSEWHERE, len(queue), now)
                return
            self._refuse(flow, "too many wait", queue, wait_s, now)
            return
        self._counts.waited += 1
        flow.last_active_at = now
        self._flows[flow.segment.flow] = flow
        queue.push(opening)
        self._policy.note_queued(flow, queue, now)

    def serve_all(self, now: float) -> None:
        """Send the queued openings of all services while there is capacity."""
        for service in self._queues:
            self.serve(service, now)

    def serve(self, service: str, now: float) -> None:
        """Send queued openings while an upstream has capacity."""
        queue = self._queues.get(service)
        if not queue:
            return
        self._refuse_hopeless(queue, now)
        service_s = self._policy.service_s(self._view.candidates(service))
        for waiting in queue.in_order(now, service_s):
            flow = self._waiting_flow(waiting)
            if flow is None:
                continue
            if now + TYPICAL_SERVICE_TIME_S > flow.caller_timeout_at:
                self._drop(flow, WAITED_TOO_LONG, len(queue), now)
                continue
            flow.has_guaranteed_room = waiting.is_guaranteed
            if self._send(flow, now):
                self._counts.wait_times.observe(now - flow.arrived_at)
            elif not queue.set_aside(waiting):
                return
        if not queue:
            self._policy.note_empty(service, now)

    def refuse_all(self, now: float) -> None:
        """Refuse all queued openings, which have not run, because the process ends.

        One that may have been opened through another balancer is dropped.
        """
        for flow in list(self._flows.values()):
            if flow.state is not FlowState.WAITING:
                continue
            if flow.lacks_copy_due_by(now + REFUSAL_MARGIN_S):
                self._drop(flow, MAYBE_OPEN_ELSEWHERE, 0, now)
                continue
            del self._flows[flow.segment.flow]
            self._output.reset(flow.segment, "process leaving")

    def _refuse_hopeless(self, queue: OpeningQueue, now: float) -> None:
        """Refuse what can't be served in time; drop it if its caller has given up.

        It is also dropped if a copy may have gone to another balancer, which may have
        opened the flow: a refusal would reset it.
        """
        for hopeless in queue.take_hopeless(now):
            flow = self._waiting_flow(hopeless)
            if flow is None:
                continue
            if now > flow.caller_timeout_at:
                self._drop(flow, WAITED_TOO_LONG, len(queue), now)
                continue
            if not flow.only_seen_here:
                self._drop(flow, MAYBE_OPEN_ELSEWHERE, len(queue), now)
                continue
            del self._flows[hopeless.flow]
            self._refuse(flow, "no room in time", queue, 0.0, now)

    def _answers_per_s(self, service: str, now: float) -> float:
        return self._policy.answers_per_s(service, self._view.candidates(service), now)

    def _waiting_flow(self, opening: WaitingOpening) -> ForwardedFlow | None:
        """Return the flow of a queued opening, or None if it has ended."""
        flow = self._flows.get(opening.flow)
        return flow if flow and flow.state is FlowState.WAITING else None

    def _refuse(
        self,
        flow: ForwardedFlow,
        reason: str,
        queue: OpeningQueue,
        wait_s: float,
        now: float,
    ) -> None:
        """Refuse an opening, which has not been sent to any upstream."""
        load = upstream_load(
            self._view.candidates(flow.service), TYPICAL_SERVICE_TIME_S
        )
        self._output.reset(
            flow.segment,
            reason,
            waiting=len(queue),
            busy_flows=load.busy_flows,
            wait_ms=round(min(wait_s, flow.route.timeout_s) * 1000),
            waited_ms=round((now - flow.arrived_at) * 1000),
        )
        self._policy.note_refused(flow, now)

    def _drop(self, flow: ForwardedFlow, reason: str, waiting: int, now: float) -> None:
        """Drop a queued opening."""
        del self._flows[flow.segment.flow]
        self._log_drop(flow, reason, waiting, now)

    def _log_drop(
        self, flow: ForwardedFlow, reason: str, waiting: int, now: float
    ) -> None:
        """Count an opening that is dropped, and log the reason."""
        self._output.drop(reason)
        _LOG.decision(
            "an opening is dropped.",
            flow=self._codec.describe(flow.segment),
            reason=reason,
            waited_ms=round((now - flow.arrived_at) * 1000),
            waiting=waiting,
        )
