"""Generates a seeded load of requests and flows and records the results."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio
import numpy

from egrethook.callers.client import Caller
from egrethook.exceptions import FlowError, RequestError
from egrethook.verdicts import Verdict

FLOW_PACKET_INTERVAL_S = 0.1
"""Time between packets of a flow, in seconds."""


@dataclass(frozen=True)
class Load:
    """Parameters of a load.

    Parameters
    ----------
    service : str
        Service that the requests and flows are sent to.
    requests_per_s : float
        Mean rate of requests, which arrive as a Poisson process.
    idempotent_share : float
        Fraction of the requests that are idempotent.
    flows : int
        Number of flows that stay open during the load.
    duration_s : float
        Time during which requests are started, in seconds.
    deadline_s : float
        Deadline of each request, in seconds.
    """

    service: str
    requests_per_s: float = 50.0
    idempotent_share: float = 0.5
    flows: int = 10
    duration_s: float = 5.0
    deadline_s: float = 3.0


@dataclass
class LoadResult:
    """Results of a load.

    Parameters
    ----------
    outcomes : Counter
        Number of requests by verdict.
    refusals : Counter
        Number of unanswered requests by error message, which names the verdict and
        the reason.
    latencies_s : list of float
        Latency of each answered request, in seconds.
    requests_by_second : Counter
        Number of requests by second of their start and whether they were answered.
    answered_at_s : list of float
        Time of each answer, in seconds.
    wrong_answers : int
        Answers that belong to another request.
    flows, flows_broken : int
        Flows opened, including failed attempts, and flows that failed.
    flow_errors : Counter
        Number of failed flows by error message.
    non_idempotent : dict
        Verdict of each request that is not idempotent, by caller and request number.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    requests_by_second: Counter[tuple[int, bool]] = field(default_factory=Counter)
    answered_at_s: list[float] = field(default_factory=list)
    wrong_answers: int = 0
    flows: int = 0
    flows_broken: int = 0
    flow_errors: Counter[str] = field(default_factory=Counter)
    non_idempotent: dict[tuple[int, int], Verdict] = field(default_factory=dict)

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latencies, in milliseconds; 0 without answers."""
        if not self.latencies_s:
            return 0.0
        return float(numpy.quantile(self.latencies_s, share) * 1000)

    def longest_gap_s(self) -> float:
        """Return the longest time between two answers, in seconds."""
        times = sorted(self.answered_at_s)
        return max((b - a for a, b in itertools.pairwise(times)), default=0.0)

    def lowest_answered_share(self) -> float:
        """Return the lowest fraction of requests answered among all seconds."""
        totals: Counter[int] = Counter()
        answered: Counter[int] = Counter()
        for (second, was_answered), count in self.requests_by_second.items():
            totals[second] += count
            answered[second] += count if was_answered else 0
        return min((answered[s] / totals[s] for s in totals), default=1.0)


def arrivals(seed: int, rate_per_s: float, duration_s: float) -> Iterator[float]:
    """Return the arrival times of a Poisson process, in seconds from the start."""
    rng = random.Random(f"arrivals:{seed}")
    after_s = rng.expovariate(rate_per_s)
    while after_s <= duration_s:
        yield after_s
        after_s += rng.expovariate(rate_per_s)


class LoadGenerator:
    """Sends a load through a caller.

    Parameters
    ----------
    caller : Caller
        Sends the requests and opens the flows.
    load : Load
        Parameters of the load.
    seed : int
        Seed of the arrival times and of the choice of idempotent requests.
    reopen : bool
        Whether a failed flow is opened again.
    """

    def __init__(
        self, caller: Caller, load: Load, seed: int, reopen: bool = False
    ) -> None:
        self._caller = caller
        self._reopen = reopen
        self._load = load
        self._seed = seed
        self._rng = random.Random(seed)
        self.result = LoadResult()
        self._stop_flows = anyio.Event()
        self._stopped = False

    async def run(self) -> LoadResult:
        """Send the load and return the results."""
        async with anyio.create_task_group() as tasks:
            for _ in range(self._load.flows):
                tasks.start_soon(self._keep_flow_open)
            await self._send_requests()
            self.finish()
        return self.result

    def finish(self) -> None:
        """Stop sending requests and close the flows."""
        self._stopped = True
        self._stop_flows.set()

    async def _send_requests(self) -> None:
        load = self._load
        load_started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for after_s in arrivals(self._seed, load.requests_per_s, load.duration_s):
                await anyio.sleep_until(load_started + after_s)
                if self._stopped:
                    return
                idempotent = self._rng.random() < load.idempotent_share
                tasks.start_soon(self._send_request, idempotent, load_started)

    async def _send_request(self, idempotent: bool, load_started: float) -> None:
        started = anyio.current_time()
        try:
            answer = await self._caller.request(
                self._load.service,
                b"x" * 16,
                idempotent=idempotent,
                deadline_s=self._load.deadline_s,
            )
            verdict = Verdict.ANSWERED
            self.result.answered_at_s.append(anyio.current_time())
            self.result.latencies_s.append(anyio.current_time() - started)
            number = answer.number
            self._check_answer(answer.payload, number)
        except RequestError as error:
            verdict = error.outcome.verdict
            number = error.number
            self.result.refusals[str(error.args[0])] += 1
        self.result.outcomes[verdict.name] += 1
        second = int(started - load_started)
        self.result.requests_by_second[second, verdict is Verdict.ANSWERED] += 1
        if not idempotent:
            self.result.non_idempotent[self._caller.caller_id, number] = verdict

    def _check_answer(self, payload: bytes, number: int) -> None:
        """Count the answer as wrong unless its start names this caller and request."""
        expected = f" {self._caller.caller_id} {number} ".encode()
        if expected not in payload[:120]:
            self.result.wrong_answers += 1

    async def _keep_flow_open(self) -> None:
        self.result.flows += 1
        while not await self._use_flow() and self._reopen and not self._stopped:
            self.result.flows += 1

    async def _use_flow(self) -> bool:
        """Exchange packets until the load ends; return False if the flow failed."""
        try:
            async with self._caller.open_flow(self._load.service, 5.0) as flow:
                while not self._stop_flows.is_set():
                    await flow.exchange(b"flow packet")
                    await anyio.sleep(FLOW_PACKET_INTERVAL_S)
        except FlowError as error:
            self.result.flows_broken += 1
            self.result.flow_errors[str(error.args[0])] += 1
            return False
        return True
