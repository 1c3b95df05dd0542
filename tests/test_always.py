"""Steps of the scenarios in `features/always.feature`.

Guards against violations of the system's invariants under failure: broken flows,
duplicate runs, requests that ran but were refused as not run, wrong answers, misrouted
packets, overload and outdated configurations.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import anyio
import proofs
import pytest
from process_proofs import run_process_failures
from pytest_bdd import given, parsers, scenarios, then, when

from egrethook.emulator.report import RunReport
from egrethook.emulator.schedules import ScheduleWorld
from egrethook.emulator.virtual import run_virtual
from egrethook.verdicts import Verdict

scenarios("features/always.feature")

SCHEDULE_COUNT = 60


@dataclass
class ScenarioOutcome:
    """Result of a scenario's "when" step."""

    violations: list[str] = field(default_factory=list)
    schedule_counts: Counter[str] = field(default_factory=Counter)
    report: RunReport | None = None


@pytest.fixture
def outcome() -> ScenarioOutcome:
    return ScenarioOutcome()


def run_check(outcome: ScenarioOutcome, check, seed: int = 1) -> None:
    outcome.violations = run_virtual(check, seed, seed=seed)


@given("configurations up to 3 s old and a fabric that loses and duplicates packets")
@given("open flows to an upstream")
@given("a service under load")
@given("a balancer that is cut off from the platform")
@given("a network that loses, delays and duplicates packets")
@given("a fabric that loses, delays and duplicates packets")
@given("a platform that goes down")
def set_up_by_the_check():
    """The check in the next step creates these conditions."""


@when(
    parsers.parse(
        "a balancer is replaced, an upstream joins and another drains, seed {seed:d}"
    )
)
def planned_changes(outcome, seed):
    run_check(outcome, proofs.flows_survive_planned_changes, seed)


@when("its addresses are reassigned to another service")
def addresses_reassigned(outcome):
    run_check(outcome, proofs.packets_stay_within_their_service)


@when(
    parsers.parse(
        "an upstream turns cold without warning and a new one starts, seed {seed:d}"
    )
)
def cold_upstreams(outcome, seed):
    run_check(outcome, proofs.cold_upstreams_are_not_overloaded, seed)


@when("operators take a failure domain out of service")
def domain_taken_out_of_service(outcome):
    run_check(outcome, proofs.out_of_service_domain_gets_no_packets)


@when(parsers.parse("callers ask for answers of fifty chunks, seed {seed:d}"))
def long_answers(outcome, seed):
    run_check(outcome, proofs.answers_are_complete_and_match_requests, seed)


@when(
    parsers.parse(
        "balancers crash, restart and leave, an upstream goes silent"
        " and a domain is partitioned, seed {seed:d}"
    )
)
def crashes_and_partitions(outcome, seed):
    run_check(outcome, proofs.requests_run_at_most_once, seed)


@when("one upstream drains by a published state and one by its own report")
def upstreams_drain(outcome):
    run_check(outcome, proofs.draining_upstreams_get_no_new_work)


@when(parsers.parse("every balancer leaves in turn, seed {seed:d}"))
def balancers_leave(outcome, seed):
    run_check(outcome, proofs.graceful_leave_fails_no_request, seed)


@when(
    "operators publish in quick succession"
    " and the platform serves stale values and goes down"
)
def publications_and_platform_failures(outcome):
    run_check(outcome, proofs.configuration_converges_and_never_reverts)


@then("no flow is broken")
@then("no packet of the flows reaches that service")
@then("neither is overloaded")
@then("no packet reaches its upstreams after 3 s")
@then("each gets the complete answer to its own request")
@then("no request ran twice and none refused as not run has run")
@then("neither gets new work after 3 s and no flow is broken")
@then("every request is answered")
@then("each publication is in force within 3 s and none reverts")
def no_violations(outcome):
    assert outcome.violations == []


@given("seeded schedules of crashes, leaves, lost and duplicated messages")
def schedules(outcome):
    """The schedules run in the next step."""


@when("the schedules have run")
def run_schedules(outcome):
    for seed in range(SCHEDULE_COUNT):
        outcome.schedule_counts.update(vars(ScheduleWorld(seed).run_steps(600)))
    # Schedules without answers or refusals would check nothing.
    assert outcome.schedule_counts["answered"] > 5 * SCHEDULE_COUNT
    assert outcome.schedule_counts["refused"] > 0


@then("no request refused as not run has run")
def no_false_refusals(outcome):
    assert outcome.schedule_counts["false_refusals"] == 0


@then("no request ran twice")
def at_most_once(outcome):
    assert outcome.schedule_counts["doubled"] == 0


# Real processes


@given("the Cantábrico deployment as processes on loopback")
def deployment():
    """The next step starts and ends the processes."""


@when(
    "a balancer is killed, one is paused past the heartbeat timeout,"
    " one leaves and a domain goes out of service and returns"
)
def processes_fail(outcome):
    # Without uvloop: once trio has run in this process, uvloop no longer detects
    # that a child process has ended.
    outcome.report = anyio.run(run_process_failures)
    outcome.violations = [
        fault
        for fault in outcome.report.faults
        if fault.split(":")[0]
        in ("requests doubled", "false refusals", "wrong answers")
    ]


@then("no flow is broken except in the domain out of service")
def flows_survive(outcome):
    for result in outcome.report.results.values():
        assert proofs.broken_flows(result, ("domain-out",)) == []


@then("requests are answered before, during and after the failures")
def requests_answered(outcome):
    result = outcome.report.results["cartera"]
    answered = Counter(
        s for s, was_answered in result.requests_by_second if was_answered
    )
    # Each of the first six seconds has a request that was answered.
    assert set(range(6)) <= set(answered)
    assert result.outcomes[Verdict.ANSWERED.name] > 200
