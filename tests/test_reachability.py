"""Whether a balancer reaches any upstream, and says that it is ready.

Guards against callers that are sent to a failure domain where nothing can serve them,
and against balancers that say so though they could serve.
"""

from __future__ import annotations

import pytest

from egrethook.emulator.flow_records import upstream_record
from egrethook.upstreams.health import PassiveHealth
from egrethook.upstreams.reachability import (
    RETRY_AFTER_S,
    HeardDomains,
    Reachability,
)
from egrethook.upstreams.upstream import Upstream

KNOWN = frozenset({"a", "b", "c"})
NOW = 100.0


class Balancer:
    """A balancer in failure domain "a", whose process started at second 0."""

    def __init__(self, live=frozenset(), known=KNOWN, started_at=0.0):
        self.health = PassiveHealth("vm")
        self.heard = HeardDomains(frozenset(live), frozenset(known))
        self.health.note_interruption(started_at)
        self.reachability = Reachability("a", self.health, lambda: self.heard)
        self.upstreams = {
            domain: Upstream(upstream_record(f"up-{domain}", domain), 0.0)
            for domain in "abc"
        }

    def leave_unanswered(self, domains, at):
        for domain in domains:
            self.health.note_unanswered_opening(self.upstreams[domain], at - 0.1, at)

    def answer(self, domain, at):
        self.health.note_answer(self.upstreams[domain], at)

    def reaches(self, domains, at=NOW):
        return self.reachability.reaches_any(domains, at)


def test_cut_off_domain_without_upstreams_of_its_own_reaches_none():
    balancer = Balancer()
    balancer.answer("b", NOW - 2)
    balancer.leave_unanswered("bc", NOW - 1)
    assert not balancer.reaches("bc")
    assert not balancer.reaches("bc", NOW + 60), "it gets no openings that would tell"


def test_it_reaches_upstreams_again_when_balancers_are_heard_again():
    balancer = Balancer()
    balancer.leave_unanswered("bc", NOW - 1)
    balancer.heard = HeardDomains(frozenset("c"), KNOWN)
    assert balancer.reaches("bc")


def test_own_upstreams_are_reachable_during_a_cut():
    balancer = Balancer()
    balancer.leave_unanswered("abc", NOW - 1)
    assert balancer.reaches("abc")


@pytest.mark.parametrize("live", ["", "b"])
def test_domain_whose_upstreams_answer_is_reachable_without_its_balancers(live):
    balancer = Balancer(live=live)
    balancer.leave_unanswered("bc", NOW - 2)
    balancer.answer("c", NOW - 1)
    balancer.leave_unanswered("c", NOW - 0.9)
    assert balancer.reaches("c")


def test_unresponsive_upstreams_of_domains_that_are_heard_change_nothing():
    balancer = Balancer(live="bc")
    balancer.leave_unanswered("bc", NOW - 1)
    assert balancer.reaches("bc")


def test_without_any_upstreams_nothing_is_known_to_be_unreachable():
    assert Balancer().reaches("")


def test_new_process_is_ready_until_openings_are_unanswered_for_a_while():
    balancer = Balancer(known="a", started_at=NOW)
    assert balancer.reaches("bc", NOW)
    balancer.leave_unanswered("bc", NOW + 0.1)
    assert balancer.reaches("bc", NOW + 0.1)
    balancer.leave_unanswered("bc", NOW + 0.6)
    assert not balancer.reaches("bc", NOW + 0.6)


def test_domain_without_balancers_is_tried_again():
    balancer = Balancer(known="a")
    balancer.leave_unanswered("bc", NOW)
    assert not balancer.reaches("bc", NOW + RETRY_AFTER_S - 0.1)
    assert balancer.reaches("bc", NOW + RETRY_AFTER_S)
