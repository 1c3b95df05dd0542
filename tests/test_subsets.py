"""Preferred upstreams of each balancer.

The tests guard against upstreams that few or no balancers prefer, against preferences
that move when a balancer or upstream joins or leaves, and against an opening that stays
away from free upstreams for the sake of a preference.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from urllib.request import urlopen

import pytest
from process_harness import forwarding_process

from egrethook.emulator.flow_records import (
    SERVICE,
    FixedFlowLimit,
    NoColdLimit,
    route_table,
    upstream_record,
)
from egrethook.upstreams.least_flows import LeastFlowsCost
from egrethook.upstreams.selection import LowestCostSelector, Opening
from egrethook.upstreams.subsets import (
    PREFERRED_COUNT,
    REFRESH_INTERVAL_S,
    FleetMember,
    PreferredSubsets,
)
from egrethook.upstreams.upstream import Upstream

DOMAINS = ("zone-a", "zone-b", "zone-c")
SIZES = [(59, 60), (195, 294), (300, 3_000), (6, 7), (60, 20)]


def make_upstreams(count, shares=(1, 1, 1), slots=2):
    domains = spread(count, shares)
    return [
        Upstream(upstream_record(f"up-{n}", domain, slots=slots), 0.0)
        for n, domain in enumerate(domains)
    ]


def spread(count, shares):
    """Return the failure domain of each, in proportion to the shares."""
    total = sum(shares)
    ends = [sum(shares[: n + 1]) / total for n in range(len(shares))]
    return [
        next(
            domain
            for domain, end in zip(DOMAINS, ends, strict=True)
            if (n + 0.5) / count < end
        )
        for n in range(count)
    ]


def make_members(count, shares=(1, 1, 1)):
    domains = spread(count, shares)
    return [FleetMember(f"10.0.{n}.1:7000", domain) for n, domain in enumerate(domains)]


def make_subsets(own, members, upstreams, now=0.0):
    subsets = PreferredSubsets(own.domain, lambda upstream: upstream.accepts_flows)
    subsets.set_members(own.name, members)
    subsets.refresh([SERVICE], lambda service: upstreams, now)
    return subsets


def selection_cost(subsets, own, upstream):
    """The cost of an idle upstream, with that of another failure domain."""
    remote = 0.7 if upstream.domain != own.domain else 0.0
    return subsets.additional_cost(upstream) + remote


def order_of(own, members, upstreams):
    """The names of the upstreams, the preferred ones first."""
    subsets = make_subsets(own, members, upstreams)
    ranked = sorted(upstreams, key=lambda one: selection_cost(subsets, own, one))
    return [upstream.name for upstream in ranked]


def first_choices(members, upstreams, depth=1):
    """How many balancers have each upstream among their first ones."""
    counts = Counter({upstream.name: 0 for upstream in upstreams})
    for own in members:
        counts.update(order_of(own, members, upstreams)[:depth])
    return counts


@pytest.mark.parametrize(("vms", "upstreams"), SIZES)
def test_upstreams_get_equal_shares_of_the_first_choices(vms, upstreams):
    """With as many first choices as upstreams or more, none is left out."""
    depth = max(1, upstreams // vms)
    counts = first_choices(make_members(vms), make_upstreams(upstreams), depth)
    fair = vms * depth / upstreams
    assert max(counts.values()) <= fair * 1.3 + 1
    assert min(counts.values()) >= int(fair * 0.7)


def test_upstreams_with_more_slots_get_more_first_choices():
    members = make_members(60)
    small, large = make_upstreams(30), make_upstreams(60, slots=6)[30:]
    counts = first_choices(members, [*small, *large])
    share = sum(counts[one.name] for one in large) / 60
    assert share == pytest.approx(0.75, abs=0.05)


@pytest.mark.parametrize(
    ("vm_shares", "upstream_shares"),
    [((1, 1, 1), (1, 2, 3)), ((3, 1, 1), (1, 1, 1)), ((2, 1, 1), (0, 1, 1))],
)
def test_unequal_failure_domains_give_each_upstream_its_share(
    vm_shares, upstream_shares
):
    members = make_members(60, vm_shares)
    upstreams = make_upstreams(60, upstream_shares)
    counts = first_choices(members, upstreams)
    by_domain = Counter()
    for upstream in upstreams:
        by_domain[upstream.domain] += counts[upstream.name]
    held = Counter(upstream.domain for upstream in upstreams)
    for domain, number in held.items():
        assert by_domain[domain] / number == pytest.approx(1.0, abs=0.15)


def test_first_choice_is_local_where_domains_are_equal():
    members, upstreams = make_members(60), make_upstreams(60)
    domains = {upstream.name: upstream.domain for upstream in upstreams}
    for own in members:
        names = order_of(own, members, upstreams)
        assert {domains[name] for name in names[:5]} == {own.domain}


def moved_share(members, after, upstreams, upstreams_after, depth=4):
    """Share of the first choices that a change replaces, of those that stay."""
    moved = total = 0
    staying = {upstream.name for upstream in upstreams_after}
    for own in members:
        if own in after:
            before = set(order_of(own, members, upstreams)[:depth]) & staying
            moved += len(before - set(order_of(own, after, upstreams_after)[:depth]))
            total += len(before)
    return moved / total


def test_vm_that_leaves_or_joins_moves_few_preferences():
    members, upstreams = make_members(60), make_upstreams(60)
    for gone in members[::9]:
        rest = [member for member in members if member != gone]
        assert moved_share(members, rest, upstreams, upstreams) < 0.15
        assert moved_share(rest, members, upstreams, upstreams) < 0.15


def test_upstream_that_leaves_or_joins_moves_few_preferences():
    members, upstreams = make_members(60), make_upstreams(60)
    rest = upstreams[:7] + upstreams[8:]
    assert moved_share(members, members, upstreams, rest) < 0.15
    assert moved_share(members, members, rest, upstreams) < 0.15


@pytest.mark.parametrize("seed", range(4))
def test_vms_with_views_that_differ_still_share_evenly(seed):
    """Each has heard of a random tenth less, or only of a fifth."""
    rng = random.Random(seed)
    members, upstreams = make_members(60), make_upstreams(60)
    counts = Counter()
    for own in members:
        known = rng.sample(members, rng.choice((12, 54, 60)))
        counts.update(order_of(own, known, upstreams)[:1])
    assert max(counts.values()) <= 5


def test_remaining_vms_take_over_the_upstreams_of_those_that_died():
    rng = random.Random(1)
    upstreams = make_upstreams(60)
    rest = rng.sample(make_members(60), 30)
    counts = first_choices(rest, upstreams, depth=2)
    assert max(counts.values()) <= 3
    assert sum(count == 0 for count in counts.values()) <= 6


def test_vms_of_a_domain_taken_out_spread_over_the_others():
    members = make_members(60)
    upstreams = [one for one in make_upstreams(60) if one.domain != "zone-c"]
    counts = first_choices(members, upstreams)
    assert max(counts.values()) <= 3
    assert min(counts.values()) >= 1


def make_selector(count, limit=1, vms=6):
    members = make_members(vms)
    upstreams = make_upstreams(count)
    subsets = make_subsets(members[0], members, upstreams)
    domain = members[0].domain
    cost = LeastFlowsCost(domain, subsets)
    selector = LowestCostSelector(
        domain, FixedFlowLimit(limit), NoColdLimit(), cost, subsets
    )
    return selector, upstreams, order_of(members[0], members, upstreams)


OPENING = Opening(route_table().routes[0], (), (), True, 0.0)


def test_busy_upstreams_overflow_to_the_next_in_order():
    selector, upstreams, order = make_selector(12)
    chosen = []
    for _ in upstreams:
        upstream = selector.choose(upstreams, OPENING)
        upstream.busy_flows += 1
        chosen.append(upstream.name)
    assert chosen[:4] == order[:4]
    assert sorted(chosen) == sorted(order)
    assert selector.choose(upstreams, OPENING) is None


def test_preferred_upstream_is_compared_among_thousands():
    """Of more upstreams than are compared for one opening, the preferred ones are."""
    selector, upstreams, order = make_selector(600, vms=300)
    names = {selector.choose(upstreams, OPENING).name for _ in range(20)}
    assert names <= set(order[:PREFERRED_COUNT])


def test_preferred_upstream_that_no_longer_accepts_flows_is_left_out():
    members, upstreams = make_members(60), make_upstreams(60)
    subsets = make_subsets(members[0], members, upstreams)
    gone = subsets.preferred(SERVICE)[0]
    gone.gone_at = 0.0
    assert gone not in subsets.preferred(SERVICE)


def test_preferred_upstreams_that_are_no_candidates_get_nothing():
    """They may be outliers, or serve something else by now, with the ring unchanged."""
    selector, upstreams, order = make_selector(600, vms=300)
    candidates = [one for one in upstreams if one.name not in order[:8]]
    names = {selector.choose(candidates, OPENING).name for _ in range(20)}
    assert not names & set(order[:8])


def test_without_members_no_upstream_is_preferred():
    upstreams = make_upstreams(60)
    own = FleetMember("10.0.0.1:7000", "zone-a")
    subsets = make_subsets(own, [], upstreams)
    assert {subsets.additional_cost(one) for one in upstreams} == {0.0}
    assert subsets.preferred(SERVICE) == []


def test_preference_ends_when_all_other_members_have_gone():
    members, upstreams = make_members(6), make_upstreams(60)
    subsets = make_subsets(members[0], members, upstreams)
    assert len({subsets.additional_cost(one) for one in upstreams}) > 1
    subsets.set_members(members[0].name, [])
    assert {subsets.additional_cost(one) for one in upstreams} == {0.0}


def test_preference_never_outweighs_three_busy_flows():
    """An opening must not wait behind others for the sake of a preference."""
    for vm_shares in ((1, 1, 1), (5, 1, 1)):
        members, upstreams = make_members(60, vm_shares), make_upstreams(60)
        for own in members[::7]:
            subsets = make_subsets(own, members, upstreams)
            costs = [subsets.additional_cost(one) for one in upstreams]
            assert max(costs) - min(costs) < 3.0


def test_refresh_is_bounded_in_time_and_happens_only_after_changes():
    """300 VMs and 3,000 upstreams; the bound holds on a loaded test machine too."""
    members, upstreams = make_members(300), make_upstreams(3_000)
    subsets = PreferredSubsets("zone-a", lambda upstream: True)
    subsets.set_members(members[0].name, members)
    calls = []

    def candidates_of(service):
        calls.append(service)
        return upstreams

    services = [f"service-{n}" for n in range(4)]
    started_at = time.process_time()
    subsets.refresh(services, candidates_of, 0.0)
    assert time.process_time() - started_at < 0.05
    assert calls == ["service-0"]
    for step in range(1, 4):
        subsets.refresh(services, candidates_of, step / 10)
    assert calls == services
    calls.clear()
    subsets.refresh(services, candidates_of, REFRESH_INTERVAL_S / 2)
    assert calls == []


def metrics_of(process):
    with urlopen(f"http://{process.metrics}/metrics", timeout=5.0) as response:
        return response.read().decode()


@pytest.mark.end_to_end
def test_process_logs_its_place_and_leaves_it_as_it_was_without_the_feature(tmp_path):
    """Two real processes hear each other; only one has the feature switched on."""
    other_path = tmp_path / "other"
    other_path.mkdir()
    with forwarding_process(other_path) as other:
        with forwarding_process(
            tmp_path,
            first_line=b"preferred upstreams follow the live balancers",
            name="vm-2",
            known_peers=[other.settings["peers"]],
            features=["shared-speeds"],
        ) as process:
            assert "egrethook_balancers_placed 2.0" in metrics_of(process)
        assert "egrethook_balancers_placed 0.0" in metrics_of(other)
