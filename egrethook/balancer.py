"""A balancer process: its components, and a task for each connection and peer."""

from __future__ import annotations

import functools
import random
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup

from egrethook.addresses import Address
from egrethook.balancers.departure import GracefulLeave
from egrethook.balancers.executors import ExecutorRouter
from egrethook.balancers.hub import PeerHub
from egrethook.balancers.membership import Membership
from egrethook.balancers.messages import PeerCodec
from egrethook.balancers.ownership import Ownership
from egrethook.balancers.peer_packets import Heartbeat, Relay
from egrethook.balancers.placement import Placement
from egrethook.balancers.relays import PendingRelay
from egrethook.callers.front import CallerFront, CallerSender
from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.packets import Grant, Open, Run
from egrethook.callers.tokens import Token
from egrethook.clock import Clock, MonotonicClock, PauseDetector
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import BadMessageError, TokenError
from egrethook.logs import PartLog
from egrethook.metrics import Metrics
from egrethook.network import Network, SystemNetwork
from egrethook.published.configuration import ConfigurationStore, Vm
from egrethook.published.reader import PlatformReader
from egrethook.settings import BalancerSettings
from egrethook.tracing import Tracer
from egrethook.types import ExecutorId, VmState, new_random_id
from egrethook.upstreams.choice import WeightedRandomChooser
from egrethook.upstreams.executor import Executor
from egrethook.upstreams.links import UpstreamLinks

HOUSEKEEPING_INTERVAL_S = 0.05
"""Interval between housekeeping rounds, in seconds."""

REFRESH_TIMEOUT_S = 0.5
"""Longest wait for a fresh configuration after a pause, in seconds."""

_LOG = PartLog("balancer")


