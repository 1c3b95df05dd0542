"""Imbalance and latency of owner admission, compared with other policies."""

from __future__ import annotations

import random

import anyio
import numpy

from benchmarks.figures import Figure
from benchmarks.policies import (
    LeastOutstandingPolicy,
    RandomPolicy,
    ShortestQueuePolicy,
    StaleTwoChoicesPolicy,
    Workload,
    simulate,
)
from egrethook.emulator.layouts import LAYOUTS
from egrethook.emulator.load import Load, LoadGenerator, arrivals
from egrethook.emulator.runner import derive_seed
from egrethook.emulator.upstream import service_time_s
from egrethook.emulator.virtual import VirtualFleet, run_virtual

LAYOUT = LAYOUTS["cantabrico"]
SERVICE = LAYOUT.services[0]
MEAN_SERVICE_S = 0.04
WARM_UP_S = 6.0
DURATION_S = 20.0
SEEDS = (1, 2)
SLOT_UTILIZATIONS = (0.6, 0.8, 0.9)

P99_RATIO_TARGET = 1.15
"""Maximum ratio of owner admission's p99 to that of the ideal shortest queue."""


def request_rate(load: float) -> float:
    """Return the rate that uses a share of all slots, in requests per second."""
    return load * 2 * len(SERVICE.domains) / MEAN_SERVICE_S


async def measure_owners(
    load: float, seed: int, idempotent_share: float
) -> tuple[list[float], float]:
    """Return the latencies in seconds, and max/mean of the upstreams' busy time."""
    fleet = VirtualFleet(LAYOUT, seed, MEAN_SERVICE_S)
    async with fleet.running(), fleet.caller() as caller:
        warm_up = Load(SERVICE.name, request_rate(0.4), 1.0, 0, WARM_UP_S)
        await LoadGenerator(caller, warm_up, seed + 1000).run()
        await anyio.sleep(1.0)
        names = [
            n for n, s in fleet.fleet.service_by_endpoint.items() if s == SERVICE.name
        ]
        before = [fleet.upstreams[name].counts.busy_s for name in names]
        workload = Load(
            SERVICE.name, request_rate(load), idempotent_share, 0, DURATION_S, 10.0
        )
        result = await LoadGenerator(caller, workload, seed).run()
        busy = [
            fleet.upstreams[name].counts.busy_s - earlier
            for name, earlier in zip(names, before, strict=True)
        ]
        if result.refusals:
            print(f"  load {load} seed {seed}: {dict(result.refusals)}")
    return result.latencies_s, max(busy) * len(busy) / sum(busy)


def measure_baselines(load: float, seed: int) -> dict[str, tuple[list[float], float]]:
    """Return the same measurements for each baseline, with the same arrivals."""
    times = list(arrivals(seed, request_rate(load), DURATION_S))
    service_seed = derive_seed(seed, "service")
    workload = Workload(
        arrival_times_s=times,
        service_times_s=[
            service_time_s(service_seed, 10_000 + number, MEAN_SERVICE_S)
            for number in range(len(times))
        ],
        domains=[LAYOUT.domains.index(domain) for domain in SERVICE.domains],
        entries=6,
        one_way_s=LAYOUT.inter_domain_delay_s,
    )
    rng = random.Random(seed)
    policies = {
        "random": RandomPolicy(rng),
        "least outstanding per entry": LeastOutstandingPolicy(rng, 6, 7),
        "two choices, gossip each second": StaleTwoChoicesPolicy(rng),
        "ideal shortest queue": ShortestQueuePolicy(rng),
    }
    return {name: simulate(policy, workload, seed) for name, policy in policies.items()}


def run() -> list[Figure]:
    """Return the figures."""
    figures = []
    for load in SLOT_UTILIZATIONS:
        latencies: dict[str, list[float]] = {}
        imbalances: dict[str, list[float]] = {}
        for seed in SEEDS:
            measured = {
                "owner admission": run_virtual(
                    measure_owners, load, seed, 1.0, seed=seed
                ),
                **measure_baselines(load, seed),
            }
            for name, (times, imbalance) in measured.items():
                latencies.setdefault(name, []).extend(times)
                imbalances.setdefault(name, []).append(imbalance)
        ideal = numpy.quantile(latencies["ideal shortest queue"], 0.99)
        for name, times in latencies.items():
            p99 = numpy.quantile(times, 0.99)
            target = (
                ("<=", P99_RATIO_TARGET) if name == "owner admission" else ("", 0.0)
            )
            label = f"load {load}: {name}"
            figures.append(Figure(f"{label}: p99", float(p99 * 1000), "ms"))
            figures.append(
                Figure(f"{label}: p99 / ideal", float(p99 / ideal), "", *target)
            )
            figures.append(
                Figure(f"{label}: max/mean", float(numpy.mean(imbalances[name])))
            )
    return figures
