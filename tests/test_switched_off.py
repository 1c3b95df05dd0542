"""Each check reports a violation when the mechanism behind the invariant is disabled.

Guards against checks of `proofs.py` and fault schedules that pass whatever the code
does. The number in a test's name is that of the invariant in `always.feature`.
"""

from __future__ import annotations

import proofs
import pytest

from egrethook.balancers.departure import GracefulLeave
from egrethook.callers import front
from egrethook.callers.answers import AnswerAssembly, PartialAnswer
from egrethook.callers.packets import Refused
from egrethook.callers.routing import Action, RoutingDecision
from egrethook.emulator.schedules import ScheduleWorld
from egrethook.emulator.virtual import run_virtual
from egrethook.published.configuration import Configuration, ConfigurationStore
from egrethook.published.documents import parse_value
from egrethook.types import UpstreamState
from egrethook.upstreams.admission import Admission
from egrethook.upstreams.replies import Replies
from egrethook.upstreams.rights import Claim, Window
from egrethook.upstreams.warmup import WarmUp
from egrethook.verdicts import Refusal, Verdict

SEED = 1


def run_check(check) -> list[str]:
    return run_virtual(check, SEED, seed=SEED)


def test_1_flows_break_if_the_local_configuration_overrides_newer_tokens(monkeypatch):
    def route_by_own_configuration(token, configuration):
        endpoint = configuration.endpoint(token.service_name, token.upstream)
        if endpoint is None or endpoint.state is not UpstreamState.ACTIVE:
            return RoutingDecision(Action.RESET, token.caller, Refusal.UPSTREAM_GONE)
        return RoutingDecision(Action.FORWARD, token.address)

    monkeypatch.setattr(front, "route_flow", route_by_own_configuration)
    assert any(
        "flows broken" in v for v in run_check(proofs.flows_survive_planned_changes)
    )


def test_2_packets_reach_another_service_if_routed_by_address_only(monkeypatch):
    def route_by_token_address(token, configuration):
        return RoutingDecision(Action.FORWARD, token.address)

    monkeypatch.setattr(front, "route_flow", route_by_token_address)
    found = run_check(proofs.packets_stay_within_their_service)
    assert any("packets of cartera reached extractos" in v for v in found)


def test_3_new_upstream_is_overloaded_without_warm_up(monkeypatch):
    slots = property(lambda self: self._capacity.slots)
    monkeypatch.setattr(WarmUp, "slots", slots)
    found = run_check(proofs.cold_upstreams_are_not_overloaded)
    assert any("new upstream was overloaded" in v for v in found)


def test_4_domain_out_of_service_gets_packets_without_the_domain_check(monkeypatch):
    monkeypatch.setattr(Configuration, "in_service", lambda self, domain: True)
    assert any(
        "reached a domain out of service" in v
        for v in run_check(proofs.out_of_service_domain_gets_no_packets)
    )


def test_5_answers_are_mixed_without_answer_ids(monkeypatch):
    def add(self, chunk):
        key = (chunk.attempt, 0)
        partial = self._partial.setdefault(
            key, PartialAnswer(chunk.attempt, chunk.answer_id, chunk.count)
        )
        partial.chunks[chunk.index] = chunk.payload
        return partial if partial.is_complete else None

    monkeypatch.setattr(AnswerAssembly, "add", add)
    monkeypatch.setattr(
        AnswerAssembly, "get", lambda self, attempt, _: self._partial.get((attempt, 0))
    )
    found = run_check(proofs.answers_are_complete_and_match_requests)
    assert any("incomplete or mixed answer" in v for v in found)


def test_6_refusals_are_false_if_unknown_outcomes_are_reported_as_not_run(monkeypatch):
    def refuse_unknown(self, run, caller, code):
        self._sender.send(
            caller, Refused(run.number, run.attempt, Verdict.NOT_RUN, code)
        )

    monkeypatch.setattr(Replies, "refuse_unknown", refuse_unknown)
    assert sum(ScheduleWorld(s).run_steps(600).false_refusals for s in range(10)) > 0


def test_7_duplicates_run_again_without_the_anti_replay_window(monkeypatch):
    monkeypatch.setattr(Window, "claim", lambda self, number: Claim.NEW)
    assert sum(ScheduleWorld(s).run_steps(600).doubled for s in range(10)) > 0


def test_7_requests_run_twice_if_rights_move_without_a_hand_over(monkeypatch):
    from egrethook.upstreams.rights import Rights

    def claim(self, serial, number, now):
        window = self._windows.setdefault(serial, Window(now + 60.0))
        return window.claim(number)

    monkeypatch.setattr(Rights, "claim", claim)
    monkeypatch.setattr(Rights, "holds", lambda self, executor: True)
    assert sum(ScheduleWorld(s).run_steps(600).doubled for s in range(10)) > 0


def test_8_draining_upstream_gets_new_work_if_states_are_ignored(monkeypatch):
    connected = property(lambda self: self._connected)
    monkeypatch.setattr(Admission, "accepts_work", connected)
    monkeypatch.setattr(
        Configuration,
        "candidates",
        lambda self, service: list(self.services[service].values()),
    )
    found = run_check(proofs.draining_upstreams_get_no_new_work)
    assert any("new work after" in v for v in found)


def test_9_requests_fail_without_the_graceful_leave(monkeypatch):
    async def run(self, linger_s, timeout_s):
        return

    monkeypatch.setattr(GracefulLeave, "run", run)
    assert any(
        "requests failed:" in v
        for v in run_check(proofs.graceful_leave_fails_no_request)
    )


def test_10_stale_replica_reverts_balancers_without_the_revision_check(monkeypatch):
    def offer_index(self, raw):
        self._index, self._raw_index = parse_value(raw), raw
        self._rebuild()
        return True

    monkeypatch.setattr(ConfigurationStore, "offer_index", offer_index)
    found = run_check(proofs.configuration_converges_and_never_reverts)
    assert any("reverted from" in v for v in found)


def test_10_balancer_without_platform_stays_outdated_if_peers_are_ignored(monkeypatch):
    from egrethook.published.reader import PlatformReader

    monkeypatch.setattr(
        PlatformReader, "note_peer_revision", lambda self, revision: None
    )
    # The wait for the revision times out, which the task group wraps in an exception
    # group, or the check reports a late revision.
    with pytest.raises((TimeoutError, ExceptionGroup, AssertionError)):
        assert run_check(proofs.configuration_converges_and_never_reverts) == []
