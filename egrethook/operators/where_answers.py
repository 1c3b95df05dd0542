"""The answers of a forwarding process that explain where openings would go."""

from __future__ import annotations

from msgspec import Struct


class CandidateReport(Struct):
    """One upstream in an answer. Times are in seconds.

    Parameters
    ----------
    cost : float
        What the comparison rests on, in the unit of its service.
    time_factor, outstanding_s, wait_s, finish_s : float or None
        Speed, outstanding work, expected wait and finish; None without cost-aware
        placement.
    flow_limit : float
        Limit of the busy flows; below 1.0 it means pauses between flows.
    preference : float
        Additional cost because other balancers prefer it, in busy flows or requests.
    """

    upstream: str
    failure_domain: str
    verdict: str
    is_chosen: bool
    cost: float
    time_factor: float | None
    outstanding_s: float | None
    wait_s: float | None
    finish_s: float | None
    busy_flows: int
    idle_flows: int
    flow_limit: float
    ejected: bool
    left_out: bool
    cold: bool
    preference: float


class ServiceReport(Struct):
    """What an opening meets at one service of its route.

    Parameters
    ----------
    unit : str
        The unit of the costs: ``s`` (expected finish) or ``flows``.
    outcome : str
        The upstream that it would get, or why it would wait.
    waiting : int
        Number of queued openings.
    expected_wait_s : float or None
        Time in which they are expected to be served; None if no answers come.
    upstreams : int
        Number of upstreams that may get new flows, compared or not.
    """

    service: str
    weight: int
    unit: str
    outcome: str
    waiting: int
    expected_wait_s: float | None
    upstreams: int
    candidates: list[CandidateReport]


class WhereAnswer(Struct):
    """Where an opening of a route would go now."""

    route: str
    priority: int
    objective_s: float
    avoided: list[str]
    services: list[ServiceReport]


class WhereRefusal(Struct):
    """Why there is no explanation."""

    error: str
