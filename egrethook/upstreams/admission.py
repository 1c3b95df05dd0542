"""Admission control for one upstream, with exact counts of requests and flows."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass

from egrethook.published.configuration import Endpoint, Limits
from egrethook.types import UpstreamState
from egrethook.upstreams.warmup import Capacity, Warmth, WarmUp

MAX_REPORT_LAG_S = 1.0
"""Time after which reports are assumed to include an opened flow, in seconds."""

SLOT_RESERVATION_S = 0.2
"""How long a slot is reserved for a caller that got a token, in seconds."""

FULL_PPM = 1_000_000
"""Fill of an upstream that takes no more flows, in parts per million."""

DEFAULT_SERVICE_TIME_S = 0.05
"""Service time assumed before the first answer, in seconds."""


class ShedReason(enum.StrEnum):
    """Why an upstream refused to run a request.

    `BUSY` means that all slots are in use; `OVERLOADED`, that the upstream is cold and
    can't run more requests until it has warmed up.
    """

    BUSY = "busy"
    OVERLOADED = "overloaded"
    DRAINING = "draining"


@dataclass(frozen=True)
class Report:
    """Load that an upstream reports.

    Parameters
    ----------
    boot : int
        Random number that the upstream's process chose at its start.
    running, flows : int
        Running requests and open flows, from all balancers.
    answered : int
        Answers since the process started.
    draining : bool
        Whether the upstream refuses new work.
    """

    boot: int
    running: int
    flows: int
    answered: int
    draining: bool = False


def capacity_of(endpoint: Endpoint) -> Capacity:
    """Return the capacity of a published endpoint."""
    return Capacity(
        slots=endpoint.slots,
        connections=endpoint.connections,
        cold_slots=endpoint.cold_slots,
        cold_connections=endpoint.cold_connections,
        cold_answers=endpoint.cold_answers,
    )


class Admission:
    """Admits requests and flows to one upstream; only its owner has one.

    Parameters
    ----------
    endpoint : Endpoint
        The upstream as published.
    limits : Limits
        The limits of the active preset.
    """

    def __init__(self, endpoint: Endpoint, limits: Limits) -> None:
        self._endpoint = endpoint
        self._limits = limits
        self._warm_up = WarmUp(
            capacity_of(endpoint), limits.warm_step_s, limits.warm_growth
        )
        self._boot: int | None = None
        self._connected = False
        self._draining = False
        self._running = 0
        self._foreign = 0
        self._reported_flows = 0
        self._opened: deque[float] = deque()
        self._reservations: deque[float] = deque()

    @property
    def endpoint(self) -> Endpoint:
        """The upstream as published."""
        return self._endpoint

    @property
    def running(self) -> int:
        """Requests that this owner sent and that have not ended."""
        return self._running

    @property
    def foreign(self) -> int:
        """Slots used by requests of other balancers."""
        return self._foreign

    @property
    def flows(self) -> int:
        """Open flows: those last reported, plus recent ones the report may lack."""
        return self._reported_flows + len(self._opened)

    @property
    def boot(self) -> int | None:
        """The boot number of the upstream's process; None until reported."""
        return self._boot

    @property
    def warmth(self) -> Warmth:
        """The warm-up stage of the upstream."""
        return self._warm_up.warmth

    @property
    def connected(self) -> bool:
        """Whether the link to the upstream is up."""
        return self._connected

    @property
    def accepts_work(self) -> bool:
        """Whether the upstream is connected, active and not draining."""
        active = self._endpoint.state is UpstreamState.ACTIVE
        return self._connected and active and not self._draining

    @property
    def has_slot(self) -> bool:
        """Whether a request may start now."""
        taken = self._running + self._foreign
        return self.accepts_work and taken < self._warm_up.slots

    @property
    def service_s(self) -> float:
        """Average service time, in seconds."""
        return self._warm_up.mean_service_s or DEFAULT_SERVICE_TIME_S

    @property
    def slots(self) -> int:
        """Maximum concurrent requests at the current warm-up stage."""
        return self._warm_up.slots

    def update(self, endpoint: Endpoint, limits: Limits) -> None:
        """Apply a newer published state."""
        self._endpoint = endpoint
        self._limits = limits

    def connect(self, report: Report, now: float) -> None:
        """Initialise the counts from the first report of a link.

        A new owner does not know what its predecessor has in flight, so reported
        requests occupy slots until a later report no longer contains them.
        """
        if self._boot is None:
            self._warm_up.restore(report.answered, now)
        self._connected = True
        self._running = 0
        self.report(report, now)

    def disconnect(self) -> None:
        """Clear the request counts of a closed link."""
        self._connected = False
        self._foreign = 0
        self._running = 0

    def report(self, report: Report, now: float) -> None:
        """Correct the counts by the upstream's report."""
        if self._boot is not None and report.boot != self._boot:
            self._warm_up.reset_to_cold(now)
            self._opened.clear()
        self._boot = report.boot
        self._draining = report.draining
        self._foreign = max(0, report.running - self._running)
        self._reported_flows = report.flows
        while self._opened and now - self._opened[0] > MAX_REPORT_LAG_S:
            self._opened.popleft()
        self._warm_up.record_open_flows(self.flows, now)

    def can_reserve_slot(self, now: float) -> bool:
        """Return whether a slot is neither used nor reserved."""
        while self._reservations and now - self._reservations[0] > SLOT_RESERVATION_S:
            self._reservations.popleft()
        taken = self._running + self._foreign + len(self._reservations)
        return self.accepts_work and taken < self._warm_up.slots

    def reserve_slot(self, now: float) -> None:
        """Reserve a slot for a short time for a caller that gets a token."""
        self._reservations.append(now)

    def start(self) -> None:
        """Count a request sent to the upstream."""
        self._running += 1
        if self._reservations:
            self._reservations.popleft()

    def finish(self, service_s: float, now: float) -> bool:
        """Count an answered request.

        Returns
        -------
        bool
            Whether the service time shows that the upstream has turned cold.
        """
        self._running = max(0, self._running - 1)
        return self._warm_up.record_answer(service_s, now)

    def release(self) -> None:
        """Free the slot of a request that ended without an answer."""
        self._running = max(0, self._running - 1)

    def shed(self, reason: ShedReason, now: float) -> None:
        """Count a request that the upstream refused to run.

        All slots count as taken until the next report, whatever the reason: a
        refusal shows that the counts here are too low.
        """
        self.release()
        if reason is ShedReason.OVERLOADED:
            self._warm_up.reset_to_cold(now)
        elif reason is ShedReason.DRAINING:
            self._draining = True
        self._foreign = max(self._foreign, self._warm_up.slots - self._running)

    @property
    def allowed_flows(self) -> int:
        """Maximum open flows, by the warm-up stage and the preset's `flow_fill`."""
        limit = int(self._endpoint.connections * self._limits.flow_fill)
        return min(self._warm_up.connections, limit)

    @property
    def flow_fill_ppm(self) -> int:
        """Ratio of open flows to allowed flows, in parts per million.

        An upstream that accepts no work counts as full.
        """
        if not self.accepts_work:
            return FULL_PPM
        return min(FULL_PPM, self.flows * FULL_PPM // max(1, self.allowed_flows))

    def open_flow(self, now: float) -> bool:
        """Admit a flow; return False if the upstream is full."""
        if self.flow_fill_ppm >= FULL_PPM:
            return False
        self._opened.append(now)
        return True
