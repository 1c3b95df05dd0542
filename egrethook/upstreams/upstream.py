"""State that one balancer keeps for an upstream that serves flows."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol
from zlib import crc32

from msgspec import Struct

from egrethook.discovery.records import Route, UpstreamPhase, UpstreamRecord

CHECK_AFTER_S = 0.3
"""Age of a retransmitted request after which an opening is due, in seconds."""

CHECK_INTERVAL_S = 0.15
"""Time between two such openings, in seconds."""

SERVICE_TIME_EWMA_WEIGHT = 0.2
"""Weight of the newest request in the moving average of service times."""


def flow_token(record: UpstreamRecord) -> int:
    """Return the 32-bit token of an upstream's incarnation, never 0.

    Every balancer computes the same token from the record alone.
    """
    text = f"{record.name}/{record.started_ms}".encode()
    return crc32(text) or 1


class RequestInProgress(Protocol):
    """An opening or a request that an upstream has not answered yet."""

    @property
    def route(self) -> Route:
        """The route that the flow was opened on."""
        ...

    @property
    def service(self) -> str:
        """The service of the flow's upstream."""
        ...

    @property
    def sent_at(self) -> float:
        """When it was sent, in seconds."""
        ...

    @property
    def request_bytes(self) -> int:
        """Bytes of the request that have passed through this balancer."""
        ...


class Registration(Struct, eq=False, weakref=True):
    """What the registry holds under a name, shared by the name's incarnations.

    An upstream that starts again while it can't reach the registry gets flows with the
    token of its earlier incarnation. The record of a newer incarnation therefore tells
    nothing about a flow, only the lack of any record does.

    Parameters
    ----------
    absent_since : float or None
        When this balancer learned that the registry lacks the record, in seconds; None
        while it has one.
    alive_at : float
        When any incarnation last answered an opening or a request, in seconds.
    """

    absent_since: float | None = None
    alive_at: float = float("-inf")


class Upstream:
    """One incarnation of an upstream, with the state observed from its packets.

    Parameters
    ----------
    record : UpstreamRecord
        The newest record of this incarnation.
    now : float
        Time at which it was discovered, in seconds.
    registration : Registration, optional
        Shared with the other incarnations of the same name.

    Attributes
    ----------
    busy_flows, idle_flows : int
        Flows through this balancer with and without a request in progress.
    requests : dict of RequestInProgress
        What occupies the busy flows, in order of time; the values are None.
    flow_limit : float or None
        Maximum busy flows, less than 1 for pauses between flows; None until it is
        first adjusted.
    unanswered : int
        Number of consecutive unanswered openings.
    ejected : bool
        Whether it has been ejected since its last answer.
    answered_at, last_unanswered_at : float
        Times at which an opening was last answered and last found unanswered, in
        seconds.
    last_served_at : float
        Time at which a request was last answered, in seconds.
    checked_at : float
        When an opening was last sent to find out whether it is alive, in seconds.
    alive_at : float
        When an opening or a request was last answered, in seconds.
    stalled_since : float or None
        When a request was sent that its caller has retransmitted, or `alive_at` if that
        is later, in seconds; None if there is none or the upstream has answered since.
    stall_seen_at : float
        When a caller last retransmitted such a request, in seconds.
    service_time_s : float
        Moving average of service times, in seconds; 0.0 before the first answer.
    gone_at : float or None
        Time at which the upstream was removed or replaced by a newer incarnation, in
        seconds; None while it is current.
    """

    __slots__ = (
        "_cold_until",
        "_record",
        "address",
        "alive_at",
        "answered_at",
        "busy_flows",
        "checked_at",
        "domain",
        "ejected",
        "ejected_until",
        "flow_limit",
        "gone_at",
        "idle_flows",
        "instance",
        "last_served_at",
        "last_unanswered_at",
        "name",
        "registration",
        "requests",
        "service",
        "service_time_s",
        "stall_seen_at",
        "stalled_since",
        "token",
        "unanswered",
    )

    def __init__(
        self,
        record: UpstreamRecord,
        now: float,
        registration: Registration | None = None,
    ) -> None:
        self._record = record
        self._cold_until = now + record.cold_left_s
        self.registration = registration or Registration()
        self.name = record.name
        self.instance = record.instance
        self.service = record.service
        self.address = record.address
        self.domain = record.failure_domain
        self.token = flow_token(record)
        self.busy_flows = 0
        self.idle_flows = 0
        self.requests: dict[RequestInProgress, None] = {}
        self.flow_limit: float | None = None
        self.unanswered = 0
        self.answered_at = float("-inf")
        self.last_unanswered_at = float("-inf")
        self.last_served_at = float("-inf")
        self.alive_at = float("-inf")
        self.stalled_since: float | None = None
        self.stall_seen_at = float("-inf")
        self.checked_at = float("-inf")
        self.ejected = False
        self.ejected_until = float("-inf")
        self.service_time_s = 0.0
        self.gone_at: float | None = None

    @property
    def record(self) -> UpstreamRecord:
        """The newest record of this incarnation."""
        return self._record

    @property
    def accepts_flows(self) -> bool:
        """Whether the upstream is published as ready and has not been removed."""
        return self._record.phase is UpstreamPhase.READY and self.gone_at is None

    def update(self, record: UpstreamRecord, now: float) -> None:
        """Apply a newer record of the same incarnation."""
        self._record = record
        self._cold_until = now + record.cold_left_s
        self.service = record.service
        self.address = record.address
        self.domain = record.failure_domain
        self.gone_at = None

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is still within its warm-up time."""
        return now < self._cold_until

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected because openings went unanswered.

        The metric `egrethook_upstreams_distrusted` counts such upstreams.
        """
        return now < self.ejected_until

    def needs_check(self, now: float) -> bool:
        """Return whether an opening is due that shows if the upstream is alive."""
        return (
            self.stalled_since is not None
            and now - self.stalled_since >= CHECK_AFTER_S
            and now - self.checked_at >= CHECK_INTERVAL_S
        )

    def note_service_time(self, seconds: float) -> None:
        """Add the time from a request to its answer to the moving average."""
        if not self.service_time_s:
            self.service_time_s = seconds
            return
        self.service_time_s += SERVICE_TIME_EWMA_WEIGHT * (
            seconds - self.service_time_s
        )


class UpstreamLoad(NamedTuple):
    """Combined load of several upstreams, as seen by one balancer.

    Parameters
    ----------
    busy_flows : int
        Flows with a request in progress.
    answers_per_s : float
        Requests finished per second, by Little's law.
    """

    busy_flows: int
    answers_per_s: float

    @property
    def service_s(self) -> float:
        """Mean service time, in seconds; 0 without busy flows."""
        return self.busy_flows / self.answers_per_s if self.busy_flows else 0.0


def upstream_load(upstreams: Iterable[Upstream], min_service_s: float) -> UpstreamLoad:
    """Return the combined load of upstreams.

    Parameters
    ----------
    min_service_s : float
        Lower bound assumed for a service time, in seconds.
    """
    busy_flows = 0
    answers_per_s = 0.0
    for upstream in upstreams:
        busy_flows += upstream.busy_flows
        answers_per_s += upstream.busy_flows / max(
            upstream.service_time_s, min_service_s
        )
    return UpstreamLoad(busy_flows, answers_per_s)
