"""Cost-aware placement under uneven load, in virtual time with real dispatchers.

The tests guard against callers that are late because requests are placed as if all
upstreams were equally fast and all requests cost the same.
"""

from __future__ import annotations

import math
from functools import partial

import pytest

from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.features import Feature
from egrethook.upstreams.learned_speeds import LearnedSpeeds

OBJECTIVE_S = 0.4
DOMAINS = ("zone-a", "zone-b", "zone-c")
UNEVEN_FACTORS = (0.6, 1.0, 1.6)
SLOTS = 2
MEDIAN_COST_S = 0.05
COST_SPREAD = 0.5
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
MEAN_COST_S = (
    MEDIAN_COST_S * math.exp(COST_SPREAD**2 / 2) * (1 + LONG_SHARE * (LONG_FACTOR - 1))
)
SWING_PERIOD_S = 4.0
SETTLED_AFTER_S = 3.0
END_S = 9.0
DEADLINE_S = 4.0
COST_AWARE = (Feature.COST_AWARE_PLACEMENT,)


def make_world(seed, vms, upstreams, factors=UNEVEN_FACTORS, features=()):
    domains = tuple(DOMAINS[number % 3] for number in range(vms))
    world = FlowWorld(seed, domains, features=features, objective_s=OBJECTIVE_S)
    for number in range(upstreams):
        domain = DOMAINS[number % 3]
        upstream = world.add_upstream(f"up-{number}", domain, slots=SLOTS)
        upstream.slow_factor = factors[number // 3 % len(factors)]
    for vm in world.vms:
        world.publish(vm)
    return world


def heavy_tailed_cost(rng):
    cost_s = MEDIAN_COST_S * rng.lognormvariate(0.0, COST_SPREAD)
    return cost_s * (LONG_FACTOR if rng.random() < LONG_SHARE else 1.0)


def even_cost(rng):
    return MEAN_COST_S * rng.uniform(0.8, 1.2)


def capacity_per_s(world):
    """Return the requests of mean cost that all upstreams can serve in a second."""
    return sum(SLOTS / one.slow_factor for one in world.upstreams.values()) / (
        MEAN_COST_S
    )


def offer_swinging_load(world, peak_load):
    """Start calls at a rate that swings by half; at its peak it is `peak_load`."""
    peak_per_s = peak_load * capacity_per_s(world)
    time = 0.0
    while time < END_S:
        time += world.rng.expovariate(peak_per_s)
        swing = math.sin(2 * math.pi * time / SWING_PERIOD_S)
        if world.rng.random() < (1.0 + 0.5 * swing) / 1.5:
            vm = world.rng.randrange(len(world.vms))
            world.after(
                time - world.now, partial(world.call, vm, deadline_s=DEADLINE_S)
            )


class Served:
    """What callers got, of the calls that started after the load had settled."""

    def __init__(self, *worlds, start=SETTLED_AFTER_S):
        calls = [call for one in worlds for call in one.calls]
        calls = [call for call in calls if start <= call.started_at < END_S]
        times = sorted(one.latency_s for one in calls if one.answered_at is not None)
        self.count = len(calls)
        self.answered = len(times) / len(calls)
        self.late = 1.0 - sum(time <= OBJECTIVE_S for time in times) / len(calls)
        self.p50_s = times[len(times) // 2]
        self.p99_s = times[int(len(times) * 0.99)]
        self.sheds = sum(up.shed for one in worlds for up in one.upstreams.values())


def replay(seed, vms, upstreams, peak_load, costs=heavy_tailed_cost, **options):
    world = make_world(seed, vms, upstreams, **options)
    world.draw_service_time_s = partial(costs, world.rng)
    offer_swinging_load(world, peak_load)
    world.run(END_S + DEADLINE_S)
    return world


SEEDS = (1, 2, 3)


def served(vms, upstreams, features, run=replay, **options):
    """Return what callers got in replays with several seeds."""
    worlds = [run(seed, vms, upstreams, features=features, **options) for seed in SEEDS]
    return Served(*worlds)


@pytest.mark.parametrize("seed", SEEDS)
def test_many_balancers_before_uneven_upstreams_with_costs_of_a_heavy_tail(seed):
    before = Served(replay(seed, 59, 60, 0.7))
    after = Served(replay(seed, 59, 60, 0.7, features=COST_AWARE))
    assert after.answered == 1.0
    assert after.late < 0.5 * before.late
    assert after.p50_s < before.p50_s
    assert after.p99_s < 0.8 * before.p99_s
    assert after.sheds < 0.2 * before.sheds


def test_knowing_the_speeds_makes_the_difference(monkeypatch):
    """Without time factors, spreading the work evenly overloads slow upstreams."""
    known = Served(replay(1, 59, 60, 0.7, features=COST_AWARE))
    monkeypatch.setattr(LearnedSpeeds, "_update_factor", lambda *_: None)
    monkeypatch.setattr(LearnedSpeeds, "_log_change", lambda *_: None)
    unknown = Served(replay(1, 59, 60, 0.7, features=COST_AWARE))
    assert known.late < 0.5 * unknown.late


def test_few_balancers_before_few_uneven_upstreams_are_not_served_worse():
    before = served(6, 7, (), peak_load=0.7)
    after = served(6, 7, COST_AWARE, peak_load=0.7)
    assert after.answered == 1.0
    assert after.late <= before.late
    assert after.p50_s < before.p50_s


@pytest.mark.parametrize(("vms", "upstreams"), [(59, 60), (6, 7), (3, 30)])
def test_even_upstreams_with_even_costs_are_not_served_worse(vms, upstreams):
    even = partial(served, peak_load=0.7, factors=(1.0,), costs=even_cost)
    before = even(vms, upstreams, ())
    after = even(vms, upstreams, COST_AWARE)
    assert after.answered >= before.answered
    assert after.late <= before.late
    assert after.p50_s <= 1.02 * before.p50_s
    assert after.p99_s <= 1.05 * before.p99_s
    assert after.sheds <= before.sheds


def replay_with_kept_flows(seed, vms, upstreams, features):
    """Half of the load comes on flows that stay open, with pauses between requests."""
    world = make_world(seed, vms, upstreams, features=features)
    world.draw_service_time_s = partial(heavy_tailed_cost, world.rng)

    def pause_s():
        return world.rng.expovariate(2.0)

    for _ in range(int(0.2 * capacity_per_s(world))):
        vm = world.rng.randrange(vms)
        keep = partial(world.call, vm, deadline_s=DEADLINE_S, think_time_s=pause_s)
        world.after(world.rng.uniform(0.0, 2.0), keep)
    offer_swinging_load(world, 0.35)
    world.run(END_S + DEADLINE_S)
    return world


def test_flows_that_stay_open_are_counted_with_their_requests_to_come():
    before = served(59, 60, (), run=replay_with_kept_flows)
    after = served(59, 60, COST_AWARE, run=replay_with_kept_flows)
    assert after.late < 0.8 * before.late
    assert after.p99_s < before.p99_s
    assert after.sheds < 0.3 * before.sheds
