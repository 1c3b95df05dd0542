"""Openings that are held back until the answers of upstreams are prompt.

The tests guard against a fresh balancer that floods its upstreams, and against one that
holds openings back for good.
"""

from __future__ import annotations

from queueing_builders import outcome, upstreams

from egrethook.emulator.flow_records import route_table
from egrethook.upstreams.selection import Opening
from egrethook.upstreams.slow_start import (
    FLEET_HEARD_AFTER_S,
    INITIAL_WINDOW,
    SLOW_START_S,
    SlowStartSelector,
)


class FirstCandidate:
    def choose(self, candidates, opening):
        return candidates[0]


def wanted(now, on_time=True, tried=()):
    return Opening(route_table().routes[0], tried, (), on_time, now)


def test_slow_start_holds_openings_back_until_answers_are_prompt():
    selector, candidates = SlowStartSelector(FirstCandidate(), lambda: 0), upstreams()
    candidates[0].busy_flows = int(INITIAL_WINDOW)
    assert selector.choose(candidates, wanted(0.0)) is None
    for _ in range(5):
        selector.request_answered(outcome(candidates[0]), 0.1)
    assert selector.choose(candidates, wanted(0.1)) is candidates[0]


def test_slow_start_does_not_hold_back_resends():
    selector, candidates = SlowStartSelector(FirstCandidate(), lambda: 0), upstreams()
    candidates[1].busy_flows = 9
    assert selector.choose(candidates, wanted(0.0, tried=(candidates[1],)))


def test_window_is_at_least_the_share_of_a_small_fleet():
    selector, candidates = SlowStartSelector(FirstCandidate(), lambda: 2), upstreams(10)
    candidates[0].busy_flows = 9
    assert selector.choose(candidates, wanted(0.0)) is None
    assert selector.choose(candidates, wanted(FLEET_HEARD_AFTER_S + 0.1))


def test_slow_start_ends_even_if_no_answer_is_prompt():
    """Where upstreams are slow at any load, a window that stays small loses callers."""
    selector, candidates = SlowStartSelector(FirstCandidate(), lambda: 0), upstreams()
    candidates[0].busy_flows = 50
    assert selector.choose(candidates, wanted(0.0)) is None
    assert selector.choose(candidates, wanted(SLOW_START_S + 0.1))
    assert selector.choose(candidates, wanted(SLOW_START_S + 9.0)), "for good"
