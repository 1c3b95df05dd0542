"""Decisions on upstreams whose answers differ from their peers'.

Guards against leaving out upstreams on the word of one balancer, on answers that are
short on purpose or late copies, and against trials that cost requests.
"""

from __future__ import annotations

import pytest

from egrethook.addresses import Address
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.flow_records import (
    SERVICE,
    InMemoryDecoder,
    add_route,
    route_table,
    upstream_record,
)
from egrethook.forwarding.features import Feature
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.metrics import render_metrics
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.platform.packet_header import PacketHeader
from egrethook.upstreams import ejections, outliers, route_answers
from egrethook.upstreams.ejections import Ejection, Evidence
from egrethook.upstreams.outlier_selection import OutlierSelector
from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.route_answers import DEFAULT_WEIGHTS, evidence_weights
from egrethook.upstreams.selection import Opening
from egrethook.upstreams.upstream import Upstream

IDEMPOTENT, ONCE = add_route(route_table(), "once", idempotent=False).routes
GOOD = (0.03, 1_000)
FAILED = (0.003, 150)
UPSTREAMS = 10


class FirstSelector:
    """Chooses the first candidate that was not tried."""

    def choose(self, candidates, opening):
        return next((one for one in candidates if one not in opening.tried), None)


@pytest.fixture
def upstreams():
    return [
        Upstream(upstream_record(f"up-{number}", "zone"), 0.0)
        for number in range(UPSTREAMS)
    ]


@pytest.fixture
def reports():
    return []


@pytest.fixture
def detector(upstreams, reports):
    """A detector that has seen ten plausible answers of each upstream."""
    detector = OutlierDetector("vm", lambda service: len(upstreams))
    detector.set_listener(lambda upstream, bad: reports.append((upstream.name, bad)))
    for _ in range(10):
        for upstream in upstreams:
            answer(detector, upstream, GOOD, 0.0)
    return detector


def answer(detector, upstream, kind, now, route=IDEMPOTENT, retransmitted=False):
    service_s, answer_bytes = kind
    outcome = RequestOutcome(
        upstream, route, 200, answer_bytes, service_s, retransmitted
    )
    detector.request_answered(outcome, now)


def opening(now, route=IDEMPOTENT, tried=()):
    return Opening(route, tried, (), True, now)


def eject(detector, upstream, now=1.0):
    for _ in range(2):
        answer(detector, upstream, FAILED, now)
    assert not detector.admits(upstream, now)
    assert detector.left_out


def test_two_suspicious_answers_leave_an_upstream_out(detector, upstreams, reports):
    answer(detector, upstreams[0], FAILED, 1.0)
    assert detector.left_out == 0
    assert not detector.admits(upstreams[0], 1.01), "it pauses for the caller's retry"
    assert detector.admits(upstreams[0], 1.0 + outliers.PAUSE_S)
    answer(detector, upstreams[0], FAILED, 1.2)
    assert detector.left_out == 1
    assert reports == [("up-0", True)] * 2


@pytest.mark.parametrize("kind", [(0.03, 150), (0.003, 1_000)])
def test_answers_that_are_only_short_or_only_soon_are_plausible(
    detector, upstreams, kind
):
    for _ in range(20):
        answer(detector, upstreams[0], kind, 1.0)
    assert detector.counts.suspicious == 0


def test_times_of_repeated_requests_are_not_learned(detector, upstreams):
    for _ in range(5):
        answer(detector, upstreams[0], FAILED, 1.0, retransmitted=True)
    assert detector.counts.suspicious == 0


def test_plausible_answers_outweigh_a_rare_suspicious_one(detector, upstreams):
    for number in range(20):
        kind = FAILED if number % 10 == 0 else GOOD
        answer(detector, upstreams[0], kind, 1.0 + 0.1 * number)
    assert detector.left_out == 0


def test_a_third_of_suspicious_answers_shows_after_more_requests(detector, upstreams):
    for number in range(30):
        kind = FAILED if number % 3 == 0 else GOOD
        answer(detector, upstreams[0], kind, 1.0 + 0.05 * number)
        if detector.left_out:
            break
    assert 3 <= number < 20


