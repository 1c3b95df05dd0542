"""Tells the balancers of a failure domain how fast upstreams are.

Load that it answers: a fresh or restarted balancer would send its first openings to
slow upstreams as often as to others. Nothing depends on a report: lost or late ones
leave a balancer with its own estimates.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence
from itertools import islice
from typing import Protocol

import anyio

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import SpeedReport
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.clock import Clock
from egrethook.error_boundary import ErrorBoundary
from egrethook.logs import PartLog
from egrethook.token_bucket import TokenBucket
from egrethook.upstreams.peer_speeds import (
    MAX_WEIGHT,
    REPORT_LIFE_S,
    PeerSpeeds,
    bounded_factor,
)
from egrethook.upstreams.speeds import SpeedEstimate, SpeedTable

REPORT_INTERVAL_S = 1.0
"""Interval between two reports, in seconds."""

REPORT_FANOUT = 2
"""Number of random members of the local failure domain that get a report."""

REPORT_MAX_ESTIMATES = 12
"""Maximum estimates in a report, about 170 bytes."""

EXAMINED_MAX_ESTIMATES = 500
"""Maximum own estimates examined for one report."""

ANSWER_MAX_ESTIMATES = 60
"""Maximum estimates in an answer, and taken from any message; about 800 bytes."""

ANSWERS_PER_S = 0.5
"""Sustained rate of answers, per second."""

ANSWER_BURST = 4
"""Number of answers that may be sent at once."""

ASKED_MEMBERS = 2
"""Number of members that a fresh balancer asks at once."""

ASK_INTERVAL_S = 0.2
"""Time after which further members are asked if none has answered, in seconds."""

MAX_ASK_ROUNDS = 3
"""Number of times that a fresh balancer asks."""

POLL_INTERVAL_S = 0.05
"""Interval at which a balancer that has yet to ask looks for members, in seconds."""

CLEAR_FACTOR = 1.25
"""Factor by which an estimate differs clearly from another one."""

MIN_REPORTED_WEIGHT = 3.0
"""Minimum weight of an estimate that is reported, in answers."""

_LOG = PartLog("speeds")


def _differs(estimate: SpeedEstimate) -> bool:
    """Return whether an upstream is clearly slower or faster than others."""
    return not 1.0 / CLEAR_FACTOR < estimate.time_factor < CLEAR_FACTOR


def _is_slow(estimate: SpeedEstimate) -> bool:
    return estimate.time_factor >= CLEAR_FACTOR


def _encodable(estimate: SpeedEstimate) -> SpeedEstimate:
    """Return an estimate whose values are in the range of a message."""
    return SpeedEstimate(
        estimate.token,
        bounded_factor(estimate.time_factor),
        min(MAX_WEIGHT, estimate.weight),
    )


def _difference(estimate: SpeedEstimate) -> float:
    """Return how far an estimate is from 1.0."""
    return abs(math.log(estimate.time_factor))


class ReportSender(Protocol):
    """Sends speed reports to other balancers."""

    @property
    def bytes_sent(self) -> int:
        """Number of bytes sent to other balancers."""
        ...

    def send_to(self, message: SpeedReport, targets: Sequence[Address]) -> None:
        """Send a report to some members."""
        ...


class ReportSelection:
    """Chooses the estimates of the next report.

    Upstreams that are clearly slower or faster than others are reported in turn, and
    those that were so within the life of an earlier report, so that it is replaced.
    """

    def __init__(self) -> None:
        self._examined = 0
        self._reported_at: dict[int, float] = {}
        self._differed_at: dict[int, float] = {}

    def next_report(
        self, estimates: Sequence[SpeedEstimate], now: float
    ) -> tuple[SpeedEstimate, ...]:
        """Return the estimates to report now, at most `REPORT_MAX_ESTIMATES`."""
        self._forget(now)
        worth_reporting = [
            estimate
            for estimate in self._examine(estimates)
            if self._is_worth_reporting(estimate, now)
        ]
        worth_reporting.sort(key=lambda one: self._reported_at.get(one.token, 0.0))
        chosen = worth_reporting[:REPORT_MAX_ESTIMATES]
        for estimate in chosen:
            self._reported_at[estimate.token] = now
        return tuple(_encodable(estimate) for estimate in chosen)

    def _examine(self, estimates: Sequence[SpeedEstimate]) -> Iterable[SpeedEstimate]:
        """Return all estimates, or the next ones of a large number."""
        if len(estimates) <= EXAMINED_MAX_ESTIMATES:
            return estimates
        start = self._examined % len(estimates)
        self._examined = start + EXAMINED_MAX_ESTIMATES
        return islice(estimates, start, self._examined)

    def _is_worth_reporting(self, estimate: SpeedEstimate, now: float) -> bool:
        if estimate.weight < MIN_REPORTED_WEIGHT:
            return False
        if _differs(estimate):
            self._differed_at[estimate.token] = now
            return True
        return estimate.token in self._differed_at

    def _forget(self, now: float) -> None:
        oldest_at = now - REPORT_LIFE_S
        for times in (self._reported_at, self._differed_at):
            for token in [token for token, at in times.items() if at < oldest_at]:
                del times[token]


class SpeedExchange:
    """Reports this balancer's estimates, and applies those of other balancers.

    Parameters
    ----------
    sender : ReportSender
        Sends reports to other balancers.
    members : GossipMembers
        The gossip membership.
    table : SpeedTable
        The estimates of this balancer; gets the combined ones of the others.
    name_of : callable
        Returns the name of the upstream with a token, for the log.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Chooses members.
    """

    def __init__(
        self,
        sender: ReportSender,
        members: GossipMembers,
        table: SpeedTable,
        name_of: Callable[[int], str],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._sender = sender
        self._members = members
        self._table = table
        self._name_of = name_of
        self._clock = clock
        self._rng = rng
        self._selection = ReportSelection()
        self._peer_speeds = PeerSpeeds()
        self._slow_by_peers: set[int] = set()
        self._answer_limiter = TokenBucket(ANSWERS_PER_S, ANSWER_BURST)
        self._asks_left = MAX_ASK_ROUNDS
        self._bytes_sent = 0
        self._received = 0
        self._ignored = 0
        self._errors = ErrorBoundary(_LOG, "speed report")

    @property
    def bytes_sent(self) -> int:
        """Number of bytes sent in speed reports."""
        return self._bytes_sent

    @property
    def received(self) -> int:
        """Number of reports received from live members."""
        return self._received

    @property
    def ignored(self) -> int:
        """Number of reports received from anyone else."""
        return self._ignored

    async def run(self) -> None:
        """Ask for estimates, then report own ones, until cancelled."""
        while True:
            while self._asks_left:
                asked = False
                with self._errors:
                    asked = self.ask()
                await anyio.sleep(ASK_INTERVAL_S if asked else POLL_INTERVAL_S)
            with self._errors:
                self.report()
            await anyio.sleep(REPORT_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def ask_again(self) -> None:
        """Ask other balancers again, because what was known is too old."""
        self._asks_left = MAX_ASK_ROUNDS

    def ask(self) -> bool:
        """Ask random members, those of the local failure domain first.

        Returns
        -------
        bool
            Whether a member is known.
        """
        now = self._clock.now()
        candidates = self._members.live_in_own_domain(now) or [
            member.address for member in self._members.live(now)
        ]
        if not candidates:
            return False
        self._asks_left -= 1
        self._send(SpeedReport((), asks=True), candidates, ASKED_MEMBERS)
        return True

    def report(self) -> None:
        """Report own estimates to some members of the local failure domain."""
        now = self._clock.now()
        self._expire(now)
        estimates = self._selection.next_report(self._table.own_estimates(now), now)
        if estimates:
            self._send(
                SpeedReport(estimates),
                self._members.live_in_own_domain(now),
                REPORT_FANOUT,
            )

    def handle(self, report: SpeedReport, source: Address) -> None:
        """Apply a report of another balancer, and answer if it asks."""
        now = self._clock.now()
        if report.asks and self._answer_limiter.has_token(now):
            self._answer(source, now)
        if not report.estimates:
            return
        if not any(member.address == source for member in self._members.live(now)):
            self._ignored += 1
            return
        self._received += 1
        if self._asks_left < MAX_ASK_ROUNDS:
            self._asks_left = 0
        self._apply(report, source, now)

    def _apply(self, report: SpeedReport, source: Address, now: float) -> None:
        if not len(self._peer_speeds):
            _LOG.info(
                "speeds of upstreams learned from another balancer.",
                source=str(source),
                upstreams=len(report.estimates),
            )
        estimates = report.estimates[:ANSWER_MAX_ESTIMATES]
        combined = self._peer_speeds.note(source, estimates, now)
        self._table.apply_peer_estimates(combined, now)
        for estimate in combined:
            self._log_change(estimate)

    def _log_change(self, estimate: SpeedEstimate) -> None:
        """Log that other balancers begin or cease to call an upstream slow."""
        token = estimate.token
        if _is_slow(estimate) and token not in self._slow_by_peers:
            self._slow_by_peers.add(token)
            _LOG.info(
                "other balancers report an upstream as slow.",
                upstream=self._name_of(token),
                time_factor=round(estimate.time_factor, 2),
                weight=round(estimate.weight, 1),
            )
        elif not _is_slow(estimate) and token in self._slow_by_peers:
            self._log_not_slow(token)

    def _log_not_slow(self, token: int) -> None:
        self._slow_by_peers.discard(token)
        _LOG.info(
            "other balancers no longer report an upstream as slow.",
            upstream=self._name_of(token),
        )

    def _answer(self, target: Address, now: float) -> None:
        """Send what is known, the clearest differences first."""
        clear = [one for one in self._known_estimates(now) if _differs(one)]
        if not clear:
            return
        self._answer_limiter.spend()
        clear.sort(key=_difference, reverse=True)
        answer = [_encodable(one) for one in clear[:ANSWER_MAX_ESTIMATES]]
        self._send(SpeedReport(tuple(answer)), [target], 1)

    def _known_estimates(self, now: float) -> Iterable[SpeedEstimate]:
        """Return the estimates of other balancers, replaced by well-founded own ones.

        Of a large number of own estimates a part is examined.
        """
        known = {one.token: one for one in self._peer_speeds.combined(now)}
        own = self._table.own_estimates(now)
        for estimate in islice(own, EXAMINED_MAX_ESTIMATES):
            if estimate.weight >= MIN_REPORTED_WEIGHT:
                known[estimate.token] = estimate
        return known.values()

    def _send(
        self, message: SpeedReport, candidates: Sequence[Address], count: int
    ) -> None:
        targets = self._rng.sample(candidates, min(count, len(candidates)))
        before = self._sender.bytes_sent
        self._sender.send_to(message, targets)
        self._bytes_sent += self._sender.bytes_sent - before

    def _expire(self, now: float) -> None:
        """Forget what no report supports any longer."""
        self._peer_speeds.expire(now)
        for token in self._slow_by_peers - self._peer_speeds.tokens():
            self._log_not_slow(token)
