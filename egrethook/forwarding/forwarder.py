"""A forwarding process: passes callers' packets on without decoding their payload.

Unlike a `Balancer`, it has no executor and forwards flows only. Its routes and
upstreams come from a service registry, and the other balancers that it knows are
forwarding processes too.
"""

from __future__ import annotations

import _socket as socket
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import TracebackType
from typing import TYPE_CHECKING, Protocol, Self

from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.segments import IPv4Endpoint, SegmentCodec
from egrethook.clock import MonotonicClock
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.records import (
    ColdLimit,
    PublishedItem,
    RecordDecoder,
    StateVersion,
)
from egrethook.discovery.replica import Replica
from egrethook.discovery.view import ForwardingView
from egrethook.error_boundary import ErrorBoundary
from egrethook.forwarding.data_path import CostAwarePlacement, build_data_path
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.logs import PartLog
from egrethook.upstreams.cold_limit import FleetColdLimit
from egrethook.upstreams.flow_limit import AimdFlowLimit
from egrethook.upstreams.health import HealthListener, HealthObservation
from egrethook.upstreams.reach_evidence import ContactAge, ReachEvidence
from egrethook.upstreams.reachability import HeardDomains, Reachability

if TYPE_CHECKING:
    from egrethook.upstreams.explanation import ChoiceExplainer
    from egrethook.upstreams.outliers import OutlierDetector
    from egrethook.upstreams.speeds import SpeedTable
    from egrethook.upstreams.subsets import FleetMember, PreferredSubsets

_LOG = PartLog("forwarder")

VIEW_FRESH_S = 2.5
"""Age up to which the view is fresh, in seconds.

An opening, the first packet of a flow, that has no route is refused under a fresh
view, and otherwise held: an older view may lack a new route.
"""


def _deny_cold_upstreams(name: str) -> bool:
    """Return False: nothing is sent to cold upstreams before the members are known."""
    return False


class ChangeListener(Protocol):
    """Called after each change of the replica."""

    def __call__(self, items: Sequence[PublishedItem], previous: StateVersion) -> None:
        """Handle the changed items, given the state held before."""
        ...


class DepartureDecision(Protocol):
    """Whether the balancers of the failure domain have left the rotation together."""

    @property
    def departed(self) -> bool:
        """Whether they have."""
        ...

    @property
    def departures(self) -> int:
        """How often they have."""
        ...

    def decides(self, now: float) -> bool:
        """Return whether this holds; otherwise each balancer decides for itself."""
        ...


class SocketPacketSender:
    """Sends packets from the socket that receives callers' packets."""

    def __init__(self, datagrams: DatagramSocket) -> None:
        self._socket = datagrams
        self._port = datagrams.address.port

    def to_upstream(self, address: tuple[str, int], packet: bytes) -> None:
        """Send a packet to an upstream."""
        self._socket.send(address, packet)

    def to_caller(self, caller: IPv4Endpoint, packet: bytes) -> None:
        """Send a packet to a caller's host, at the UDP port that this socket uses.

        The port in `caller` belongs to the packet's own header.
        """
        self._socket.send(
            (socket.inet_ntoa(caller[0].to_bytes(4, "big")), self._port), packet
        )


