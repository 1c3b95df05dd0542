"""Service while a failure domain is taken out of service and returns."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from benchmarks.figures import Figure
from egrethook.emulator.layouts import LAYOUTS, Layout
from egrethook.emulator.load import Load, LoadGenerator, LoadResult
from egrethook.emulator.virtual import VirtualFleet, run_virtual

MEAN_SERVICE_S = 0.04
SLOT_UTILIZATION = 0.6
"""Load as a share of all slots; an upstream has two."""

OUT_AT_S = 8.0
BACK_AT_S = 16.0
DURATION_S = 24.0
FLOW_COUNT = 60
TRAFFIC_OBSERVATION_S = 3.0
SEED = 11

ANSWERED_SHARE_TARGET = 0.99
"""Minimum share of requests answered in any second."""

LAST_TRAFFIC_TARGET_S = 3.0
"""Maximum time during which a domain taken out still gets packets, in seconds."""


@dataclass
class DomainRun:
    """Measurements while a domain was taken out and returned.

    Parameters
    ----------
    result : LoadResult
        The result of the load.
    last_traffic_s : float
        Time from taking the domain out until its last packet or request, in seconds.
    cold_overloads : int
        Number of times that a cold upstream was overloaded after the return.
    first_use_s : float
        Time from the return until an upstream ran a request, in seconds.
    """

    result: LoadResult
    last_traffic_s: float = 0.0
    cold_overloads: int = 0
    first_use_s: float = 0.0


async def leave_and_return(layout: Layout, domain: str, seed: int) -> DomainRun:
    """Take a domain out of service under load and return it with cold upstreams."""
    service = layout.services[0]
    fleet = VirtualFleet(layout, seed, MEAN_SERVICE_S)
    names = [
        name
        for name, endpoint in fleet.fleet.endpoints.items()
        if endpoint["failure_domain"] == domain
    ]
    rate = SLOT_UTILIZATION * 2 * len(service.domains) / MEAN_SERVICE_S
    load = Load(service.name, rate, 0.5, FLOW_COUNT, DURATION_S)
    async with fleet.running(), fleet.caller() as caller:
        generator = LoadGenerator(caller, load, seed, reopen=True)
        run = DomainRun(generator.result)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(OUT_AT_S)
            fleet.set_domain_in_service(domain, False)
            run.last_traffic_s = await _observe_last_traffic(fleet, names)
            await anyio.sleep(BACK_AT_S - OUT_AT_S - TRAFFIC_OBSERVATION_S)
            for name in names:
                fleet.upstreams[name].change({"cold": True})
                fleet.upstreams[name].counts.overloads = 0
            fleet.set_domain_in_service(domain, True)
            began = anyio.current_time()
            await fleet.wait_until(
                lambda: any(_running_requests(fleet, name) for name in names)
            )
            run.first_use_s = anyio.current_time() - began
        run.cold_overloads = sum(fleet.upstreams[n].counts.overloads for n in names)
    return run


def _running_requests(fleet: VirtualFleet, name: str) -> int:
    return fleet.upstreams[name].state()["running"]


async def _observe_last_traffic(fleet: VirtualFleet, names: list[str]) -> float:
    """Return the time until the last packet or request reaches upstreams, in s."""
    began = last = anyio.current_time()
    seen = -1
    while anyio.current_time() - began < TRAFFIC_OBSERVATION_S:
        counts = [fleet.upstreams[name].counts for name in names]
        work = sum(c.flow_packets + c.executed.total() for c in counts)
        if work != seen:
            seen, last = work, anyio.current_time()
        await anyio.sleep(0.02)
    return last - began


def run() -> list[Figure]:
    """Return the figures."""
    figures = []
    cases = [
        ("cantabrico", "sala-santander", True),
        ("cascadia", "pnw-east-a", True),
        ("cantabrico", "sala-bilbao", False),
    ]
    for layout, domain, has_target in cases:
        measured = run_virtual(
            leave_and_return, LAYOUTS[layout], domain, SEED, seed=SEED
        )
        result = measured.result
        target = (">=", ANSWERED_SHARE_TARGET) if has_target else ("", 0.0)
        figures += [
            Figure(
                f"{domain}: worst second", result.lowest_answered_share(), "", *target
            ),
            Figure(f"{domain}: longest gap", result.longest_gap_s(), "s"),
            Figure(
                f"{domain}: last packet after out",
                measured.last_traffic_s,
                "s",
                "<=",
                LAST_TRAFFIC_TARGET_S,
            ),
            Figure(
                f"{domain}: cold upstreams overloaded",
                measured.cold_overloads,
                "",
                "==",
                0.0,
            ),
            Figure(f"{domain}: first use after return", measured.first_use_s, "s"),
            Figure(f"{domain}: p99", result.quantile_ms(0.99), "ms"),
            Figure(f"{domain}: unanswered", sum(result.refusals.values())),
        ]
        if result.refusals or result.flow_errors:
            print(f"  {domain}: {dict(result.refusals)} {dict(result.flow_errors)}")
    return figures
