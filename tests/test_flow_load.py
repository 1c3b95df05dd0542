"""Flow dispatch under overload and failures, in virtual time with real dispatchers.

The tests guard against callers that miss their latency objective or fail because an
upstream does not answer, because all callers reconnect after an outage, or because
capacity is shared badly among balancers and upstreams.
"""

from __future__ import annotations

import random
from functools import partial

import pytest

from egrethook.callers import answer_times
from egrethook.callers.waiting import WaitingOpening, WaitingQueue
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.flow_records import FixedFlowLimit, upstream_record
from egrethook.emulator.flow_world import FlowWorld
from egrethook.upstreams.flow_limit import AimdFlowLimit
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.upstream import Upstream, upstream_load

DOMAINS = ("zone-a", "zone-b")


def make_world(seed=1, upstreams=6, **options):
    world = FlowWorld(seed, DOMAINS, **options)
    for number in range(upstreams):
        world.add_upstream(f"up-{number}", DOMAINS[number % 2])
    for vm in world.vms:
        world.publish(vm)
    return world


def offer_load(world, rate_per_s, start, end, **fields):
    """Start calls at random times with a given mean rate; `fields` as in `Call`."""
    time = start
    while time < end:
        time += world.rng.expovariate(rate_per_s)
        vm = world.rng.randrange(len(world.vms))
        world.after(time - world.now, partial(world.call, vm, **fields))


def test_ordinary_load_meets_the_latency_objective():
    world = make_world()
    offer_load(world, 200.0, 0.0, 5.0)
    world.run(8.0)
    assert world.answered_share() == 1.0
    assert world.on_time_share() > 0.99


def share_on_time_while_unresponsive(*names):
    world = make_world()
    for name in names:
        world.upstreams[name].unresponsive = True
    offer_load(world, 150.0, 0.0, 5.0)
    world.run(8.0)
    return world.on_time_share(), world.answered_share()


def test_unresponsive_upstream_does_not_make_callers_late():
    on_time, answered = share_on_time_while_unresponsive("up-0")
    assert answered == 1.0
    assert on_time > 0.97


def test_without_resends_unresponsive_upstreams_make_callers_late(monkeypatch):
    on_time, _ = share_on_time_while_unresponsive("up-0", "up-1")
    assert on_time > 0.97
    monkeypatch.setattr(answer_times, "RESEND_TIMEOUT_RANGE_S", (5.0, 5.0))
    on_time, _ = share_on_time_while_unresponsive("up-0", "up-1")
    assert on_time < 0.97


def test_idle_open_flows_leave_capacity_for_new_flows():
    """Forty flows stay open with pauses; an upstream is full at three busy flows."""
    world = make_world(upstreams=4)

    def pause_s():
        return world.rng.expovariate(1.0)

    for number in range(40):
        keep = partial(world.call, number % len(world.vms), think_time_s=pause_s)
        world.after(number * 0.05, keep)
    offer_load(world, 40.0, 2.0, 6.0)
    world.run(5.9)
    done = [call for call in world.calls if call.started_at < 4.5]
    timely = sum(one.answered_at is not None and one.latency_s <= 0.15 for one in done)
    assert timely / len(done) > 0.99


def reconnect_burst(world):
    """All callers reconnect at the moment when the fleet has recovered."""
    for number in range(400):
        world.call(number % 2)
    offer_load(world, 250.0, 0.3, 2.5)
    world.run(6.0)


def test_burst_after_an_outage_is_served_and_later_callers_are_on_time():
    world = make_world()
    reconnect_burst(world)
    later = [call for call in world.calls if call.started_at > 0.3]
    timely = sum(not call.failed and call.latency_s <= 0.15 for call in later)
    assert world.answered_share() > 0.99
    assert timely / len(later) > 0.9


def test_fifo_queue_makes_callers_after_a_burst_late(monkeypatch):
    def in_order(queue, now, service_s):
        while queue._on_time:
            yield queue._on_time[0]
            queue._on_time.pop(0)

    monkeypatch.setattr(WaitingQueue, "in_order", in_order)
    world = make_world()
    reconnect_burst(world)
    later = [call for call in world.calls if call.started_at > 0.3]
    timely = sum(not call.failed and call.latency_s <= 0.15 for call in later)
    assert timely / len(later) < 0.9


