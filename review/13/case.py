"""Endpoints added shortly before the store came back from a copy, which then drain."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from deployment import configuration, play, route  # noqa: E402

STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
ZONES = ("sala-bilbao", "sala-santander", "sala-oviedo")
SERVICES = ("cartera", "extractos")


async def case(deployment, trouble):
    """Return whether draining endpoints still get new flows after the bound."""
    record = deployment.record
    saldo = route("saldo", deployment.host(1), 8443, "cartera")
    await deployment.start()
    for last in range(1, 8):
        await deployment.add_endpoint(
            f"i-7f3a91{last:02x}", "cartera", ZONES[last % 3], last
        )
    lost = [configuration(7, [saldo], SERVICES)]
    deployment.configure(lost[0])
    await deployment.await_ready()
    await asyncio.sleep(3)

    # The last four seconds before the drill: three endpoints are added.
    copy = deployment.store.copy()
    added = []
    for last in range(8, 11):
        endpoint = await deployment.add_endpoint(
            f"i-7f3a91{last:02x}", "cartera", ZONES[last % 3], last, slow_s=2.0
        )
        added.append(endpoint)
    await asyncio.sleep(4)
    if trouble:
        await deployment.lose_and_restore([], copy)
    await asyncio.sleep(STABLE_WINDOW_S + 4)

    # The three are taken away again: they report it and serve on for a while.
    for endpoint in added:
        endpoint.state = "draining"
        revision = deployment.register(endpoint)
        record("draining acknowledged", endpoint=endpoint.ident, revision=revision)
    await asyncio.sleep(DRAIN_S + 1)
    begins_at = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() < begins_at + 5:
        await asyncio.gather(
            *(
                client.request(node.packets, (deployment.host(1), 8443), "any")
                for node in deployment.nodes
                for client in deployment.clients
            )
        )
        await asyncio.sleep(0.5)
    broken = 0
    for endpoint in added:
        late = [opening for opening in endpoint.openings if opening[0] >= begins_at]
        for at, _, machine in late:
            broken += 1
            record(
                "BROKEN: a request reached a draining endpoint",
                endpoint=endpoint.ident,
                after_s=round(at - begins_at + DRAIN_S + 1, 2),
                machine=machine,
            )
    record("breaks of the rule", count=broken)
    return broken > 0


sys.exit(play(case, __file__))
