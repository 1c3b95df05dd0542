"""Check of the invariants with real processes on loopback."""

from __future__ import annotations

import anyio

from egrethook.addresses import Address
from egrethook.callers.client import Caller
from egrethook.emulator.layouts import LAYOUTS, EmulatedFleet
from egrethook.emulator.load import Load, LoadGenerator
from egrethook.emulator.processes import FleetProcesses
from egrethook.emulator.report import RunReport
from egrethook.types import VmState


async def run_process_failures() -> RunReport:
    """Run a load on real processes while failures are injected."""
    fleet = EmulatedFleet(LAYOUTS["cantabrico"])
    processes = FleetProcesses(fleet, seed=5)
    load = Load("cartera", 60.0, 0.3, flows=12, duration_s=60.0)
    async with processes:
        await processes.start_all()
        async with Caller(Address.parse(fleet.fabric)) as caller:
            generator = LoadGenerator(caller, load, 5, reopen=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generator.run)
                await _inject_failures(processes)
                generator.finish()
        upstreams = []
        for name, service in fleet.service_by_endpoint.items():
            state = await processes.upstream_state(name)
            upstreams.append({**state, "service": service})
    return RunReport({"cartera": generator.result}, upstreams)


async def _inject_failures(processes: FleetProcesses) -> None:
    """Kill one balancer, pause one and let one leave.

    The domain of the leaving balancer is out of service meanwhile.
    """
    fleet = processes.fleet
    await anyio.sleep(1.0)
    await processes.kill("bilbao-1")
    processes.pause("santander-1")
    # The platform lists the killed balancer for another second, so that the fabric
    # still sends packets to it.
    await anyio.sleep(1.0)
    del fleet.vms["bilbao-1"]
    await processes.publish([fleet.vms_value("sala-bilbao")])
    await anyio.sleep(2.0)
    processes.resume("santander-1")
    domains = {name: {"region": "cornisa"} for name in fleet.layout.domains}
    oviedo_out = {**domains, "sala-oviedo": {"region": "cornisa", "in_service": False}}
    revision = await processes.publish([], {"failure_domains": oviedo_out})
    await processes.wait_revision(revision)
    fleet.vms["oviedo-2"]["state"] = VmState.LEAVING.value
    await processes.publish([fleet.vms_value("sala-oviedo")])
    await processes.leave("oviedo-2")
    await processes.wait_exited("oviedo-2")
    revision = await processes.publish([], {"failure_domains": domains})
    await processes.wait_revision(revision)
    await anyio.sleep(1.5)
