"""The processes that read the store are killed while an endpoint is cut from it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import EXPIRY_S, World, configuration, run_case  # noqa: E402

SERVICE = "cartera"
ZONES = {"bilbao": 2, "santander": 2, "oviedo": 2}
ENDPOINTS = {"bilbao": 2, "santander": 1, "oviedo": 2}
REQUESTS_PER_S = 40.0
CUT_S = 5.0
CUT_AFTER_HEARTBEAT_S = 1.15
CHANGE_BEFORE_S = 0.15
KILL_BEFORE_S = 0.08
DARK_S = 0.2
WATCHED_S = 8.0


async def cut_from_store(world: World) -> None:
    """Cut one endpoint from the store, not from the machines."""
    endpoint = world.endpoints[0]
    world.record.write(f"endpoint: {endpoint.id} is cut from the store")
    endpoint.reaches_store = False
    await asyncio.sleep(CUT_S)
    endpoint.reaches_store = True
    world.record.write(f"endpoint: {endpoint.id} reaches the store")


async def case(world: World, trouble: bool) -> int:
    """Without trouble, the endpoint is cut as well, but no process ends."""
    await world.start(ZONES, {SERVICE: ENDPOINTS}, configuration(world, [SERVICE]))
    for zone in ZONES:
        load = world.load(SERVICE, zone, REQUESTS_PER_S)
        world.tasks.append(asyncio.create_task(load))
    await asyncio.sleep(6.0)
    await world.endpoints[0].next_heartbeat()
    removed_in_s = EXPIRY_S - CUT_AFTER_HEARTBEAT_S
    await asyncio.sleep(CUT_AFTER_HEARTBEAT_S)
    world.tasks.append(asyncio.create_task(cut_from_store(world)))
    await asyncio.sleep(removed_in_s - CHANGE_BEFORE_S)
    world.store.put("op/config", configuration(world, [SERVICE], version=9))
    await asyncio.sleep(CHANGE_BEFORE_S - KILL_BEFORE_S)
    if trouble:
        readers = [vm for vm in world.vms if vm.name in world.store.readers()]
        for vm in readers[:3]:
            vm.kill()
        await asyncio.sleep(DARK_S)
        for vm in readers[:3]:
            vm.start()
    await asyncio.sleep(WATCHED_S)
    late = world.late_at_gone_endpoints()
    answered = sum(call.outcome.startswith("200") for call in world.done)
    print(
        f"requests {len(world.done)}, answered {answered},"
        f" late at a gone endpoint {len(late)}"
    )
    for taken, lateness_s in late:
        text = (
            f"{world.calls[taken.flow].request_id} reached {taken.endpoint.id} through"
            f" {taken.via}, {lateness_s:.2f} s after its entry was removed"
        )
        world.record.write(f"broken: {text}")
        print(f"  {text}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
