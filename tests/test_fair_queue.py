"""Order, shares and expected waits of the fair queue.

The tests guard against a route or caller that takes the room of others, openings that
starve, and openings that are lost or answered for twice.
"""

from __future__ import annotations

import itertools
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from queueing_builders import COST_S, opening, queue_of

from egrethook.callers.fair_order import MAX_IDLE_MEMBERS, MAX_MEMBERS_AHEAD
from egrethook.callers.fair_queue import LATE_SHARE, MAX_LATE_CREDIT_S, FairQueue
from egrethook.callers.waiting import MIN_QUEUE_CAPACITY


def served(queue, count, now=0.0):
    """Return the next openings in the order in which they are served."""
    order = queue.in_order(now, COST_S)
    result = list(itertools.islice(order, count))
    next(order, None)
    return result


def test_least_slack_is_served_first_within_a_route():
    openings = [opening(due=due) for due in (3.0, 1.0, 2.0)]
    assert [one.due for one in served(queue_of(*openings), 3)] == [1.0, 2.0, 3.0]


def test_higher_priority_is_served_first_within_its_share():
    queue = queue_of(opening("a", priority=2, due=1.0), opening("b", priority=0))
    assert [one.route for one in served(queue, 2)] == ["b", "a"]


def test_late_openings_are_served_after_those_on_time():
    queue = queue_of(opening("late", due=0.1), opening("on time", due=5.0))
    assert [one.route for one in served(queue, 2, now=0.5)] == ["on time", "late"]


def test_burst_of_a_route_leaves_others_their_share():
    burst = [opening("burst", caller=n, due=1.0) for n in range(100)]
    others = [opening("other", caller=n, due=5.0) for n in range(30)]
    routes = Counter(one.route for one in served(queue_of(*burst, *others), 40))
    assert 17 <= routes["other"] <= 23


def test_shares_follow_the_priority_of_the_route():
    openings = [opening("high", caller=n, priority=0) for n in range(100)]
    openings += [opening("low", caller=n, priority=2) for n in range(100)]
    routes = Counter(one.route for one in served(queue_of(*openings), 80))
    assert 55 <= routes["high"] <= 65, "weights are 1 and 1/3"


def test_shares_count_cost_and_not_openings():
    openings = [opening("cheap", caller=n, cost_s=0.02) for n in range(200)]
    openings += [opening("costly", caller=n, cost_s=0.2) for n in range(200)]
    result = served(queue_of(*openings), 110)
    cost_s = sum(one.cost_s for one in result if one.route == "costly")
    assert cost_s == pytest.approx(sum(one.cost_s for one in result) / 2, rel=0.15)


def test_unused_share_is_borrowed():
    openings = [opening("a", caller=n) for n in range(20)]
    assert len(served(queue_of(*openings, opening("b")), 21)) == 21


def test_idle_route_accumulates_no_credit():
    queue = queue_of(*(opening("a", caller=n) for n in range(100)))
    served(queue, 60)
    for number in range(40):
        queue.push(opening("b", caller=number, due=1.0))
    routes = Counter(one.route for one in served(queue, 40))
    assert routes["b"] <= 24


def test_caller_with_many_openings_does_not_stand_before_one_with_one():
    many = [opening(caller=1, due=1.0) for _ in range(100)]
    single = [opening(caller=2 + n, due=2.0) for n in range(5)]
    callers = [one.caller for one in served(queue_of(*many, *single), 6)]
    assert sorted(callers) == [1, 2, 3, 4, 5, 6]


def test_callers_that_come_and_go_beside_a_queue_are_forgotten():
    waiting = [opening("a", due=100.0, caller_timeout_at=300.0) for _ in range(3)]
    queue = queue_of(*waiting)
    served(queue, 1)
    for number in range(10_000):
        queue.push(opening("a", caller=number + 2, due=50.0, caller_timeout_at=1.4))
        served(queue, 1)
    (route,) = queue._on_time._routes._members.values()
    assert len(route.backlog._members) < 2 * MAX_MEMBERS_AHEAD + MAX_IDLE_MEMBERS
    assert len(queue._by_start) <= len(waiting), "none is demoted before its timeout"


def test_queue_keeps_nothing_of_openings_that_are_gone():
    queue = queue_of(*(opening() for _ in range(50)))
    served(queue, 50)
    queue.push(opening())
    assert len(queue._by_start) == len(queue._by_give_up) == 1


def test_late_openings_get_their_share_while_others_keep_coming():
    late = [opening("late", due=0.0, caller_timeout_at=99.0) for _ in range(50)]
    queue = queue_of(*late, *(opening("a", caller=n) for n in range(1000)))
    routes = Counter(one.route for one in served(queue, 400, now=1.0))
    assert routes["late"] == pytest.approx(400 * LATE_SHARE, abs=2)


