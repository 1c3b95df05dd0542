"""Execution of requests on owned upstreams.

Guards against non-idempotent requests that run twice, against wrong verdicts for
requests that were refused or lost, and against requests that stay queued for an
upstream that cannot run them.
"""

from __future__ import annotations

import pytest
from helpers import CALLER, COLD, ExecutorRig, make_run

from egrethook.callers.packets import (
    Accepted,
    Cancel,
    Chunk,
    Done,
    Fetch,
    Refused,
)
from egrethook.upstreams.admission import Report, ShedReason
from egrethook.verdicts import Refusal, Verdict


def test_granted_request_runs_once_when_duplicates_arrive():
    rig = ExecutorRig()
    token = rig.token()
    for _ in range(5):
        assert rig.executor.run_granted(make_run(), token)
    assert len(rig.runs) == 1
    assert len(rig.sender.of(Accepted)) == 5


def test_duplicate_after_the_answer_gets_the_answer_again():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.run_granted(make_run(), token)
    rig.finish()
    rig.executor.run_granted(make_run(), token)
    assert [chunk.payload for chunk in rig.sender.of(Chunk)] == [b"done", b"done"]
    assert rig.runs == []


def test_duplicate_without_a_record_does_not_run_again():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.run_granted(make_run(), token)
    rig.finish()
    rig.executor.done(Done(b"", 7, 1, 1))
    rig.executor.run_granted(make_run(), token)
    assert rig.runs == []
    assert rig.sender.verdicts() == [Verdict.MAY_HAVE_RUN]
    assert rig.sender.packets[-1].code is Refusal.RECORD_LOST


def test_late_duplicate_of_a_refused_request_is_refused_again():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.pool.set_owned("upstream-1", False)
    rig.executor.run_granted(make_run(), token)
    rig.executor.pool.set_owned("upstream-1", True)
    rig.executor.run_granted(make_run(), token)
    assert rig.sender.verdicts() == [Verdict.NOT_RUN, Verdict.NOT_RUN]
    assert rig.runs == []


def test_request_with_an_expired_token_gets_may_have_run():
    rig = ExecutorRig()
    token = rig.token()
    rig.clock.advance(61.0)
    rig.executor.tick()
    rig.executor.run_granted(make_run(), token)
    assert rig.runs == []
    assert rig.sender.verdicts() == [Verdict.MAY_HAVE_RUN]


def test_requests_above_the_slots_start_in_order_of_deadline():
    rig = ExecutorRig()
    token = rig.token()
    for number, deadline_ms in ((1, 2000), (2, 2000), (3, 1900), (4, 800)):
        run = make_run(number, deadline_ms=deadline_ms)
        rig.executor.run_granted(run, token)
    assert [run.number for run in rig.runs] == [1, 2]
    rig.finish()
    assert [run.number for run in rig.runs] == [2, 4]


def test_request_queued_past_its_deadline_is_refused_as_not_run():
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2, 3):
        rig.executor.run_granted(make_run(number, deadline_ms=500), token)
    rig.clock.advance(0.6)
    rig.executor.tick()
    refused = rig.sender.packets[-1]
    assert (refused.number, refused.verdict) == (3, Verdict.NOT_RUN)
    assert refused.code is Refusal.DEADLINE


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2):
        rig.executor.run_granted(make_run(number), token)
    rig.executor.run_granted(make_run(3, deadline_ms=20), token)
    refused = rig.sender.packets[-1]
    assert (refused.verdict, refused.code) == (Verdict.NOT_RUN, Refusal.FULL)
    assert refused.retry_after_ms > 0


def test_granted_request_on_a_lost_link_gets_may_have_run_and_is_not_rerun():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.run_granted(make_run(), token)
    rig.links["upstream-1"].runs.clear()
    rig.executor.link_lost("upstream-1")
    rig.executor.connected("upstream-1", Report(1, 1, 0, 1000))
    rig.executor.run_granted(make_run(), token)
    assert set(rig.sender.verdicts()) == {Verdict.MAY_HAVE_RUN}
    assert rig.runs == []


def test_idempotent_request_on_a_lost_link_is_retried_elsewhere():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    run = make_run(idempotent=True, sequence=0)
    rig.executor.run_idempotent(run, "upstream-1", queue=False)
    rig.executor.link_lost("upstream-1")
    assert list(rig.links["upstream-2"].runs.values()) == [run]
    assert rig.sender.verdicts() == []


def test_chunks_of_a_rerun_carry_a_different_answer_id():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    run = make_run(idempotent=True, sequence=0)
    rig.executor.run_idempotent(run, "upstream-1", queue=False)
    run_id = next(iter(rig.links["upstream-1"].runs))
    rig.executor.answer("upstream-1", run_id, 0, 2, b"first half")
    rig.executor.link_lost("upstream-1")
    rig.finish("upstream-2", b"whole")
    first, second = rig.sender.of(Chunk)
    assert first.answer_id != second.answer_id