CALLER_SHARES = (0.17, 0.17, 0.11, 0.11, 0.11, 0.33)
"""Share of the callers at each balancer; the last is alone in its failure domain."""


def reconnect_after_outage(seed, **options):
    """All callers reconnect to six new balancers, a third of them to a single one."""
    world = FlowWorld(seed, ("a", "a", "b", "b", "b", "c"), **options)
    for number in range(7):
        world.add_upstream(f"up-{number}", "abc"[number % 3])
    for vm in world.vms:
        world.publish(vm)

    def arrive(shortest_s):
        vm = world.rng.choices(range(6), CALLER_SHARES)[0]
        world.call(vm, deadline_s=world.rng.uniform(shortest_s, 2.0))

    for _ in range(420):
        world.after(world.rng.uniform(0.0, 0.4), partial(arrive, 0.4))
    for number in range(800):
        world.after(number / 200, partial(arrive, 2.0))
    world.run(7.0)
    return world


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_adaptive_limit_gives_a_busy_balancer_unused_capacity(seed):
    fixed = reconnect_after_outage(seed, new_limit=partial(FixedFlowLimit, 3))
    adaptive = reconnect_after_outage(seed)
    assert adaptive.answered_share() > 0.96
    assert 1.0 - adaptive.answered_share() < 0.5 * (1.0 - fixed.answered_share())
    assert adaptive.worth() > fixed.worth()


def end_most_upstreams_of_a_domain(seed, **options):
    """20 of 30 upstreams end; their addresses reset callers, who reconnect at once."""
    world = FlowWorld(seed, ("zone-a",) * 16, **options)
    for number in range(50):
        world.add_upstream(f"up-{number}", "zone-a" if number < 30 else "zone-b")
    for vm in world.vms:
        world.publish(vm)

    def end_upstreams():
        for number in range(20):
            world.upstreams[f"up-{number}"].port_closed = True

    time = 0.0
    while time < 4.0:
        time += world.rng.expovariate(250.0)
        world.after(time, partial(world.call_domain, "zone-a"))
    world.after(1.0, end_upstreams)
    world.run(7.0)
    return world


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sharing_health_reduces_failures_when_upstreams_end(seed):
    alone = end_most_upstreams_of_a_domain(seed, shares_health=False)
    shared = end_most_upstreams_of_a_domain(seed)
    assert shared.answered_share() > 0.97
    assert 1.0 - shared.answered_share() < 0.5 * (1.0 - alone.answered_share())


def test_single_balancer_uses_all_slots_of_large_upstreams():
    world = FlowWorld(1, ("zone-a",))
    for number in range(2):
        world.add_upstream(f"up-{number}", "zone-a", slots=12)
    world.publish(world.vms[0])
    offer_load(world, 600.0, 0.0, 4.0)
    world.run(7.0)
    assert world.answered_share() == 1.0
    assert world.on_time_share() > 0.99


def limited_upstream(busy_flows=0):
    upstream = Upstream(upstream_record("a", "zone", slots=2), 0.0)
    upstream.busy_flows = busy_flows
    return upstream


def note_answers(limit, upstream, count, service_s):
    for _ in range(count):
        limit.note_answer(upstream, service_s, objective_s=0.2, now=1.0)


def test_flow_limit_follows_the_service_time_of_an_upstream():
    limit = AimdFlowLimit(3)
    upstream = limited_upstream(busy_flows=3)
    assert not limit.admits(upstream, 1.0, on_time=True)
    note_answers(limit, upstream, 4, 0.02)
    assert limit.admits(upstream, 1.0, on_time=True)
    note_answers(limit, upstream, 40, 0.19)
    upstream.busy_flows = 1
    assert not limit.admits(upstream, 1.0, on_time=True)
    upstream.busy_flows = 0
    assert limit.admits(upstream, 1.0, on_time=True)


