"""A demonstration: a fleet under load while VMs and upstreams are replaced."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from egrethook.addresses import Address
from egrethook.callers.client import Caller
from egrethook.emulator.layouts import LAYOUTS, EmulatedFleet
from egrethook.emulator.load import Load, LoadGenerator
from egrethook.emulator.processes import FleetProcesses
from egrethook.emulator.report import RunReport
from egrethook.emulator.runner import derive_seed
from egrethook.types import UpstreamState, VmState

SLOT_UTILIZATION = 0.5
"""Mean fraction of the upstreams' slots that the load occupies."""

MEAN_SERVICE_S = 0.04
"""Mean service time of the emulated upstreams, in seconds."""

FIRST_CHANGE_DELAY_S = 1.0
"""Delay before the first change to the fleet, in seconds."""


@dataclass(frozen=True)
class DemoOptions:
    """Options of the demonstration.

    Parameters
    ----------
    layout : str
        Name of the deployment layout.
    duration_s : float
        Time during which requests are started, in seconds.
    seed : int
        Seed of the load, the emulators and the balancers.
    """

    layout: str = "cantabrico"
    duration_s: float = 8.0
    seed: int = 1


class Demo:
    """Runs a fleet of processes under load and reports the results.

    Parameters
    ----------
    options : DemoOptions
        Options of the demonstration.
    print_line : callable
        Prints a line of progress output.
    """

    def __init__(self, options: DemoOptions, print_line: Callable[[str], None]) -> None:
        self._options = options
        self._print_line = print_line
        self._fleet = EmulatedFleet(LAYOUTS[options.layout])

    async def run(self) -> RunReport:
        """Run the demonstration and stop all of its processes."""
        options = self._options
        processes = FleetProcesses(
            self._fleet, options.seed, mean_service_s=MEAN_SERVICE_S
        )
        async with processes:
            self._print_line(f"starting the {options.layout} deployment")
            await processes.start_all()
            self._print_line(f"{len(self._fleet.vms)} balancers are ready")
            async with Caller(Address.parse(self._fleet.fabric)) as caller:
                generators = self._generators(caller)
                async with anyio.create_task_group() as tasks:
                    for generator in generators.values():
                        tasks.start_soon(generator.run)
                    await self._replace_and_drain(processes)
            upstreams = await self._upstream_states(processes)
        results = {name: generator.result for name, generator in generators.items()}
        return RunReport(results, upstreams)

    def _generators(self, caller: Caller) -> dict[str, LoadGenerator]:
        generators = {}
        for service in self._fleet.layout.services:
            # An endpoint has 2 slots by default.
            slots = 2 * len(service.domains)
            load = Load(
                service=service.name,
                requests_per_s=SLOT_UTILIZATION * slots / MEAN_SERVICE_S,
                duration_s=self._options.duration_s,
            )
            seed = derive_seed(self._options.seed, service.name)
            generators[service.name] = LoadGenerator(caller, load, seed)
        return generators

    async def _replace_and_drain(self, processes: FleetProcesses) -> None:
        """Replace a balancer and drain an upstream."""
        await anyio.sleep(FIRST_CHANGE_DELAY_S)
        fleet = self._fleet
        domain = fleet.layout.domains[0]
        old, new = fleet.layout.balancers[domain][0], f"{domain}-new"
        self._print_line(f"replacing balancer {old} with {new}")
        fleet.add_vm(new, domain)
        await processes.start_balancer(new)
        fleet.vms[old]["state"] = VmState.LEAVING.value
        await processes.publish([fleet.vms_value(domain)])
        await processes.wait_ready(new)
        await processes.leave(old)
        await processes.wait_exited(old)
        del fleet.vms[old]
        await processes.publish([fleet.vms_value(domain)])

        drained = next(iter(fleet.endpoints))
        self._print_line(f"draining upstream {drained}")
        fleet.endpoints[drained]["state"] = UpstreamState.DRAINING.value
        await processes.set_upstream(drained, drain=True)
        service = fleet.service_by_endpoint[drained]
        revision = await processes.publish([fleet.service_value(service)])
        await processes.wait_revision(revision)
        self._print_line(f"revision {revision} is applied by all balancers")

    async def _upstream_states(self, processes: FleetProcesses) -> list[dict]:
        states = []
        for name, service in self._fleet.service_by_endpoint.items():
            state = await processes.upstream_state(name)
            states.append({**state, "service": service})
        return states