class Forwarder:
    """Owns the packet socket, the replica of the registry and the flows.

    It needs no event loop: `handle_ready_packets` never blocks.

    Parameters
    ----------
    settings : ForwarderSettings
        The settings of this process.
    codec : SegmentCodec
        Decodes and encodes the headers of callers' packets.
    decoder : RecordDecoder
        Decodes published items.
    packets : DatagramSocket
        The socket for callers' packets, which this forwarder closes.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        codec: SegmentCodec,
        decoder: RecordDecoder,
        packets: DatagramSocket,
    ) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._socket = packets
        self._view = ForwardingView(decoder, settings.flow_life_s)
        self._listeners: list[ChangeListener] = []
        self._replica = Replica(self._on_changes)
        self._is_cold_sender: Callable[[str], bool] = _deny_cold_upstreams
        self._flow_limit = AimdFlowLimit(settings.flow_limit)
        self._live_balancers: Callable[[], int] = lambda: 0
        data_path = build_data_path(
            settings.name,
            settings.failure_domain,
            settings.enabled_features,
            self._view,
            codec,
            SocketPacketSender(self._socket),
            self._flow_limit,
            FleetColdLimit(
                self._cold_limits, lambda upstream: self._is_cold_sender(upstream.name)
            ),
            (lambda: self._live_balancers()) if settings.slow_start else None,
        )
        self._health = data_path.health
        self._dispatcher = data_path.dispatcher
        self._dispatcher.expect_queued_packets()
        self._health.set_registry_age(lambda: self._replica.age(self._clock.now()))
        self._new_explainer = data_path.new_explainer
        self._outliers = data_path.outliers
        self._cost_aware = data_path.cost_aware
        self._subsets = data_path.subsets
        self._speeds = data_path.speeds
        self._heard_domains: Callable[[], HeardDomains] = HeardDomains
        self._reachability = Reachability(
            settings.failure_domain,
            self._health,
            lambda: self._heard_domains(),
        )
        self._departure: DepartureDecision | None = None
        self._packet_errors = ErrorBoundary(_LOG, "packet")
        self._due_work_errors = ErrorBoundary(_LOG, "due work")
        self._listener_errors = ErrorBoundary(_LOG, "change listener")
        self._housekeeping_errors = ErrorBoundary(_LOG, "housekeeping")
        self._first_flow_logged = False
        self._leave_requested = False

    @property
    def settings(self) -> ForwarderSettings:
        """The settings of this process."""
        return self._settings

    @property
    def clock(self) -> MonotonicClock:
        """The clock of this process."""
        return self._clock

    @property
    def socket(self) -> DatagramSocket:
        """The socket for callers' packets."""
        return self._socket

    @property
    def replica(self) -> Replica:
        """The local copy of the registry."""
        return self._replica

    @property
    def view(self) -> ForwardingView:
        """The routes and upstreams that the replica describes."""
        return self._view

    @property
    def dispatcher(self) -> FlowDispatcher:
        """Assigns flows to upstreams and forwards their packets."""
        return self._dispatcher

    @property
    def explainer(self) -> ChoiceExplainer:
        """Explains where openings would go."""
        return self._new_explainer()

    @property
    def outliers(self) -> OutlierDetector | None:
        """Finds upstreams that fail requests; None if switched off."""
        return self._outliers

    @property
    def cost_aware(self) -> CostAwarePlacement | None:
        """What cost-aware placement has learned; None if it is off."""
        return self._cost_aware

    @property
    def leave_requested(self) -> bool:
        """Whether this process has been told to leave."""
        return self._leave_requested

    def request_leave(self) -> None:
        """Report not ready from now on.

        The router in front of the VMs then sends no new flows.
        """
        self._leave_requested = True

    @property
    def has_view(self) -> bool:
        """Whether a route table and at least one upstream are known."""
        return self._view.table is not None and len(self._view.upstreams) > 0

    @property
    def ready(self) -> bool:
        """Whether the router may send flows to this process."""
        return (
            self.has_view
            and not self._leave_requested
            and self._reaches_upstreams(self._clock.now())
        )

    def _reaches_upstreams(self, now: float) -> bool:
        if self._departure is not None and self._departure.decides(now):
            return not self._departure.departed
        return self._reachability.reaches_any(self._view.domains_with_upstreams(), now)

    @property
    def reach_evidence(self) -> ReachEvidence:
        """What the openings show about the failure domains that are reached."""
        return self._health.reach_evidence

    @property
    def departure(self) -> DepartureDecision | None:
        """The decision of the failure domain's balancers, if they make one."""
        return self._departure

    def handle_ready_packets(self) -> None:
        """Handle all packets that have arrived, then the work that is due."""
        while True:
            batch = self._socket.receive_ready()
            now = self._clock.now()
            handle = self._dispatcher.handle
            for datagram, _ in batch:
                try:
                    handle(datagram, now)
                except Exception as error:
                    self._packet_errors.note(error)
            if batch and not self._first_flow_logged:
                self._log_first_flow()
            # A batch below `RECEIVE_BATCH_SIZE` means that the socket is empty.
            if len(batch) < 64:
                break
        with self._due_work_errors:
            self._dispatcher.tick(self._clock.now())

    def finish_leave(self) -> None:
        """Handle what has arrived, and refuse what would be lost with the process."""
        self.handle_ready_packets()
        self._dispatcher.refuse_queued(self._clock.now())

    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Apply the settings that need no restart."""
        self._settings = settings
        self._flow_limit.initial_limit = settings.flow_limit

    def set_cold_sender_check(self, is_cold_sender: Callable[[str], bool]) -> None:
        """Set the check whether this balancer may send to a cold upstream, by name.

        See `upstreams.cold_limit`.
        """
        self._is_cold_sender = is_cold_sender

    def set_heard_domains(self, heard_domains: Callable[[], HeardDomains]) -> None:
        """Set what returns the failure domains whose balancers are heard."""
        self._heard_domains = heard_domains

    def set_gossip_age(self, gossip_age: ContactAge) -> None:
        """Set what tells how long ago gossip came from a failure domain."""
        self._health.set_gossip_age(gossip_age)

    def set_departure(self, departure: DepartureDecision) -> None:
        """Set the decision whether the whole failure domain leaves the rotation."""
        self._departure = departure

    def set_live_balancers(self, live_balancers: Callable[[], int]) -> None:
        """Set what returns the number of live balancers, 0 if it is unknown."""
        self._live_balancers = live_balancers

    @property
    def subsets(self) -> PreferredSubsets | None:
        """What this balancer prefers among the upstreams, if that is switched on."""
        return self._subsets

    @property
    def speeds(self) -> SpeedTable | None:
        """The estimates that balancers exchange, if that is switched on."""
        return self._speeds

    def upstream_name(self, token: int) -> str:
        """Return the name of the upstream with a flow token, for logs."""
        upstream = self._view.upstreams.by_token.get(token)
        return upstream.name if upstream else str(token)

    def set_live_members(self, own_name: str, others: Iterable[FleetMember]) -> None:
        """Set the live balancers, by names that are the same at all of them."""
        if self._subsets is None:
            return
        if self._subsets.set_members(own_name, others):
            _LOG.info(
                "preferred upstreams follow the live balancers.",
                balancers=self._subsets.members,
            )

    def set_health_listener(self, listener: HealthListener) -> None:
        """Set the listener for this process's health observations of upstreams."""
        self._health.set_listener(listener)

    def apply_health_report(self, token: int, observation: HealthObservation) -> None:
        """Apply another balancer's health observation of an upstream."""
        upstream = self._view.upstreams.by_token.get(token)
        if upstream is not None:
            self._health.note_report(upstream, observation, self._clock.now())

    def apply_outlier_report(self, token: int, is_outlier: bool, source: str) -> None:
        """Apply what another balancer has seen of an upstream's answers."""
        upstream = self._view.upstreams.by_token.get(token)
        if upstream is not None and self._outliers is not None:
            now = self._clock.now()
            self._outliers.note_report(upstream, is_outlier, source, now)

    def _cold_limits(self) -> Mapping[str, ColdLimit]:
        table = self._view.table
        return table.cold_limits if table else {}

    def note_suspension(self) -> None:
        """Distrust the view and what seemed silent: the machine was suspended."""
        self._replica.mark_stale()
        self._health.note_interruption(self._clock.now())
        self.housekeep()

    def housekeep(self) -> None:
        """Drop expired upstreams, and check whether the view is still fresh."""
        now = self._clock.now()
        with self._housekeeping_errors:
            self._view.upstreams.expire(now)
        with self._housekeeping_errors:
            self._view.apply_awaited(now)
        with self._housekeeping_errors:
            self._update_view_trust(now)
        with self._housekeeping_errors:
            self._refresh_subsets(now)

    def _refresh_subsets(self, now: float) -> None:
        if self._subsets is not None:
            services = self._view.upstreams.services()
            self._subsets.refresh(services, self._view.candidates, now)

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Add a listener for changes of the replica."""
        self._listeners.append(listener)

    def _on_changes(
        self, items: Sequence[PublishedItem], previous: StateVersion
    ) -> None:
        now = self._clock.now()
        replica = self._replica
        is_new_era = previous.revision and previous.era != replica.version.era
        era_began_at = replica.era_seen_at if is_new_era else None
        self._view.update(items, now, replica.changed_after, era_began_at)
        with self._listener_errors:
            self._update_view_trust(now)
        for listener in self._listeners:
            with self._listener_errors:
                listener(items, previous)

    def _log_first_flow(self) -> None:
        if self._dispatcher.known_flows:
            self._first_flow_logged = True
            _LOG.info(
                "first flow is being opened.",
                revision=self._replica.revision,
            )

    def _update_view_trust(self, now: float) -> None:
        """Set whether the dispatcher may refuse openings that have no route.

        If flows can be forwarded, the held openings are then handled again.
        """
        fresh = self._replica.age(now) < VIEW_FRESH_S
        self._dispatcher.view_is_fresh = fresh and self._view.table is not None
        if self.has_view:
            self._dispatcher.view_changed(now)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._socket.close()
