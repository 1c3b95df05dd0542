"""Answers where an opening would go now, and why; sends and changes nothing."""

from __future__ import annotations

import math
from collections.abc import Sequence
from urllib.parse import parse_qs

import msgspec

from egrethook.addresses import Address
from egrethook.callers.flow_dispatch import FlowDispatcher
from egrethook.callers.opening_queues import QueueState
from egrethook.discovery.records import Route, WeightedService
from egrethook.discovery.view import ForwardingView
from egrethook.operators.probes import ProbeAnswer
from egrethook.operators.where_answers import (
    CandidateReport,
    ServiceReport,
    WhereAnswer,
    WhereRefusal,
)
from egrethook.upstreams.explanation import (
    ChoiceExplainer,
    ChoiceExplanation,
    ExplainedCandidate,
    Reason,
)
from egrethook.upstreams.selection import Opening
from egrethook.upstreams.upstream import Upstream

MAX_SERVICES = 4
"""Services of a route that are explained, those with the largest weights."""

_CHOSEN = (Reason.CHOSEN, Reason.TRIAL, Reason.CHECK)


def answer_where(
    query: str,
    view: ForwardingView,
    dispatcher: FlowDispatcher,
    explainer: ChoiceExplainer,
    now: float,
) -> ProbeAnswer:
    """Answer a request for an explanation.

    Parameters
    ----------
    query : str
        ``route=NAME`` or ``route=ADDRESS:PORT``, and optionally ``caller=ADDRESS``.
    now : float
        The current time, in seconds.

    Returns
    -------
    ProbeAnswer
        A `WhereAnswer`, or a `WhereRefusal` with status 400 (malformed), 404 (no such
        route) or 503 (no route is known yet).
    """
    fields = parse_qs(query)
    name = fields.get("route", [""])[0]
    caller_text = fields.get("caller", [""])[0]
    if view.table is None:
        return _refusal(503, "no routes are known yet")
    route = _find_route(view, name)
    if route is None:
        return _refusal(404, f"no route {name[:80]!r}")
    avoided: list[Upstream] = []
    if caller_text:
        try:
            caller = _ipv4_number(caller_text)
        except ValueError as error:
            return _refusal(400, str(error))
        avoided = dispatcher.last_openings.avoided_by((caller, route.address), now)
    opening = Opening(route, (), avoided, True, now)
    answer = WhereAnswer(
        route.name,
        route.priority,
        route.objective_s,
        [upstream.name for upstream in avoided],
        [
            _explain_service(weighted, opening, view, dispatcher, explainer)
            for weighted in _main_services(route)
        ],
    )
    return ProbeAnswer(200, msgspec.json.encode(answer))


def _refusal(status: int, error: str) -> ProbeAnswer:
    return ProbeAnswer(status, msgspec.json.encode(WhereRefusal(error)))


def _find_route(view: ForwardingView, text: str) -> Route | None:
    """Return the route with a name, or with an address and port."""
    routes = view.table.routes if view.table else ()
    for route in routes:
        if route.name == text:
            return route
    try:
        address = Address.parse_ipv4(text)
    except ValueError:
        return None
    return view.route((_ipv4_number(address.host), address.port))


def _ipv4_number(text: str) -> int:
    """Return an IPv4 address as a number; raise ValueError for anything else."""
    host = Address.parse_ipv4(f"{text}:1").host
    return int.from_bytes(bytes(int(part) for part in host.split(".")), "big")


def _main_services(route: Route) -> Sequence[WeightedService]:
    by_weight = sorted(route.services, key=lambda weighted: -weighted.weight)
    return by_weight[:MAX_SERVICES]


def _explain_service(
    weighted: WeightedService,
    opening: Opening,
    view: ForwardingView,
    dispatcher: FlowDispatcher,
    explainer: ChoiceExplainer,
) -> ServiceReport:
    service = weighted.service
    explanation = explainer.explain(view.candidates(service), opening)
    queue = dispatcher.queues.state_of(service, opening.now)
    wait_s = queue.expected_wait_s
    best = explanation.candidates[0].cost.value if explanation.candidates else 0.0
    return ServiceReport(
        service,
        weighted.weight,
        explanation.unit,
        _outcome(explanation, queue),
        queue.waiting,
        wait_s if math.isfinite(wait_s) else None,
        explanation.total,
        [_report(one, best, explanation.unit) for one in explanation.candidates],
    )


def _outcome(explanation: ChoiceExplanation, queue: QueueState) -> str:
    if explanation.hold is not None:
        return f"waits: {explanation.hold.value}"
    name = explanation.candidates[0].upstream.name
    if queue.comes_first and queue.waiting:
        return f"waits behind {queue.waiting} openings; {name} is next"
    return name


def _report(candidate: ExplainedCandidate, best: float, unit: str) -> CandidateReport:
    upstream, cost = candidate.upstream, candidate.cost
    estimate = cost.estimate
    return CandidateReport(
        upstream=upstream.name,
        failure_domain=upstream.domain,
        verdict=_verdict(candidate, best, unit),
        is_chosen=candidate.reason in _CHOSEN,
        cost=cost.value,
        time_factor=estimate.time_factor if estimate else None,
        outstanding_s=estimate.outstanding_s if estimate else None,
        wait_s=estimate.wait_s if estimate else None,
        finish_s=estimate.finish_s if estimate else None,
        busy_flows=upstream.busy_flows,
        idle_flows=upstream.idle_flows,
        flow_limit=candidate.flow_limit,
        ejected=candidate.is_ejected,
        left_out=candidate.is_left_out,
        cold=candidate.is_cold,
        preference=candidate.preference,
    )


def _verdict(candidate: ExplainedCandidate, best: float, unit: str) -> str:
    """Return the reason, with the difference if only the cost speaks against it."""
    if candidate.reason is not Reason.HIGHER_COST:
        return candidate.reason.value
    difference = candidate.cost.value - best
    if difference <= 0.0:
        return "not chosen"
    if unit == "s":
        return f"later by {difference * 1000:.1f} ms"
    return f"more by {difference:.2f} flows"
