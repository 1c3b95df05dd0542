"""Lets the balancers of a failure domain that reaches no upstream leave together.

Connects what this balancer's openings show, what the others of its failure domain
report, and what it tells them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

from egrethook.addresses import Address
from egrethook.balancers.domain_agreement import SETTLING_S, DomainAgreement
from egrethook.balancers.gossip_codec import MemberInfo, ReachReport
from egrethook.logs import PartLog
from egrethook.token_bucket import TokenBucket
from egrethook.upstreams.reach_evidence import (
    CONTACT_SILENCE_S,
    Belief,
    OwnBelief,
    ReachEvidence,
)
from egrethook.upstreams.reachability import RETRY_AFTER_S

CHECK_INTERVAL_S = 0.05
"""Interval between decisions while anything is suspicious, in seconds."""

IDLE_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether anything is suspicious, in seconds."""

REPEAT_INTERVAL_S = 0.3
"""Interval at which a report is repeated while it holds, in seconds."""

REPEAT_FANOUT = 24
"""Maximum number of balancers that get a repeated report."""

CHANGES_PER_S = 2.0
"""Rate limit of reports that go to the whole failure domain, per second."""

OBJECTION_SHARE = 0.25
"""Share of the balancers that reach nothing above which others object.

A few can't make the domain depart, and need no answer.
"""

MAX_OBJECTORS = 4
"""Number of other balancers heard to object from which this one need not."""

CONFIRMED_CONTACT_S = 1.0
"""Time in which two datagrams show that a failure domain is heard, in seconds."""

SILENT_RETRY_AFTER_S = 60.0
"""Time after which a departed domain tries again although gossip is silent, in seconds.

The balancers whose gossip would show the end of the cut may have ended meanwhile.
"""

DEPARTED_SENTENCE = "no upstream is reachable from this failure domain; not ready."
"""What is logged when the failure domain leaves the rotation."""

_LOG = PartLog("departure")


class DomainPeers(Protocol):
    """The other balancers, as gossip shows them."""

    @property
    def own(self) -> MemberInfo:
        """The record of this balancer."""
        ...

    def live_in_own_domain(self, now: float) -> list[Address]:
        """Return the other live balancers of the failure domain."""
        ...

    def contact_age(self, domain: str, now: float) -> float | None:
        """Return the time since a datagram came from a domain; see `ContactAge`."""
        ...

    def confirmed_contact_at(self, domain: str) -> float:
        """Return when the last datagram but one came from a domain, in seconds."""
        ...


class ReachReportSender(Protocol):
    """Sends reports to the balancers of the failure domain."""

    def __call__(self, report: ReachReport, limit: int | None, /) -> None:
        """Send to all of them, or to a random `limit` of them."""
        ...


