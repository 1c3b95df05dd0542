"""Fair queueing under load, in virtual time with real dispatchers.

Each replay is run with and without the part; the tests guard against callers that pay
for a burst which is not theirs, and against a fleet that overloads its upstreams.
"""

from __future__ import annotations

from collections import Counter
from functools import partial

import pytest

from egrethook.callers.fair_queueing import FairQueueing
from egrethook.emulator.flow_records import CALLER_HOST, add_route
from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.features import Feature

DOMAINS = ("zone-a", "zone-b")
FAIR = (Feature.FAIR_QUEUEING,)
MEAN_SERVICE_TIME_S = 0.0235


def new_world(seed, features, vms=4, upstreams=8, routes=1, **changes):
    """Return a world whose balancers know `routes` routes of one service."""
    world = FlowWorld(
        seed, tuple(DOMAINS[n % 2] for n in range(vms)), features=features
    )
    for number in range(upstreams):
        world.add_upstream(f"up-{number}", DOMAINS[number % 2])
    for number in range(1, routes):
        world.table = add_route(world.table, f"route-{number}", **changes)
    for vm in world.vms:
        world.publish(vm)
    return world


def offer(world, rate_per_s, start, end, route=0, **options):
    """Start calls of one route at random times, through random balancers."""
    target = world.table.routes[route].address
    time = start
    while time < end:
        time += world.rng.expovariate(rate_per_s)
        vm = world.rng.randrange(len(world.vms))
        world.after(time, partial(world.call, vm, target=target, **options))


def capacity_per_s(world):
    slots = sum(upstream.record.slots for upstream in world.upstreams.values())
    return slots / MEAN_SERVICE_TIME_S


def timely_share(calls, objective_s=0.15):
    return sum(
        not call.failed and call.latency_s <= objective_s for call in calls
    ) / len(calls)


def failed_share(calls):
    return sum(call.failed for call in calls) / len(calls)


def burst_of_one_route(seed, features):
    """One of three routes comes at 2.5 times its load for three seconds."""
    world = new_world(seed, features, routes=3)
    full = capacity_per_s(world)
    for route in range(3):
        offer(world, 0.25 * full, 0.0, 6.0, route)
    offer(world, 1.5 * 0.25 * full, 1.5, 4.5, 0)
    world.run(9.0)
    return world


def calls_of(world, route, start, end):
    target = world.table.routes[route].address
    return [
        c for c in world.calls if c.target == target and start <= c.started_at < end
    ]


def ordinary_load(seed, features, load=0.7):
    """Three routes share 70% of the capacity."""
    world = new_world(seed, features, routes=3)
    for route in range(3):
        offer(world, load / 3 * capacity_per_s(world), 0.0, 5.0, route)
    world.run(8.0)
    return world


def one_caller_with_many(seed, features):
    """One caller sends 100 openings at once; each of 50 others then sends one."""
    world = new_world(seed, features, vms=2, upstreams=3)
    for number in range(100):
        world.after(0.5, partial(world.call, number % 2, host=CALLER_HOST + 1000))
    for number in range(50):
        time = 0.51 + number * 0.004
        world.after(time, partial(world.call, number % 2, host=CALLER_HOST + number))
    world.run(4.0)
    return world


def power_loss(seed, features, vms=30, upstreams=30, load=0.6, **options):
    """All balancers lose power for two seconds, and return with their callers."""
    world = FlowWorld(
        seed, tuple("abc"[n % 3] for n in range(vms)), features=features, **options
    )
    for number in range(upstreams):
        world.add_upstream(f"up-{number}", "abc"[number % 3])
    for vm in world.vms:
        world.publish(vm)
        vm.up = False
        delay_s = 1.5 + world.rng.uniform(0.0, 0.3)
        world.after(delay_s, partial(setattr, vm, "up", True))
    rate_per_s = load * capacity_per_s(world)
    time = 0.0
    while time < 4.0:
        time += world.rng.expovariate(rate_per_s)
        world.after(time, partial(world.call_domain, world.rng.choice("abc")))
    world.run(7.0)
    return world


def lose_half_in_a_burst(seed, features):
    """Half of the upstreams fall silent while load is at 90% of the capacity."""
    world = new_world(seed, features, vms=6, upstreams=12, routes=2)
    full = capacity_per_s(world)
    for route in range(2):
        offer(world, 0.25 * full, 0.0, 5.0, route)
    offer(world, 0.4 * full, 1.0, 3.0, 0)

    def lose():
        for number in range(0, 12, 2):
            world.upstreams[f"up-{number}"].unresponsive = True

    world.after(1.5, lose)
    world.run(8.0)
    return world


SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_of_one_route_leaves_the_others_on_time(seed):
    def others(world):
        return [*calls_of(world, 1, 1.5, 4.5), *calls_of(world, 2, 1.5, 4.5)]

    def started(world):
        return sum(upstream.started for upstream in world.upstreams.values())

    plain, fair = burst_of_one_route(seed, ()), burst_of_one_route(seed, FAIR)
    assert timely_share(others(fair)) > 0.85 > 0.75 > timely_share(others(plain))
    assert failed_share(others(fair)) < 0.005 < failed_share(others(plain))
    assert started(fair) > 0.98 * started(plain), "the burst gets what is left"
    assert fair.worth() > plain.worth()


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_after_a_power_loss_are_served_and_upstreams_rarely_shed(seed):
    def shed(world):
        return sum(upstream.shed for upstream in world.upstreams.values())

    plain, fair = power_loss(seed, ()), power_loss(seed, FAIR, slow_start=True)
    assert failed_share(fair.calls) < 0.6 * failed_share(plain.calls)
    assert shed(fair) < 0.1 * shed(plain)
    assert fair.worth() > plain.worth() - 0.005
    back = [[c for c in w.calls if 1.5 <= c.started_at < 2.0] for w in (fair, plain)]
    assert timely_share(back[0]) > 1.2 * timely_share(back[1])


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_of_half_of_the_upstreams_spares_the_route_without_a_burst(seed):
    plain, fair = lose_half_in_a_burst(seed, ()), lose_half_in_a_burst(seed, FAIR)
    steady = [calls_of(world, 1, 1.5, 3.0) for world in (fair, plain)]
    assert timely_share(steady[0]) > 1.5 * timely_share(steady[1])
    assert failed_share(steady[0]) < 0.5 * failed_share(steady[1])
    assert fair.worth() > plain.worth() - 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_caller_with_many_openings_does_not_make_the_others_late(seed):
    def others(world):
        return [call for call in world.calls if call.host != CALLER_HOST + 1000]

    plain, fair = one_caller_with_many(seed, ()), one_caller_with_many(seed, FAIR)
    assert timely_share(others(plain)) < 0.7
    assert timely_share(others(fair)) > 0.95
    assert fair.answered_share() == 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_ordinary_load_is_served_as_without_fair_queueing(seed):
    plain, fair = ordinary_load(seed, ()), ordinary_load(seed, FAIR)
    assert fair.answered_share() == plain.answered_share() == 1.0
    assert fair.on_time_share() > plain.on_time_share() - 0.003
    assert fair.resets == 0


def sustained_overload(seed, features):
    """All routes come at three times what the upstreams can serve."""
    world = new_world(seed, features, vms=2, upstreams=4, routes=2)
    for route in range(2):
        offer(world, 1.5 * capacity_per_s(world), 0.0, 4.0, route)
    world.run(7.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_sustained_overload_is_refused_while_upstreams_stay_busy(seed):
    world = sustained_overload(seed, FAIR)
    resets = Counter()
    for vm in world.vms:
        resets.update(vm.dispatcher.counts.reset)
    assert resets["too many wait"] > 0
    started = sum(upstream.started for upstream in world.upstreams.values())
    assert started > 0.85 * capacity_per_s(world) * 4.0


def burst_with_retries(seed, features):
    """Twice the capacity for two seconds, then 70%; refused callers retry at once."""
    world = new_world(seed, features, vms=1, upstreams=3)
    offer(world, 2.0 * capacity_per_s(world), 0.0, 2.0)
    offer(world, 0.7 * capacity_per_s(world), 2.0, 5.0)
    world.run(8.0)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_retries_after_a_burst_do_not_make_first_attempts_late(seed, monkeypatch):
    def on_time_after_burst(world):
        return timely_share([call for call in world.calls if call.started_at >= 2.5])

    with_budget = on_time_after_burst(burst_with_retries(seed, FAIR))
    monkeypatch.setattr(FairQueueing, "_exceeds_retry_budget", lambda *_: False)
    without = on_time_after_burst(burst_with_retries(seed, FAIR))
    assert with_budget > without
