"""Verdicts on upstreams, and what balancers tell each other of them."""

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

SILENT = HealthObservation(False, 0.045)


@pytest.fixture
def upstreams():
    return [Upstream(upstream_record(name, "zone"), 0.0) for name in "abc"]


@pytest.fixture
def told():
    return []


@pytest.fixture
def health(told):
    health = PassiveHealth("vm")
    health.set_listener(lambda one, verdict: told.append((one.name, verdict.answers)))
    return health


def test_one_silence_here_and_one_elsewhere_are_enough(health, upstreams):
    one = upstreams[0]
    health.note_unanswered_opening(one, 0.95, 1.0)
    assert not one.is_ejected(1.0)
    health.note_report(one, SILENT, 1.01)
    assert one.is_ejected(1.02)


def test_own_answer_outweighs_an_older_silence_elsewhere(health, upstreams):
    one = upstreams[0]
    health.note_answer(one, 0.98)
    for _ in range(3):
        health.note_report(one, SILENT, 1.0)
    assert not one.is_ejected(1.0)


def test_upstream_that_answers_others_is_not_silent(health, upstreams, told):
    """After an outage many openings are of callers that have gone meanwhile."""
    one = upstreams[0]
    health.note_answer(one, 1.0)
    for _ in range(3):
        health.note_unanswered_opening(one, 0.99, 1.04)
    assert not one.is_ejected(1.04)
    assert told == []


def test_answer_elsewhere_ends_distrust(health, upstreams):
    one = upstreams[0]
    for _ in range(3):
        health.note_report(one, SILENT, 1.0)
    assert one.is_ejected(1.0)
    health.note_report(one, HealthObservation(True), 1.1)
    assert not one.is_ejected(1.1)


def test_balancer_that_hears_from_nobody_accuses_nobody(health, upstreams, told):
    health.note_unanswered_opening(upstreams[0], 0.95, 1.0)
    assert told == []
    health.note_answer(upstreams[1], 1.5)
    health.note_unanswered_opening(upstreams[0], 1.95, 2.0)
    assert told == [("a", False)]


def test_answer_of_a_distrusted_upstream_is_told(health, upstreams, told):
    one = upstreams[0]
    for _ in range(2):
        health.note_unanswered_opening(one, 0.95, 1.0)
    health.note_answer(one, 2.0)
    assert told == [("a", True)]


def test_one_silence_suffices_while_neighbours_fail(health, upstreams):
    first, second, third = upstreams
    for _ in range(2):
        health.note_unanswered_opening(first, 0.95, 1.0)
    health.note_unanswered_opening(second, 1.05, 1.1)
    assert second.is_ejected(1.1)
    later = 1.1 + DOMAIN_SUSPICION_S
    health.note_unanswered_opening(third, later, later + 0.1)
    assert not third.is_ejected(later + 0.1)


def test_old_silences_are_forgotten(health, upstreams):
    one = upstreams[0]
    health.note_unanswered_opening(one, 0.95, 1.0)
    later = 1.1 + UNANSWERED_MEMORY_S
    health.note_unanswered_opening(one, later, later)
    assert not one.is_ejected(later)


def test_balancers_try_again_at_different_times(upstreams):
    ends = set()
    for name in ("vm-1", "vm-2", "vm-3"):
        one = Upstream(upstream_record("a", "zone"), 0.0)
        health = PassiveHealth(name)
        for _ in range(2):
            health.note_unanswered_opening(one, 0.95, 1.0)
        ends.add(one.ejected_until)
        shortest_s, _ = EJECTION_RANGE_S
        assert 1.0 + shortest_s <= one.ejected_until <= 1.0 + 2 * shortest_s
    assert len(ends) == 3
