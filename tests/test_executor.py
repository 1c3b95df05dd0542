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


def test_a_granted_request_runs_once_however_many_copies_arrive():
    rig = ExecutorRig()
    token = rig.token()
    for _ in range(5):
        assert rig.executor.run_granted(make_run(), token)
    assert len(rig.runs) == 1
    assert len(rig.sender.of(Accepted)) == 5


def test_a_copy_after_the_answer_gets_the_answer_again():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.run_granted(make_run(), token)
    rig.finish()
    rig.executor.run_granted(make_run(), token)
    assert [chunk.payload for chunk in rig.sender.of(Chunk)] == [b"done", b"done"]
    assert rig.runs == []


def test_a_copy_after_the_record_is_gone_does_not_run_again():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.run_granted(make_run(), token)
    rig.finish()
    rig.executor.done(Done(b"", 7, 1, 1))
    rig.executor.run_granted(make_run(), token)
    assert rig.runs == []
    assert rig.sender.verdicts() == [Verdict.MAY_HAVE_RUN]
    assert rig.sender.packets[-1].code is Refusal.RECORD_LOST


def test_a_refused_request_stays_refused_for_late_copies():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.pool.set_owned("upstream-1", False)
    rig.executor.run_granted(make_run(), token)
    rig.executor.pool.set_owned("upstream-1", True)
    rig.executor.run_granted(make_run(), token)
    assert rig.sender.verdicts() == [Verdict.NOT_RUN, Verdict.NOT_RUN]
    assert rig.runs == []


def test_an_expired_token_runs_nothing_and_claims_nothing():
    rig = ExecutorRig()
    token = rig.token()
    rig.clock.advance(61.0)
    rig.executor.tick()
    rig.executor.run_granted(make_run(), token)
    assert rig.runs == []
    assert rig.sender.verdicts() == [Verdict.MAY_HAVE_RUN]


def test_requests_above_the_slots_wait_and_start_in_the_order_of_deadlines():
    rig = ExecutorRig()
    token = rig.token()
    for number, deadline_ms in ((1, 2000), (2, 2000), (3, 1900), (4, 800)):
        run = make_run(number, deadline_ms=deadline_ms)
        rig.executor.run_granted(run, token)
    assert [run.number for run in rig.runs] == [1, 2]
    rig.finish()
    assert [run.number for run in rig.runs] == [2, 4]


def test_a_request_that_waits_past_its_deadline_is_refused_as_not_run():
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2, 3):
        rig.executor.run_granted(make_run(number, deadline_ms=500), token)
    rig.clock.advance(0.6)
    rig.executor.tick()
    refused = rig.sender.packets[-1]
    assert (refused.number, refused.verdict) == (3, Verdict.NOT_RUN)
    assert refused.code is Refusal.DEADLINE


def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once():
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2):
        rig.executor.run_granted(make_run(number), token)
    rig.executor.run_granted(make_run(3, deadline_ms=20), token)
    refused = rig.sender.packets[-1]
    assert (refused.verdict, refused.code) == (Verdict.NOT_RUN, Refusal.FULL)
    assert refused.retry_after_ms > 0


def test_a_lost_link_leaves_a_granted_request_unknown_and_it_never_runs_again():
    rig = ExecutorRig()
    token = rig.token()
    rig.executor.run_granted(make_run(), token)
    rig.links["upstream-1"].runs.clear()
    rig.executor.link_lost("upstream-1")
    rig.executor.connected("upstream-1", Report(1, 1, 0, 1000))
    rig.executor.run_granted(make_run(), token)
    assert set(rig.sender.verdicts()) == {Verdict.MAY_HAVE_RUN}
    assert rig.runs == []


def test_a_lost_link_moves_an_idempotent_request_within_the_budget():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    run = make_run(idempotent=True, sequence=0)
    rig.executor.run_idempotent(run, "upstream-1", queue=False)
    rig.executor.link_lost("upstream-1")
    assert list(rig.links["upstream-2"].runs.values()) == [run]
    assert rig.sender.verdicts() == []


def test_the_chunks_of_two_executions_carry_different_answer_ids():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    run = make_run(idempotent=True, sequence=0)
    rig.executor.run_idempotent(run, "upstream-1", queue=False)
    run_id = next(iter(rig.links["upstream-1"].runs))
    rig.executor.answer("upstream-1", run_id, 0, 2, b"first half")
    rig.executor.link_lost("upstream-1")
    rig.finish("upstream-2", b"whole")
    first, second = rig.sender.of(Chunk)
    assert first.answer_id != second.answer_id


def test_late_chunks_of_a_lost_link_are_not_mixed_in():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    run = make_run(idempotent=True, sequence=0)
    rig.executor.run_idempotent(run, "upstream-1", queue=False)
    run_id = next(iter(rig.links["upstream-1"].runs))
    rig.executor.link_lost("upstream-1")
    rig.executor.answer("upstream-1", run_id, 0, 1, b"late")
    assert rig.sender.of(Chunk) == []