def test_costly_late_openings_get_their_share_too():
    cost_s = 2.0 * MAX_LATE_CREDIT_S
    late = [opening("late", due=0.0, cost_s=cost_s) for _ in range(50)]
    queue = queue_of(*late, *(opening("a", caller=n) for n in range(4000)))
    order = served(queue, 2000, now=1.0)
    late_s = cost_s * sum(one.route == "late" for one in order)
    total_s = sum(one.cost_s for one in order)
    assert late_s / total_s == pytest.approx(LATE_SHARE, abs=0.01)


def test_expected_cost_does_not_shorten_the_wait_of_an_opening():
    """A caller gives up its opening, not the request that runs once it is open."""
    queue = queue_of(opening(due=0.2, caller_timeout_at=1.4, cost_s=0.9))
    assert list(queue.take_hopeless(1.3)) == []


def test_late_opening_without_room_leaves_the_turn_to_one_on_time():
    late = opening("late", due=0.0, caller_timeout_at=99.0)
    queue = queue_of(late, *(opening("a", caller=n) for n in range(40)))
    asked = []
    for one in queue.in_order(1.0, COST_S):
        asked.append(one.route)
        if one.route == "late" and not queue.set_aside(one):
            break
    assert asked.count("a") == 40
    assert len(queue) == 1, "the late one is kept"


def test_opening_without_room_stays_at_the_head():
    queue = queue_of(opening("a", due=1.0), opening("a", due=2.0))
    for one in queue.in_order(0.0, COST_S):
        assert one.due == 1.0
        assert not queue.set_aside(one)
        break
    assert [one.due for one in served(queue, 2)] == [1.0, 2.0]


def test_retry_beyond_the_budget_yields_to_others():
    queue = queue_of(opening("a", due=1.0, yields=True), opening("a", due=2.0))
    assert [one.yields for one in served(queue, 2)] == [False, True]


def test_hopeless_opening_is_taken_out_before_its_timeout():
    queue = queue_of(opening(due=0.2, caller_timeout_at=1.4))
    assert list(queue.take_hopeless(1.34)) == []
    (hopeless,) = queue.take_hopeless(1.36)
    assert hopeless.caller_timeout_at == 1.4
    assert len(queue) == 0 and list(queue.take_hopeless(9.0)) == []


def test_expected_wait_counts_only_openings_that_stand_before():
    burst = [opening("burst", caller=1, due=9.0) for _ in range(100)]
    queue = queue_of(*burst)
    same_caller = queue.expected_wait_s(10.0, opening("burst", caller=1, due=9.0))
    other_caller = queue.expected_wait_s(10.0, opening("burst", caller=2, due=9.0))
    other_route = queue.expected_wait_s(10.0, opening("other", due=9.0))
    assert same_caller >= 10.0
    assert other_caller < 1.0 and other_route < 1.0


def test_short_queue_has_no_expected_wait():
    queue = queue_of(*(opening() for _ in range(MIN_QUEUE_CAPACITY - 1)))
    assert queue.expected_wait_s(0.0, opening()) == 0.0


STEPS = st.lists(
    st.tuples(
        st.sampled_from("abc"),  # route
        st.integers(1, 3),  # caller
        st.integers(0, 2),  # priority
        st.floats(0.0, 1.5),  # objective
        st.floats(0.005, 0.3),  # cost
        st.booleans(),  # a retry beyond the budget
        st.integers(0, 3),  # openings served in the step
        st.booleans(),  # whether late openings find room
    ),
    max_size=60,
)


@given(STEPS)
def test_each_opening_is_answered_for_once_and_before_its_timeout(steps):
    queue = FairQueue()
    waiting = {}
    now = 0.0

    def leaves(one, latest):
        assert waiting.pop(one.flow) is not None, "once"
        assert now <= latest

    idle = [("a", 1, 1, 1.0, 0.05, False, 0, False)] * 20
    for number, step in enumerate([*steps, *idle]):
        route, caller, priority, objective_s, cost_s, yields, room, late_room = step
        now += 0.1
        if number < len(steps):
            one = opening(
                route,
                caller,
                priority,
                now,
                now + objective_s,
                cost_s=cost_s,
                caller_timeout_at=now + 1.4,
                yields=yields,
            )
            queue.push(one)
            waiting[one.flow] = one
        for one in queue.take_hopeless(now):
            leaves(one, one.caller_timeout_at + 0.1)
        for one in queue.in_order(now, COST_S):
            is_late = one.yields or now > one.due - one.cost_s
            if room and (late_room or not is_late):
                room -= 1
                leaves(one, one.caller_timeout_at)
            elif not queue.set_aside(one):
                break
        assert len(queue) == len(waiting)
        for one in waiting.values():
            assert now <= one.caller_timeout_at, "none is kept past its timeout"
    assert not waiting


@given(st.lists(st.sampled_from("abcd"), min_size=1, max_size=60))
def test_no_route_starves_while_others_keep_coming(routes):
    """Each route with an opening gets one within a few rounds of all routes."""
    queue = queue_of(*(opening(route, caller=n) for n, route in enumerate(routes)))
    for number in range(200):
        queue.push(opening("flood", caller=number, priority=0, due=0.5))
    turns = [one.route for one in served(queue, 100)]
    assert set(routes) <= set(turns)