def test_flow_limit_grows_only_when_it_is_reached():
    limit = AimdFlowLimit(3)
    upstream = limited_upstream(busy_flows=1)
    note_answers(limit, upstream, 100, 0.02)
    upstream.busy_flows = 3
    assert not limit.admits(upstream, 1.0, on_time=True)


def test_flow_limit_below_one_is_a_pause_after_an_answer():
    limit = AimdFlowLimit(1)
    upstream = limited_upstream()
    note_answers(limit, upstream, 12, 0.11)
    upstream.service_time_s = 0.05
    pause_s = 0.05 / upstream.flow_limit
    assert not limit.admits(upstream, 1.0 + 0.99 * pause_s, on_time=True)
    assert limit.admits(upstream, 1.0 + 1.01 * pause_s, on_time=True)


def test_late_opening_may_use_a_part_of_the_limit_only():
    limit = AimdFlowLimit(4)
    upstream = limited_upstream(busy_flows=1)
    assert limit.admits(upstream, 1.0, on_time=True)
    assert not limit.admits(upstream, 1.0, on_time=False)
    upstream.busy_flows = 0
    assert limit.admits(upstream, 1.0, on_time=False)


def test_upstreams_that_are_slow_at_any_load_get_no_pauses():
    limit = AimdFlowLimit(1)
    upstream = limited_upstream()
    note_answers(limit, upstream, 40, 0.5)
    upstream.service_time_s = 0.5
    assert limit.admits(upstream, 1.0, on_time=True)
    assert limit.admits(upstream, 1.0, on_time=False)


def recover_before_few_upstreams(seed, **options):
    """All VMs lose power; eleven return one by one before four upstreams.

    A failure domain has been evacuated, so that the returning callers need three
    quarters of the capacity that is left.
    """
    domains = ("a",) * 4 + ("b",) * 4 + ("c",) * 3
    world = FlowWorld(seed, domains, **options)
    for number in range(4):
        world.add_upstream(f"up-{number}", "bbcc"[number])
    for vm in world.vms:
        vm.up = False
        world.publish(vm)
        world.after(
            1.6 + world.rng.uniform(0.0, 0.35), partial(setattr, vm, "up", True)
        )
    time = 0.0
    while time < 5.0:
        time += world.rng.expovariate(205.0)
        world.after(time, partial(world.call_domain, world.rng.choice("abc")))
    world.run(8.0)
    return world


class UnpacedFlowLimit(AimdFlowLimit):
    """Never pauses, and treats late openings like the others."""

    def admits(self, upstream, now, on_time):
        return upstream.busy_flows < max(1, int(self._limit(upstream)))


def on_time_share(calls):
    return sum(not call.failed and call.latency_s <= 0.15 for call in calls) / len(
        calls
    )


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_late_openings_give_way_after_a_power_loss(seed):
    plain = recover_before_few_upstreams(seed, new_limit=lambda: UnpacedFlowLimit(3))
    world = recover_before_few_upstreams(seed)

    def shares(world):
        after = [call for call in world.calls if 1.95 <= call.started_at < 3.0]
        return on_time_share(after), sum(up.shed for up in world.upstreams.values())

    (share, shed), (plain_share, plain_shed) = shares(world), shares(plain)
    assert share > 1.3 * plain_share
    assert shed < 0.5 * plain_shed
    assert world.answered_share() >= plain.answered_share() - 0.01
    assert world.worth() > plain.worth()


def test_upstreams_slow_at_any_load_are_used_to_capacity():
    world = make_world()
    for upstream in world.upstreams.values():
        upstream.slow_factor = 6.8
    offer_load(world, 70.0, 0.0, 5.0)
    world.run(8.0)
    assert world.answered_share() > 0.97


def test_overload_is_refused_while_the_upstream_stays_busy():
    world = make_world(upstreams=1)
    offer_load(world, 600.0, 0.0, 3.0)
    world.run(6.0)
    resets = sum(vm.dispatcher.counts.reset.get("too many wait", 0) for vm in world.vms)
    assert resets > 0
    # Two slots, and a mean service time of 23.5 ms.
    capacity_per_s = 2 / 0.0235
    assert world.upstreams["up-0"].started > 0.85 * capacity_per_s * 3.0