def test_a_shed_request_that_may_not_be_repeated_moves_to_another_own_upstream():
    rig = ExecutorRig(("upstream-1", "upstream-2"))
    rig.executor.run_granted(make_run(), rig.token())
    run_id = next(iter(rig.links["upstream-1"].runs))
    rig.links["upstream-1"].runs.clear()
    rig.executor.shed("upstream-1", run_id, ShedReason.OVERLOADED)
    assert len(rig.links["upstream-2"].runs) == 1


def test_a_cancelled_request_that_waits_is_refused_as_not_run():
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2, 3):
        rig.executor.run_granted(make_run(number), token)
    rig.executor.cancel(Cancel(b"", 7, 3, 1))
    assert rig.sender.verdicts() == [Verdict.NOT_RUN]
    assert rig.executor.unfinished == 2


def test_a_cancelled_request_that_runs_is_stopped_at_the_upstream():
    rig = ExecutorRig()
    rig.executor.run_granted(make_run(), rig.token())
    rig.executor.cancel(Cancel(b"", 7, 1, 1))
    assert rig.links["upstream-1"].cancelled == [1]
    rig.executor.stopped("upstream-1", 1, started=True)
    assert rig.sender.verdicts() == [Verdict.MAY_HAVE_RUN]


def test_missing_chunks_are_sent_again():
    rig = ExecutorRig()
    rig.executor.run_granted(make_run(), rig.token())
    for index in range(40):
        rig.executor.answer("upstream-1", 1, index, 40, bytes([index]))
    answer_id = rig.sender.of(Chunk)[0].answer_id
    assert len(rig.sender.of(Chunk)) == 32
    rig.executor.fetch(Fetch(b"", 7, 1, 1, answer_id, [38, 39]))
    assert [c.index for c in rig.sender.of(Chunk)][32:] == [38, 39]


def test_requests_of_a_cold_upstream_start_one_at_a_time():
    rig = ExecutorRig(report=COLD)
    token = rig.token()
    for number in (1, 2):
        rig.executor.run_granted(make_run(number), token)
    assert len(rig.runs) == 1


def test_slots_that_a_predecessor_uses_count_as_taken():
    rig = ExecutorRig(report=Report(1, 2, 0, 1000))
    rig.executor.run_granted(make_run(), rig.token())
    assert rig.runs == []
    rig.executor.report("upstream-1", Report(1, 1, 0, 1001))
    assert len(rig.runs) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_what_waits_for_a_domain_that_is_out_does_not_run_there(idempotent):
    rig = ExecutorRig(accepts=True)
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
        assert [run.number for run in rig.onward.passed] == [3]
    else:
        assert rig.sender.verdicts() == [Verdict.NOT_RUN]


def test_an_idempotent_request_is_never_called_not_run():
    rig = ExecutorRig()
    for number in (1, 2, 3):
        run = make_run(number, idempotent=True, sequence=0, deadline_ms=400)
        rig.executor.run_idempotent(run, "", queue=True)
    rig.clock.advance(0.5)
    rig.executor.tick()
    assert Verdict.NOT_RUN not in rig.sender.verdicts()


def test_a_doubled_open_gets_the_same_token():
    from egrethook.callers.packets import Open, Opened

    rig = ExecutorRig()
    packet = Open("orders", 7, 1, CALLER.host, CALLER.port)
    for _ in range(2):
        assert rig.executor.issuer.open(packet, "")
    first, second = rig.sender.of(Opened)
    assert first == second
    assert rig.executor.pool["upstream-1"].admission.flows == 1


@pytest.mark.parametrize("loss", ["draining", "link lost"])
def test_what_waits_for_an_upstream_that_takes_no_more_is_moved(loss):
    rig = ExecutorRig()
    token = rig.token()
    for number in (1, 2, 3):
        rig.executor.run_granted(make_run(number), token)
    if loss == "draining":
        rig.executor.report("upstream-1", Report(1, 2, 0, 1000, draining=True))
    else:
        rig.executor.link_lost("upstream-1")
    rig.executor.tick()
    refused = [(p.number, p.verdict) for p in rig.sender.of(Refused)]
    assert (3, Verdict.NOT_RUN) in refused
    assert rig.executor.pool.waiting == 0


@pytest.mark.parametrize("reason", list(ShedReason))
def test_a_shed_request_is_not_sent_to_the_same_upstream_again_at_once(reason):
    rig = ExecutorRig()
    rig.executor.run_granted(make_run(), rig.token())
    link = rig.links["upstream-1"]
    for _ in range(10):
        if not link.runs:
            break
        run_id, _ = link.runs.popitem()
        rig.executor.shed("upstream-1", run_id, reason)
    assert rig.executor.counts.shed == 1
