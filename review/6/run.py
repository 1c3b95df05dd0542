"""An endpoint is cut from the store, and starts again under its id behind the cut."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import Endpoint, World, configuration, run_case  # noqa: E402

SERVICE = "seatd"
ZONES = {"dub-a": 2, "dub-b": 2, "dub-c": 2}
ENDPOINTS = {"dub-a": 4, "dub-b": 3, "dub-c": 3}
CUT_COUNT = 2
CUT_S = 5.0
CRASH_AFTER_S = 0.1
ENDPOINT_DOWN_S = 0.1
OBJECTIVE_MS = 427
TIMEOUT_MS = 3201
CONTRACTS = "base,drain,config,cost,recover,health,flows,places,platform"
STABLE_WINDOW_S = 5.0
WORK_MS = (20, 700)
PAUSE_S = (8.0, 10.0)
KEPT_FLOWS_PER_S = 6.0
WARMUP_S = 9.0
WATCHED_S = 16.0


async def open_kept_flows(world: World, zone: str) -> None:
    """Open flows that are kept for two requests: a short one and, later, a long one."""
    while True:
        await asyncio.sleep(random.expovariate(KEPT_FLOWS_PER_S))
        flow = world.kept_flow(SERVICE, zone, PAUSE_S, WORK_MS, TIMEOUT_MS / 1000)
        world.tasks.append(asyncio.create_task(flow))


async def cut_and_start_again(world: World, endpoint: Endpoint) -> None:
    """Cut an endpoint from the store; behind the cut, it crashes and starts again."""
    world.record.write(f"endpoint: {endpoint.id} is cut from the store")
    endpoint.reaches_store = False
    await asyncio.sleep(CRASH_AFTER_S)
    await endpoint.restart(ENDPOINT_DOWN_S)
    await asyncio.sleep(CUT_S - CRASH_AFTER_S - ENDPOINT_DOWN_S)
    endpoint.reaches_store = True
    world.record.write(f"endpoint: {endpoint.id} reaches the store again")


async def case(world: World, trouble: bool) -> int:
    """The one disruption is the cut; behind it, the endpoint starts again."""
    world.contracts = CONTRACTS
    world.stable_window_s = STABLE_WINDOW_S
    config = configuration(
        world,
        [SERVICE],
        kind="safe",
        objective_ms=OBJECTIVE_MS,
        timeout_ms=TIMEOUT_MS,
    )
    await world.start(ZONES, {SERVICE: ENDPOINTS}, config)
    for zone in ZONES:
        world.tasks.append(asyncio.create_task(open_kept_flows(world, zone)))
    await asyncio.sleep(WARMUP_S)
    await world.endpoints[0].next_heartbeat()
    calm_from = 0.0
    if trouble:
        cuts = (cut_and_start_again(world, one) for one in world.endpoints[:CUT_COUNT])
        await asyncio.gather(*cuts)
        calm_from = world.record.now() + STABLE_WINDOW_S
    await asyncio.sleep(WATCHED_S)
    broken = world.sound_flows_reset(calm_from)
    print(
        f"answers on kept flows {world.kept_answers}, sound flows reset {len(broken)}"
    )
    for text in broken:
        world.record.write(f"broken: {text}")
        print(f"  {text}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
