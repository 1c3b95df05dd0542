"""One balancer process: wires the tasks, one for each connection and each peer."""

from __future__ import annotations

import functools
import random
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup

from egrethook.addresses import Address
from egrethook.balancers.departure import Departure
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
from egrethook.exceptions import BadMessageError, TokenError
from egrethook.logs import PartLog
from egrethook.metrics import Metrics
from egrethook.network import Network, SystemNetwork
from egrethook.published.configuration import ConfigurationStore, Vm
from egrethook.published.reader import PlatformReader
from egrethook.settings import BalancerSettings
from egrethook.tracing import Tracer
from egrethook.types import ExecutorId, VmState, new_incarnation
from egrethook.upstreams.choice import WeightedRandomChooser
from egrethook.upstreams.executor import Executor
from egrethook.upstreams.links import UpstreamLinks

TICK_S = 0.05
"""Time between two rounds of housekeeping, in seconds."""

REFRESH_S = 0.5
"""Longest wait for a fresh view after a pause, in seconds."""

_LOG = PartLog("balancer")


class Balancer:
    """Serves callers on one VM.

    It owns its sockets and tasks: use it as an asynchronous context manager
    and call `run`.

    Parameters
    ----------
    settings : BalancerSettings
        Addresses, failure domain and secrets.
    network : Network, optional
        Opens sockets; the operating system's if None.
    clock : Clock, optional
        The time; the operating system's if None.
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
        self._identity = ExecutorId(settings.name, new_incarnation())
        self._metrics = Metrics()
        self._store = ConfigurationStore()
        self._pauses = PauseDetector(self._clock)
        self._rng = random.Random(settings.seed)
        self._beats: dict[str, anyio.CancelScope] = {}
        self._refreshing: anyio.Event | None = None
        self._leave_requested = anyio.Event()
        self._reconciled: tuple[int, int] = (-1, -1)
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        settings = self._settings
        self._front_socket = self._network.bind(Address.parse(settings.callers))
        try:
            self._peer_socket = self._network.bind(Address.parse(settings.peers))
        except BaseException:
            self._front_socket.close()
            raise
        self._wire()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._front_socket.close()
        self._peer_socket.close()
        await self._reader.__aexit__(exc_type, exc, traceback)

    def _wire(self) -> None:
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
            self._heartbeat,
        )
        sender = CallerSender(self._front_socket)
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
            self._front_socket,
            self._store,
            self._placement,
            self._router,
            self._metrics,
            self._tracer,
            self.awake,
        )
        self._hub.on(Heartbeat, self._on_heartbeat)
        self._hub.on(Relay, self._on_relay)
        self._links = UpstreamLinks(
            self._identity,
            self._executor,
            self._ownership,
            self._network,
            clock,
            self._start,
        )
        self._departure = Departure(
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

    # What the administration API shows ---------------------------------------

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
        """The configuration in force."""
        return self._store

    @property
    def reader(self) -> PlatformReader:
        """The reader of the platform."""
        return self._reader

    @property
    def membership(self) -> Membership:
        """The view of the other balancers."""
        return self._membership

    @property
    def executor(self) -> Executor:
        """The executor of this process."""
        return self._executor

    @property
    def placement(self) -> Placement:
        """Brings packets to owners and executors."""
        return self._placement

    @property
    def hub(self) -> PeerHub:
        """The messages to the other balancers."""
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
        """Serve until `leave` has been called and the leave is complete."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._reader.run)
            tasks.start_soon(self._front.run)
            tasks.start_soon(self._hub.receive, self.awake)
            tasks.start_soon(self._keep_house)
            _LOG.info("the balancer serves.", balancer=self._settings.name)
            await self._leave_requested.wait()
            await self._departure.run(
                self._settings.leave_s, self._settings.leave_timeout_s
            )
            tasks.cancel_scope.cancel()

    def leave(self) -> None:
        """Ask for a graceful leave."""
        self._leave_requested.set()

    async def awake(self) -> None:
        """Refresh the view if this process has just been paused.

        What was received during the pause is handled under a fresh view, or
        under the old one when nobody answers in time.
        """
        if self._refreshing is not None:
            await self._refreshing.wait()
            return
        pause_s = self._pauses.tick()
        if not pause_s:
            return
        self._refreshing = anyio.Event()
        try:
            self._metrics.pauses.inc()
            _LOG.warning("the process was paused.", seconds=round(pause_s, 3))
            self._membership.resume(self._clock.now())
            self._links.resume()
            with anyio.move_on_after(REFRESH_S):
                await self._reader.refresh()
        finally:
            self._refreshing.set()
            self._refreshing = None

    async def _keep_house(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            await self.awake()
            now = self._clock.now()
            self._executor.tick()
            self._tell_suspicions(self._membership.check(now))
            for pending in self._hub.due_relays():
                self._relay_failed(pending)
            self._hub.announce(
                urgent=self._membership.leaving or bool(self._executor.rights.inherited)
            )
            self._reconcile()

    def _tell_suspicions(self, names: list[str]) -> None:
        """Tell the whole failure domain at once whom this balancer suspects."""
        for name in names:
            _LOG.warning("a balancer is suspected.", balancer=name)
        if names:
            self._hub.tell(self._membership.domain_members())

    def _reconcile(self) -> None:
        """Start and stop the tasks for upstreams and neighbours."""
        configuration = self._store.configuration
        if configuration is None:
            return
        version = (self._membership.version, id(configuration))
        if version != self._reconciled:
            self._reconciled = version
            self._links.reconcile(configuration)
            self._reconcile_neighbours()
        self._links.drop_finished()

    def _reconcile_neighbours(self) -> None:
        wanted = set(self._membership.neighbours())
        for name in self._beats.keys() - wanted:
            self._beats.pop(name).cancel()
        for name in wanted - self._beats.keys():
            beat = functools.partial(self._hub.beat, name)
            self._beats[name] = self._start(beat)

    def _start(self, function: Callable[[], Awaitable[None]]) -> anyio.CancelScope:
        """Start a task and return the scope that ends it."""
        assert self._tasks is not None
        scope = anyio.CancelScope()

        async def scoped() -> None:
            with scope:
                await function()

        self._tasks.start_soon(scoped)
        return scope

    # Events ----------------------------------------------------------------------

    def _on_configuration(self) -> None:
        configuration = self._store.configuration
        assert configuration is not None
        self._membership.publish(configuration.vms.values(), self._clock.now())
        self._executor.configure(configuration.limits)
        self._metrics.revision.set(configuration.revision)
        _LOG.info(
            "a configuration is in force.",
            revision=configuration.revision,
            preset=configuration.preset,
        )

    def _heartbeat(self) -> Heartbeat:
        inherited = self._executor.rights.inherited
        return self._membership.heartbeat(self._store.revision, inherited)

    def _on_heartbeat(self, heartbeat: Heartbeat, _: str) -> None:
        self._reader.hint(heartbeat.revision)

    def _on_relay(self, relay: Relay, _: str) -> None:
        self._reader.hint(relay.revision)
        try:
            packet, token = self._open_packet(relay.packet)
        except (BadMessageError, TokenError):
            self._metrics.dropped.labels(reason="relay").inc()
            return
        traced = getattr(packet, "trace", None)
        if traced:
            self._tracer.hop("owner", traced, balancer=self._settings.name)
        if relay.upstream and isinstance(packet, Open | Grant | Run):
            self._placement.receive(relay, packet)
        elif token is not None:
            self._router.to_executor(packet, relay.packet, token, relay.hops)

    def _open_packet(self, raw: bytes) -> tuple[Any, Token | None]:
        """Decode a relayed packet and check its token, if it has one."""
        packet = CALLER_CODEC.decode(raw)
        sealed = getattr(packet, "token", b"")
        configuration = self._store.configuration
        if not sealed or configuration is None:
            return packet, None
        return packet, configuration.keys.unseal(sealed)

    def _relay_failed(self, pending: PendingRelay) -> None:
        try:
            packet, token = self._open_packet(pending.relay.packet)
        except (BadMessageError, TokenError):
            return
        if pending.relay.upstream:
            self._placement.relay_failed(pending, packet)
        elif token is not None:
            self._router.relay_failed(pending, packet, token)

    def _peer_urls(self) -> list[str]:
        """Return whom to ask for published values when the platform is down."""
        members = self._membership.best_informed(self._store.revision)
        urls = [f"http://{member.vm.admin}" for member in members]
        if self._store.configuration is None:
            known = [f"http://{peer}" for peer in self._settings.known_peers]
            urls += self._rng.sample(known, len(known))
        return urls
