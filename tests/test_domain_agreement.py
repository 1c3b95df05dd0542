"""What one balancer believes of a cut, and what those of a failure domain decide.

Guards against a balancer that takes old or few unanswered openings for a cut, and
against a majority that counts outdated reports or overrules a balancer with answers.
"""

from __future__ import annotations

import pytest

from egrethook.addresses import Address
from egrethook.balancers.domain_agreement import (
    ABSENCE_RANGE_S,
    AGREED_FOR_S,
    REPORT_FRESH_S,
    RETURN_ALONE_S,
    SETTLING_S,
    DomainAgreement,
)
from egrethook.balancers.gossip_codec import MemberInfo, ReachReport, decode, encode
from egrethook.upstreams.reach_evidence import Belief, OwnBelief, ReachEvidence

# Evidence of one balancer ----------------------------------------------------------


def evidence(*entries):
    """Return evidence from (domain, time of the opening or None, time noted)."""
    collected = ReachEvidence()
    for domain, sent_at, at in entries:
        if sent_at is None:
            collected.note_answer(domain, at)
        else:
            collected.note_unanswered(domain, sent_at, at)
    return collected


SILENT = {"b": 1.0, "c": 1.0}.get
HEARD = {"b": 0.1, "c": 1.0}.get
UNANSWERED = [("b", 10.0, 10.1), ("c", 10.1, 10.2), ("b", 10.2, 10.3)]


@pytest.mark.parametrize(
    ("entries", "contact_age", "expected"),
    [
        (UNANSWERED, SILENT, Belief.UNREACHED),
        (UNANSWERED, HEARD, Belief.UNKNOWN),
        (UNANSWERED[:2], SILENT, Belief.UNKNOWN),
        ([("b", None, 9.0)], SILENT, Belief.UNKNOWN),
        ([*UNANSWERED, ("c", None, 10.3)], SILENT, Belief.REACHES),
        ([*UNANSWERED, ("a", None, 10.3)], SILENT, Belief.UNREACHED),
        ([("b", None, 10.1)], SILENT, Belief.REACHES),
        ([], SILENT, Belief.UNKNOWN),
        # Balancers of "c" were never known: its upstreams have to show it.
        (UNANSWERED, {"b": 1.0}.get, Belief.UNKNOWN),
        ([*UNANSWERED, ("c", 10.2, 10.35)], {"b": 1.0}.get, Belief.UNREACHED),
    ],
)
def test_belief_of_one_balancer(entries, contact_age, expected):
    shown = evidence(*entries).belief({"b", "c"}, contact_age, 10.4)
    assert shown.belief is expected


def test_openings_that_stay_unanswered_count_although_gossip_is_heard():
    entries = [("bc"[n % 2], 8.0 + n * 0.3, 8.1 + n * 0.3) for n in range(8)]
    collected = evidence(*entries)
    heard = {"b": 0.1, "c": 0.1}.get
    assert collected.belief({"b", "c"}, heard, 9.6).belief is Belief.UNKNOWN
    assert collected.belief({"b", "c"}, heard, 10.3).belief is Belief.UNREACHED


def test_busy_balancer_remembers_as_long_as_an_idle_one():
    """Each of 300 unanswered openings a second would displace the earlier ones."""
    entries = [("bc"[n % 2], 7.0 + n / 300, 7.1 + n / 300) for n in range(900)]
    heard = {"b": 0.1, "c": 0.1}.get
    shown = evidence(*entries).belief({"b", "c"}, heard, 10.1)
    assert shown.belief is Belief.UNREACHED


def test_answers_in_between_leave_nothing_to_decide():
    """Lost packets of a busy balancer cost it no decision."""
    entries = [("b", 9.0 + n * 0.1, 9.1 + n * 0.1) for n in range(10)]
    collected = evidence(*entries, ("b", None, 10.05))
    assert not collected.is_suspicious(10.1)
    collected.note_unanswered("b", 10.06, 10.1)
    assert not collected.is_suspicious(10.1)


def test_old_unanswered_openings_show_nothing():
    assert evidence(*UNANSWERED).belief({"b", "c"}, SILENT, 12.0) == OwnBelief()


def test_openings_from_before_a_suspension_show_nothing():
    collected = evidence(*UNANSWERED)
    collected.forget_unanswered()
    assert collected.belief({"b", "c"}, SILENT, 10.4) == OwnBelief()


