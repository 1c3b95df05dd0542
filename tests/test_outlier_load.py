"""Upstreams that fail requests before a fleet, in virtual time with real dispatchers.

The tests guard against callers that lose requests to an upstream that says it is
healthy but fails requests at once, in part or by letting them hang, and against
leaving out upstreams that work. 59 balancers in three failure domains stand before 60
upstreams.
"""

from __future__ import annotations

from functools import cache, partial

import pytest

from egrethook.emulator import flow_world
from egrethook.emulator.flow_peers import AnswerFault
from egrethook.emulator.flow_records import NON_IDEMPOTENT_TARGET, TARGET
from egrethook.emulator.flow_world import FlowWorld
from egrethook.forwarding.features import Feature
from egrethook.platform.packet_header import ACK, FIN
from egrethook.upstreams.outliers import OutlierDetector

DOMAINS = ("zone-a", "zone-b", "zone-c")
FAILING = [f"up-{number}" for number in range(0, 56, 8)]
FAULT_S = (2.5, 7.5)
RATE_PER_S = 590.0
SEEDS = (1, 2, 3)


def ordinary_request(rng):
    """Return a service time and an answer size; 3 in 100 requests cost 7 times."""
    time_s = rng.uniform(0.015, 0.06) * (7.0 if rng.random() < 0.03 else 1.0)
    return time_s, round(600 * min(5.0, rng.paretovariate(1.2)))


def play(
    seed,
    fault=None,
    on=True,
    end=11.5,
    request=ordinary_request,
    slots=4,
    **call_fields,
):
    """Offer load until `end` while the failing upstreams have a fault, if any."""
    features = [Feature.OUTLIER_EJECTION] if on else []
    vm_domains = tuple(DOMAINS[number % 3] for number in range(59))
    world = FlowWorld(seed, vm_domains, inter_domain_delay_s=0.002, features=features)
    for number in range(60):
        world.add_upstream(f"up-{number}", DOMAINS[number % 3], slots=slots)
    for vm in world.vms:
        world.publish(vm)
    if fault is not None:
        set_fault(world, FAULT_S[0], fault)
        set_fault(world, FAULT_S[1], None)
    offer_load(world, end, request, call_fields)
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
    """Return the number of requests that callers have lost so far."""
    return sum(call.failed for call in world.calls)


@cache
def lost_without(seed, fault, **call_fields):
    """Return the number of requests that callers lose with the part switched off."""
    return lost(play(seed, fault, on=False, **call_fields))


def left_out(world):
    return sum(vm.outliers.left_out for vm in world.vms)


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_lose_few_requests_to_upstreams_that_fail_at_once(seed):
    """Of idempotent requests none is lost, of others two or three an upstream."""
    world = play(seed, AnswerFault())
    assert lost(world) <= 3 * len(FAILING)
    assert not any(call.failed and call.target == TARGET for call in world.calls)
    assert lost_without(seed, AnswerFault()) > 10 * lost(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_upstreams_that_work_again_are_back_within_a_few_seconds(seed):
    world = play(seed, AnswerFault(), end=FAULT_S[1])
    senders = len(world.vms) // len(DOMAINS)
    assert left_out(world) >= 0.9 * len(FAILING) * senders
    offer_load(world, 4.0, ordinary_request, {})
    world.run(FAULT_S[1] + 4.0)
    assert left_out(world) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_lose_fewer_requests_to_upstreams_that_fail_a_third(seed):
    fault = AnswerFault(share=1 / 3)
    world = play(seed, fault)
    assert lost(world) < 0.5 * lost_without(seed, fault)
    assert left_out(world) == 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("share", "part"), [(1.0, 0.2), (0.33, 0.5)])
def test_upstreams_that_let_requests_hang_get_few_more(seed, share, part):
    """Callers repeat their requests; a hanging one shows after half a second."""
    fault = AnswerFault(share, hangs=True)
    world = play(seed, fault, retransmits=True)
    assert lost(world) < part * lost_without(seed, fault, retransmits=True)
    assert left_out(world) <= 0.01 * len(FAILING) * len(world.vms)


def short_answers(share):
    """Return the requests of a route with a share of short answers that come soon."""

    def request(rng):
        if rng.random() < share:
            return rng.uniform(0.001, 0.004), rng.randint(100, 200)
        return ordinary_request(rng)

    return request


