"""Imbalance of open flows over upstreams, compared with random placement."""

from __future__ import annotations

import random
from collections import Counter

import anyio
import numpy

from benchmarks.figures import Figure
from egrethook.callers.client import Caller
from egrethook.emulator.layouts import LAYOUTS
from egrethook.emulator.virtual import VirtualFleet, run_virtual

LAYOUT = LAYOUTS["cantabrico"]
SERVICE = LAYOUT.services[0]
FLOW_COUNT = 140
OPENING_INTERVAL_S = 0.02
SEEDS = (1, 2, 3, 4)


async def measure_flow_balance(seed: int) -> tuple[float, float]:
    """Return max/mean of open flows, and the mean time to open one, in seconds."""
    fleet = VirtualFleet(LAYOUT, seed)
    times: list[float] = []

    async def hold(caller: Caller) -> None:
        began = anyio.current_time()
        async with caller.open_flow(SERVICE.name) as flow:
            times.append(anyio.current_time() - began)
            await flow.exchange(b"first")
            await anyio.sleep_forever()

    async with (
        fleet.running(),
        fleet.caller() as caller,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(FLOW_COUNT):
            tasks.start_soon(hold, caller)
            await anyio.sleep(OPENING_INTERVAL_S)
        await anyio.sleep(1.0)
        names = [
            n for n, s in fleet.fleet.service_by_endpoint.items() if s == SERVICE.name
        ]
        counts = [fleet.upstreams[name].state()["flows"] for name in names]
        tasks.cancel_scope.cancel()
    return max(counts) / numpy.mean(counts), float(numpy.mean(times))


def place_at_random(seed: int) -> float:
    """Return max/mean of open flows if each goes to a random upstream."""
    rng = random.Random(seed)
    upstreams = len(SERVICE.domains)
    counts = Counter(rng.randrange(upstreams) for _ in range(FLOW_COUNT))
    return max(counts.values()) * upstreams / FLOW_COUNT


def run() -> list[Figure]:
    """Return the figures."""
    measured = [run_virtual(measure_flow_balance, seed, seed=seed) for seed in SEEDS]
    at_random = [place_at_random(seed) for seed in range(200)]
    return [
        Figure("owners: max/mean", float(numpy.mean([m for m, _ in measured]))),
        Figure("owners: worst max/mean", max(m for m, _ in measured)),
        Figure("random: max/mean, 200 draws", float(numpy.mean(at_random))),
        Figure(
            "owners: time to open",
            float(numpy.mean([t for _, t in measured]) * 1e3),
            "ms",
        ),
    ]