# The decision ----------------------------------------------------------------------

UNREACHED = OwnBelief(Belief.UNREACHED)
REACHES = OwnBelief(Belief.REACHES)
NOTHING = OwnBelief()


def decide(agreement, own, peers, at):
    """Decide at a time, and again once an agreement has lasted long enough."""
    agreement.update(own, peers, at)
    return agreement.update(own, peers, at + AGREED_FOR_S + 0.01)


def agreement_of(reports, at=10.0):
    agreement = DomainAgreement()
    for sender, reaches in reports.items():
        agreement.note_report(sender, (1, 1), reaches, 0.0, at)
    return agreement


@pytest.mark.parametrize(
    ("own", "reports", "live", "departs"),
    [
        (UNREACHED, {1: False}, 1, True),
        (UNREACHED, {}, 1, False),
        (NOTHING, {1: False}, 1, False),
        (NOTHING, {1: False, 2: False}, 2, True),
        (NOTHING, {1: False, 2: False}, 3, False),
        (UNREACHED, {1: False, 2: False, 3: True}, 3, False),
        (REACHES, {1: False, 2: False, 3: False}, 3, False),
        # Reports of balancers that are not live don't count.
        (UNREACHED, {1: False, 8: False, 9: False}, 5, False),
    ],
)
def test_majority_without_objection_departs(own, reports, live, departs):
    peers = range(1, live + 1)
    assert decide(agreement_of(reports), own, peers, 10.0) is departs


def test_outdated_reports_are_not_counted():
    agreement = agreement_of({1: False})
    assert not decide(agreement, UNREACHED, [1], 10.0 + REPORT_FRESH_S + 0.1)


def test_report_that_was_overtaken_is_ignored():
    agreement = DomainAgreement()
    agreement.note_report(1, (7, 5), True, 0.0, 10.0)
    agreement.note_report(1, (7, 4), False, 0.0, 10.0)
    assert not decide(agreement, UNREACHED, [1], 10.0)
    agreement.note_report(1, (8, 0), False, 0.0, 10.5)
    assert decide(agreement, UNREACHED, [1], 10.5)


def departed_agreement(at=10.0):
    agreement = agreement_of({1: False, 2: False}, at)
    assert decide(agreement, UNREACHED, [1, 2], at)
    return agreement


def test_two_balancers_that_reach_an_upstream_end_the_departure():
    agreement = departed_agreement()
    at = 10.2 + ABSENCE_RANGE_S[0]
    agreement.note_report(1, (1, 2), True, 0.0, at)
    assert agreement.update(UNREACHED, [1, 2], at)
    agreement.note_report(2, (1, 2), True, 0.0, at)
    assert not agreement.update(UNREACHED, [1, 2], at)


def test_one_balancer_that_keeps_reaching_an_upstream_ends_it_too():
    agreement = departed_agreement()
    at = 12.0
    assert agreement.update(REACHES, [1, 2], at)
    assert not agreement.update(REACHES, [1, 2], at + RETURN_ALONE_S)


def test_domain_that_departs_again_soon_stays_out_for_longer():
    agreement = departed_agreement()
    agreement.end_departure(12.0)
    at = 12.0 + SETTLING_S - 0.5
    agreement.note_report(1, (1, 2), False, 0.0, at)
    agreement.note_report(2, (1, 2), False, 0.0, at)
    assert not decide(agreement, UNREACHED, [1, 2], at), "it settles first"
    at = 12.0 + SETTLING_S
    assert decide(agreement, UNREACHED, [1, 2], at)
    at += AGREED_FOR_S + ABSENCE_RANGE_S[0] + 0.2
    for sender in (1, 2):
        agreement.note_report(sender, (1, 3), True, 0.0, at)
    assert agreement.update(REACHES, [1, 2], at)
    at += ABSENCE_RANGE_S[0]
    for sender in (1, 2):
        agreement.note_report(sender, (1, 4), True, 0.0, at)
    assert not agreement.update(REACHES, [1, 2], at)


def test_report_round_trips():
    sender = MemberInfo(Address("10.0.0.1", 7000), "a", 5, 7)
    report = ReachReport(sender, False, 0.25)
    assert decode(encode(report)) == report