class Balancer:
    """Serves callers on one VM.

    It owns its sockets and tasks. Use it as an asynchronous context manager and
    call `run`.

    Parameters
    ----------
    settings : BalancerSettings
        Addresses, failure domain and secrets.
    network : Network, optional
        Opens sockets; the operating system's network if None.
    clock : Clock, optional
        Time source; the operating system's monotonic clock if None.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        network: Network | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._network = network or SystemNetwork()
        self._clock = clock or MonotonicClock()
        self._identity = ExecutorId(settings.name, new_random_id())
        self._metrics = Metrics()
        self._store = ConfigurationStore()
        self._pause_detector = PauseDetector(self._clock)
        self._rng = random.Random(settings.seed)
        self._heartbeat_scopes: dict[str, anyio.CancelScope] = {}
        self._refresh_done: anyio.Event | None = None
        self._leave_requested = anyio.Event()
        self._reconciled_version: tuple[int, int] = (-1, -1)
        self._housekeeping_errors = ErrorBoundary(_LOG, "housekeeping")
        self._task_group: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        settings = self._settings
        self._caller_socket = self._network.bind(Address.parse(settings.callers))
        try:
            self._peer_socket = self._network.bind(Address.parse(settings.peers))
        except BaseException:
            self._caller_socket.close()
            raise
        self._create_components()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._caller_socket.close()
        self._peer_socket.close()
        await self._reader.__aexit__(exc_type, exc, traceback)

    def _create_components(self) -> None:
        settings, clock = self._settings, self._clock
        self._reader = PlatformReader(
            settings.platform,
            self._store,
            self._peer_urls,
            settings.fleet_secrets[0],
            self._on_configuration,
            self._network,
        )
        self._membership = Membership(
            settings.name,
            settings.failure_domain,
            self._identity.incarnation,
            clock.now(),
        )
        self._ownership = Ownership(self._own_vm(), self._membership)
        self._hub = PeerHub(
            self._peer_socket,
            PeerCodec(settings.fleet_secrets),
            self._membership,
            self._metrics,
            clock,
            self._make_heartbeat,
        )
        sender = CallerSender(self._caller_socket)
        self._placement = Placement(
            name=settings.name,
            domain=settings.failure_domain,
            membership=self._membership,
            ownership=self._ownership,
            source=self._store,
            relayer=self._hub,
            sender=sender,
            chooser=WeightedRandomChooser(self._rng),
            encode=CALLER_CODEC.encode,
            clock=clock,
            rng=self._rng,
        )
        self._executor = Executor(
            self._identity, self._store, sender, self._placement, clock
        )
        self._placement.attach(self._executor)
        self._router = ExecutorRouter(
            name=settings.name,
            membership=self._membership,
            source=self._store,
            relayer=self._hub,
            placement=self._placement,
            executor=self._executor,
            clock=clock,
        )
        self._tracer = Tracer("balancer")
        self._front = CallerFront(
            self._caller_socket,
            self._store,
            self._placement,
            self._router,
            self._metrics,
            self._tracer,
            self.refresh_after_pause,
        )
        self._hub.add_handler(Heartbeat, self._on_heartbeat)
        self._hub.add_handler(Relay, self._on_relay)
        self._links = UpstreamLinks(
            self._identity,
            self._executor,
            self._ownership,
            self._network,
            clock,
            self._start_task,
        )
        self._graceful_leave = GracefulLeave(
            identity=self._identity,
            domain=settings.failure_domain,
            source=self._store,
            membership=self._membership,
            ownership=self._ownership,
            router=self._router,
            executor=self._executor,
            hub=self._hub,
            clock=clock,
        )

    def _own_vm(self) -> Vm:
        settings = self._settings
        return Vm(
            name=settings.name,
            domain=settings.failure_domain,
            callers=Address.parse(settings.callers),
            peers=Address.parse(settings.peers),
            admin=Address.parse(settings.admin),
            state=VmState.LIVE,
            weight=1.0,
        )

    # Read by the administration API ------------------------------------------

    @property
    def settings(self) -> BalancerSettings:
        """The settings of this process."""
        return self._settings

    @property
    def identity(self) -> ExecutorId:
        """This balancer's name and incarnation."""
        return self._identity

    @property
    def store(self) -> ConfigurationStore:
        """The store of the active configuration."""
        return self._store

    @property
    def reader(self) -> PlatformReader:
        """Reads the configuration from the platform."""
        return self._reader

    @property
    def membership(self) -> Membership:
        """The other balancers and which of them are alive."""
        return self._membership

    @property
    def executor(self) -> Executor:
        """Runs requests on the upstreams that this balancer owns."""
        return self._executor

    @property
    def placement(self) -> Placement:
        """Routes packets to the owners of upstreams and to executors."""
        return self._placement

    @property
    def hub(self) -> PeerHub:
        """Sends and receives the messages between balancers."""
        return self._hub

    @property
    def metrics(self) -> Metrics:
        """The metrics of this process."""
        return self._metrics

    @property
    def ready(self) -> bool:
        """Whether this balancer serves callers."""
        configuration = self._store.configuration
        complete = configuration is not None and configuration.is_complete
        return complete and not self._membership.leaving

    # Tasks ---------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until `leave` has been called and the graceful leave is complete."""
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            tasks.start_soon(self._reader.run)
            tasks.start_soon(self._front.run)
            tasks.start_soon(self._hub.receive, self.refresh_after_pause)
            tasks.start_soon(self._run_housekeeping)
            _LOG.info("serving callers.", balancer=self._settings.name)
            await self._leave_requested.wait()
            await self._graceful_leave.run(
                self._settings.leave_s, self._settings.leave_timeout_s
            )
            tasks.cancel_scope.cancel()

    def leave(self) -> None:
        """Request a graceful leave."""
        self._leave_requested.set()

    async def refresh_after_pause(self) -> None:
        """Refresh the configuration if this process has just been paused.

        Packets that arrived during the pause are handled with the refreshed
        configuration, or with the old one if the refresh times out. Calls during
        a refresh wait for it.
        """
        if self._refresh_done is not None:
            await self._refresh_done.wait()
            return
        pause_s = self._pause_detector.tick()
        if not pause_s:
            return
        self._refresh_done = anyio.Event()
        try:
            self._metrics.pauses.inc()
            _LOG.warning("process was paused.", seconds=round(pause_s, 3))
            self._membership.distrust_after_pause(self._clock.now())
            self._links.resume()
            with anyio.move_on_after(REFRESH_TIMEOUT_S):
                await self._reader.refresh()
        finally:
            self._refresh_done.set()
            self._refresh_done = None

    async def _run_housekeeping(self) -> None:
        while True:
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self.refresh_after_pause()
            with self._housekeeping_errors:
                self._executor.tick()
            with self._housekeeping_errors:
                self._check_members()
            with self._housekeeping_errors:
                self._reconcile()

    def _check_members(self) -> None:
        self._send_suspicions(self._membership.suspect_silent(self._clock.now()))
        for unacknowledged in self._hub.resend_due_relays():
            self._relay_failed(unacknowledged)
        self._hub.announce(
            urgent=self._membership.leaving or bool(self._executor.rights.inherited)
        )

    def _send_suspicions(self, names: list[str]) -> None:
        """Send new suspicions to the failure domain ahead of the next heartbeat."""
        for name in names:
            _LOG.warning("balancer suspected.", balancer=name)
        if names:
            self._hub.send_heartbeat_to(self._membership.domain_members())

    def _reconcile(self) -> None:
        """Start and stop tasks to match the current upstreams and neighbours."""
        configuration = self._store.configuration
        if configuration is None:
            return
        version = (self._membership.version, id(configuration))
        if version != self._reconciled_version:
            self._reconciled_version = version
            self._links.reconcile(configuration)
            self._reconcile_heartbeats()
        self._links.drop_finished()

    def _reconcile_heartbeats(self) -> None:
        wanted = set(self._membership.neighbours())
        for name in self._heartbeat_scopes.keys() - wanted:
            self._heartbeat_scopes.pop(name).cancel()
        for name in wanted - self._heartbeat_scopes.keys():
            send_heartbeats = functools.partial(self._hub.send_heartbeats, name)
            self._heartbeat_scopes[name] = self._start_task(send_heartbeats)

    def _start_task(self, function: Callable[[], Awaitable[None]]) -> anyio.CancelScope:
        """Start a task and return the scope that cancels it."""
        assert self._task_group is not None
        scope = anyio.CancelScope()

        async def run_in_scope() -> None:
            with scope:
                await function()

        self._task_group.start_soon(run_in_scope)
        return scope

    # Events ----------------------------------------------------------------------

    def _on_configuration(self) -> None:
        configuration = self._store.configuration
        assert configuration is not None
        self._membership.set_published_vms(
            configuration.vms.values(), self._clock.now()
        )
        self._executor.configure(configuration.limits)
        self._metrics.revision.set(configuration.revision)
        _LOG.info(
            "configuration applied.",
            revision=configuration.revision,
            preset=configuration.preset,
        )

    def _make_heartbeat(self) -> Heartbeat:
        inherited = self._executor.rights.inherited
        return self._membership.heartbeat(self._store.revision, inherited)

    def _on_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        self._reader.note_peer_revision(heartbeat.revision)

    def _on_relay(self, relay: Relay, _: str) -> None:
        self._reader.note_peer_revision(relay.revision)
        try:
            packet, token = self._decode_relayed(relay.packet)
        except (BadMessageError, TokenError):
            self._metrics.dropped.labels(reason="relay").inc()
            return
        trace_context = getattr(packet, "trace", None)
        if trace_context:
            self._tracer.hop("owner", trace_context, balancer=self._settings.name)
        # A relay that names an upstream is for its owner, any other one for the
        # executor that the packet's token names.
        if relay.upstream and isinstance(packet, Open | Grant | Run):
            self._placement.handle_relay(relay, packet)
        elif token is not None:
            self._router.route_to_executor(packet, relay.packet, token, relay.hops)

    def _decode_relayed(self, raw: bytes) -> tuple[Any, Token | None]:
        """Decode a relayed packet and verify its token, if it has one."""
        packet = CALLER_CODEC.decode(raw)
        token_bytes = getattr(packet, "token", b"")
        configuration = self._store.configuration
        if not token_bytes or configuration is None:
            return packet, None
        return packet, configuration.keys.unseal(token_bytes)

    def _relay_failed(self, pending: PendingRelay) -> None:
        try:
            packet, token = self._decode_relayed(pending.relay.packet)
        except (BadMessageError, TokenError):
            return
        if pending.relay.upstream:
            self._placement.relay_failed(pending, packet)
        elif token is not None:
            self._router.relay_failed(pending, packet, token)

    def _peer_urls(self) -> list[str]:
        """Return the URLs of balancers that may have a newer configuration.

        They are asked when the platform is down. Without any configuration these
        include the known peers of the settings, in random order.
        """
        members = self._membership.members_ahead_of(self._store.revision)
        urls = [f"http://{member.vm.admin}" for member in members]
        if self._store.configuration is None:
            known = [f"http://{peer}" for peer in self._settings.known_peers]
            urls += self._rng.sample(known, len(known))
        return urls
