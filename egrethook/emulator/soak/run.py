"""A seeded soak: load and faults on real processes, and checks of guarantees."""

from __future__ import annotations

import logging
import random
import signal
import socket
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from egrethook.addresses import Address
from egrethook.callers.segments import IPv4Endpoint
from egrethook.emulator.soak.domain_cut import DomainCut
from egrethook.emulator.soak.faults import DOMAINS, SoakFaults, register_upstream
from egrethook.emulator.soak.fleet import PROXY_OFFSET, SoakFleet, SoakVm
from egrethook.emulator.soak.peers import (
    PacketCaller,
    PacketUpstream,
    Violation,
    host_number,
)
from egrethook.emulator.soak.proxy import FaultyProxy
from egrethook.emulator.soak.store import StoreEmulator
from egrethook.exceptions import AddressInUseError
from egrethook.httpserver import bind_http, serve_http

SERVICES = ("orders", "charts")

FIRST_NETWORK = 10
"""Second octet of the first loopback network that a soak may use."""

NETWORKS = 200
"""Number of these networks."""

STARTUP_WAIT_S = 4.0
"""Time between the start of the processes and that of the load, in seconds."""

RECOVERY_TIMEOUT_S = 12.0
"""Time after the last fault in which service must recover, in seconds."""

FINAL_REQUESTS_WAIT_S = 5.0
"""Time that the last requests are given to end, in seconds."""

ANSWERED_SHARE_TARGET = 0.95
"""Minimum share of requests answered after recovery."""

STALL_CHECK_INTERVAL_S = 0.05
"""Interval between checks for stalls of the soak itself, in seconds."""


@dataclass(frozen=True)
class SoakOptions:
    """Parameters of one soak.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    seconds : float
        Duration of the faults, in seconds.
    vms_per_domain, upstreams : int
        Size of the deployment.
    rate_per_s : float
        Request rate, per second.
    """

    seed: int
    seconds: float = 30.0
    vms_per_domain: int = 2
    upstreams: int = 6
    rate_per_s: float = 30.0


@dataclass
class SoakReport:
    """Result of one soak.

    Parameters
    ----------
    answered : int
        Number of requests that were answered.
    answered_share_after_recovery : float
        Share of answered requests among those that began more than
        `RECOVERY_TIMEOUT_S` after the last fault.
    faults : list of str
        The injected faults with their times.
    violations : list of Violation
        The guarantees that were violated.
    folder : Path or None
        Folder of the settings files and logs.
    longest_stall_s : float
        Longest time for which the soak's own tasks did not run, in seconds. Callers and
        upstreams stand still meanwhile.
    """

    seed: int
    requests: int = 0
    answered: int = 0
    answered_share_after_recovery: float = 0.0
    faults: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    folder: Path | None = None
    longest_stall_s: float = 0.0


