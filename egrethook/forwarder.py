"""One balancer whose callers' packets are forwarded unread."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping, Sequence
from types import TracebackType
from typing import Protocol, Self

from egrethook.addresses import Address
from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.segments import Endpoint, SegmentCodec
from egrethook.clock import MonotonicClock
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.records import ColdLimit, PublishedItem, RecordDecoder
from egrethook.discovery.replica import Replica
from egrethook.discovery.view import ForwardingView
from egrethook.forwarder_settings import ForwarderSettings
from egrethook.logs import PartLog
from egrethook.upstreams.cold_limit import FleetColdLimit
from egrethook.upstreams.flow_limit import PromptnessLimit
from egrethook.upstreams.health import HealthListener, PassiveHealth, Verdict
from egrethook.upstreams.selection import LeastFlowsSelector

_LOG = PartLog("forwarder")

VIEW_FRESH_S = 2.5
"""Age up to which a view may refuse unknown routes, in seconds."""


def _never_cold_sender(name: str) -> bool:
    """Return False: without a view of the fleet nothing is sent to cold upstreams."""
    return False


class ChangeListener(Protocol):
    """Is told of each change of the replica."""

    def __call__(self, items: Sequence[PublishedItem], before: int) -> None:
        """Take the items that changed and the revision held before."""
        ...


class SocketPacketSender:
    """Sends packets from the socket that callers' packets arrive at."""

    def __init__(self, datagrams: DatagramSocket) -> None:
        self._socket = datagrams
        self._port = datagrams.address.port

    def to_upstream(self, address: tuple[str, int], packet: bytes) -> None:
        """Send a packet to an upstream."""
        self._socket.send(address, packet)

    def to_caller(self, caller: Endpoint, packet: bytes) -> None:
        """Send a packet to a caller, whose packets use this socket's port too."""
        self._socket.send(
            (socket.inet_ntoa(caller[0].to_bytes(4, "big")), self._port), packet
        )


class Forwarder:
    """Owns the packet socket, the replica of the registry and the flows.

    It needs no event loop: `serve_ready` handles what has arrived.

    Parameters
    ----------
    settings : ForwarderSettings
        What this process has been told.
    codec : SegmentCodec
        Reads and writes the callers' packets.
    decoder : RecordDecoder
        Reads published items.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        codec: SegmentCodec,
        decoder: RecordDecoder,
    ) -> None:
        self._settings = settings
        self._clock = MonotonicClock()
        self._socket = DatagramSocket(Address.parse(settings.packets))
        self._view = ForwardingView(decoder, settings.flow_life_s)
        self._listeners: list[ChangeListener] = []
        self._replica = Replica(self._on_changes)
        self._is_cold_sender: Callable[[str], bool] = _never_cold_sender
        self._flow_limit = PromptnessLimit(settings.flow_limit)
        self._health = PassiveHealth(settings.name)
        selector = LeastFlowsSelector(
            settings.failure_domain,
            self._flow_limit,
            FleetColdLimit(
                self._cold_limits, lambda upstream: self._is_cold_sender(upstream.name)
            ),
        )
        self._dispatcher = FlowDispatcher(
            self._view,
            codec,
            SocketPacketSender(self._socket),
            selector,
            self._flow_limit,
            self._health,
        )
        self._first_flow_logged = False
        self._leave_requested = False

    @property
    def settings(self) -> ForwarderSettings:
        """What this process has been told."""
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
        """The published items."""
        return self._replica

    @property
    def view(self) -> ForwardingView:
        """What the published items mean."""
        return self._view

    @property
    def dispatcher(self) -> FlowDispatcher:
        """The flows."""
        return self._dispatcher

    @property
    def leave_requested(self) -> bool:
        """Whether this process has been told to leave."""
        return self._leave_requested

    def request_leave(self) -> None:
        """Take no part in the rotation from now on."""
        self._leave_requested = True

    @property
    def has_view(self) -> bool:
        """Whether flows can be forwarded."""
        return self._view.table is not None and len(self._view.roster) > 0

    @property
    def ready(self) -> bool:
        """Whether the router may send flows here."""
        return self.has_view and not self._leave_requested

    def handle_ready_packets(self) -> None:
        """Handle the packets that have arrived, then what is due."""
        while True:
            batch = self._socket.receive_ready()
            now = self._clock.now()
            handle = self._dispatcher.handle
            for datagram, _ in batch:
                handle(datagram, now)
            if batch and not self._first_flow_logged:
                self._log_first_flow()
            if len(batch) < 64:
                break
        self._dispatcher.tick(self._clock.now())

    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Take the settings that need no restart."""
        self._settings = settings
        self._flow_limit.start = settings.flow_limit

    def set_cold_sender_check(self, is_cold_sender: Callable[[str], bool]) -> None:
        """Set which cold upstreams this balancer may send to."""
        self._is_cold_sender = is_cold_sender

    def set_health_listener(self, listener: HealthListener) -> None:
        """Have a callable told what is found out about upstreams."""
        self._health.set_listener(listener)

    def apply_health_report(self, token: int, verdict: Verdict) -> None:
        """Take what another balancer has found out about an upstream."""
        upstream = self._view.roster.by_token.get(token)
        if upstream is not None:
            self._health.note_report(upstream, verdict, self._clock.now())

    def _cold_limits(self) -> Mapping[str, ColdLimit]:
        table = self._view.table
        return table.cold_limits if table else {}

    def housekeep(self) -> None:
        """Drop what has expired, and note how far the view can be trusted."""
        now = self._clock.now()
        self._view.roster.expire(now)
        self._update_view_trust(now)

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Have a callable told of each change of the replica."""
        self._listeners.append(listener)

    def _on_changes(self, items: Sequence[PublishedItem], before: int) -> None:
        now = self._clock.now()
        self._view.update(items, now)
        self._update_view_trust(now)
        for listener in self._listeners:
            listener(items, before)

    def _log_first_flow(self) -> None:
        if self._dispatcher.known_flows:
            self._first_flow_logged = True
            _LOG.info(
                "the first flow is being opened.",
                revision=self._replica.revision,
            )

    def _update_view_trust(self, now: float) -> None:
        """Let the dispatcher know whether it may refuse what it has no route for."""
        fresh = self._replica.age(now) < VIEW_FRESH_S
        self._dispatcher.trusts_view = fresh and self._view.table is not None
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
