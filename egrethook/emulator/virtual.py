"""Runs a fleet of real balancers in one process, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from egrethook.addresses import Address
from egrethook.balancer import Balancer
from egrethook.callers.client import Caller
from egrethook.emulator.fabric import FabricEmulator
from egrethook.emulator.layouts import EmulatedFleet, Layout
from egrethook.emulator.platform import PlatformEmulator
from egrethook.emulator.runner import derive_seed
from egrethook.emulator.upstream import UpstreamEmulator
from egrethook.emulator.virtualnet import HostNetwork, VirtualNetwork
from egrethook.operators.admin import AdminApi
from egrethook.published.configuration import ConfigurationStore
from egrethook.published.documents import EndpointModel
from egrethook.published.reader import PlatformReader
from egrethook.settings import BalancerSettings
from egrethook.tracing import Tracer
from egrethook.types import UpstreamState, VmState

POLL_INTERVAL_S = 0.02
"""Time between checks of a condition, in virtual seconds."""

WAIT_TIMEOUT_S = 60.0
"""Timeout for a condition to hold, in virtual seconds."""

EXTERNAL_DOMAIN = "outside"
"""Failure domain of the callers, the fabric and the platform."""


class LoopClock:
    """Returns the time of the event loop, which may be virtual."""

    def now(self) -> float:
        """Return the time in seconds."""
        return anyio.current_time()


def run_virtual(function: Callable[..., Awaitable[Any]], *args: Any, seed: int) -> Any:
    """Run an asynchronous function in virtual time, deterministically for a seed.

    Trio schedules tasks in random order; it is seeded through private attributes, as
    there is no public way.
    """
    import trio._core._run as scheduler
    from trio.testing import MockClock

    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r = random.Random(seed)
    random.seed(seed)
    return anyio.run(
        function,
        *args,
        backend="trio",
        backend_options={"clock": MockClock(autojump_threshold=0.0)},
    )


class VirtualFleet:
    """Balancers, upstreams, fabric and platform over a virtual network.

    Parameters
    ----------
    layout : Layout
        Deployment layout.
    seed : int
        Seed of all random choices.
    mean_service_s : float
        Mean service time of each upstream, in seconds.
    answer_bytes : int
        Length of each answer, in bytes.
    """

    def __init__(
        self,
        layout: Layout,
        seed: int,
        mean_service_s: float = 0.04,
        answer_bytes: int = 100,
    ) -> None:
        self._seed = seed
        self._mean_service_s = mean_service_s
        self._answer_bytes = answer_bytes
        self.network = VirtualNetwork(
            random.Random(derive_seed(seed, "network")), layout.inter_domain_delay_s
        )
        self._hosts: dict[str, str] = {}
        self._layout = layout
        self.fleet = EmulatedFleet(layout, self._allocate)
        self.platform = PlatformEmulator()
        self.balancers: dict[str, Balancer] = {}
        self.upstreams: dict[str, UpstreamEmulator] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None

    def _domain_of(self, name: str) -> str:
        for domain, names in self._layout.balancers.items():
            if name in names:
                return domain
        for service in self._layout.services:
            for number, domain in enumerate(service.domains, 1):
                if name == f"{service.prefix}-{number}":
                    return domain
        return EXTERNAL_DOMAIN

    def _allocate(self, name: str) -> str:
        if name not in self._hosts:
            self._hosts[name] = self.network.add_host(self._domain_of(name))
        return f"{self._hosts[name]}:{self.network.new_port()}"

    def add_host(self, name: str, domain: str) -> None:
        """Add the host of a VM or an upstream that is not in the layout."""
        self._hosts[name] = self.network.add_host(domain)

    @asynccontextmanager
    async def running(self):
        """Run the fleet for the duration of a ``with`` block."""
        async with anyio.create_task_group() as tasks:
            self._tasks = self.network.tasks = tasks
            tasks.start_soon(self.network.run)
            fleet = self.fleet
            self.platform.publish(fleet.values(), fleet.index())
            platform = Address.parse(fleet.platform)
            self.network.serve_app(platform, self.platform.app())
            for name in fleet.endpoints:
                self.start_upstream(name)
            for name in fleet.vms:
                self.start_balancer(name)
            tasks.start_soon(self._run_fabric)
            await self.wait_until(self.upstreams_connected)
            yield self
            tasks.cancel_scope.cancel()

    def _host_network(self, name: str) -> HostNetwork:
        return HostNetwork(self.network, self._hosts[name])

    async def _run_fabric(self) -> None:
        network = self._host_network("fabric")
        store = ConfigurationStore()
        datagrams = network.bind(Address.parse(self.fleet.fabric))
        seed = derive_seed(self._seed, "fabric")
        self.fabric = FabricEmulator(datagrams, store, seed)
        url = self.fleet.platform_url
        reader = PlatformReader(url, store, list, "", lambda: None, network)
        async with reader, anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            await self.fabric.run()

    # Balancers ---------------------------------------------------------------

    def start_balancer(self, name: str, known_peers: tuple[str, ...] = ()) -> None:
        """Start a balancer; it can get the configuration from `known_peers`."""
        settings = self.fleet.balancer_settings(name)
        settings["known_peers"] = [
            self.fleet.vms[peer]["admin"] for peer in known_peers
        ]
        settings["seed"] = derive_seed(self._seed, name)
        model = BalancerSettings.model_validate(settings)
        balancer = Balancer(model, self._host_network(name), LoopClock())
        self._scopes[name] = anyio.CancelScope()
        assert self._tasks is not None
        self._tasks.start_soon(self._run_balancer, name, balancer)

    async def _run_balancer(self, name: str, balancer: Balancer) -> None:
        admin = Address.parse(self.fleet.vms[name]["admin"])
        with self._scopes[name]:
            async with balancer:
                self.balancers[name] = balancer
                self.network.serve_app(admin, AdminApi(balancer).app())
                await balancer.run()
        self.network.stop_app(admin)
        self.balancers.pop(name, None)

    def kill_balancer(self, name: str) -> None:
        """Stop a balancer without a graceful leave."""
        self._scopes[name].cancel()

    async def replace_balancer(self, old: str, new: str, graceful: bool = True) -> None:
        """Start a new balancer and stop an old one in the same failure domain."""
        fleet = self.fleet
        domain = fleet.vms[old]["failure_domain"]
        self.add_host(new, domain)
        fleet.add_vm(new, domain)
        self.start_balancer(new)
        fleet.vms[old]["state"] = VmState.LEAVING.value
        self.platform.publish([fleet.vms_value(domain)], {})
        if graceful:
            self.balancers[old].leave()
        else:
            self.kill_balancer(old)
        await self.wait_until(lambda: old not in self.balancers)
        del fleet.vms[old]
        self.platform.publish([fleet.vms_value(domain)], {})

    # Upstreams ---------------------------------------------------------------

    def start_upstream(self, name: str) -> None:
        """Start an upstream."""
        endpoint = EndpointModel.model_validate(self.fleet.endpoints[name])
        emulator = UpstreamEmulator(
            self.fleet.service_by_endpoint[name],
            endpoint,
            self._mean_service_s,
            self._answer_bytes,
            # The same for all: a request takes equally long on each upstream.
            derive_seed(self._seed, "service"),
            Tracer("upstream"),
        )
        self.upstreams[name] = emulator
        self._scopes[name] = anyio.CancelScope()
        network = self._host_network(name)
        datagrams = network.bind(Address.parse(endpoint.flow_address))
        self.network.listen(Address.parse(endpoint.address), emulator.serve_connection)
        assert self._tasks is not None
        self._tasks.start_soon(self._run_upstream, name, emulator, datagrams)

    async def _run_upstream(
        self, name: str, emulator: UpstreamEmulator, datagrams: Any
    ) -> None:
        with self._scopes[name]:
            await emulator.serve_flows(datagrams)

    def reassign_addresses(self, old: str, service: str, new: str) -> int:
        """Give the addresses of an upstream to a new one of another service.

        Returns
        -------
        int
            The revision that publishes the change.
        """
        fleet = self.fleet
        self._scopes[old].cancel()
        endpoint = fleet.endpoints.pop(old)
        old_service = fleet.service_by_endpoint.pop(old)
        self._hosts[new] = self._hosts[old]
        fleet.endpoints[new] = {**endpoint, "name": new, "incarnation": 2}
        fleet.service_by_endpoint[new] = service
        self.start_upstream(new)
        values = [fleet.service_value(old_service), fleet.service_value(service)]
        return self.platform.publish(values, {})

    def set_upstream_state(self, name: str, state: UpstreamState) -> None:
        """Change and publish the state of an upstream."""
        self.fleet.endpoints[name]["state"] = state.value
        self.upstreams[name].change({"drain": state is UpstreamState.DRAINING})
        self.publish_service(self.fleet.service_by_endpoint[name])

    def delay_configuration_reads(self, max_delay_s: float, rng: random.Random) -> None:
        """Delay the HTTP responses to each balancer by a random time.

        Parameters
        ----------
        max_delay_s : float
            Upper bound of the delay, in seconds; the delay of a balancer is constant.
        rng : random.Random
            Source of the delays.
        """
        for name in self.fleet.vms:
            host = self._hosts[name]
            self.network.http_response_delay_s[host] = rng.uniform(0.0, max_delay_s)

    def publish_service(self, service: str) -> None:
        """Publish the current endpoints of a service."""
        self.platform.publish([self.fleet.service_value(service)], {})

    def set_domain_in_service(self, domain: str, in_service: bool) -> int:
        """Publish whether a failure domain is in service; return the revision."""
        domains = self.platform.index_value("failure_domains")
        domains[domain] = {**domains[domain], "in_service": in_service}
        return self.platform.publish([], {"failure_domains": domains})

    # Inspection -----------------------------------------------------------------

    def host(self, name: str) -> str:
        """Return the IP address of a VM, an upstream, the fabric or the platform."""
        return self._hosts[name]

    def caller(self) -> Caller:
        """Return a new caller on its own host."""
        host = self.network.add_host(EXTERNAL_DOMAIN)
        return Caller(
            Address.parse(self.fleet.fabric),
            Address(host, 0),
            network=HostNetwork(self.network, host),
            clock=LoopClock(),
        )

    def upstreams_connected(self) -> bool:
        """Return whether each upstream has a connected owner."""
        names = set()
        for balancer in self.balancers.values():
            for name, upstream in balancer.executor.pool.items():
                if upstream.owned and upstream.admission.connected:
                    names.add(name)
        return names >= set(self.fleet.endpoints)

    def is_applied(self, revision: int) -> bool:
        """Return whether all balancers have completely applied a revision."""
        configurations = [b.store.configuration for b in self.balancers.values()]
        return all(c and c.complete_revision >= revision for c in configurations)

    async def wait_until(self, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds and return the duration, in virtual seconds.

        Raises
        ------
        TimeoutError
            If the condition does not hold within `WAIT_TIMEOUT_S`.
        """
        began = anyio.current_time()
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await anyio.sleep(POLL_INTERVAL_S)
        return anyio.current_time() - began