def test_evidence_ages(detector, upstreams):
    answer(detector, upstreams[0], FAILED, 1.0)
    answer(detector, upstreams[0], FAILED, 1.0 + 2 * ejections.EVIDENCE_HALF_LIFE_S)
    assert detector.left_out == 0


def test_suspicious_answers_that_are_usual_weigh_nothing():
    assert evidence_weights(0.5) == (0.0, 0.0)
    assert evidence_weights(0.3).suspicious < 0.1 * evidence_weights(0.0).suspicious


# Other balancers -----------------------------------------------------------------


def test_one_peer_alone_never_leaves_an_upstream_out(detector, upstreams):
    for number in range(200):
        detector.note_report(upstreams[0], True, "peer", 1.0 + 0.1 * number)
    assert detector.left_out == 0


def test_one_peer_lowers_the_threshold_to_one_own_answer(detector, upstreams):
    detector.note_report(upstreams[0], True, "peer", 1.0)
    answer(detector, upstreams[0], FAILED, 1.1)
    assert detector.left_out == 1


def test_two_peers_leave_an_upstream_out(detector, upstreams):
    detector.note_report(upstreams[0], True, "peer-1", 1.0)
    detector.note_report(upstreams[0], True, "peer-2", 1.1)
    assert detector.left_out == 1


def test_reports_without_any_known_answers_weigh_less(upstreams):
    fresh = OutlierDetector("vm", lambda service: len(upstreams))
    for number in range(3):
        assert fresh.left_out == 0
        fresh.note_report(upstreams[0], True, f"peer-{number}", 1.0)
    assert fresh.left_out == 1
    assert 2 * DEFAULT_WEIGHTS.suspicious < ejections.EJECTION_SCORE


def test_reports_are_limited(detector, upstreams, reports):
    detector.note_report(upstreams[1], True, "peer", 1.0)
    for _ in range(100):
        answer(detector, upstreams[1], GOOD, 1.0)
        detector.note_report(upstreams[1], True, "peer", 1.0)
    assert len(reports) <= outliers.REPORT_BURST
    assert detector.counts.reports_held_back


def test_few_balancers_confirm_a_report_and_only_once(upstreams):
    """A balancer that has just started learns of outliers by the trials of others."""
    sent = []
    for number in range(200):
        detector = OutlierDetector(f"vm-{number}", lambda service: UPSTREAMS)
        for peer in "abc":
            detector.note_report(upstreams[0], True, peer, 1.0)
        assert detector.left_out == 1
        detector.set_listener(lambda upstream, bad: sent.append(bad))
        for peer in "abcdef":
            detector.note_report(upstreams[0], True, peer, 2.0)
    assert sent and all(sent)
    assert len(sent) < 2 * ejections.CONFIRMING_SHARE * 200


# Limits ----------------------------------------------------------------------------


