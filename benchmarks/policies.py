"""Baseline policies for choosing an upstream, simulated in virtual time."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

SLOTS_PER_UPSTREAM = 2
"""Number of requests that an upstream runs concurrently."""

GOSSIP_INTERVAL_S = 1.0
"""Interval at which loads are gossiped, and their maximum age, in seconds."""


@dataclass
class UpstreamQueue:
    """An upstream with its slots and a FIFO queue."""

    domain: int
    running: int = 0
    waiting: deque[tuple[int, float]] = field(default_factory=deque)
    busy_s: float = 0.0

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self.waiting)


class Policy(Protocol):
    """Chooses an upstream for a request at an entry."""

    def choose(self, entry: int, queues: list[UpstreamQueue], now: float) -> int:
        """Return the position of an upstream."""
        ...

    def finished(self, entry: int, position: int) -> None:
        """Record that a request of an entry has been answered."""
        ...


class RandomPolicy:
    """Chooses a random upstream."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, entry: int, queues: list[UpstreamQueue], now: float) -> int:
        """Return the position of an upstream."""
        return self._rng.randrange(len(queues))

    def finished(self, entry: int, position: int) -> None:
        """Do nothing."""


class LeastOutstandingPolicy:
    """Chooses the upstream with the fewest outstanding requests of the same entry."""

    def __init__(self, rng: random.Random, entries: int, upstreams: int) -> None:
        self._rng = rng
        self._counts = [[0] * upstreams for _ in range(entries)]

    def choose(self, entry: int, queues: list[UpstreamQueue], now: float) -> int:
        """Return the position of an upstream."""
        counts = self._counts[entry]
        fewest = min(counts)
        chosen = self._rng.choice([i for i, n in enumerate(counts) if n == fewest])
        counts[chosen] += 1
        return chosen

    def finished(self, entry: int, position: int) -> None:
        """Decrement the outstanding requests."""
        self._counts[entry][position] -= 1


class StaleTwoChoicesPolicy:
    """Chooses the less loaded of two random upstreams, by gossiped loads."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._gossiped_loads: list[int] = []
        self._gossiped_at = -GOSSIP_INTERVAL_S

    def choose(self, entry: int, queues: list[UpstreamQueue], now: float) -> int:
        """Return the position of an upstream."""
        if now - self._gossiped_at >= GOSSIP_INTERVAL_S:
            self._gossiped_loads = [queue.load for queue in queues]
            self._gossiped_at = now
        pair = self._rng.sample(range(len(queues)), 2)
        return min(pair, key=lambda position: self._gossiped_loads[position])

    def finished(self, entry: int, position: int) -> None:
        """Do nothing."""


class ShortestQueuePolicy:
    """Chooses the upstream with the fewest requests, by its current load."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, entry: int, queues: list[UpstreamQueue], now: float) -> int:
        """Return the position of an upstream."""
        fewest = min(queue.load for queue in queues)
        equal = [i for i, queue in enumerate(queues) if queue.load == fewest]
        return self._rng.choice(equal)

    def finished(self, entry: int, position: int) -> None:
        """Do nothing."""


@dataclass(frozen=True)
class Workload:
    """Requests with their arrivals and service times.

    Parameters
    ----------
    arrival_times_s, service_times_s : list of float
        Arrival and service time of each request, in seconds.
    domains : list of int
        The failure domain of each upstream.
    entries : int
        Number of entries; entry ``n`` is in domain ``n % 3``.
    one_way_s : float
        Delay between failure domains, in seconds.
    """

    arrival_times_s: list[float]
    service_times_s: list[float]
    domains: list[int]
    entries: int
    one_way_s: float


def simulate(
    policy: Policy, workload: Workload, seed: int
) -> tuple[list[float], float]:
    """Return the latencies in seconds, and max/mean of the upstreams' busy time."""
    rng = random.Random(seed)
    queues = [UpstreamQueue(domain) for domain in workload.domains]
    # Requests arrive at an entry, reach an upstream and finish there. An event holds
    # its time, a tie-breaker, its kind, the request and the upstream's position.
    events: list[tuple[float, int, str, int, int]] = []
    entries = [rng.randrange(workload.entries) for _ in workload.arrival_times_s]
    for number, at in enumerate(workload.arrival_times_s):
        heapq.heappush(events, (at + workload.one_way_s, number, "arrive", number, -1))
    latencies = []
    while events:
        now, _, kind, number, position = heapq.heappop(events)
        if kind == "arrive":
            position = policy.choose(entries[number], queues, now)
            same_domain = entries[number] % 3 == queues[position].domain
            at = now + (0.0 if same_domain else workload.one_way_s)
            heapq.heappush(events, (at, number, "reach", number, position))
            continue
        queue = queues[position]
        if kind == "reach":
            queue.waiting.append((number, now))
        else:
            queue.running -= 1
            policy.finished(entries[number], position)
            latencies.append(
                now + workload.one_way_s - workload.arrival_times_s[number]
            )
        while queue.waiting and queue.running < SLOTS_PER_UPSTREAM:
            started, _ = queue.waiting.popleft()
            service_s = workload.service_times_s[started]
            queue.running += 1
            queue.busy_s += service_s
            heapq.heappush(
                events, (now + service_s, started, "finish", started, position)
            )
    busy = [queue.busy_s for queue in queues]
    return latencies, max(busy) * len(busy) / sum(busy)
