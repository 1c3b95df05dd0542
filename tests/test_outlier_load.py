"""Upstreams that fail requests before a fleet, in virtual time with real dispatchers.

The tests guard against callers that lose requests to an upstream that says it is healthy
but fails requests at once, in part or by letting them hang, and against leaving out
upstreams that work. 59 balancers in three failure domains stand before 60 upstreams.
"""

from __future__ import annotations

import pytest

from egrethook.emulator.flow_peers import AnswerFault
from egrethook.emulator.flow_records import NON_IDEMPOTENT_TARGET, TARGET
from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.features import Feature

DOMAINS = ("zone-a", "zone-b", "zone-c")
FAILING = [f"up-{number}" for number in range(0, 56, 8)]
FAULT_S = (3.0, 9.0)
RATE_PER_S = 590.0
SEEDS = (1, 2, 3)


def ordinary_request(rng):
    """Return a service time and an answer size; 3 in 100 requests cost 7 times."""
    time_s = rng.uniform(0.015, 0.06) * (7.0 if rng.random() < 0.03 else 1.0)
    return time_s, round(600 * min(5.0, rng.paretovariate(1.2)))


def play(seed, fault=None, on=True, end=16.0, request=ordinary_request, **call_fields):
    """Offer load while the failing upstreams have a fault, if any."""
    features = [Feature.OUTLIER_EJECTION] if on else []
    vm_domains = tuple(DOMAINS[number % 3] for number in range(59))
    world = FlowWorld(seed, vm_domains, inter_domain_delay_s=0.002, features=features)
    for number in range(60):
        world.add_upstream(f"up-{number}", DOMAINS[number % 3], slots=4)
    for vm in world.vms:
        world.publish(vm)
    if fault is not None:
        set_fault(world, FAULT_S[0], fault)
        set_fault(world, FAULT_S[1], None)
    offer_load(world, end - 2.0, request, call_fields)
    world.run(end)
    return world


def set_fault(world, at_s, fault):
    def apply():
        for name in FAILING:
            world.upstreams[name].fault = fault

    world.after(at_s, apply)


def offer_load(world, end, request, call_fields):
    rng = world.rng

    def arrive():
        service_s, answer_bytes = request(rng)
        world.call(
            0,
            service_time_s=service_s,
            answer_bytes=answer_bytes,
            target=rng.choice((TARGET, NON_IDEMPOTENT_TARGET)),
            domain=rng.choice(DOMAINS),
            **call_fields,
        )

    time = 0.0
    while time < end:
        time += rng.expovariate(RATE_PER_S)
        world.after(time, arrive)


def lost(world):
    """Return the number of requests that callers lost."""
    return sum(call.failed for call in world.calls)


def ejections(world):
    return sum(vm.outliers.counts.ejections for vm in world.vms)