def test_overloaded_balancers_rarely_make_upstreams_shed():
    world = make_world(upstreams=4)
    offer_load(world, 500.0, 0.0, 3.0)
    world.run(6.0)
    shed = sum(upstream.shed for upstream in world.upstreams.values())
    ran = sum(upstream.started for upstream in world.upstreams.values())
    assert shed < 0.02 * ran


@pytest.mark.parametrize("factor", [3.0, 6.0])
def test_slow_upstream_gets_fewer_requests(factor):
    world = make_world()
    world.upstreams["up-0"].slow_factor = factor
    offer_load(world, 200.0, 0.0, 6.0)
    world.run(9.0)
    slow = world.upstreams["up-0"].started
    others = [u.started for name, u in world.upstreams.items() if name != "up-0"]
    assert slow < 0.6 * sum(others) / len(others)
    assert world.answered_share() == 1.0


def test_late_openings_are_served_after_those_still_on_time():
    queue = WaitingQueue()
    queue.push(WaitingOpening(0, 0.0, 0.1, b"late"))
    queue.push(WaitingOpening(5, 0.5, 0.6, b"on time"))
    assert [one.flow for one in queue.in_order(0.5, 0.05)] == [b"on time", b"late"]


def test_expected_wait_follows_the_completion_rate():
    queue = WaitingQueue()
    for number in range(40):
        queue.push(WaitingOpening(1, 0.0, 1.0, str(number).encode()))
    assert queue.expected_wait_s(answers_per_s=120.0) == pytest.approx(1 / 3)
    assert queue.expected_wait_s(answers_per_s=0.0) == float("inf")


def test_short_queue_has_no_expected_wait():
    queue = WaitingQueue()
    queue.push(WaitingOpening(1, 0.0, 1.0, b"first"))
    assert queue.expected_wait_s(answers_per_s=0.0) == 0.0


def test_load_of_upstreams_with_different_service_times_adds_up():
    fast, slow = (Upstream(upstream_record(n, "zone"), 0.0) for n in "ab")
    fast.busy_flows, fast.service_time_s = 2, 0.05
    slow.busy_flows, slow.service_time_s = 2, 0.5
    load = upstream_load((fast, slow), 0.05)
    assert load.busy_flows == 4
    assert load.answers_per_s == pytest.approx(44.0)


def cut_a_domain_off_from_open_flows(seed):
    """Callers keep 80 flows open; two failure domains can't reach each other any more.

    Those of one domain have about half of their flows at upstreams of the other one.
    """
    world = FlowWorld(seed, DOMAINS)
    for number in range(4):
        world.add_upstream(f"up-{number}", DOMAINS[number % 2])
    for vm in world.vms:
        world.publish(vm)

    def pause_s():
        return world.rng.expovariate(0.7)

    for number in range(80):
        keep = partial(world.call, number % 2, think_time_s=pause_s)
        world.after(number * 0.02, keep)
    offer_load(world, 40.0, 0.0, 9.0, retransmits=True)
    world.after(3.0, partial(world.cut, *DOMAINS))
    world.run(9.0)
    return world


def failed_after(world, time):
    return sum(call.failed and call.started_at > time for call in world.calls)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_with_flows_behind_a_cut_are_served(seed, monkeypatch):
    world = cut_a_domain_off_from_open_flows(seed)
    assert world.resets > 0
    assert failed_after(world, 2.5) == 0
    monkeypatch.setattr(PassiveHealth, "reset_cause", lambda *_: None)
    assert failed_after(cut_a_domain_off_from_open_flows(seed), 2.5) >= 10


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_flow_of_an_upstream_that_lives_is_reset(seed):
    """All upstreams live, but are so slow that callers retransmit their requests."""
    world = make_world(seed, upstreams=4)
    for upstream in world.upstreams.values():
        upstream.slow_factor = 12.0

    def pause_s():
        return world.rng.expovariate(0.2)

    for number in range(40):
        keep = partial(world.call, number % 2, think_time_s=pause_s)
        world.after(number * 0.05, keep)
    offer_load(world, 15.0, 0.0, 6.0)
    world.run(9.0)
    late = [call for call in world.calls if call.answered_at and call.latency_s > 0.6]
    assert len(late) > 10, "callers have retransmitted"
    assert (
        sum(vm.dispatcher.counts.reset.get("upstream gone", 0) for vm in world.vms) == 0
    )


