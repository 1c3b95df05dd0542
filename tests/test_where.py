"""The explanation of where an opening would go, and the command that asks for it.

The tests guard against an explanation that changes what it explains, that names another
upstream than the one chosen, and against questions that a process can't answer.
"""

from __future__ import annotations

import enum
import json
from collections import OrderedDict, deque

import msgspec
import pytest
from cleo.testers.command_tester import CommandTester
from process_harness import (
    ROUTES,
    UPSTREAM,
    closing_registry,
    forwarding_process,
    free_port,
    http_status,
    wait_for_status,
)

from egrethook.discovery.records import ColdLimit
from egrethook.emulator.flow_records import SERVICE, upstream_record
from egrethook.emulator.flow_world import FlowWorld
from egrethook.exceptions import (
    ExplanationError,
    ForwarderUnreachableError,
    SettingsError,
    UnknownRouteError,
)
from egrethook.forwarding.features import Feature
from egrethook.forwarding.where import answer_where
from egrethook.operators import where_command
from egrethook.operators.where_answers import WhereAnswer, WhereRefusal
from egrethook.operators.where_command import WhereCommand, ask_where, describe
from egrethook.upstreams.cold_limit import FleetColdLimit
from egrethook.upstreams.ejections import Ejection
from egrethook.upstreams.explanation import Hold, Reason
from egrethook.upstreams.selection import (
    LOCAL_SAMPLE_SIZE,
    REMOTE_SAMPLE_SIZE,
    Opening,
)
from egrethook.upstreams.upstream import Upstream

FEATURES = [feature.value for feature in Feature]
FEATURE_SETS = ((), (Feature.COST_AWARE_PLACEMENT,), tuple(Feature))
CACHES = {"_candidates", "_candidates_version", "_tail_counts", "_tail_sums_s"}
"""Lists that are derived on demand from records and from counted samples."""


def make_world(features=(), upstreams=6, slow=None, **options):
    world = FlowWorld(1, ("zone-a", "zone-b"), features=features, **options)
    for number in range(upstreams):
        upstream = world.add_upstream(f"up-{number}", "zone-a", slots=2)
        if number == slow:
            upstream.slow_factor = 4.0
    for vm in world.vms:
        world.publish(vm)
    return world


def run_load(world, until, per_s=120.0):
    time = world.now
    while time < until:
        time += world.rng.expovariate(per_s)
        world.after(time - world.now, lambda: world.call_domain("zone-a"))
    world.run(until)


def opening_at(world, vm):
    return Opening(vm.view.table.routes[0], (), (), True, world.now)


def explain(world, vm):
    candidates = vm.view.candidates(SERVICE)
    return vm.data_path.new_explainer().explain(candidates, opening_at(world, vm))


def where(world, query="route=route"):
    vm = world.vms[0]
    return answer_where(
        query, vm.view, vm.dispatcher, vm.data_path.new_explainer(), world.now
    )


def snapshot(thing, seen=None):
    """Return the state of everything that can be reached, as nested plain values."""
    seen = {} if seen is None else seen
    if thing is None or isinstance(thing, (bool, int, float, str, bytes, enum.Enum)):
        return thing
    if id(thing) in seen:
        return f"seen {seen[id(thing)][0]}"
    # Holding on to the thing keeps its identity from being used again.
    seen[id(thing)] = len(seen), thing
    if isinstance(thing, (dict, OrderedDict)):
        return [(snapshot(k, seen), snapshot(v, seen)) for k, v in thing.items()]
    if isinstance(thing, (list, tuple, deque)):
        return [snapshot(one, seen) for one in thing]
    if isinstance(thing, (set, frozenset)):
        return sorted(map(repr, thing))
    names = set(getattr(thing, "__dict__", ()))
    for cls in type(thing).__mro__:
        slots = getattr(cls, "__slots__", ())
        names.update([slots] if isinstance(slots, str) else slots)
    names.update(getattr(thing, "__struct_fields__", ()))
    if not type(thing).__module__.startswith("egrethook") or "World" in str(
        type(thing)
    ):
        return type(thing).__name__
    return type(thing).__name__, [
        (name, snapshot(getattr(thing, name), seen))
        for name in sorted(names - CACHES)
        if hasattr(thing, name)
    ]


