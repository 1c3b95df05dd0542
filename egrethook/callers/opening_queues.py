"""Openings that wait for capacity, with one queue for each service."""

from __future__ import annotations

from collections.abc import Callable

from egrethook.callers.flow_output import FlowOutput
from egrethook.callers.forwarded_flow import DispatcherCounts, FlowState, ForwardedFlow
from egrethook.callers.segments import SegmentCodec
from egrethook.callers.waiting import WaitingOpening, WaitingQueue
from egrethook.discovery.view import ForwardingView
from egrethook.logs import PartLog
from egrethook.upstreams.upstream import upstream_load

TYPICAL_SERVICE_TIME_S = 0.05
"""Time that an upstream usually needs to serve an opening, in seconds."""

_LOG = PartLog("flows")


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
    """

    def __init__(
        self,
        view: ForwardingView,
        codec: SegmentCodec,
        output: FlowOutput,
        flows: dict[bytes, ForwardedFlow],
        counts: DispatcherCounts,
        send: Callable[[ForwardedFlow, float], bool],
    ) -> None:
        self._view = view
        self._codec = codec
        self._output = output
        self._flows = flows
        self._counts = counts
        self._send = send
        self._queues: dict[str, WaitingQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def add(self, flow: ForwardedFlow, now: float) -> None:
        """Queue an opening, or refuse it if the caller would time out in the queue."""
        queue = self._queues.setdefault(flow.service, WaitingQueue())
        load = upstream_load(
            self._view.candidates(flow.service), TYPICAL_SERVICE_TIME_S
        )
        wait_s = queue.expected_wait_s(load.answers_per_s)
        if now + wait_s + TYPICAL_SERVICE_TIME_S > flow.caller_timeout_at:
            self._output.reset(
                flow.segment,
                "too many wait",
                waiting=len(queue),
                busy_flows=load.busy_flows,
                wait_ms=round(min(wait_s, flow.route.timeout_s) * 1000),
            )
            return
        self._counts.waited += 1
        flow.last_active_at = now
        self._flows[flow.segment.flow] = flow
        queue.push(
            WaitingOpening(flow.route.priority, now, flow.due_at, flow.segment.flow)
        )

    def serve_all(self, now: float) -> None:
        """Send the queued openings of all services while there is capacity."""
        for service in self._queues:
            self.serve(service, now)

    def serve(self, service: str, now: float) -> None:
        """Send queued openings while an upstream has capacity."""
        queue = self._queues.get(service)
        if not queue:
            return
        load = upstream_load(self._view.candidates(service), TYPICAL_SERVICE_TIME_S)
        for waiting in queue.in_order(now, max(load.service_s, TYPICAL_SERVICE_TIME_S)):
            flow = self._flows.get(waiting.flow)
            if flow is None or flow.state is not FlowState.WAITING:
                continue
            if now + TYPICAL_SERVICE_TIME_S > flow.caller_timeout_at:
                self._drop(flow, len(queue), now)
                continue
            if not self._send(flow, now):
                return
            self._counts.wait_times.observe(now - flow.arrived_at)

    def refuse_all(self) -> None:
        """Refuse all queued openings, which have not run, because the process ends."""
        for flow in list(self._flows.values()):
            if flow.state is FlowState.WAITING:
                del self._flows[flow.segment.flow]
                self._output.reset(flow.segment, "process leaving")

    def _drop(self, flow: ForwardedFlow, waiting: int, now: float) -> None:
        del self._flows[flow.segment.flow]
        self._output.drop("waited too long")
        _LOG.decision(
            "an opening is dropped; its caller has given up.",
            flow=self._codec.describe(flow.segment),
            waited_ms=round((now - flow.arrived_at) * 1000),
            waiting=waiting,
        )
