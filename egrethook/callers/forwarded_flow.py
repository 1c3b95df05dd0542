"""What a balancer knows of a flow that it forwards, from the caller's packets alone."""

from __future__ import annotations

import enum

from msgspec import Struct, field

from egrethook.callers.segments import Segment, is_after
from egrethook.discovery.records import Route
from egrethook.histogram import LatencyHistogram
from egrethook.upstreams.upstream import Upstream

OPENING_LIFE_S = 1.4
"""Time after which a caller gives up an opening, in seconds."""

COPY_DELAYS_S = (0.0, 0.2, 0.6)
"""When a caller sends its opening and the copies of it, in seconds."""


class FlowState(enum.Enum):
    """How far the opening of a flow has come."""

    WAITING = "waiting"
    SENT = "sent"
    OPEN = "open"


class Flow(Struct):
    """One flow, and the room that it takes at its upstream.

    `tried` are the upstreams that its opening was sent to, `avoided` those that
    left an earlier opening of its caller unanswered.

    A flow is busy while it opens, and from each request until the caller has
    acknowledged a part of the answer. In between it rests: a caller may keep it
    open, and it needs none of the upstream's slots.
    """

    segment: Segment
    datagram: bytes
    route: Route
    service: str
    since: float
    state: FlowState = FlowState.WAITING
    sent_at: float = 0.0
    seen_at: float = 0.0
    tried: list[Upstream] = []
    avoided: list[Upstream] = []
    _upstream: Upstream | None = None
    _busy: bool = False
    _asked_up_to: int = 0
    _answered_up_to: int = 0

    @property
    def first_sent_at(self) -> float:
        """When the caller sent its first opening, in seconds."""
        copies = min(self.segment.copies, len(COPY_DELAYS_S) - 1)
        return self.since - COPY_DELAYS_S[copies]

    @property
    def given_up_at(self) -> float:
        """When the caller no longer waits for its opening, in seconds."""
        return self.first_sent_at + min(OPENING_LIFE_S, self.route.timeout_s)

    @property
    def is_first_try(self) -> bool:
        """Whether one upstream has the opening, and has not answered yet."""
        return self.state is FlowState.SENT and len(self.tried) == 1

    @property
    def is_busy(self) -> bool:
        """Whether the flow takes room of its upstream."""
        return self._busy

    def take_room(self, upstream: Upstream) -> None:
        """Take room of one upstream, and of no other."""
        self.leave()
        upstream.busy_flows += 1
        self._upstream = upstream
        self._busy = True

    def rest(self) -> None:
        """Give the room back; the flow stays open."""
        if self._upstream is not None and self._busy:
            self._upstream.busy_flows -= 1
            self._upstream.idle_flows += 1
            self._busy = False

    def leave(self) -> None:
        """Count for no upstream any more."""
        if self._upstream is None:
            return
        if self._busy:
            self._upstream.busy_flows -= 1
        else:
            self._upstream.idle_flows -= 1
        self._upstream = None
        self._busy = False

    def open_at(self, upstream: Upstream, segment: Segment, now: float) -> None:
        """Note that the flow is open; its first request is on its way."""
        if self._upstream is not upstream:
            self.take_room(upstream)
        self.tried = [upstream]
        self.state = FlowState.OPEN
        self.sent_at = self.seen_at = now
        self._asked_up_to = segment.end
        self._answered_up_to = segment.acknowledged

    def is_answered_by(self, segment: Segment) -> bool:
        """Return whether a packet shows that an answer has begun to arrive."""
        return self._busy and is_after(segment.acknowledged, self._answered_up_to)

    def note_answer(self, segment: Segment) -> None:
        """Note that the request under way is answered."""
        self._answered_up_to = segment.acknowledged
        self.rest()

    def is_asked_by(self, segment: Segment) -> bool:
        """Return whether a packet carries bytes that were not sent before."""
        return segment.length > 0 and is_after(segment.end, self._asked_up_to)

    def note_request(self, segment: Segment, now: float) -> None:
        """Note that a request, or more of one, is on its way."""
        self._asked_up_to = segment.end
        if not self._busy:
            self._answered_up_to = segment.acknowledged
            self.sent_at = now
            self.take_room(self.tried[0])


class Counts(Struct):
    """What the dispatcher has done, for the metrics."""

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