class Soak:
    """Runs one soak.

    Parameters
    ----------
    options : SoakOptions
        Seed, duration and size.
    print_line : callable
        Called with one line for each fault.
    """

    def __init__(self, options: SoakOptions, print_line: Callable[[str], None]) -> None:
        self._options = options
        self._print_line = print_line
        self._rng = random.Random(options.seed)
        self._report = SoakReport(options.seed)
        self._violations = self._report.violations
        self._store = StoreEmulator()
        # Addresses differ by seed, so that soaks of several seeds can run at once.
        self._base_port = 20_000 + options.seed % 400 * 20
        self._second_octet = FIRST_NETWORK + options.seed % NETWORKS
        self._upstreams: dict[str, PacketUpstream] = {}
        self._callers: list[tuple[str, PacketCaller]] = []
        self._configuration_version = 1
        self._load_began_at = 0.0
        self._generating_load = True

    async def run(self) -> SoakReport:
        """Run the soak and return the report."""
        # uvicorn logs watches that are cancelled at the end of the soak as errors.
        logging.getLogger("uvicorn.error").disabled = True
        folder = Path(tempfile.mkdtemp(prefix="egrethook-soak-"))
        self._report.folder = folder
        listener = self._bind_store()
        vms = self._make_vms()
        async with (
            SoakFleet(vms, folder, self._violations) as fleet,
            anyio.create_task_group() as tasks,
        ):
            self._fleet = fleet
            self._faults = SoakFaults(
                self._rng, fleet, self._store, self._upstreams, self._publish_routes
            )
            await self._start(tasks, listener)
            await self._run_load_and_faults(tasks)
            # Before the fleet ends, which disturbs its VMs.
            self._violations += self._faults.exclusion_violations()
            tasks.cancel_scope.cancel()
        return self._report

    # Set up ----------------------------------------------------------------------

    def _host(self, group: int, number: int) -> str:
        return f"127.{self._second_octet}.{group}.{number + 1}"

    @property
    def _store_address(self) -> Address:
        return Address(self._host(0, 0), self._base_port + 10)

    def _make_vms(self) -> list[SoakVm]:
        vms = []
        for number in range(self._options.vms_per_domain * len(DOMAINS)):
            host = self._host(1, number)
            listen = Address(host, self._base_port + PROXY_OFFSET)
            proxy = FaultyProxy(listen, self._store_address)
            domain = DOMAINS[number % len(DOMAINS)]
            vms.append(SoakVm(f"vm-{number}", domain, host, self._base_port, proxy))
        return vms

    def _bind_store(self) -> socket.socket:
        """Listen at the store's address in the first loopback network that is free.

        A soak holds its network by this address. The first choice depends on the seed.

        Raises
        ------
        AddressInUseError
            If none is free.
        """
        first = self._second_octet - FIRST_NETWORK
        for number in range(first, first + NETWORKS - 1):
            self._second_octet = FIRST_NETWORK + number % NETWORKS
            with suppress(AddressInUseError):
                return bind_http(self._store_address)
        self._second_octet = FIRST_NETWORK + (first - 1) % NETWORKS
        return bind_http(self._store_address)

    async def _start(self, tasks: TaskGroup, listener: socket.socket) -> None:
        tasks.start_soon(serve_http, self._store.app(), listener)
        tasks.start_soon(self._measure_stalls)
        for vm in self._fleet.vms:
            tasks.start_soon(vm.proxy.run)
        self._publish_routes()
        for number in range(self._options.upstreams):
            self._add_upstream(tasks, number)
        for number, domain in enumerate(DOMAINS):
            self._add_caller(tasks, number, domain)
        await anyio.sleep(0.3)
        for vm in self._fleet.vms:
            self._fleet.start(vm)
            tasks.start_soon(self._fleet.probe, vm)
        await anyio.sleep(STARTUP_WAIT_S)

    def _targets(self) -> dict[str, IPv4Endpoint]:
        host = host_number("198.18.0.1")
        return {service: (host, 8_000 + n) for n, service in enumerate(SERVICES)}

    def _publish_routes(self) -> int:
        """Write a new version of the configuration; return its number."""
        self._configuration_version += self._rng.randrange(1, 4)
        routes = [
            {
                "name": f"r-{service}",
                "host": "198.18.0.1",
                "prefix": f"/{port}/",
                "type": "safe",
                "timeoutMs": 2_000 + self._configuration_version,
                "sloMs": 150,
                "priority": 1,
                "service": service,
            }
            for service, (_, port) in self._targets().items()
        ]
        services = [{"name": service, "warmupS": 0.0} for service in SERVICES]
        config = {
            "version": self._configuration_version,
            "routes": routes,
            "services": services,
        }
        self._store.put("op/config", config)
        return self._configuration_version

    def _add_upstream(self, tasks: TaskGroup, number: int) -> None:
        name = f"i-{self._rng.getrandbits(40):010x}"
        # Every third upstream serves the second service.
        service = SERVICES[number % 3 // 2]
        domain = DOMAINS[number % len(DOMAINS)]
        address = Address(self._host(2, number), self._base_port + 11)
        upstream = PacketUpstream(
            name, service, domain, address, self._base_port, self._violations
        )
        self._upstreams[name] = upstream
        tasks.start_soon(upstream.run)
        register_upstream(self._store, upstream, "ready")

    def _add_caller(self, tasks: TaskGroup, number: int, domain: str) -> None:
        caller = PacketCaller(
            Address(self._host(3, number), self._base_port),
            self._targets(),
            lambda flow: self._fleet.choose_vm(domain, flow),
            self._is_calm,
            self._violations,
            random.Random(self._rng.random()),
        )
        self._callers.append((domain, caller))
        tasks.start_soon(caller.run)

    def _is_calm(self, token: int) -> bool:
        return all(
            upstream.is_calm
            for upstream in self._upstreams.values()
            if upstream.token == token
        )

    async def _measure_stalls(self) -> None:
        while True:
            woken_at = time.monotonic() + STALL_CHECK_INTERVAL_S
            await anyio.sleep(STALL_CHECK_INTERVAL_S)
            stall_s = time.monotonic() - woken_at
            self._report.longest_stall_s = max(self._report.longest_stall_s, stall_s)

    # Load and faults -------------------------------------------------------------

    async def _run_load_and_faults(self, tasks: TaskGroup) -> None:
        self._load_began_at = time.monotonic()
        faults_end = self._load_began_at + self._options.seconds
        tasks.start_soon(self._generate_load, tasks)
        async with anyio.create_task_group() as faults:
            while time.monotonic() < faults_end:
                name, fault = self._rng.choice(self._faults.kinds)
                line = f"{time.monotonic() - self._load_began_at:6.1f} s {name}"
                self._report.faults.append(line)
                self._print_line(line)
                faults.start_soon(fault)
                # Some faults overlap, others follow one another.
                await anyio.sleep(self._rng.choice((0.2, 1.0, 2.5)))
                self._fleet.check_processes()
        faults_ended_at = time.monotonic()
        # The requests of the last 5 s show whether service has recovered.
        while time.monotonic() < faults_ended_at + RECOVERY_TIMEOUT_S + 5.0:
            await anyio.sleep(0.5)
            self._fleet.check_processes()
        recovered_until = time.monotonic()
        await anyio.sleep(FINAL_REQUESTS_WAIT_S)
        await self._cut_domain_off()
        self._generating_load = False
        await anyio.sleep(FINAL_REQUESTS_WAIT_S)
        self._check_recovery(faults_ended_at, recovered_until)

    async def _cut_domain_off(self) -> None:
        domain = DOMAINS[self._options.seed % len(DOMAINS)]
        self._print_line(f"{domain} is evacuated and cut off")
        upstreams = self._upstreams.values()
        cut = DomainCut(domain, self._fleet, self._store, upstreams, self._violations)
        await cut.run()

    async def _generate_load(self, tasks: TaskGroup) -> None:
        while self._generating_load:
            await anyio.sleep(self._rng.expovariate(self._options.rate_per_s))
            _, caller = self._rng.choice(self._callers)
            service = self._rng.choice(SERVICES)
            exchanges = 6 if self._rng.random() < 0.1 else 1
            tasks.start_soon(caller.request, service, exchanges)

    def _check_recovery(self, faults_ended_at: float, until: float) -> None:
        results = [result for _, caller in self._callers for result in caller.results]
        after = [
            ok
            for began, ok in results
            if faults_ended_at + RECOVERY_TIMEOUT_S < began < until
        ]
        self._report.requests = len(results)
        self._report.answered = sum(ok for _, ok in results)
        self._report.answered_share_after_recovery = sum(after) / max(1, len(after))
        if self._report.answered_share_after_recovery < ANSWERED_SHARE_TARGET:
            what = (
                f"answered {sum(after)} of {len(after)} requests that began"
                f" more than {RECOVERY_TIMEOUT_S:g} s after the last fault"
            )
            self._violations.append(Violation(time.monotonic(), "recover", what))


async def run_until_signal(soak: Soak) -> SoakReport | None:
    """Run a soak; on SIGTERM or SIGINT, end its processes and return None."""
    report = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_signal, tasks.cancel_scope)
        report = await soak.run()
        tasks.cancel_scope.cancel()
    return report


async def _cancel_on_signal(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return
