"""Openings, queues and upstreams for the tests of fair queueing and slow start."""

from __future__ import annotations

import itertools

from egrethook.callers.fair_queue import FairQueue
from egrethook.callers.waiting import WaitingOpening
from egrethook.emulator.flow_records import route_table, upstream_record
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.upstream import Upstream

COST_S = 0.05
_flow_numbers = itertools.count()


def opening(route="a", caller=1, priority=1, arrived_at=0.0, due=10.0, **fields):
    values = {"cost_s": COST_S, "caller_timeout_at": due + 1.0} | fields
    values.setdefault("start_by", due - values["cost_s"])
    flow = str(next(_flow_numbers)).encode()
    return WaitingOpening(
        priority, arrived_at, due, flow, route=route, caller=caller, **values
    )


def queue_of(*openings):
    queue = FairQueue()
    for one in openings:
        queue.push(one)
    return queue


def upstreams(count=3):
    return [
        Upstream(upstream_record(f"up-{number}", "zone"), 0.0)
        for number in range(count)
    ]


def outcome(upstream, service_s=0.02):
    route = route_table().routes[0]
    return RequestOutcome(upstream, route, 100, 100, service_s, False)
