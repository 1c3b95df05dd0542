"""The index of upstreams under any order of its events.

Guards against removals that end the process, and against a grace period that a record
which is written over and over prolongs.
"""

from __future__ import annotations

import math
import random

import pytest

from egrethook.emulator.flow_records import upstream_record
from egrethook.upstreams.roster import (
    EXPIRED_RECORD_GRACE_S,
    MIN_OUTAGE_FOR_EXPIRY_S,
    RECENT_ANSWER_S,
    UpstreamIndex,
)

FLOW_LIFE_S = 10.0


def index_with_answering_upstream():
    index = UpstreamIndex(FLOW_LIFE_S)
    index.put(upstream_record("a", "zone-a"), 0.0).answered_at = 0.0
    return index


def test_second_removal_in_the_grace_period_ends_neither_it_nor_the_process():
    """Guards against KeyError in `expire`, which ended the housekeeping task."""
    index = index_with_answering_upstream()
    index.remove("a", 0.1)
    index.remove("a", RECENT_ANSWER_S + 0.2)
    index.expire(EXPIRED_RECORD_GRACE_S)
    assert index.get("a") is not None
    index.expire(0.1 + EXPIRED_RECORD_GRACE_S)
    assert index.get("a") is None


def test_repeated_removals_do_not_prolong_the_grace_period():
    """Guards against an upstream that is gone but kept for ever."""
    index = index_with_answering_upstream()
    for step in range(30):
        now = 0.1 * step
        index.remove("a", now)
        index.expire(now)
        if index.get("a") is None:
            break
        index.get("a").answered_at = now
    assert now == pytest.approx(EXPIRED_RECORD_GRACE_S)


def test_record_that_returns_ends_the_grace_period():
    index = index_with_answering_upstream()
    index.remove("a", 0.1)
    index.put(upstream_record("a", "zone-a"), 1.0)
    index.expire(60.0)
    assert index.get("a").accepts_flows


@pytest.mark.parametrize("late_s", [0.0, 1.0, 2.1])
def test_grace_period_counts_from_the_removal_and_not_from_its_discovery(late_s):
    """Guards against a server that is gone and gets openings for 2 s more.

    This balancer learned late of the removal, as its reader had ended.
    """
    index = index_with_answering_upstream()
    index.get("a").answered_at = 10.0 + late_s
    index.remove("a", 10.0 + late_s, removed_after=10.0)
    index.expire(9.9 + EXPIRED_RECORD_GRACE_S)
    assert index.get("a") is not None
    index.expire(10.0 + EXPIRED_RECORD_GRACE_S)
    assert index.get("a") is None


def test_removal_that_is_learned_after_the_grace_period_ends_an_upstream_at_once():
    """The time without the registry was too short for the record to expire in it."""
    index = index_with_answering_upstream()
    index.get("a").answered_at = 12.0
    removed_after = 12.3 - MIN_OUTAGE_FOR_EXPIRY_S + 0.1
    index.remove("a", 12.3, removed_after)
    assert index.get("a") is None


@pytest.mark.parametrize("outage_s", [MIN_OUTAGE_FOR_EXPIRY_S + 0.1, 10.0, math.inf])
def test_record_that_may_have_expired_in_an_outage_has_its_time_to_return(outage_s):
    """Guards against balancers that drop all upstreams at the end of an outage."""
    index = index_with_answering_upstream()
    index.get("a").answered_at = 20.0
    index.remove("a", 20.0, removed_after=20.0 - outage_s)
    index.expire(19.9 + EXPIRED_RECORD_GRACE_S)
    assert index.get("a").accepts_flows
    index.expire(20.0 + EXPIRED_RECORD_GRACE_S)
    assert index.get("a") is None


def test_token_of_open_flows_goes_to_no_newcomer_before_they_have_ended(monkeypatch):
    """Guards against packets of open flows that reach another upstream."""
    monkeypatch.setattr("egrethook.upstreams.upstream.crc32", lambda text: 7)
    index = UpstreamIndex(FLOW_LIFE_S)
    removed = index.put(upstream_record("b", "zone-a"), 0.0)
    index.remove("b", 1.0)
    newcomer = index.put(upstream_record("a", "zone-a"), 2.0)
    assert index.by_token[7] is removed
    assert newcomer not in index.of_service(newcomer.service)
    index.expire(0.9 + FLOW_LIFE_S)
    assert index.by_token[7] is removed
    index.expire(1.1 + FLOW_LIFE_S)
    assert index.by_token[7] is newcomer
    assert newcomer in index.of_service(newcomer.service)


def test_record_that_returns_after_its_removal_has_its_token_at_once():
    index = UpstreamIndex(FLOW_LIFE_S)
    index.put(upstream_record("a", "zone-a"), 0.0)
    index.remove("a", 1.0)
    returned = index.put(upstream_record("a", "zone-a"), 2.0)
    assert index.by_token[returned.token] is returned
    index.expire(2.0 + FLOW_LIFE_S)
    assert index.by_token[returned.token] is returned


@pytest.mark.parametrize("seed", range(50))
def test_no_order_of_events_raises_or_leaves_what_is_gone(seed):
    """Guards against further orders of puts, removals, answers and expiry."""
    rng = random.Random(seed)
    index = UpstreamIndex(FLOW_LIFE_S)
    now = 0.0
    for _ in range(400):
        now += rng.choice((0.0, 0.1, 0.7, 1.6, 3.0))
        name = rng.choice("abc")
        action = rng.randrange(4)
        if action == 0:
            started_ms = rng.choice((1, 1, 2))
            record = upstream_record(name, "zone-a", started_ms=started_ms)
            index.put(record, now)
        elif action == 1:
            index.remove(name, now)
        elif action == 2:
            index.expire(now)
        elif index.get(name) is not None:
            index.get(name).answered_at = now
        assert all(upstream.gone_at is None for upstream in index.all())
    for name in "abc":
        index.remove(name, now)
    index.expire(now + EXPIRED_RECORD_GRACE_S)
    assert len(index) == 0
    index.expire(now + EXPIRED_RECORD_GRACE_S + FLOW_LIFE_S)
    assert not index.by_token