@pytest.mark.parametrize("share", [0.0, 0.02, 0.3, 1.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_upstreams_that_answer_like_their_peers_are_left_alone(share, seed):
    """Answers that are short and soon on purpose: never, rarely, in a mix, always.

    Balancers learn the mix in their first seconds; nobody loses a request meanwhile.
    """
    request = short_answers(share)
    world = play(seed, None, end=6.0, request=request)
    sampled = []
    while world.now < 10.0:
        offer_load(world, 0.1, request, {})
        world.run(world.now + 0.1)
        sampled.append(left_out(world) / (len(world.vms) * len(world.upstreams)))
    assert sum(sampled) / len(sampled) < 0.001
    assert max(sampled) < 0.01
    assert lost(world) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_when_all_upstreams_answer_so_at_most_half_are_left_out(seed, monkeypatch):
    """It is the service's way: after some seconds, none is left out any more."""
    monkeypatch.setitem(globals(), "FAILING", [f"up-{n}" for n in range(60)])
    monkeypatch.setitem(globals(), "FAULT_S", (2.5, 20.0))
    world = play(seed, AnswerFault(), end=4.5)
    assert 0 < left_out(world) <= 30 * len(world.vms)
    offer_load(world, 10.0, ordinary_request, {})
    world.run(14.5)
    assert left_out(world) <= 0.01 * len(world.upstreams) * len(world.vms)


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_reports_cost_requests_but_not_the_decision(seed, monkeypatch):
    """Nine in ten reports are lost; then each balancer learns nearly alone."""
    share = FlowWorld._share_outlier

    def lossy(world, *report):
        if world.rng.random() < 0.1:
            share(world, *report)

    monkeypatch.setattr(FlowWorld, "_share_outlier", lossy)
    world = play(seed, AnswerFault())
    assert lost(world) < 0.6 * lost_without(seed, AnswerFault())


def record_names(monkeypatch, method, names):
    """Add the upstream of each call of a detector's method to a set."""
    original = getattr(OutlierDetector, method)

    def recording(detector, upstream, *others):
        names.add(upstream.name)
        original(detector, upstream, *others)

    monkeypatch.setattr(OutlierDetector, method, recording)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_faulty_view_of_one_balancer_decides_nothing_at_others(seed, monkeypatch):
    """It reports all upstreams of the fleet as outliers, again and again.

    Others leave out an upstream only if someone else has a suspicious answer from it.
    """
    suspected, ejected = set(), set()
    record_names(monkeypatch, "_note_suspicious", suspected)
    record_names(monkeypatch, "_eject", ejected)
    world = play(seed, None, end=1.0)
    sender = world.vms[0]

    def report_all():
        for upstream in sender.view.upstreams.all():
            world._share_outlier(sender, upstream, True)

    for number in range(40):
        world.after(number * 0.1, report_all)
    offer_load(world, 4.0, ordinary_request, {})
    world.run(5.0)
    assert ejected <= suspected
    assert len(ejected) <= 3
    assert lost(world) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarted_balancer_loses_few_requests(seed):
    """It knows nothing, while seven upstreams fail and its peers leave them out."""
    world = play(seed, AnswerFault(), end=5.0)
    offer_load(world, 2.5, ordinary_request, {})
    before = lost(world)
    world.vms[0].up = False
    world.vms[0] = world._new_vm(DOMAINS[0])
    world._tick(world.vms[0])
    world.publish(world.vms[0])
    world.run(7.5)
    assert lost(world) - before <= len(FAILING)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_paused_balancer_holds_no_upstream_for_hanging(seed):
    """Requests and their repetitions were queued at it, not at the upstreams."""
    world = play(seed, None, end=2.0)
    offer_load(world, 4.0, ordinary_request, {"retransmits": True})
    for vm in world.vms[:12]:
        world.after(1.0, partial(world.pause, vm, 1.1))
    world.run(7.0)
    assert sum(vm.outliers.counts.suspicious for vm in world.vms) < 5
    assert left_out(world) == 0


def test_full_upstreams_that_refuse_with_short_answers_stay_in_use(monkeypatch):
    """A burst fills all upstreams; their refusals look like requests that fail."""

    def refuse(world, request):
        call = request.call
        if call.port == request.port and not call.finished:
            call.received += 150
            world._send(call, FIN | ACK)
            world._retry(call)

    def play_burst(seed, on):
        world = play(seed, None, on=on, end=1.0, slots=2)
        offer_load(world, 3.0, ordinary_request, {})
        for _ in range(3):
            offer_load(world, 2.0, ordinary_request, {})
        most = 0
        while world.now < 6.0:
            world.run(world.now + 0.1)
            most = max(most, left_out(world) if on else 0)
        return lost(world), most / (len(world.vms) * len(world.upstreams))

    monkeypatch.setattr(FlowWorld, "_on_shed", refuse)
    monkeypatch.setattr(flow_world, "UPSTREAM_QUEUE_LIMIT", 2)
    with_part = [play_burst(seed, on=True) for seed in SEEDS]
    without = [play_burst(seed, on=False) for seed in SEEDS]
    assert sum(losses for losses, _ in without) > 100
    assert sum(losses for losses, _ in with_part) <= 1.1 * sum(
        losses for losses, _ in without
    )
    assert max(share for _, share in with_part) < 0.1