def test_late_chunks_of_a_lost_link_are_dropped():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    run = make_run(idempotent=True, sequence=0)
    rig.executor.run_idempotent(run, "upstream-1", queue=False)
    run_id = next(iter(rig.links["upstream-1"].runs))
    rig.executor.link_lost("upstream-1")
    rig.executor.answer("upstream-1", run_id, 0, 1, b"late")
    assert rig.sender.of(Chunk) == []


def test_shed_granted_request_moves_to_another_owned_upstream():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    rig.executor.run_granted(make_run(), rig.token())
    run_id = next(iter(rig.links["upstream-1"].runs))
    rig.links["upstream-1"].runs.clear()
    rig.executor.shed("upstream-1", run_id, ShedReason.OVERLOADED)
    assert len(rig.links["upstream-2"].runs) == 1


def test_cancelled_queued_request_is_refused_as_not_run():
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2, 3):
        rig.executor.run_granted(make_run(number), token)
    rig.executor.cancel(Cancel(b"", 7, 3, 1))
    assert rig.sender.verdicts() == [Verdict.NOT_RUN]
    assert rig.executor.unfinished == 2


def test_cancelled_running_request_is_stopped_at_the_upstream():
    rig = ExecutorRig()
    rig.executor.run_granted(make_run(), rig.token())
    rig.executor.cancel(Cancel(b"", 7, 1, 1))
    assert rig.links["upstream-1"].cancelled == [1]
    rig.executor.stopped("upstream-1", 1, started=True)
    assert rig.sender.verdicts() == [Verdict.MAY_HAVE_RUN]


def test_missing_chunks_are_resent_when_fetched():
    rig = ExecutorRig()
    rig.executor.run_granted(make_run(), rig.token())
    for index in range(40):
        rig.executor.answer("upstream-1", 1, index, 40, bytes([index]))
    answer_id = rig.sender.of(Chunk)[0].answer_id
    assert len(rig.sender.of(Chunk)) == 32
    rig.executor.fetch(Fetch(b"", 7, 1, 1, answer_id, [38, 39]))
    assert [c.index for c in rig.sender.of(Chunk)][32:] == [38, 39]


def test_cold_upstream_runs_one_request_at_a_time():
    rig = ExecutorRig(report=COLD)
    token = rig.token()
    for number in (1, 2):
        rig.executor.run_granted(make_run(number), token)
    assert len(rig.runs) == 1


def test_slots_used_by_a_previous_owner_count_as_taken():
    rig = ExecutorRig(report=Report(1, 2, 0, 1000))
    rig.executor.run_granted(make_run(), rig.token())
    assert rig.runs == []
    rig.executor.report("upstream-1", Report(1, 1, 0, 1001))
    assert len(rig.runs) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_queued_requests_do_not_run_after_evacuation(idempotent):
    rig = ExecutorRig(relay_accepts=True)
    token = rig.token()
    for number in (1, 2, 3):
        run = make_run(number, idempotent=idempotent)
        if idempotent:
            rig.executor.run_idempotent(run, "", queue=True)
        else:
            rig.executor.run_granted(run, token)
    rig.executor.evacuate("upstream-1")
    rig.finish()
    rig.finish()
    assert rig.runs == []
    if idempotent:
        assert [run.number for run in rig.request_relay.relayed] == [3]
    else:
        assert rig.sender.verdicts() == [Verdict.NOT_RUN]


def test_idempotent_request_never_gets_not_run():
    rig = ExecutorRig()
    for number in (1, 2, 3):
        run = make_run(number, idempotent=True, sequence=0, deadline_ms=400)
        rig.executor.run_idempotent(run, "", queue=True)
    rig.clock.advance(0.5)
    rig.executor.tick()
    assert Verdict.NOT_RUN not in rig.sender.verdicts()


def test_duplicate_open_gets_the_same_token():
    from egrethook.callers.packets import Open, Opened

    rig = ExecutorRig()
    packet = Open("orders", 7, 1, CALLER.host, CALLER.port)
    for _ in range(2):
        assert rig.executor.issuer.open(packet, "")
    first, second = rig.sender.of(Opened)
    assert first == second
    assert rig.executor.pool["upstream-1"].admission.flows == 1


@pytest.mark.parametrize("cause", ["draining", "link lost"])
def test_queued_request_is_refused_when_its_only_upstream_takes_no_new_work(cause):
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2, 3):
        rig.executor.run_granted(make_run(number), token)
    if cause == "draining":
        rig.executor.report("upstream-1", Report(1, 2, 0, 1000, draining=True))
    else:
        rig.executor.link_lost("upstream-1")
    rig.executor.tick()
    refused = [(p.number, p.verdict) for p in rig.sender.of(Refused)]
    assert (3, Verdict.NOT_RUN) in refused
    assert rig.executor.pool.waiting == 0


@pytest.mark.parametrize("reason", list(ShedReason))
def test_shed_request_is_not_resent_to_the_same_upstream_at_once(reason):
    rig = ExecutorRig()
    rig.executor.run_granted(make_run(), rig.token())
    link = rig.links["upstream-1"]
    for _ in range(10):
        if not link.runs:
            break
        run_id, _ = link.runs.popitem()
        rig.executor.shed("upstream-1", run_id, reason)
    assert rig.executor.counts.shed == 1
