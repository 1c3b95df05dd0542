"""Decides whether the balancers of a failure domain leave the rotation together.

The load that this answers: a failure domain is cut off while its own upstreams are out
of service. While even one of its balancers is ready, routers keep its callers there,
so that all have to leave, and soon. A single balancer that is cut off, slow or
suspended must not make the others leave.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable
from typing import NamedTuple

from egrethook.upstreams.reach_evidence import ANSWER_FRESH_S, Belief, OwnBelief

REPORT_FRESH_S = 1.5
"""Time for which a report that nothing is reachable counts, in seconds.

Several repetitions fit, so that lost ones don't matter.
"""

REACH_FRESH_S = 1.0
"""Age of evidence that ends a departure, at most, in seconds."""

AGREED_FOR_S = 0.1
"""Time for which the majority has to last without objection, in seconds."""

RETURNING_BALANCERS = 2
"""Number of balancers whose evidence ends a departure at once."""

RETURN_ALONE_S = 1.0
"""Time after which the evidence of a single balancer ends it too, in seconds."""

SETTLING_S = 2.0
"""Time after a return in which the domain does not depart again, in seconds.

Reports from before the return are no longer repeated by then.
"""

ABSENCE_RANGE_S = (1.0, 16.0)
"""Shortest time out of rotation, at first and at most, in seconds.

It doubles with each departure that closely follows a return.
"""

RELAPSE_S = 10.0
"""Time after a return in which a departure counts as a relapse, in seconds."""


class Tally(NamedTuple):
    """What the live balancers of the failure domain say, this one included.

    Parameters
    ----------
    live, unreached, reaching : int
        Number of live balancers, and of those that freshly say that they reach no
        upstream, or that they reach one.
    newest_s, oldest_s : float
        Age of the newest and the oldest report counted, in seconds.
    """

    live: int = 1
    unreached: int = 0
    reaching: int = 0
    newest_s: float = 0.0
    oldest_s: float = 0.0


class _Report(NamedTuple):
    order: tuple[int, int]
    reaches: bool
    evidence_at: float
    received_at: float


class DomainAgreement:
    """Counts the reports of the balancers of one failure domain.

    A majority that reaches nothing makes the domain depart, unless any balancer gets
    answers. A departure ends as soon as two balancers reach an upstream again, or one
    does for a while. It depends on no clock but the receiver's.
    """

    def __init__(self) -> None:
        self._reports: dict[Hashable, _Report] = {}
        self._tally = Tally()
        self._departed_at: float | None = None
        self._returned_at = float("-inf")
        self._agreed_since: float | None = None
        self._reaching_since: float | None = None
        self._absence_s = ABSENCE_RANGE_S[0]

    @property
    def departed_at(self) -> float | None:
        """When the domain departed, in seconds; None while it has not."""
        return self._departed_at

    @property
    def tally(self) -> Tally:
        """What the latest decision was based on."""
        return self._tally

    def note_report(
        self,
        sender: Hashable,
        order: tuple[int, int],
        reaches: bool,
        age_s: float,
        now: float,
    ) -> None:
        """Record the report of another balancer of the failure domain.

        Parameters
        ----------
        sender : hashable
            Identifies the balancer.
        order : tuple of int and int
            Its incarnation and heartbeat counter; outdated reports are ignored.
        reaches : bool
            Whether it reaches an upstream.
        age_s : float
            Age of its newest evidence, in seconds.
        now : float
            The current time, in seconds.
        """
        known = self._reports.get(sender)
        if known is not None and known.order[0] == order[0] and known.order > order:
            return
        self._reports[sender] = _Report(order, reaches, now - age_s, now)

    def is_contested(self, now: float) -> bool:
        """Return whether any balancer has freshly said that it reaches nothing."""
        return any(
            not report.reaches and now - report.received_at <= REPORT_FRESH_S
            for report in self._reports.values()
        )

    def update(self, own: OwnBelief, peers: Collection[Hashable], now: float) -> bool:
        """Return whether the domain has departed, after counting what is fresh.

        Parameters
        ----------
        own : OwnBelief
            What this balancer's own openings show.
        peers : collection of hashable
            The other live balancers of the failure domain.
        now : float
            The current time, in seconds.
        """
        self._forget_outdated(now)
        self._tally = self._count(own, peers, now)
        if self._departed_at is None:
            self._consider_departure(now)
        else:
            self._consider_return(now)
        return self._departed_at is not None

    def end_departure(self, now: float) -> None:
        """Return to the rotation, whatever the others say."""
        if self._departed_at is None:
            return
        self._departed_at = self._agreed_since = self._reaching_since = None
        self._returned_at = now
        # Balancers that have not returned yet still repeat their reports.
        self._reports.clear()

    def _forget_outdated(self, now: float) -> None:
        for sender, report in list(self._reports.items()):
            if now - report.received_at > REPORT_FRESH_S:
                del self._reports[sender]

    def _count(self, own: OwnBelief, peers: Collection[Hashable], now: float) -> Tally:
        reach_fresh_s = ANSWER_FRESH_S if self._departed_at is None else REACH_FRESH_S
        unreached = int(own.belief is Belief.UNREACHED)
        reaching = int(own.belief is Belief.REACHES)
        ages = []
        for peer in peers:
            report = self._reports.get(peer)
            if report is None:
                continue
            ages.append(now - report.received_at)
            if not report.reaches:
                unreached += 1
            elif now - report.evidence_at <= reach_fresh_s:
                reaching += 1
        return Tally(
            1 + len(peers),
            unreached,
            reaching,
            min(ages, default=0.0),
            max(ages, default=0.0),
        )

    def _consider_departure(self, now: float) -> None:
        tally = self._tally
        agreed = not tally.reaching and tally.unreached * 2 > tally.live
        if not agreed or now - self._returned_at < SETTLING_S:
            self._agreed_since = None
            return
        if self._agreed_since is None:
            self._agreed_since = now
        if now - self._agreed_since >= AGREED_FOR_S:
            self._depart(now)

    def _depart(self, now: float) -> None:
        shortest_s, longest_s = ABSENCE_RANGE_S
        is_relapse = now - self._returned_at < RELAPSE_S
        doubled_s = min(longest_s, self._absence_s * 2.0)
        self._absence_s = doubled_s if is_relapse else shortest_s
        self._departed_at = now
        self._reaching_since = None

    def _consider_return(self, now: float) -> None:
        tally = self._tally
        if not tally.reaching:
            self._reaching_since = None
            return
        if self._reaching_since is None:
            self._reaching_since = now
        if self._departed_at is None or now - self._departed_at < self._absence_s:
            return
        enough = tally.reaching >= min(RETURNING_BALANCERS, tally.live)
        if enough or now - self._reaching_since >= RETURN_ALONE_S:
            self.end_departure(now)
