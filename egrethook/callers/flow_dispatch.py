"""Forwards, queues or refuses each packet of the callers' flows."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from egrethook.callers.answer_times import AnswerTimes
from egrethook.callers.flow_output import FlowOutput
from egrethook.callers.forwarded_flow import (
    COPY_DELAY_S,
    OPENING_TIMEOUT_S,
    DispatcherCounts,
    FlowState,
    ForwardedFlow,
)
from egrethook.callers.held_packets import HeldPackets, ReceivedPacket
from egrethook.callers.last_openings import LastOpenings
from egrethook.callers.opening_queues import OpeningQueues
from egrethook.callers.queueing_policy import QueueingPolicy
from egrethook.callers.request_tracker import RequestTracker
from egrethook.callers.segments import PacketPort, Segment, SegmentCodec
from egrethook.discovery.view import ForwardingView, pick_service
from egrethook.logs import PartLog
from egrethook.upstreams.flow_limit import FlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.requests import RequestListener, StallListener
from egrethook.upstreams.selection import Opening, UpstreamSelector
from egrethook.upstreams.upstream import Upstream

MAX_UPSTREAMS_PER_OPENING = 3
"""Number of upstreams tried after which an unanswered opening is not resent.

A retransmission by the caller may still go to a further upstream.
"""

CALLER_TIMEOUT_MARGIN_S = 0.3
"""Time left before the caller's timeout below which silence is ignored, in seconds.

