"""Departure of a failure domain under explored schedules of reports and openings.

Guards against a domain that leaves or stays only because reports come late, in another
order or not at all.
"""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from egrethook.addresses import Address
from egrethook.balancers.domain_agreement import ABSENCE_RANGE_S, RETURN_ALONE_S
from egrethook.balancers.gossip_codec import MemberInfo
from egrethook.forwarding.domain_departure import DomainDeparture
from egrethook.upstreams.reach_evidence import ReachEvidence

STEP_S = 0.05


class ExploredBalancer:
    """The decision of one balancer; stands in for its gossip and its openings."""

    def __init__(self, schedule, number):
        self.schedule, self.number = schedule, number
        self.own = MemberInfo(Address(f"10.0.0.{number + 1}", 7000), "a", 1, 0)
        self.evidence = ReachEvidence()
        self.contacts = [0.0, 0.0]
        self.departure = DomainDeparture(
            "a", self.evidence, lambda: {"b"}, self, self._send
        )

    def live_in_own_domain(self, now):
        others = self.schedule.balancers
        return [other.own.address for other in others if other is not self]

    def contact_age(self, domain, now):
        return now - self.contacts[1]

    def confirmed_contact_at(self, domain):
        return self.contacts[0]

    def _send(self, report, limit):
        self.schedule.send(self, report)

    def step(self, now, is_cut, rng):
        """Let openings and gossip of 50 ms take place, then decide."""
        if rng.random() < STEP_S * 3.3 and not is_cut:
            self.contacts = [self.contacts[1], now]
        if rng.random() < STEP_S / self.schedule.opening_interval_s:
            for attempt in range(3):
                sent_at = now - 0.2 + attempt * 0.05
                if is_cut:
                    self.evidence.note_unanswered("b", sent_at, sent_at + 0.05)
                else:
                    self.evidence.note_answer("b", now)
        self.departure.step(now)

    @property
    def departed(self):
        return self.departure.departed


class Schedule:
    """Several balancers whose reports are lost, delayed and reordered."""

    def __init__(self, seed, size, loss, max_delay_s, opening_interval_s):
        self.rng = random.Random(seed)
        self.loss, self.max_delay_s = loss, max_delay_s
        self.opening_interval_s = opening_interval_s
        self.now = 0.0
        self.in_flight = []
        self.balancers = [ExploredBalancer(self, number) for number in range(size)]

    def send(self, sender, report):
        for receiver in self.balancers:
            if receiver is not sender and self.rng.random() >= self.loss:
                due = self.now + self.rng.uniform(0.0, self.max_delay_s)
                self.in_flight.append((due, receiver, report))

    def run(self, seconds, is_cut=lambda balancer: False):
        """Run, and yield after each step."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            due = [entry for entry in self.in_flight if entry[0] <= self.now]
            self.in_flight = [entry for entry in self.in_flight if entry not in due]
            for _, receiver, report in due:
                receiver.departure.note_report(report, self.now)
            for balancer in self.balancers:
                balancer.step(self.now, is_cut(balancer), self.rng)
            yield

    def departed(self):
        return [balancer.departed for balancer in self.balancers]


schedules = st.builds(
    Schedule,
    seed=st.integers(0, 10_000),
    size=st.integers(2, 7),
    loss=st.sampled_from([0.0, 0.05, 0.2]),
    max_delay_s=st.sampled_from([0.0, 0.1, 0.4]),
    opening_interval_s=st.sampled_from([0.1, 0.2]),
)


@settings(max_examples=60)
@given(schedule=schedules)
def test_any_schedule_single_faulty_balancer_takes_nobody_out(schedule):
    faulty = schedule.balancers[0]
    for _ in schedule.run(12.0, lambda balancer: balancer is faulty):
        assert not any(schedule.departed()[1:])


@settings(max_examples=60)
@given(schedule=schedules)
def test_any_schedule_balancer_that_gets_answers_stays(schedule):
    """All but one get no answers, so that the domain is never all out."""
    working = schedule.balancers[-1]
    for _ in schedule.run(1.0):
        pass
    out_since = None
    for _ in schedule.run(12.0, lambda balancer: balancer is not working):
        out = all(schedule.departed())
        out_since = None if not out else (out_since or schedule.now)
        longest_s = ABSENCE_RANGE_S[0] + RETURN_ALONE_S + 1.0
        assert out_since is None or schedule.now - out_since <= longest_s


@settings(max_examples=60)
@given(schedule=schedules, cut_s=st.sampled_from([3.0, 4.0, 8.0]))
def test_any_schedule_cut_makes_all_leave_and_its_end_brings_all_back(schedule, cut_s):
    for _ in schedule.run(3.0):
        assert not any(schedule.departed())
    for _ in schedule.run(3.0, lambda balancer: True):
        pass
    assert all(schedule.departed())
    for _ in schedule.run(cut_s - 3.0, lambda balancer: True):
        assert all(schedule.departed())
    for _ in schedule.run(5.0):
        pass
    assert not any(schedule.departed())
    for _ in schedule.run(5.0):
        assert not any(schedule.departed())
    assert {balancer.departure.departures for balancer in schedule.balancers} == {1}
