"""Another writer adds an entry with fields missing and a port that is out of range."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import TROUBLE, World, ended_three_times, fault_broken  # noqa: E402

FOREIGN_KEY = "servers/0badc0ffee42"


def incomplete_entry(world) -> bytes:
    """Return an entry without version, warmupLeftMs, sequence and born."""
    entry = {
        "service": "holdings",
        "address": f"127.0.0.1:{world.endpoint_port}0",
        "zone": world.ZONES[0],
        "concurrency": 2,
        "state": "ready",
    }
    return json.dumps(entry).encode()


async def main() -> int:
    world = World(HERE)
    note = world.record.write
    try:
        await world.start()
        await asyncio.sleep(6)
        for client in world.clients:
            world.spawn(world.traffic(client, 15))
        await asyncio.sleep(6)
        before = world.served(6, 11)
        if before[0] < 0.8 * before[1] or before[1] < 50:
            note(f"not served before the disruption: {before}")
            return 2
        began = world.record.now()
        if TROUBLE:
            world.store.put(FOREIGN_KEY, incomplete_entry(world))
        await asyncio.sleep(20)
        during = world.served(began + 2, began + 17)
        if TROUBLE:
            world.store.delete(FOREIGN_KEY)
        await asyncio.sleep(10)
        after = world.served(began + 25, began + 27)
        broken = fault_broken(world)
        note(f"answered of sent: before {before}, during {during}, after {after}")
        for node in world.nodes:
            note(f"{node.name} ended by itself {len(node.ended_by_itself)} times")
        note(f"machines with three ends: {len(ended_three_times(world))} of 6")
        note("rule broken" if broken else "rule held")
        return 1 if broken else 0
    finally:
        await world.stop()


try:
    code = asyncio.run(main())
except Exception as error:
    print(f"the case could not run: {error!r}", file=sys.stderr)
    code = 2
sys.exit(code)