class DomainDeparture:
    """Decides for this balancer whether its failure domain has departed.

    Parameters
    ----------
    domain : str
        The failure domain of this balancer.
    evidence : ReachEvidence
        What the openings of this balancer show.
    wanted_domains : callable
        Returns the failure domains of the upstreams that may get new flows.
    peers : DomainPeers
        The other balancers.
    send : ReachReportSender
        Sends reports to the balancers of the failure domain.
    """

    def __init__(
        self,
        domain: str,
        evidence: ReachEvidence,
        wanted_domains: Callable[[], Collection[str]],
        peers: DomainPeers,
        send: ReachReportSender,
    ) -> None:
        self._domain = domain
        self._evidence = evidence
        self._wanted_domains = wanted_domains
        self._peers = peers
        self._send = send
        self._agreement = DomainAgreement()
        self._bucket = TokenBucket(CHANGES_PER_S, CHANGES_PER_S)
        self._departures = 0
        self._returned_at = float("-inf")
        self._was_silent = False
        self._active = False
        self._said: bool | None = None
        self._sent_at = float("-inf")

    @property
    def departed(self) -> bool:
        """Whether the failure domain has left the rotation."""
        return self._agreement.departed_at is not None

    @property
    def departures(self) -> int:
        """How often it has left the rotation."""
        return self._departures

    @property
    def check_interval_s(self) -> float:
        """The time until the next `step`, in seconds."""
        return CHECK_INTERVAL_S if self._active else IDLE_CHECK_INTERVAL_S

    def decides(self, now: float) -> bool:
        """Return whether there are other balancers of the domain to agree with."""
        return bool(self._peers.live_in_own_domain(now))

    def note_report(self, report: ReachReport, now: float) -> None:
        """Record the report of another balancer."""
        sender = report.sender
        if sender.failure_domain != self._domain:
            return
        order = sender.incarnation, sender.beat
        self._agreement.note_report(
            sender.address, order, report.reaches_upstreams, report.age_s, now
        )

    def step(self, now: float) -> None:
        """Decide afresh and send what is due; call after `check_interval_s`."""
        was_active = self._active
        self._active = (
            self.departed
            or self._is_settling(now)
            or self._evidence.is_suspicious(now)
            or self._agreement.is_contested(now)
        )
        if self._active or was_active:
            self._decide(now)

    def _decide(self, now: float) -> None:
        wanted = self._wanted_domains()
        peers = self._peers.live_in_own_domain(now)
        own = self._own_belief(wanted, now)
        had_departed = self.departed
        may_depart = wanted and peers and self._domain not in wanted
        if not may_depart or self._is_trial_due(wanted, now):
            self._agreement.end_departure(now)
        else:
            self._agreement.update(own, peers, now)
        if self.departed != had_departed:
            self._note_change(wanted, own, now)
        self._tell(own, now)

    # What this balancer knows ------------------------------------------------------

    def _own_belief(self, wanted: Collection[str], now: float) -> OwnBelief:
        shown = self._evidence.belief(
            wanted, lambda domain: self._peers.contact_age(domain, now), now
        )
        departed_at = self._agreement.departed_at
        if departed_at is None and not self._is_settling(now):
            is_unreached = shown.belief is Belief.UNREACHED
            # Upstreams of its own domain may get flows, so this domain must not leave.
            return OwnBelief() if is_unreached and self._domain in wanted else shown
        if shown.belief is not Belief.UNKNOWN:
            return shown
        heard_at = self._heard_again_at(wanted, now)
        if heard_at is not None:
            return OwnBelief(Belief.REACHES, now - heard_at)
        # Without openings nothing else shows that the cut lasts.
        unreached = OwnBelief(Belief.UNREACHED)
        return unreached if departed_at is not None else OwnBelief()

    def _is_settling(self, now: float) -> bool:
        return now - self._returned_at < SETTLING_S

    def _heard_again_at(self, wanted: Collection[str], now: float) -> float | None:
        """Return when a domain was heard that was silent at the departure."""
        if not self._was_silent:
            return None
        departed_at = self._agreement.departed_at or self._returned_at
        earliest = max(departed_at, now - CONFIRMED_CONTACT_S)
        heard_at = max(
            (self._peers.confirmed_contact_at(domain) for domain in wanted),
            default=float("-inf"),
        )
        return heard_at if heard_at > earliest else None

    def _is_silent(self, wanted: Collection[str], now: float) -> bool:
        """Return whether no balancer of these domains is heard, though some are known.

        They are heard again when the cut ends; otherwise only openings show it.
        """
        ages = [self._peers.contact_age(domain, now) for domain in wanted]
        return all(age is not None and age >= CONTACT_SILENCE_S for age in ages)

    def _is_trial_due(self, wanted: Collection[str], now: float) -> bool:
        """Return whether only openings can show whether the cut has ended."""
        departed_at = self._agreement.departed_at
        if departed_at is None or now - departed_at < RETRY_AFTER_S:
            return False
        if now - departed_at >= SILENT_RETRY_AFTER_S:
            return True
        known = [self._peers.contact_age(domain, now) is not None for domain in wanted]
        return not self._was_silent or not all(known)

    def _note_change(self, wanted: Collection[str], own: OwnBelief, now: float) -> None:
        if self.departed:
            self._departures += 1
            self._was_silent = self._is_silent(wanted, now)
        else:
            self._returned_at = now
            self._evidence.forget_unanswered()
        tally = self._agreement.tally
        sentence = (
            DEPARTED_SENTENCE
            if self.departed
            else "this failure domain reaches upstreams again, or tries to; ready."
        )
        _LOG.warning(
            sentence,
            wanted_domains=sorted(wanted),
            own_belief=own.belief.value,
            own_age_ms=round(own.age_s * 1000),
            live=tally.live,
            unreached=tally.unreached,
            reaching=tally.reaching,
            newest_report_ms=round(tally.newest_s * 1000),
            oldest_report_ms=round(tally.oldest_s * 1000),
            gossip_silent=self._was_silent,
        )

    # What it tells the others ------------------------------------------------------

    def _tell(self, own: OwnBelief, now: float) -> None:
        says = self._statement(own, now)
        if says is None:
            self._said = None
            return
        changed = says != self._said
        self._said = says
        if changed and self._bucket.take(now):
            self._log_statement(says, own)
            self._send_report(says, own.age_s, None, now)
        elif now - self._sent_at >= REPEAT_INTERVAL_S:
            self._send_report(says, own.age_s, REPEAT_FANOUT, now)

    def _log_statement(self, reaches: bool, own: OwnBelief) -> None:
        tally = self._agreement.tally
        _LOG.info(
            "the others of this failure domain are told what is reached from here.",
            reaches_upstreams=reaches,
            evidence_age_ms=round(own.age_s * 1000),
            live=tally.live,
            unreached=tally.unreached,
            reaching=tally.reaching,
        )

    def _statement(self, own: OwnBelief, now: float) -> bool | None:
        """Return what to tell the others, or None for nothing."""
        if own.belief is Belief.UNREACHED:
            return False
        if own.belief is Belief.UNKNOWN:
            return None
        tally = self._agreement.tally
        is_disputed = (
            self.departed
            # Others may not have returned yet.
            or self._is_settling(now)
            or tally.unreached > OBJECTION_SHARE * tally.live
        )
        objectors = tally.reaching - 1
        return True if is_disputed and objectors < MAX_OBJECTORS else None

    def _send_report(
        self, reaches: bool, age_s: float, limit: int | None, now: float
    ) -> None:
        self._sent_at = now
        self._send(ReachReport(self._peers.own, reaches, age_s), limit)
