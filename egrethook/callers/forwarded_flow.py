"""The state of a forwarded flow, derived from the caller's packets only.

The upstream's packets go directly to the caller.
"""

from __future__ import annotations

import enum

from msgspec import Struct, field

from egrethook.callers.segments import SEQUENCE_MODULUS, Segment, is_after
from egrethook.discovery.records import Route
from egrethook.histogram import LatencyHistogram
from egrethook.label_counts import LabelCounts
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.reset_cause import MIN_REPETITIONS, UnansweredRequest
from egrethook.upstreams.upstream import Upstream

OPENING_TIMEOUT_S = 1.4
"""Time after which a caller abandons an opening, in seconds."""

MIN_SERVICE_TIME_S = 0.03
"""Time that an opening needs at least to be answered, in seconds."""

OPENING_SEND_OFFSETS_S = (0.0, 0.2, 0.6)
"""When a caller sends an opening and its retransmissions, in seconds."""

COPY_DELAY_S = 0.05
"""Time by which a copy of an opening may come late, in seconds."""

_ALL_COPIES = (1 << len(OPENING_SEND_OFFSETS_S)) - 1
"""Bit mask of the copies of an opening."""

MIN_RETRANSMISSION_TIMEOUT_S = 0.15
"""Shortest time after which a caller retransmits a request, in seconds."""


class FlowState(enum.Enum):
    """Progress of an opening: queued, sent to an upstream, or answered by one."""

    WAITING = "waiting"
    SENT = "sent"
    OPEN = "open"


def _copy_index(segment: Segment) -> int:
    """Return which copy of an opening a packet is; an odd caller may send more."""
    return min(segment.copy_index, len(OPENING_SEND_OFFSETS_S) - 1)


