"""The upstreams that this balancer owns or still has work for."""

from __future__ import annotations

from collections.abc import ItemsView
from dataclasses import dataclass, field

from egrethook.balancers.peer_packets import Tried
from egrethook.clock import Clock
from egrethook.published.configuration import Endpoint, Limits
from egrethook.upstreams.admission import Admission
from egrethook.upstreams.backlog import Backlog
from egrethook.upstreams.interfaces import RequestLink
from egrethook.upstreams.records import Record

EVACUATION_GRACE_S = 1.5
"""Time for running requests to end after an evacuation, in seconds."""


@dataclass
class OwnedUpstream:
    """One upstream with its admission control, queue and link.

    Parameters
    ----------
    owned : bool
        Whether new work may be admitted; if not, only existing work is finished.
    evacuated_at : float or None
        Time at which its failure domain was found out of service, in seconds.
    """

    admission: Admission
    link: RequestLink
    backlog: Backlog[Record] = field(default_factory=Backlog)
    owned: bool = True
    evacuated_at: float | None = None

    @property
    def name(self) -> str:
        """The name of the upstream."""
        return self.admission.endpoint.name

    @property
    def takes_new_work(self) -> bool:
        """Whether new work may be admitted here."""
        return self.owned and self.admission.accepts_work

    @property
    def expected_wait_s(self) -> float:
        """Expected queueing time of a new request, in seconds."""
        admission = self.admission
        return self.backlog.expected_wait_s(admission.service_s, admission.slots)

    @property
    def idle(self) -> bool:
        """Whether no request is queued or running."""
        return not self.backlog and self.admission.running == 0


class UpstreamPool:
    """Upstreams by name.

    Parameters
    ----------
    clock : Clock
        The time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._upstreams: dict[str, OwnedUpstream] = {}

    def __getitem__(self, name: str) -> OwnedUpstream:
        return self._upstreams[name]

    def get(self, name: str) -> OwnedUpstream | None:
        """Return an upstream, or None."""
        return self._upstreams.get(name)

    def items(self) -> ItemsView[str, OwnedUpstream]:
        """Return the upstreams with their names."""
        return self._upstreams.items()

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(upstream.backlog) for upstream in self._upstreams.values())

    def add(self, endpoint: Endpoint, limits: Limits, link: RequestLink) -> None:
        """Add an owned upstream and start admitting work for it."""
        admission = Admission(endpoint, limits)
        self._upstreams[endpoint.name] = OwnedUpstream(admission, link)

    def set_owned(self, name: str, owned: bool) -> None:
        """Set whether new work is admitted; existing work is finished in any case."""
        upstream = self._upstreams[name]
        upstream.owned = owned
        upstream.evacuated_at = None

    def evacuate(self, name: str) -> list[Record]:
        """Stop new work for an upstream whose failure domain is out of service.

        Returns
        -------
        list of Record
            The requests that were queued for it.
        """
        upstream = self._upstreams[name]
        if upstream.evacuated_at is not None:
            return []
        upstream.owned = False
        upstream.evacuated_at = self._clock.now()
        return upstream.backlog.drain()

    def can_drop(self, name: str) -> bool:
        """Return whether an upstream is no longer owned and has no work left here.

        After an evacuation, running requests have `EVACUATION_GRACE_S` to end.
        """
        upstream = self._upstreams[name]
        if upstream.owned:
            return False
        if upstream.idle:
            return True
        evacuated_at = upstream.evacuated_at
        return (
            evacuated_at is not None
            and self._clock.now() - evacuated_at > EVACUATION_GRACE_S
        )

    def drop(self, name: str) -> list[Record]:
        """Remove an upstream and return the requests that were queued for it."""
        upstream = self._upstreams.pop(name, None)
        return upstream.backlog.drain() if upstream else []

    def owned_for(self, service: str, target: str = "") -> list[OwnedUpstream]:
        """Return the upstreams of a service that take new work, `target` first."""
        owned = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.admission.endpoint.service == service
            and upstream.takes_new_work
        ]
        owned.sort(key=lambda upstream: upstream.name != target)
        return owned

    def with_free_slot(
        self, service: str, target: str = "", avoid: str = ""
    ) -> list[OwnedUpstream]:
        """Return the upstreams with a free slot, `target` first and `avoid` last."""
        owned = self.owned_for(service, target)
        owned.sort(key=lambda upstream: upstream.name == avoid)
        return [upstream for upstream in owned if upstream.admission.has_slot]

    def queue_lengths(self, service: str) -> list[Tried]:
        """Return the owned upstreams of a service with their queue lengths."""
        return [
            Tried(upstream.name, len(upstream.backlog))
            for upstream in self._upstreams.values()
            if upstream.admission.endpoint.service == service and upstream.owned
        ]

    def flow_fills(self, service: str) -> list[Tried]:
        """Return the owned upstreams of a service with their flow fill."""
        return [
            Tried(upstream.name, upstream.admission.flow_fill_ppm)
            for upstream in self._upstreams.values()
            if upstream.admission.endpoint.service == service and upstream.owned
        ]

    def shortest_wait_s(self, service: str) -> float:
        """Return the shortest expected queueing time, in seconds."""
        waits = (upstream.expected_wait_s for upstream in self.owned_for(service))
        return min(waits, default=0.0)