@pytest.mark.parametrize("features", FEATURE_SETS)
@pytest.mark.parametrize("upstreams", [6, LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE + 20])
@pytest.mark.parametrize("slow_start", [False, True])
def test_an_explanation_changes_nothing(features, upstreams, slow_start):
    world = make_world(features, upstreams, slow=0, slow_start=slow_start)
    for until in (0.0, 0.3, 2.0):
        run_load(world, until)
        vm = world.vms[0]
        before = snapshot(vm.data_path)
        explain(world, vm)
        where(world, "route=route&caller=100.64.0.7")
        assert snapshot(vm.data_path) == before


def test_the_comparison_of_states_shows_a_real_choice():
    world = make_world(tuple(Feature))
    vm = world.vms[0]
    before = snapshot(vm.data_path)
    vm.data_path.selector.choose(vm.view.candidates(SERVICE), opening_at(world, vm))
    assert snapshot(vm.data_path) != before


def test_a_due_trial_of_an_outlier_is_named_but_not_used():
    world = make_world((Feature.OUTLIER_EJECTION,))
    vm = world.vms[0]
    outlier = vm.view.upstreams.get("up-4")
    vm.outliers._ejections[outlier.token] = ejection = Ejection(outlier, 2)
    ejection.trial_due_at = 1.0
    world.run(0.5)
    last = explain(world, vm).candidates[-1]
    assert last.upstream is outlier and last.reason is Reason.LEFT_OUT
    world.run(1.5)
    for _ in range(2):
        first = explain(world, vm).candidates[0]
        assert first.upstream is outlier and first.reason is Reason.TRIAL
    assert vm.outliers.counts.trials == 0
    candidates = vm.view.candidates(SERVICE)
    assert vm.data_path.selector.choose(candidates, opening_at(world, vm)) is outlier


def test_a_due_check_is_named_but_not_started():
    world = make_world()
    vm = world.vms[0]
    world.run(1.0)
    stalled = vm.view.upstreams.get("up-5")
    stalled.stalled_since = 0.0
    stalled.stall_seen_at = 0.9
    first = explain(world, vm).candidates[0]
    assert first.upstream is stalled and first.reason is Reason.CHECK
    assert stalled.checked_at == float("-inf")


@pytest.mark.parametrize("may_send", [False, True])
def test_the_rate_of_a_cold_upstream_is_read_but_not_used(may_send):
    limits = {SERVICE: ColdLimit(10.0, 1.0)}
    cold = FleetColdLimit(lambda: limits, lambda upstream: may_send)
    upstream = Upstream(upstream_record("up", "zone-a", cold_left_s=10.0), 0.0)
    for step in range(100):
        now = step * 0.1
        before = snapshot(cold)
        expected = cold.would_admit(upstream, now)
        assert snapshot(cold) == before
        assert cold.admits(upstream, now) is expected
        if expected:
            cold.note_sent(upstream, now)


@pytest.mark.parametrize("features", FEATURE_SETS)
@pytest.mark.parametrize("upstreams", [6, LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE + 20])
def test_the_named_upstream_is_the_one_chosen_next(features, upstreams):
    world = make_world(features, upstreams, slow=1)
    vm = world.vms[0]
    for step in range(40):
        run_load(world, 0.05 * (step + 1))
        explanation = explain(world, vm)
        chosen = vm.data_path.selector.choose(
            vm.view.candidates(SERVICE), opening_at(world, vm)
        )
        named = None if explanation.hold else explanation.candidates[0].upstream
        assert named is chosen


def test_a_slow_upstream_is_told_apart_with_what_it_costs():
    world = make_world((Feature.COST_AWARE_PLACEMENT,), slow=2)
    run_load(world, 4.0)
    answer = msgspec.json.decode(where(world).body, type=WhereAnswer)
    (service,) = answer.services
    slow = next(one for one in service.candidates if one.upstream == "up-2")
    best = service.candidates[0]
    assert best.is_chosen and service.outcome == best.upstream != "up-2"
    assert slow.time_factor > 1.5 > best.time_factor
    assert slow.finish_s > best.finish_s
    assert slow.verdict.startswith("later by ")
    assert any("up-2" in line and "later by" in line for line in describe(answer))