def test_at_most_half_of_a_service_is_left_out_and_the_answers_learned_anew(
    detector, upstreams
):
    for upstream in upstreams:
        for peer in ("peer-1", "peer-2"):
            detector.note_report(upstream, True, peer, 1.0)
    assert detector.left_out == UPSTREAMS // 2
    for _ in range(3):
        for upstream in upstreams[UPSTREAMS // 2 :]:
            answer(detector, upstream, FAILED, 2.0)
    assert detector.left_out == UPSTREAMS // 2
    for upstream in upstreams:
        for _ in range(ejections.TRIALS_TO_RETURN):
            answer(detector, upstream, FAILED, 5.0)
    assert detector.left_out == 0


def test_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(outliers, "MAX_TRACKED", 20)
    many = [Upstream(upstream_record(f"up-{n}", "zone"), 0.0) for n in range(300)]
    detector = OutlierDetector("vm", lambda service: len(many))
    for round_number in range(20):
        for upstream in many:
            answer(detector, upstream, GOOD, 0.001 * round_number)
    for upstream in many:
        answer(detector, upstream, FAILED, 1.0)
        for source in range(200):
            detector.note_report(upstream, False, f"peer-{source}", 1.0)
    assert detector.tracked <= 20
    answers = detector._answers[IDEMPOTENT.name, SERVICE]
    assert len(answers._samples) <= route_answers.MAX_UPSTREAMS
    answer(detector, many[0], GOOD, 200.0)
    assert detector.tracked == 0


def test_routes_that_are_no_longer_used_make_room_for_new_ones(upstreams):
    detector = OutlierDetector("vm", lambda service: len(upstreams))
    for number in range(2 * outliers.MAX_ROUTES):
        old = add_route(route_table(), f"old-{number}").routes[-1]
        answer(detector, upstreams[0], GOOD, 1.0, old)
    later = 2.0 + outliers.ROUTE_LIFE_S
    for _ in range(10):
        for upstream in upstreams:
            answer(detector, upstream, GOOD, later)
    eject(detector, upstreams[0], later + 1.0)


def test_sources_are_bounded():
    evidence = Evidence()
    for number in range(1_000):
        evidence.add(0.1, f"peer-{number}", 1.0)
    assert len(evidence.sources) == ejections.MAX_SOURCES


# Trials ------------------------------------------------------------------------------


def test_trials_take_idempotent_requests_first(detector, upstreams):
    selector = OutlierSelector(FirstSelector(), detector)
    eject(detector, upstreams[0])
    assert selector.choose(upstreams, opening(1.1)) is upstreams[1]
    due = 1.0 + 2 * ejections.TRIAL_RANGE_S[0]
    assert selector.choose(upstreams, opening(due, ONCE)) is upstreams[1]
    assert selector.choose(upstreams, opening(due)) is upstreams[0]
    assert selector.choose(upstreams, opening(due)) is upstreams[1]


def test_without_idempotent_requests_others_are_trials_at_last(detector, upstreams):
    selector = OutlierSelector(FirstSelector(), detector)
    eject(detector, upstreams[0])
    due = 1.0 + 2 * ejections.TRIAL_RANGE_S[0] + ejections.LAST_RESORT_S
    assert selector.choose(upstreams, opening(due, ONCE)) is upstreams[0]


def test_a_resent_opening_is_no_trial(detector, upstreams):
    selector = OutlierSelector(FirstSelector(), detector)
    eject(detector, upstreams[0])
    chosen = selector.choose(upstreams, opening(5.0, tried=[upstreams[1]]))
    assert chosen is upstreams[2]


def test_an_upstream_that_may_get_no_flows_or_few_gets_no_trial(detector, upstreams):
    """It drains, or its failure domain is out of service; or it is still cold."""
    selector = OutlierSelector(FirstSelector(), detector)
    eject(detector, upstreams[0])
    assert selector.choose(upstreams[1:], opening(5.0)) is upstreams[1]
    upstreams[0].update(upstream_record("up-0", "zone", cold_left_s=9.0), 1.0)
    assert selector.choose(upstreams, opening(5.0)) is upstreams[1]
    assert detector.counts.trials == 0
    upstreams[0].update(upstream_record("up-0", "zone"), 1.0)
    assert selector.choose(upstreams, opening(5.0)) is upstreams[0]


def test_if_all_others_were_tried_an_outlier_is_better_than_none(detector, upstreams):
    selector = OutlierSelector(FirstSelector(), detector)
    eject(detector, upstreams[0])
    chosen = selector.choose(upstreams, opening(1.1, tried=upstreams[1:]))
    assert chosen is upstreams[0]


def test_plausible_trials_end_it_and_a_relapse_needs_more(detector, upstreams):
    eject(detector, upstreams[0])
    answer(detector, upstreams[0], GOOD, 2.0)
    assert detector.left_out == 1
    answer(detector, upstreams[0], GOOD, 2.3)
    assert detector.left_out == 0
    eject(detector, upstreams[0], 3.0)
    for _ in range(3):
        answer(detector, upstreams[0], GOOD, 4.0)
    assert detector.left_out == 1
    answer(detector, upstreams[0], GOOD, 4.0)
    assert detector.left_out == 0


def test_each_peer_counts_once_for_the_return(detector, upstreams):
    eject(detector, upstreams[0])
    for _ in range(5):
        detector.note_report(upstreams[0], False, "peer-1", 2.0)
    assert detector.left_out == 1
    detector.note_report(upstreams[0], False, "peer-2", 2.0)
    assert detector.left_out == 0


def test_trials_back_off_at_different_times_for_each_balancer(upstreams):
    first, second = Ejection(upstreams[0], 2), Ejection(upstreams[0], 2)
    gaps = []
    for number in range(8):
        now = 10.0 * number
        first.note_suspicious("vm-1", now)
        second.note_suspicious("vm-2", now)
        gaps.append(first.trial_due_at - now)
        assert first.trial_due_at != second.trial_due_at
    shortest_s, longest_s = ejections.TRIAL_RANGE_S
    assert shortest_s <= gaps[0] <= 2 * shortest_s
    assert all(longest_s <= gap <= 2 * longest_s for gap in gaps[4:])


def test_an_ejection_without_recent_evidence_lapses(detector, upstreams):
    eject(detector, upstreams[0])
    answer(detector, upstreams[1], GOOD, 2.0 + ejections.EJECTION_LAPSE_S)
    assert detector.left_out == 0


# Requests left unanswered ----------------------------------------------------------


def test_requests_left_unanswered_for_long_are_suspicious(detector, upstreams):
    for sent_at in (1.0, 1.1):
        detector.request_stalled(upstreams[0], IDEMPOTENT, sent_at, sent_at + 0.2)
        assert detector.left_out == 0, "not far longer than the route's times"
        detector.request_stalled(upstreams[0], IDEMPOTENT, sent_at, sent_at + 0.6)
        detector.request_stalled(upstreams[0], IDEMPOTENT, sent_at, sent_at + 1.4)
    assert detector.counts.suspicious == 2, "each request counts once"
    assert detector.left_out == 1


# In a process -------------------------------------------------------------------


@pytest.fixture
def forwarder(request):
    packets = DatagramSocket(Address("127.0.0.1", 0))
    settings = ForwarderSettings(
        name="vm-1",
        failure_domain="zone",
        packets=str(packets.address),
        peers="127.0.0.1:1",
        probes="127.0.0.1:1",
        registry="127.0.0.1:1",
        features=request.param,
    )
    decoder = InMemoryDecoder()
    with Forwarder(settings, PacketHeader(), decoder, packets) as forwarder:
        records = [upstream_record(f"up-{number}", "zone") for number in range(4)]
        items = [
            PublishedItem(ItemKind.UPSTREAM, one.name, 1, decoder.encode(one))
            for one in records
        ]
        forwarder.view.update(items, 0.0)
        yield forwarder


@pytest.mark.parametrize("forwarder", [[Feature.OUTLIER_EJECTION]], indirect=True)
def test_reports_of_peers_are_applied_and_shown_as_metrics(forwarder):
    token = forwarder.view.upstreams.get("up-0").token
    for peer in ("peer-1", "peer-2", "peer-3"):
        forwarder.apply_outlier_report(token, True, peer)
        forwarder.apply_outlier_report(12345, True, peer)
    assert forwarder.outliers.left_out == 1
    metrics = render_metrics(forwarder, dict)
    assert b"egrethook_upstreams_outliers 1.0" in metrics
    assert b"egrethook_outlier_ejections_total 1.0" in metrics


@pytest.mark.parametrize("forwarder", [[]], indirect=True)
def test_switched_off_a_report_changes_nothing(forwarder):
    token = forwarder.view.upstreams.get("up-0").token
    forwarder.apply_outlier_report(token, True, "peer")
    assert forwarder.outliers is None
    assert b"outlier" not in render_metrics(forwarder, dict)
