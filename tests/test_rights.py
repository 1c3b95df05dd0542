"""Exclusive rights to run non-idempotent requests, and their hand-over.

Guards against requests that run twice, because a duplicate is not recognised or two
processes hold the rights of one token.
"""

from __future__ import annotations

from helpers import LOCAL_EXECUTOR
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from egrethook.balancers.handover import TransferredRights, split_into_parts
from egrethook.emulator.schedules import ScheduleWorld
from egrethook.types import ExecutorId
from egrethook.upstreams.rights import (
    TOKEN_LIFE_S,
    WINDOW_WIDTH,
    Claim,
    HandOverStatus,
    Rights,
    Window,
)

HEIR = ExecutorId("node-2", 2)


def export_rights(rights: Rights, now: float = 0.0) -> TransferredRights:
    return TransferredRights(LOCAL_EXECUTOR, rights.stop_and_export(now), [])


@given(st.lists(st.integers(1, 3 * WINDOW_WIDTH)))
def test_a_window_gives_each_number_at_most_once(numbers):
    window = Window(60.0)
    claimed = [n for n in numbers if window.claim(n) is Claim.NEW]
    assert len(claimed) == len(set(claimed))


def test_number_below_the_window_is_not_new():
    window = Window(60.0)
    window.claim(WINDOW_WIDTH + 5)
    assert window.claim(5) is Claim.BELOW_WINDOW
    assert window.claim(6) is Claim.NEW


def test_claim_of_an_unknown_serial_is_refused():
    assert Rights(LOCAL_EXECUTOR).claim(12345, 1, 0.0) is Claim.UNKNOWN_TOKEN


def test_expired_token_is_refused_and_removed():
    rights = Rights(LOCAL_EXECUTOR)
    serial = rights.issue(0.0)
    assert rights.claim(serial, 1, TOKEN_LIFE_S + 0.1) is Claim.UNKNOWN_TOKEN
    rights.expire(TOKEN_LIFE_S + 0.1)
    assert len(rights) == 0


def test_nobody_runs_requests_until_the_hand_over_is_complete():
    old, heir = Rights(LOCAL_EXECUTOR), Rights(HEIR)
    serials = [old.issue(0.0) for _ in range(300)]
    parts = split_into_parts(export_rights(old), HEIR, 9)
    assert len(parts) > 1
    for part in parts[:-1]:
        assert heir.receive(part, 0.0) is HandOverStatus.PARTIAL
    assert old.claim(serials[0], 1, 0.0) is Claim.STOPPED
    assert heir.claim(serials[0], 1, 0.0) is Claim.UNKNOWN_TOKEN
    assert heir.receive(parts[-1], 0.0) is HandOverStatus.COMPLETE
    assert heir.claim(serials[0], 1, 0.0) is Claim.NEW


def test_heir_refuses_numbers_claimed_before_the_hand_over():
    old, heir = Rights(LOCAL_EXECUTOR), Rights(HEIR)
    serial = old.issue(0.0)
    old.claim(serial, 1, 0.0)
    for part in split_into_parts(export_rights(old), HEIR, 9):
        heir.receive(part, 0.0)
    assert heir.claim(serial, 1, 0.0) is Claim.SEEN_ELSEWHERE
    assert heir.claim(serial, 2, 0.0) is Claim.NEW
    assert heir.claim(serial, 2, 0.0) is Claim.SEEN


def test_duplicate_hand_over_does_not_reset_claimed_numbers():
    old, heir = Rights(LOCAL_EXECUTOR), Rights(HEIR)
    serial = old.issue(0.0)
    (part,) = split_into_parts(export_rights(old), HEIR, 9)
    heir.receive(part, 0.0)
    assert heir.claim(serial, 1, 0.0) is Claim.NEW
    assert heir.receive(part, 100.0) is HandOverStatus.COMPLETE
    assert heir.claim(serial, 1, 0.0) is Claim.SEEN


def test_later_incarnation_of_the_heir_ignores_the_hand_over():
    old, successor = Rights(LOCAL_EXECUTOR), Rights(ExecutorId(HEIR.balancer, 3))
    serial = old.issue(0.0)
    (part,) = split_into_parts(export_rights(old), HEIR, 9)
    assert successor.receive(part, 0.0) is HandOverStatus.IGNORED
    assert successor.claim(serial, 1, 0.0) is Claim.UNKNOWN_TOKEN


def test_stopped_heir_refuses_the_hand_over():
    old, heir = Rights(LOCAL_EXECUTOR), Rights(HEIR)
    old.issue(0.0)
    heir.stop_and_export(0.0)
    (part,) = split_into_parts(export_rights(old), HEIR, 9)
    assert heir.receive(part, 0.0) is HandOverStatus.REFUSED


def test_rights_pass_through_two_hand_overs():
    first, second = Rights(LOCAL_EXECUTOR), Rights(HEIR)
    last = ExecutorId("node-3", 3)
    third = Rights(last)
    serial = first.issue(0.0)
    for part in split_into_parts(export_rights(first), HEIR, 9):
        second.receive(part, 0.0)
    inherited = second.inherited
    transferred = TransferredRights(HEIR, second.stop_and_export(0.0), inherited)
    for part in split_into_parts(transferred, last, 10):
        third.receive(part, 0.0)
    assert third.holds(LOCAL_EXECUTOR)
    assert third.holds(HEIR)
    assert third.claim(serial, 1, 0.0) is Claim.NEW


class ScheduleMachine(RuleBasedStateMachine):
    """Lets hypothesis choose the order of the fault schedule's steps."""

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed):
        self.world = ScheduleWorld(seed)

    @rule(position=st.integers(0, 14))
    def step(self, position):
        self.world.steps[position][0]()

    @rule()
    def deliver_all(self):
        for _ in range(min(20, len(self.world.bag))):
            self.world.deliver()

    @rule()
    def request_runs(self):
        self.world.grant()
        self.world.send_request()
        self.world.deliver()
        self.world.begin_execution()

    @invariant()
    def at_most_once_and_true_refusals(self):
        if hasattr(self, "world"):
            assert self.world.faults.doubled == 0
            assert self.world.faults.false_refusals == 0


ScheduleMachine.TestCase.settings = settings(
    max_examples=30, stateful_step_count=60, deadline=None, derandomize=True
)
TestScheduleMachine = ScheduleMachine.TestCase


def test_schedule_seed_5_runs_no_request_twice():
    """This schedule once ran a request twice."""
    faults = ScheduleWorld(5).run_steps(600)
    assert (faults.doubled, faults.false_refusals) == (0, 0)