def test_without_room_the_answer_says_who_waits():
    world = make_world()
    vm = world.vms[0]
    for upstream in vm.view.candidates(SERVICE):
        upstream.busy_flows = 100
    assert explain(world, vm).hold is Hold.NO_ROOM
    for _ in range(3):
        world.call(0)
    world.run(0.02)
    answer = msgspec.json.decode(where(world).body, type=WhereAnswer)
    assert answer.services[0].waiting == 3
    assert answer.services[0].outcome == "waits: no upstream has room"
    assert {one.verdict for one in answer.services[0].candidates} == {"no room"}


def test_ejected_upstreams_are_shown_last():
    world = make_world()
    ejected = world.vms[0].view.upstreams.get("up-3")
    ejected.ejected_until = 10.0
    last = explain(world, world.vms[0]).candidates[-1]
    assert last.upstream is ejected and last.is_ejected
    assert last.reason.value.startswith("ejected")


def test_the_candidates_of_a_large_service_are_bounded():
    world = make_world(tuple(Feature), upstreams=1_000)
    vm = world.vms[0]
    for number in range(100):
        outlier = vm.view.upstreams.get(f"up-{number}")
        vm.outliers._ejections[outlier.token] = Ejection(outlier, 2, trial_due_at=9.0)
    explanation = explain(world, vm)
    assert explanation.total == 1_000
    assert len(explanation.candidates) <= LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("route=route", 200),
        ("route=198.18.0.1:8443", 200),
        ("route=198.18.0.1%3A8443&caller=100.64.0.7", 200),
        ("route=198.18.0.1:1", 404),
        ("route=other", 404),
        ("", 404),
        ("route=route&caller=nobody", 400),
    ],
)
def test_malformed_and_unknown_questions_are_refused(query, status):
    answer = where(make_world(), query)
    assert answer.status == status
    if status != 200:
        assert msgspec.json.decode(answer.body, type=WhereRefusal).error


def run_command(monkeypatch, answer, arguments):
    monkeypatch.setattr(where_command, "ask_where", lambda *_: answer.body)
    tester = CommandTester(WhereCommand())
    assert tester.execute(arguments) == 0
    return tester.io.fetch_output()


def test_the_command_prints_text_and_json(monkeypatch):
    answer = where(make_world())
    text = run_command(monkeypatch, answer, "route 127.0.0.1:1")
    assert "6 of 6 upstreams shown" in text and "chosen" in text
    parsed = json.loads(run_command(monkeypatch, answer, "route 127.0.0.1:1 --json"))
    assert parsed["services"][0]["candidates"][0]["is_chosen"]


def test_bad_addresses_have_coded_errors():
    with pytest.raises(SettingsError):
        ask_where("nowhere", "route")
    with pytest.raises(ForwarderUnreachableError):
        ask_where(f"127.0.0.1:{free_port()}", "route")


@pytest.mark.end_to_end
def test_a_real_process_answers_on_its_metrics_address(tmp_path):
    with forwarding_process(tmp_path, first_line=b"process starts") as process:
        wait_for_status(process.metrics, 404)
        request = b"GET /metrics?x=1 HTTP/1.1\r\nHost: vm\r\n\r\n"
        assert http_status(process.metrics, request) == 200
        with pytest.raises(ExplanationError, match="no routes are known yet"):
            ask_where(str(process.metrics), "route")
        assert process.is_running()


@pytest.mark.end_to_end
def test_a_real_process_explains_a_route_of_its_registry(tmp_path):
    with (
        closing_registry([ROUTES, UPSTREAM]) as registry,
        forwarding_process(tmp_path, registry=registry, features=FEATURES) as process,
    ):
        wait_for_status(process.probes, 200)
        wait_for_status(process.metrics, 404)
        body = ask_where(str(process.metrics), "198.18.0.1:443", "100.64.0.7")
        answer = msgspec.json.decode(body, type=WhereAnswer)
        assert answer.services[0].candidates[0].upstream.endswith("i-0a")
        assert answer.services[0].unit == "s"
        with pytest.raises(UnknownRouteError):
            ask_where(str(process.metrics), "198.18.0.1:1")


def test_an_older_process_has_no_such_page(monkeypatch):
    response = where_command.httpx.Response(404)
    assert isinstance(where_command._error_of(response), ExplanationError)
    body = msgspec.json.encode(WhereRefusal("no route 'x'"))
    response = where_command.httpx.Response(404, content=body)
    assert isinstance(where_command._error_of(response), UnknownRouteError)