class ForwardedFlow(Struct, eq=False):
    """One flow, and the capacity that it occupies at its upstream.

    `tried` holds the upstreams that the opening was sent to, and only the flow's
    upstream once it is open; `avoided` holds those that left an earlier opening of the
    same caller unanswered. `sent_at` is when the opening, or the latest request of an
    open flow, was sent. `segment` is the opening, and the caller's latest packet once
    the flow is open. `handled_late` says that the opening had queued here and is older
    than it seems. `has_guaranteed_room` gives a late opening the room of one that
    is on time.

    A flow is busy while it opens, and from each request until the caller has
    acknowledged part of the answer. Otherwise it is idle: the caller keeps it open,
    but it occupies none of the upstream's slots.
    """

    segment: Segment
    datagram: bytes
    route: Route
    service: str
    arrived_at: float
    state: FlowState = FlowState.WAITING
    sent_at: float = 0.0
    last_active_at: float = 0.0
    tried: list[Upstream] = []
    avoided: list[Upstream] = []
    has_guaranteed_room: bool = False
    handled_late: bool = False
    _copies_seen: int = 0
    _upstream: Upstream | None = None
    _busy: bool = False
    _request_end: int = 0
    _acknowledged: int = 0
    _request_start: int = 0
    _repeated_at: tuple[float, ...] = ()
    _found_busy: int = 0
    _opening_sequence: int | None = None

    def note_opening(self, handled_late: bool) -> None:
        """Record that the flow begins with an opening that came here.

        Parameters
        ----------
        handled_late : bool
            Whether it had queued here, so that it is older than it seems.
        """
        self._opening_sequence = self.segment.sequence
        self.handled_late = handled_late
        self.note_copy(self.segment)

    def is_replaced_by(self, opening: Segment, now: float) -> bool:
        """Return whether an opening begins another flow on the port of an open one.

        Of a flow that was opened elsewhere, no copy comes later than its caller's
        opening timeout.
        """
        if self.state is not FlowState.OPEN:
            return False
        if self._opening_sequence is None:
            return now - self.arrived_at > OPENING_TIMEOUT_S
        return opening.sequence != self._opening_sequence

    @property
    def first_sent_at(self) -> float:
        """When the caller first sent this opening, in seconds."""
        return self.arrived_at - OPENING_SEND_OFFSETS_S[_copy_index(self.segment)]

    @property
    def due_at(self) -> float:
        """When the opening must be answered to meet its objective, in seconds."""
        return self.first_sent_at + self.route.objective_s

    @property
    def caller_timeout_at(self) -> float:
        """When the caller abandons its opening, in seconds."""
        return self.first_sent_at + min(OPENING_TIMEOUT_S, self.route.timeout_s)

    @property
    def only_seen_here(self) -> bool:
        """Whether all copies of the opening came here, and to no other balancer."""
        return self._copies_seen == _ALL_COPIES

    def lacks_copy_due_by(self, time: float) -> bool:
        """Return whether a copy of the opening that was due did not come here.

        Another balancer may have received it and opened the flow.
        """
        if self.only_seen_here:
            return False
        if self.handled_late:
            return True
        elapsed_s = time - self.first_sent_at
        return any(
            elapsed_s >= offset_s and not self._copies_seen >> copy & 1
            for copy, offset_s in enumerate(OPENING_SEND_OFFSETS_S)
        )

    def note_copy(self, segment: Segment) -> None:
        """Record that a copy of the opening has come, while it waits."""
        self._copies_seen |= 1 << _copy_index(segment)

    @property
    def awaits_first_answer(self) -> bool:
        """Whether exactly one upstream has been tried and has not answered yet."""
        return self.state is FlowState.SENT and len(self.tried) == 1

    @property
    def is_busy(self) -> bool:
        """Whether the flow occupies capacity at its upstream."""
        return self._busy

    @property
    def request_bytes(self) -> int:
        """Bytes of the current or latest request that have passed."""
        return (self._request_end - self._request_start) % SEQUENCE_MODULUS

    @property
    def unanswered_request(self) -> UnansweredRequest:
        """The current request, as evidence that nothing has answered it."""
        return UnansweredRequest(self.sent_at, self._repeated_at)

    def can_be_on_time(self, now: float) -> bool:
        """Return whether an opening sent now can meet its latency objective."""
        service_s = min(MIN_SERVICE_TIME_S, self.route.objective_s / 2)
        return now + service_s <= self.due_at

    def may_use_all_room(self, now: float) -> bool:
        """Return whether the limits for late openings do not apply."""
        return self.has_guaranteed_room or self.can_be_on_time(now)

    def occupy(self, upstream: Upstream) -> None:
        """Occupy capacity at one upstream, and release any other."""
        self.release()
        upstream.busy_flows += 1
        upstream.requests[self] = None
        self._upstream = upstream
        self._busy = True

    def mark_idle(self) -> None:
        """Release the capacity but keep the flow open."""
        if self._upstream is not None and self._busy:
            self._upstream.busy_flows -= 1
            self._upstream.idle_flows += 1
            self._upstream.requests.pop(self, None)
            self._busy = False

    def release(self) -> None:
        """Stop counting this flow, busy or idle, at its upstream."""
        if self._upstream is None:
            return
        if self._busy:
            self._upstream.busy_flows -= 1
            self._upstream.requests.pop(self, None)
        else:
            self._upstream.idle_flows -= 1
        self._upstream = None
        self._busy = False

    def open_at(self, upstream: Upstream, segment: Segment, now: float) -> None:
        """Mark the flow open at an upstream, with its first request under way."""
        if self._upstream is not upstream:
            self.occupy(upstream)
        self.tried = [upstream]
        self.state = FlowState.OPEN
        self.sent_at = self.last_active_at = now
        self._request_start = segment.sequence
        self._request_end = segment.end
        self._repeated_at = ()
        self._acknowledged = segment.acknowledged
        self._found_busy = upstream.busy_flows - 1

    def follow(self, upstream: Upstream, segment: Segment, now: float) -> None:
        """Count at the upstream where the flow was opened through another balancer."""
        self._opening_sequence = None
        self.arrived_at = now
        self.service = upstream.service
        self.segment = segment
        self.open_at(upstream, segment, now)
        if not segment.length:
            self.mark_idle()

    def replace_upstream(self, upstream: Upstream) -> None:
        """Count at the same upstream, whose record has returned."""
        was_busy = self._busy
        self.occupy(upstream)
        if not was_busy:
            self.mark_idle()
        self.tried = [upstream]

    def is_answered_by(self, segment: Segment) -> bool:
        """Return whether a packet shows that an answer has begun to arrive."""
        return self._busy and is_after(segment.acknowledged, self._acknowledged)

    def outcome(
        self, segment: Segment, service_s: float, interrupted: bool
    ) -> RequestOutcome:
        """Return what a packet that acknowledges a first part of an answer shows.

        Parameters
        ----------
        interrupted : bool
            Whether this process stood still during the request.
        """
        return RequestOutcome(
            upstream=self.tried[0],
            route=self.route,
            request_bytes=self.request_bytes,
            answer_bytes=(segment.acknowledged - self._acknowledged) % SEQUENCE_MODULUS,
            service_s=service_s,
            retransmitted=bool(self._repeated_at),
            found_busy=self._found_busy,
            interrupted=interrupted or self.tried[0].stalled_since is not None,
        )

    def record_answer(self, segment: Segment) -> None:
        """Record that the current request is answered, and mark the flow idle."""
        self._acknowledged = segment.acknowledged
        self.mark_idle()

    def is_new_data(self, segment: Segment) -> bool:
        """Return whether a packet carries bytes that were not sent before."""
        return segment.length > 0 and is_after(segment.end, self._request_end)

    def is_retransmission(self, segment: Segment, now: float) -> bool:
        """Return whether a packet repeats data of a request that is still unanswered.

        Copies that were queued together do not count.
        """
        return (
            self._busy
            and segment.length > 0
            and not is_after(segment.end, self._request_end)
            and now - self.sent_at >= MIN_RETRANSMISSION_TIMEOUT_S
        )

    def note_retransmission(self, now: float) -> None:
        """Record that the current request was repeated.

        Copies that were queued together count once.
        """
        latest = self._repeated_at[-1:]
        if not latest or now - latest[0] >= MIN_RETRANSMISSION_TIMEOUT_S:
            self._repeated_at = (*latest, now)[-MIN_REPETITIONS:]

    def record_request(self, segment: Segment, now: float) -> None:
        """Record the data of a new request, or more data of the current one."""
        begins = not self._busy or not self.request_bytes
        self._request_end = segment.end
        if begins:
            self._request_start = segment.sequence
            self._repeated_at = ()
            self._acknowledged = segment.acknowledged
            self.sent_at = now
            self.occupy(self.tried[0])
            self._found_busy = self.tried[0].busy_flows - 1


class DispatcherCounts(Struct):
    """Counters and latency histograms of the dispatcher, for the metrics."""

    packets: int = 0
    openings: int = 0
    answered: int = 0
    resent: int = 0
    waited: int = 0
    reset: dict[str, int] = {}
    dropped: dict[str, int] = {}
    answer_times: LatencyHistogram = field(default_factory=LatencyHistogram)
    request_times: LatencyHistogram = field(default_factory=LatencyHistogram)
    wait_times: LatencyHistogram = field(default_factory=LatencyHistogram)
    waited_by_route: LabelCounts = field(default_factory=LabelCounts)
    refused_by_route: LabelCounts = field(default_factory=LabelCounts)
