"""A zone that is evacuated after the store came back from a copy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from deployment import configuration, play, route  # noqa: E402

STABLE_WINDOW_S = 4.0
EVACUATE_S = 5.0
ZONES = ("sala-bilbao", "sala-santander", "sala-oviedo")
EVACUATED = "sala-bilbao"
SERVICES = ("cartera", "extractos")


async def case(deployment, trouble):
    """Return whether the evacuated zone still gets new requests."""
    record, store = deployment.record, deployment.store
    saldo = route("saldo", deployment.host(1), 8443, "cartera")
    await deployment.start()
    for last in range(1, 8):
        await deployment.add_endpoint(
            f"i-7f3a91{last:02x}", "cartera", ZONES[last % 3], last
        )
    deployment.configure(configuration(7, [saldo], SERVICES))
    await deployment.await_ready()
    await asyncio.sleep(3)

    # The last four seconds before the drill: three endpoints are added, and the
    # operator changes a time-out.
    copy = store.copy()
    lost = [configuration(9, [{**saldo, "timeoutMs": 2100}], SERVICES)]
    for last in range(8, 11):
        await deployment.add_endpoint(
            f"i-7f3a91{last:02x}", "cartera", ZONES[last % 3], last, slow_s=2.0
        )
    await asyncio.sleep(3)
    deployment.configure(lost[0])
    await asyncio.sleep(1)
    if trouble:
        await deployment.lose_and_restore(lost, copy)
    await asyncio.sleep(STABLE_WINDOW_S + 4)

    revision = store.put(f"op/evacuate/{EVACUATED}", {})
    record("evacuation acknowledged", zone=EVACUATED, revision=revision)
    await asyncio.sleep(EVACUATE_S + 1)
    begins_at = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() < begins_at + 8:
        await asyncio.gather(
            *(
                client.request(node.packets, (deployment.host(1), 8443), "any")
                for node in deployment.nodes
                for client in deployment.clients
            )
        )
        await asyncio.sleep(0.5)
    broken = 0
    for endpoint in deployment.endpoints.values():
        if endpoint.zone != EVACUATED:
            continue
        late = [opening for opening in endpoint.openings if opening[0] >= begins_at]
        for at, _, machine in late:
            broken += 1
            record(
                "BROKEN: a request reached the evacuated zone",
                endpoint=endpoint.ident,
                after_s=round(at - begins_at + EVACUATE_S + 1, 2),
                machine=machine,
            )
    record("breaks of the rule", count=broken)
    return broken > 0


sys.exit(play(case, __file__))
