"""Ejection of upstreams, and the health reports that balancers exchange.

Guards against sending openings to dead upstreams, and against ejecting live ones when
the caller or this balancer's own network is at fault.
"""

from __future__ import annotations

import pytest

from egrethook.emulator.flow_records import upstream_record
from egrethook.upstreams.health import (
    DOMAIN_SUSPICION_S,
    EJECTION_RANGE_S,
    UNANSWERED_MEMORY_S,
    HealthObservation,
    PassiveHealth,
)
from egrethook.upstreams.upstream import Upstream

NO_ANSWER = HealthObservation(False, 0.045)


@pytest.fixture
def upstreams():
    return [Upstream(upstream_record(name, "zone"), 0.0) for name in "abc"]


@pytest.fixture
def reports():
    return []


@pytest.fixture
def health(reports):
    health = PassiveHealth("vm")
    health.set_listener(
        lambda upstream, verdict: reports.append((upstream.name, verdict.answers))
    )
    return health


def test_one_own_and_one_reported_unanswered_opening_eject(health, upstreams):
    upstream = upstreams[0]
    health.note_unanswered_opening(upstream, 0.95, 1.0)
    assert not upstream.is_ejected(1.0)
    health.note_report(upstream, NO_ANSWER, 1.01)
    assert upstream.is_ejected(1.02)


def test_own_answer_outweighs_an_older_report_of_no_answer(health, upstreams):
    upstream = upstreams[0]
    health.note_answer(upstream, 0.98)
    for _ in range(3):
        health.note_report(upstream, NO_ANSWER, 1.0)
    assert not upstream.is_ejected(1.0)


def test_unanswered_opening_before_the_last_answer_does_not_count(
    health, upstreams, reports
):
    """After an outage, many openings belong to callers that are gone."""
    upstream = upstreams[0]
    health.note_answer(upstream, 1.0)
    for _ in range(3):
        health.note_unanswered_opening(upstream, 0.99, 1.04)
    assert not upstream.is_ejected(1.04)
    assert reports == []


def test_reported_answer_ends_the_ejection(health, upstreams):
    upstream = upstreams[0]
    for _ in range(3):
        health.note_report(upstream, NO_ANSWER, 1.0)
    assert upstream.is_ejected(1.0)
    health.note_report(upstream, HealthObservation(True), 1.1)
    assert not upstream.is_ejected(1.1)


def test_unanswered_opening_is_reported_only_if_the_domain_is_reachable(
    health, upstreams, reports
):
    health.note_unanswered_opening(upstreams[0], 0.95, 1.0)
    assert reports == []
    health.note_answer(upstreams[1], 1.5)
    health.note_unanswered_opening(upstreams[0], 1.95, 2.0)
    assert reports == [("a", False)]


def test_answer_of_an_ejected_upstream_is_reported(health, upstreams, reports):
    upstream = upstreams[0]
    for _ in range(2):
        health.note_unanswered_opening(upstream, 0.95, 1.0)
    health.note_answer(upstream, 2.0)
    assert reports == [("a", True)]


def test_one_unanswered_opening_ejects_just_after_an_ejection_in_the_domain(
    health, upstreams
):
    first, second, third = upstreams
    for _ in range(2):
        health.note_unanswered_opening(first, 0.95, 1.0)
    health.note_unanswered_opening(second, 1.05, 1.1)
    assert second.is_ejected(1.1)
    later = 1.1 + DOMAIN_SUSPICION_S
    health.note_unanswered_opening(third, later, later + 0.1)
    assert not third.is_ejected(later + 0.1)


def test_recovery_after_an_ejection_at_the_lower_threshold_is_reported(
    health, upstreams, reports
):
    first, second, _ = upstreams
    for _ in range(2):
        health.note_unanswered_opening(first, 0.95, 1.0)
    health.note_unanswered_opening(second, 1.05, 1.1)
    health.note_answer(second, 1.3)
    assert reports == [("b", True)]


def test_every_ejection_and_its_end_are_logged_once(health, upstreams, monkeypatch):
    """Unanswered openings can pass the threshold without ever being equal to it."""
    lines = []
    for level in ("warning", "info"):
        monkeypatch.setattr(
            f"egrethook.upstreams.health._LOG.{level}",
            lambda text, **fields: lines.append((fields["upstream"], text)),
        )
    first, second, _ = upstreams
    health.note_unanswered_opening(second, 0.9, 0.95)
    for _ in range(2):
        health.note_unanswered_opening(first, 0.95, 1.0)
    for sent_at in (1.05, 1.1):
        health.note_unanswered_opening(second, sent_at, sent_at + 0.05)
    health.note_answer(second, 1.3)
    assert [text for upstream, text in lines if upstream == "b"] == [
        "an upstream leaves openings unanswered.",
        "an upstream answers again.",
    ]


def test_old_unanswered_openings_do_not_count(health, upstreams):
    upstream = upstreams[0]
    health.note_unanswered_opening(upstream, 0.95, 1.0)
    later = 1.1 + UNANSWERED_MEMORY_S
    health.note_unanswered_opening(upstream, later, later)
    assert not upstream.is_ejected(later)


def test_ejection_times_differ_between_balancers(upstreams):
    ends = set()
    for name in ("vm-1", "vm-2", "vm-3"):
        upstream = Upstream(upstream_record("a", "zone"), 0.0)
        health = PassiveHealth(name)
        for _ in range(2):
            health.note_unanswered_opening(upstream, 0.95, 1.0)
        ends.add(upstream.ejected_until)
        shortest_s, _ = EJECTION_RANGE_S
        assert 1.0 + shortest_s <= upstream.ejected_until <= 1.0 + 2 * shortest_s
    assert len(ends) == 3