def remove_record(world, name):
    """The registry removes a record, and all balancers learn of it."""
    removal = PublishedItem(ItemKind.UPSTREAM, name, 2, None)
    for vm in world.vms:
        vm.view.update([removal], world.now)


def keep_flows_open_under_random_faults(seed):
    """Random load, loss, slow upstreams and pauses; "up-0" falls silent for good.

    Returns
    -------
    FlowWorld
        After 12 seconds; the upstream is silent from second 4, and has no record.
    """
    choices = random.Random(seed)
    world = FlowWorld(
        seed,
        DOMAINS * choices.randint(1, 3),
        loss_share=choices.choice((0, 0.01, 0.05)),
    )
    for number in range(choices.randint(3, 6)):
        upstream = world.add_upstream(f"up-{number}", DOMAINS[number % 2])
        upstream.slow_factor = choices.choice((1, 1, 1, 4, 12))
    for vm in world.vms:
        world.publish(vm)

    def pause_s():
        return world.rng.expovariate(0.6)

    for number in range(choices.randint(10, 60)):
        keep = partial(
            world.call, number % len(world.vms), think_time_s=pause_s, deadline_s=3.0
        )
        world.after(number * 0.03, keep)
    offer_load(world, choices.choice((2.0, 10.0, 30.0)), 0.0, 10.0)
    for _ in range(choices.randint(0, 3)):
        vm = choices.choice(world.vms)
        length_s = choices.uniform(0.2, 2.5)
        world.after(choices.uniform(0.5, 9.0), partial(world.pause, vm, length_s))
    world.after(4.0, partial(setattr, world.upstreams["up-0"], "unresponsive", True))
    world.after(4.0, partial(remove_record, world, "up-0"))
    world.run(12.0)
    return world


@pytest.mark.parametrize("seed", range(40))
def test_only_flows_of_upstreams_that_are_gone_are_reset(seed):
    world = keep_flows_open_under_random_faults(seed)
    assert set(world.upstreams_of_reset_flows) <= {"up-0"}


def test_random_faults_lead_to_resets_of_flows_of_an_upstream_that_is_gone():
    resets = [
        len(keep_flows_open_under_random_faults(seed).upstreams_of_reset_flows)
        for seed in range(10)
    ]
    assert sum(count > 0 for count in resets) >= 6


def move_flows_between_balancers(seed):
    """All upstreams are sound; some requests are long, and balancers start again.

    Packets queue at a balancer that starts, until the router hands them to another one
    for a while. What has queued is handled late: its flows have opened meanwhile.
    """
    choices = random.Random(seed)
    world = FlowWorld(seed, DOMAINS * 3)
    for number in range(6):
        world.add_upstream(f"up-{number}", DOMAINS[number % 2])
    for vm in world.vms:
        world.publish(vm)

    def service_time_s():
        if world.rng.random() < 0.05:
            return world.rng.uniform(0.6, 1.6)
        return world.rng.uniform(0.01, 0.05)

    def pause_s():
        return world.rng.expovariate(0.8)

    world.draw_service_time_s = service_time_s
    for number in range(90):
        keep = partial(world.call, number % 6, think_time_s=pause_s, deadline_s=3.0)
        world.after(number * 0.02, keep)
    offer_load(world, 40.0, 0.0, 10.0)

    def restart(vm):
        world.pause(world.vms[vm], 0.8)
        leave = partial(world.redirect, vm, (vm + 2) % 6, 1.0)
        world.after(0.3, leave)

    for number in range(12):
        vm = choices.randrange(6)
        world.after(choices.uniform(0.6, 0.9) * (number + 1), partial(restart, vm))
    world.run(12.0)
    return world


@pytest.mark.parametrize("seed", range(20))
def test_flows_that_move_between_balancers_are_not_reset(seed):
    assert move_flows_between_balancers(seed).upstreams_of_reset_flows == []
