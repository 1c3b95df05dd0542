"""Upstreams, answers and what is learned from them, for the tests of placement."""

from __future__ import annotations

from egrethook.callers.forwarded_flow import ForwardedFlow
from egrethook.emulator.flow_records import route_table, upstream_record
from egrethook.upstreams.learned_speeds import LearnedSpeeds
from egrethook.upstreams.request_costs import RequestCosts
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.upstream import Upstream

ROUTE = route_table(objective_s=0.4).routes[0]


def route(name):
    one = route_table(objective_s=0.4).routes[0]
    return type(one)(
        name=name,
        address=one.address,
        services=one.services,
        priority=one.priority,
        timeout_s=one.timeout_s,
        objective_s=one.objective_s,
    )


def upstream(name, domain="zone-a", **changes):
    return Upstream(upstream_record(name, domain, **changes), 0.0)


def outcome(one, service_s, on=ROUTE, size=168, **changes):
    values = RequestOutcome(one, on, size, 1_000, service_s, False)
    return values._replace(**changes)


class Learning:
    """Costs and speeds that learn from the same answers."""

    def __init__(self):
        self.costs = RequestCosts()
        self.speeds = LearnedSpeeds(self.costs)
        self.costs.set_time_factors(self.speeds)
        self.now = 0.0

    def answer(self, one, service_s, **changes):
        self.now += 0.01
        result = outcome(one, service_s, **changes)
        self.speeds.request_answered(result, self.now)
        self.costs.request_answered(result, self.now)

    def factor(self, one):
        return self.speeds.time_factor(one)


def flow_at(one, sent_at, on=ROUTE):
    flow = ForwardedFlow(None, b"", on, one.service, sent_at, sent_at=sent_at)
    flow.occupy(one)
    return flow
