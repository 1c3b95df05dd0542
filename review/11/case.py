"""A configuration that is written after the store came back from a copy."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from deployment import configuration, play, route  # noqa: E402

STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
SERVICES = ("cartera", "extractos")
ZONES = ("sala-bilbao", "sala-santander", "sala-oviedo")


async def case(deployment, trouble):
    """Return whether flows of a dropped route are run after the bound."""
    record, store = deployment.record, deployment.store
    kept = route("saldo", deployment.host(1), 8443, "cartera")
    dropped = route("old-counter", deployment.host(2), 8443, "cartera")
    added = route("new-counter", deployment.host(3), 8443, "cartera")

    def version(number, routes, timeout_ms):
        changed = [{**one, "timeoutMs": timeout_ms} for one in routes]
        return configuration(number, changed, SERVICES)

    await deployment.start()
    for last in range(1, 8):
        await deployment.add_endpoint(
            f"i-7f3a91{last:02x}", "cartera", ZONES[last % 3], last
        )
    deployment.configure(version(7, [kept, dropped], 2000))
    await deployment.await_ready()
    await asyncio.sleep(3)

    # The last four seconds before the drill: three endpoints are added, and the
    # operator changes a time-out twice.
    copy = store.copy()
    lost = version(9, [kept, dropped], 2100), version(12, [kept, dropped], 2200)
    deployment.configure(lost[0])
    for last in range(8, 11):
        await deployment.add_endpoint(
            f"i-7f3a91{last:02x}", "cartera", ZONES[last % 3], last, slow_s=2.0
        )
    await asyncio.sleep(3)
    deployment.configure(lost[1])
    await asyncio.sleep(1)
    if trouble:
        await deployment.lose_and_restore(lost, copy)
    await asyncio.sleep(STABLE_WINDOW_S + 4)

    calls_before, began_at = store.calls, time.monotonic()
    acknowledged_at = deployment.configure(version(15, [kept, added], 2200))
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    calls_per_s = (store.calls - calls_before) / (time.monotonic() - began_at)
    record("calls of the store a second", calls=round(calls_per_s))

    broken = refused = 0
    for _ in range(3):
        for node in deployment.nodes:
            client = deployment.clients[0]
            on_added, on_dropped, on_kept = await asyncio.gather(
                client.request(node.packets, (deployment.host(3), 8443), "added route"),
                client.request(
                    node.packets, (deployment.host(2), 8443), "dropped route"
                ),
                client.request(node.packets, (deployment.host(1), 8443), "kept route"),
            )
            if not on_kept.is_served:
                record("the kept route was not served", node=node.name)
            refused += on_added.verdict == "refused"
            if on_dropped.is_served:
                broken += 1
                late_s = round(on_dropped.sent_at - acknowledged_at, 1)
                record("BROKEN: run with a dropped route", after_s=late_s)
        await asyncio.sleep(1)
    record("openings of the added route that were reset", count=refused)
    record("breaks of the rule", count=broken)
    return broken > 0


sys.exit(play(case, __file__))