The caller of an opening sent so late may have gone before the answer reached it, so a
missing answer is no evidence against the upstream.
"""

REQUEST_IDLE_TIMEOUT_S = 3.0
"""Time without packets after which a flow no longer counts as busy, in seconds."""

OPEN_FLOW_IDLE_TIMEOUT_S = 30.0
"""Time without packets after which an open flow is removed, in seconds."""

_FLOW_IDLE_TIMEOUTS_S = {
    FlowState.WAITING: OPENING_TIMEOUT_S,
    FlowState.SENT: OPENING_TIMEOUT_S,
    FlowState.OPEN: OPEN_FLOW_IDLE_TIMEOUT_S,
}
"""Time without packets after which a flow is removed, by state, in seconds."""

MAX_TICK_INTERVAL_S = 0.5
"""Time between two ticks above which the process was interrupted, in seconds."""

_LOG = PartLog("flows")


class FlowDispatcher:
    """Assigns openings to upstreams and forwards the packets of open flows.

    An opening, the first packet of a flow, is sent to the upstream that the selector
    prefers. If it is not answered before the resend timeout, it is sent to another
    one too, and the flow opens at the one that the caller acknowledges. If no
    upstream has capacity, the opening is queued, or refused at once if the queue is
    too long to serve it before the caller's timeout.

    Upstreams send their answers directly to the caller. The dispatcher detects an
    answer by the caller's next packet.

    Parameters
    ----------
    view : ForwardingView
        The current routes and upstreams.
    codec : SegmentCodec
        Reads and writes packet headers.
    port : PacketPort
        Sends packets to upstreams and callers.
    selector : UpstreamSelector
        Chooses the upstream of an opening.
    limit : FlowLimit
        Adapts the flow limit of each upstream to its service times.
    health : PassiveHealth
        Detects upstreams that do not answer openings.
    listeners : sequence of RequestListener
        Learn from the requests that are answered.
    stall_listeners : sequence of StallListener
        Learn from the requests that are sent again.
    counts : DispatcherCounts, optional
        Counters and histograms.
    queueing : QueueingPolicy, optional
        Decides how openings wait for capacity.
    """

    def __init__(
        self,
        view: ForwardingView,
        codec: SegmentCodec,
        port: PacketPort,
        selector: UpstreamSelector,
        limit: FlowLimit,
        health: PassiveHealth,
        listeners: Sequence[RequestListener] = (),
        stall_listeners: Sequence[StallListener] = (),
        counts: DispatcherCounts | None = None,
        queueing: QueueingPolicy | None = None,
    ) -> None:
        self._view = view
        self._codec = codec
        self._selector = selector
        self._health = health
        self._flows: dict[bytes, ForwardedFlow] = {}
        self._resend_due_at: OrderedDict[bytes, float] = OrderedDict()
        self._counts = counts or DispatcherCounts()
        self._requests = RequestTracker(
            limit, health, listeners, stall_listeners, self._counts
        )
        self._output = FlowOutput(codec, port, self._counts)
        self._queues = OpeningQueues(
            view,
            codec,
            self._output,
            self._flows,
            self._counts,
            self._send_opening,
            queueing,
        )
        self._held_packets = HeldPackets()
        self._answer_times = AnswerTimes()
        self._last_openings = LastOpenings(self._answer_times)
        self._last_expiry_at = 0.0
        self._ticked_at = float("-inf")
        self._view_is_fresh = False

    @property
    def counts(self) -> DispatcherCounts:
        """Counters and histograms since the start."""
        return self._counts

    @property
    def known_flows(self) -> int:
        """The number of flows that are waiting, opening or open."""
        return len(self._flows)

    @property
    def waiting(self) -> int:
        """The number of openings queued for capacity."""
        return len(self._queues)

    @property
    def queues(self) -> OpeningQueues:
        """The openings that wait for capacity."""
        return self._queues

    @property
    def last_openings(self) -> LastOpenings:
        """The last opening of each caller."""
        return self._last_openings

    @property
    def view_is_fresh(self) -> bool:
        """Whether the view is fresh enough to refuse openings without a route."""
        return self._view_is_fresh

    @view_is_fresh.setter
    def view_is_fresh(self, fresh: bool) -> None:
        self._view_is_fresh = fresh

    def expect_queued_packets(self) -> None:
        """Record that packets have queued before the first tick, as during a start."""
        self._requests.expect_queued_packets()

    def handle(self, datagram: bytes, now: float) -> None:
        """Handle one packet from a caller."""
        segment = self._codec.decode(datagram)
        if segment is None:
            self._output.drop("malformed")
            return
        self._counts.packets += 1
        self._dispatch(ReceivedPacket(segment, datagram, now), now)

    def _dispatch(self, packet: ReceivedPacket, now: float) -> None:
        if packet.segment.opens:
            self._handle_opening(packet, now)
        else:
            self._handle_flow_packet(packet, now)

    def tick(self, now: float) -> None:
        """Resend unanswered openings, serve the queues and expire idle flows.

        Must be called at least every `MAX_TICK_INTERVAL_S`, after the packets that
        have arrived.
        """
        if now - self._ticked_at > MAX_TICK_INTERVAL_S:
            # The process was paused, or got no processor time.
            self._health.note_interruption(now)
        self._ticked_at = now
        self._requests.note_tick(now)
        resend_due_at = self._resend_due_at
        while resend_due_at:
            flow_key, due = next(iter(resend_due_at.items()))
            if due > now:
                break
            del resend_due_at[flow_key]
            self._resend(flow_key, now)
        self._queues.serve_all(now)
        if now - self._last_expiry_at > 0.5:
            self._last_expiry_at = now
            self._expire_flows(now)

    def next_due(self) -> float | None:
        """Return when the next resend is due, or None."""
        if self._resend_due_at:
            return next(iter(self._resend_due_at.values()))
        return None

    # Openings ------------------------------------------------------------------

    def _handle_opening(self, packet: ReceivedPacket, now: float) -> None:
        segment, datagram, arrived_at, earlier_copies = packet
        flow = self._flows.get(segment.flow)
        if flow is not None and flow.is_replaced_by(segment, now):
            self._remove_flow(flow)
        elif flow is not None:
            self._handle_repeated_opening(flow, segment, datagram, now)
            return
        route = self._view.route(segment.target)
        if route is None:
            self._handle_unknown_route(packet, now)
            return
        self._counts.openings += 1
        service = pick_service(route, segment.flow)
        flow = ForwardedFlow(segment, datagram, route, service, arrived_at)
        flow.note_opening(self._requests.is_catching_up(now))
        for copy in earlier_copies:
            flow.note_copy(copy)
        self._last_openings.note(flow, now)
        self._queues.send_or_add(flow, now)

    def _handle_unknown_route(self, packet: ReceivedPacket, now: float) -> None:
        """Refuse an opening without a route, or hold it until the view is fresh.

        Another balancer may have had the route and opened the flow with a copy.
        """
        if self._view_is_fresh and packet.may_have_copies(now):
            self._output.drop("no route, may be open elsewhere")
        elif self._view_is_fresh:
            self._output.reset(
                packet.segment, "no route", version=self._view.table_version
            )
        elif not self._held_packets.add(packet):
            self._output.drop("no route, view not fresh")

    def refuse_queued(self, now: float) -> None:
        """Refuse the queued openings, because the process ends."""
        self._queues.refuse_all(now)

    def view_changed(self, now: float) -> None:
        """Handle the held packets again; the view may route them by now."""
        for packet in self._held_packets.take_all():
            if packet.is_current(now):
                self._dispatch(packet, now)
            else:
                self._output.drop("waited too long")

    def _handle_repeated_opening(
        self, flow: ForwardedFlow, segment: Segment, datagram: bytes, now: float
    ) -> None:
        """Handle a retransmission of an opening by its caller.

        If the opening is unanswered, it is sent to another upstream, or once more to
        the last one if no other has capacity. Copies that were queued together, as
        during a start, leave the first one its time to be answered.
        """
        flow.note_copy(segment)
        if flow.state is FlowState.WAITING:
            return
        if flow.state is FlowState.OPEN:
            self._output.forward(flow.tried[-1], datagram)
            return
        if now - flow.sent_at < self._answer_times.resend_timeout_s:
            return
        if not self._send_opening(flow, now):
            self._output.forward(flow.tried[-1], datagram)

    def _send_opening(self, flow: ForwardedFlow, now: float) -> bool:
        """Send an opening to an untried upstream; return False if none has capacity."""
        candidates = self._view.candidates(flow.service)
        opening = Opening(
            flow.route, flow.tried, flow.avoided, flow.may_use_all_room(now), now
        )
        upstream = self._selector.choose(candidates, opening)
        if upstream is None:
            return False
        flow.occupy(upstream)
        flow.tried.append(upstream)
        flow.state = FlowState.SENT
        flow.sent_at = flow.last_active_at = now
        self._resend_due_at[flow.segment.flow] = (
            now + self._answer_times.resend_timeout_s
        )
        self._resend_due_at.move_to_end(flow.segment.flow)
        self._output.forward(upstream, flow.datagram)
        _LOG.decision(
            "an opening is sent to an upstream.",
            flow=self._codec.describe(flow.segment),
            upstream=upstream.name,
            failure_domain=upstream.domain,
            attempt=len(flow.tried),
            candidates=len(candidates),
            busy_flows=upstream.busy_flows,
            waited_ms=round((now - flow.arrived_at) * 1000),
            version=self._view.table_version,
            revision=self._view.revision,
        )
        return True

    def _resend(self, flow_key: bytes, now: float) -> None:
        """Send an unanswered opening to another upstream as well."""
        flow = self._flows.get(flow_key)
        if flow is None or flow.state is not FlowState.SENT:
            return
        silent = flow.tried[-1]
        # An unanswered opening occupies no capacity at its upstream.
        flow.release()
        if flow.lacks_copy_due_by(now - COPY_DELAY_S):
            return
        if flow.sent_at + CALLER_TIMEOUT_MARGIN_S < flow.caller_timeout_at:
            caller = flow.segment.caller[0] if len(flow.tried) == 1 else None
            self._health.note_unanswered_opening(silent, flow.sent_at, now, caller)
        if len(flow.tried) >= MAX_UPSTREAMS_PER_OPENING or now > flow.caller_timeout_at:
            return
        if self._send_opening(flow, now):
            self._counts.resent += 1
            _LOG.decision(
                "an opening had no answer; it went to a further upstream.",
                flow=self._codec.describe(flow.segment),
                silent=silent.name,
                silent_openings=silent.unanswered,
                upstream=flow.tried[-1].name,
            )

    # Open flows ----------------------------------------------------------------

    def _handle_flow_packet(self, packet: ReceivedPacket, now: float) -> None:
        """Update the flow that a packet belongs to, and forward it by its token."""
        segment, datagram = packet.segment, packet.datagram
        upstream = self._view.upstreams.by_token.get(segment.token)
        flow = self._flows.get(segment.flow)
        if flow is None and upstream is not None and segment.length:
            flow = self._track_flow_opened_elsewhere(segment, upstream, now)
        if flow is not None and upstream is not None:
            self._follow_token(flow, segment, upstream, now)
        if flow is not None and (upstream is not None or segment.ends):
            is_repeated = self._update_flow(flow, segment, upstream, now)
            if is_repeated and self._reset_if_gone(flow, now):
                return
        if upstream is None:
            self._handle_unknown_token(packet)
            return
        self._output.forward(upstream, datagram)

    def _handle_unknown_token(self, packet: ReceivedPacket) -> None:
        """Drop a packet with an unknown token, or hold it until the view is fresh."""
        if not self._view_is_fresh and self._held_packets.add(packet):
            return
        self._output.drop("unknown token")
        _LOG.decision(
            "a packet's token is not known; it is dropped.",
            flow=self._codec.describe(packet.segment),
            token=packet.segment.token,
            revision=self._view.revision,
        )

    def _track_flow_opened_elsewhere(
        self, segment: Segment, upstream: Upstream, now: float
    ) -> ForwardedFlow | None:
        """Start tracking a flow that was opened through another balancer."""
        route = self._view.route(segment.target)
        if route is None:
            return None
        flow = ForwardedFlow(segment, b"", route, upstream.service, now)
        flow.occupy(upstream)
        flow.open_at(upstream, segment, now)
        self._flows[segment.flow] = flow
        return flow

    def _follow_token(
        self, flow: ForwardedFlow, segment: Segment, upstream: Upstream, now: float
    ) -> None:
        """Let a flow count at the upstream that its token names.

        It may have been opened there through another balancer.
        """
        if upstream in flow.tried:
            return
        if flow.state is FlowState.OPEN and flow.tried[0].token == upstream.token:
            flow.replace_upstream(upstream)
            return
        self._resend_due_at.pop(flow.segment.flow, None)
        flow.follow(upstream, segment, now)

    def _update_flow(
        self,
        flow: ForwardedFlow,
        segment: Segment,
        upstream: Upstream | None,
        now: float,
    ) -> bool:
        """Update the state of a flow from one of its packets.

        Returns
        -------
        bool
            Whether the packet repeats a request that is unanswered.
        """
        flow.last_active_at = now
        is_repeated = False
        if flow.state is FlowState.OPEN:
            flow.segment = segment
            is_repeated = self._requests.track(flow, segment, now)
            if not flow.is_busy:
                self._queues.serve(flow.service, now)
        elif flow.state is FlowState.SENT and upstream in flow.tried:
            self._mark_open(flow, segment, upstream, now)
        if segment.ends:
            self._remove_flow(flow)
            self._queues.serve(flow.service, now)
            return False
        return is_repeated

    def _mark_open(
        self, flow: ForwardedFlow, segment: Segment, upstream: Upstream, now: float
    ) -> None:
        self._resend_due_at.pop(flow.segment.flow, None)
        self._counts.answered += 1
        self._health.note_answer(upstream, now)
        answer_s = now - flow.sent_at
        self._answer_times.record(answer_s)
        self._counts.answer_times.observe(answer_s)
        flow.open_at(upstream, segment, now)

    def _reset_if_gone(self, flow: ForwardedFlow, now: float) -> bool:
        """Reset an open flow whose upstream is gone, so that its caller opens another.

        The caller has just repeated its request. One that must not run twice is left
        to its caller's timeout, since it may have run.
        """
        if not flow.route.idempotent:
            return False
        cause = self._requests.reset_cause(flow, now)
        if cause is None:
            return False
        self._remove_flow(flow)
        self._output.abort(
            flow.segment,
            "upstream gone",
            cause=cause.value,
            revision=self._view.revision,
            **self._requests.silence(flow, now),
        )
        return True

    def _remove_flow(self, flow: ForwardedFlow) -> None:
        del self._flows[flow.segment.flow]
        self._resend_due_at.pop(flow.segment.flow, None)
        flow.release()

    def _expire_flows(self, now: float) -> None:
        """Remove flows without recent packets, or mark their requests as ended.

        Not every flow ends with a closing packet.
        """
        self._last_openings.forget_others(self._flows)
        for flow in list(self._flows.values()):
            idle_s = now - flow.last_active_at
            if idle_s > _FLOW_IDLE_TIMEOUTS_S[flow.state]:
                self._remove_flow(flow)
            elif flow.state is FlowState.OPEN and idle_s > REQUEST_IDLE_TIMEOUT_S:
                flow.mark_idle()
