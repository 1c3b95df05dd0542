"""The load limit of cold upstreams over a whole fleet.

Guards against a fleet that overloads a cold upstream, because each balancer sends to
it without knowing of the others.
"""

from __future__ import annotations

import random

import pytest

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import MemberInfo
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.discovery.records import ColdLimit
from egrethook.emulator.flow_records import (
    SERVICE,
    FixedFlowLimit,
    route_table,
    upstream_record,
)
from egrethook.upstreams.cold_limit import SENDERS_PER_UPSTREAM, FleetColdLimit
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.selection import LowestCostSelector, Opening
from egrethook.upstreams.upstream import Upstream

RATE_PER_S = 20.0
OPENING = Opening(route_table().routes[0], (), (), on_time=True, now=1.0)
MAX_OVERSHOOT_FACTOR, SLACK_OPENINGS = 1.5, 5.0


def fleet(size, names, known=None):
    """Return the cold limit of each balancer; each knows at most `known` members."""
    infos = [
        MemberInfo(Address(f"10.0.{n // 200}.{n % 200 + 1}", 7000), "zone", 1, 1)
        for n in range(size)
    ]
    limits = []
    for number, info in enumerate(infos):
        members = GossipMembers(info, [], random.Random(number))
        seen = infos if known is None else random.Random(number).sample(infos, known)
        members.merge(seen, 0.0)

        def may_send(upstream, members=members):
            return members.is_among_first(upstream.name, SENDERS_PER_UPSTREAM, 0.0)

        cold = FleetColdLimit(lambda: {SERVICE: ColdLimit(2.0, RATE_PER_S)}, may_send)
        limits.append(cold)
    return limits


def cold_upstream(name="up-1", cold_s=60.0):
    return Upstream(upstream_record(name, "zone", cold_left_s=cold_s), 0.0)


def max_openings_per_second(limits, upstream, seconds=5):
    """Let every balancer send all it may; return the maximum in any second."""
    sent = []
    for step in range(seconds * 200):
        now = step / 200
        for cold in limits:
            if cold.admits(upstream, now):
                cold.note_sent(upstream, now)
                sent.append(now)
    return max(sum(at <= one < at + 1.0 for one in sent) for at in sent)


@pytest.mark.parametrize("size", [1, 6, 82, 300])
def test_fleet_stays_within_the_rate_of_a_cold_upstream(size):
    limits = fleet(size, None)
    assert max_openings_per_second(limits, cold_upstream()) <= RATE_PER_S


def test_rate_bound_holds_with_partial_membership_views():
    limits = fleet(82, None, known=70)
    peak = max_openings_per_second(limits, cold_upstream())
    assert peak <= RATE_PER_S * MAX_OVERSHOOT_FACTOR + SLACK_OPENINGS


def test_cold_upstream_gets_over_half_its_rate_in_a_large_fleet():
    limits = fleet(300, None)
    assert max_openings_per_second(limits, cold_upstream()) > 0.5 * RATE_PER_S


def test_warm_upstream_and_service_without_rate_are_not_limited():
    cold = FleetColdLimit(lambda: {SERVICE: ColdLimit(2.0, 0.0)}, lambda one: False)
    assert cold.admits(cold_upstream(), 0.0)
    strict = FleetColdLimit(lambda: {SERVICE: ColdLimit(2.0, 5.0)}, lambda one: False)
    assert not strict.admits(cold_upstream(cold_s=2.0), 1.9)
    assert strict.admits(cold_upstream(cold_s=2.0), 2.0)


def test_selector_skips_cold_upstream_that_it_may_not_send_to():
    strict = FleetColdLimit(lambda: {SERVICE: ColdLimit(2.0, 5.0)}, lambda one: False)
    selector = LowestCostSelector(
        "zone", FixedFlowLimit(3), strict, LeastFlowsCost("zone")
    )
    warm = Upstream(upstream_record("up-2", "elsewhere"), 0.0)
    assert selector.choose([cold_upstream(), warm], OPENING) is warm
    assert selector.choose([cold_upstream()], OPENING) is None
