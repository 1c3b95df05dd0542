"""Leaves out upstreams that fail requests at once, in part, or leave them unanswered.

Such an upstream looks idle and fast, so that it would draw openings. Only what its
answers look like, against those of its peers, tells it from a good one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from msgspec import Struct

from egrethook.discovery.records import Route
from egrethook.logs import PartLog
from egrethook.token_bucket import TokenBucket
from egrethook.upstreams.ejections import (
    EJECTION_SCORE,
    MAX_TRIALS_TO_RETURN,
    MIN_SCORE,
    OWN_SOURCE,
    RELAPSE_S,
    TRIALS_TO_RETURN,
    Ejection,
    Evidence,
)
from egrethook.upstreams.requests import RequestOutcome
from egrethook.upstreams.route_answers import (
    DEFAULT_WEIGHTS,
    EvidenceWeights,
    RequestSample,
    RouteAnswers,
)
from egrethook.upstreams.selection import Opening
from egrethook.upstreams.upstream import Upstream

MAX_LEFT_OUT_SHARE = 0.5
"""Largest share of a service's upstreams that are left out at a time.

If more answer alike, it is the way of the service.
"""

PAUSE_S = 0.15
"""Time without openings after a suspicious answer, in seconds.

The caller's retry goes to another upstream, through whichever balancer of the domain,
and reports of others may arrive.
"""

TELLING_WEIGHT = 2.0
"""Least weight of an answer that makes its upstream pause, and is reported.

Where short answers that come soon are usual, one says little: reports of them would
use up the rate limit, and hold back reports of plausible answers.
"""

REPORTS_PER_S = 4.0
"""Rate limit of the reports sent, per second."""

REPORT_BURST = 16.0
"""Maximum reports sent at once."""

MAX_ROUTES = 32
"""Maximum pairs of route and service whose answers are compared."""

ROUTE_LIFE_S = 300.0
"""Time without requests after which a pair is forgotten, in seconds."""

MAX_TRACKED = 512
"""Maximum upstreams with evidence against them."""

UPKEEP_INTERVAL_S = 1.0
"""Interval between two removals of aged evidence, in seconds."""

_LOG = PartLog("outliers")


class OutlierListener(Protocol):
    """Receives what this balancer's own requests say about an upstream."""

    def __call__(self, upstream: Upstream, is_outlier: bool) -> None:
        """Handle a suspicious answer, or a plausible one of a suspected upstream."""
        ...


class OutlierCounts(Struct):
    """Counters since the start, for the metrics."""

    suspicious: int = 0
    ejections: int = 0
    trials: int = 0
    reports_held_back: int = 0


class OutlierDetector:
    """Finds upstreams whose answers differ from those of their peers.

    A request counts as suspicious if its answer is far shorter than others and came
    sooner than even cheap requests of its route are answered, or if it hangs. Balancers
    of a failure domain share each piece of evidence, since each sees few requests.

    Parameters
    ----------
    name : str
        The name of this balancer; seeds the jitter of its trials.
    count_upstreams : callable
        Returns the number of upstreams of a service.
    """

    def __init__(self, name: str, count_upstreams: Callable[[str], int]) -> None:
        self._name = name
        self._count_upstreams = count_upstreams
        self._answers: dict[tuple[str, str], RouteAnswers] = {}
        self._evidence: dict[int, Evidence] = {}
        self._ejections: dict[int, Ejection] = {}
        self._returned: dict[int, tuple[float, int]] = {}
        self._paused_until: dict[int, float] = {}
        self._stall_seen: dict[int, float] = {}
        self._listener: OutlierListener | None = None
        self._limiter = TokenBucket(REPORTS_PER_S, REPORT_BURST)
        self._counts = OutlierCounts()
        self._upkept_at = float("-inf")
        self._version = 0

    @property
    def version(self) -> int:
        """Counter that increases when an upstream is left out, pauses or returns."""
        return self._version

    @property
    def counts(self) -> OutlierCounts:
        """Counters since the start."""
        return self._counts

    @property
    def left_out(self) -> int:
        """Number of upstreams that get no openings but trials."""
        return len(self._ejections)

    @property
    def tracked(self) -> int:
        """Number of upstreams that something is remembered of."""
        return len(self._evidence) + len(self._ejections) + len(self._returned)

    @property
    def is_idle(self) -> bool:
        """Whether all upstreams may get openings."""
        return not self._ejections and not self._paused_until

    def set_listener(self, listener: OutlierListener) -> None:
        """Set the receiver of what this balancer observes."""
        self._listener = listener

    # Observations ----------------------------------------------------------------

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Compare an answer with those of its route."""
        if now - self._upkept_at > UPKEEP_INTERVAL_S:
            self._upkeep(now)
        if outcome.retransmitted:
            return
        sample = RequestSample(outcome.service_s, outcome.answer_bytes)
        self._note(outcome.upstream, outcome.route, sample, now)

    def is_suspicious(self, outcome: RequestOutcome) -> bool:
        """Return whether an answer came too soon and is too short for its route."""
        answers = self._answers.get((outcome.route.name, outcome.upstream.service))
        if answers is None or answers.norm is None:
            return False
        sample = RequestSample(outcome.service_s, outcome.answer_bytes)
        return answers.norm.is_suspicious(sample)

    def request_stalled(
        self, upstream: Upstream, route: Route, sent_at: float, now: float
    ) -> None:
        """Count a request that its caller has retransmitted in vain for long."""
        answers = self._answers.get((route.name, upstream.service))
        if answers is None or answers.norm is None:
            return
        if now - sent_at < answers.norm.stalled_s:
            return
        if sent_at <= self._stall_seen.get(upstream.token, float("-inf")):
            return
        self._stall_seen[upstream.token] = sent_at
        self._note(upstream, route, RequestSample(now - sent_at, None), now)

    def _note(
        self, upstream: Upstream, route: Route, sample: RequestSample, now: float
    ) -> None:
        answers = self._answers_of(route, upstream)
        if answers is None:
            return
        norm = answers.norm
        if upstream.token not in self._ejections:
            answers.note(upstream.token, sample, now)
        if norm is None:
            return
        if norm.is_suspicious(sample):
            self._counts.suspicious += 1
            self._note_suspicious(upstream, norm.weights, sample, now)
        elif norm.is_plausible(sample):
            self._note_plausible(upstream, norm.weights, now)

    def _answers_of(self, route: Route, upstream: Upstream) -> RouteAnswers | None:
        key = route.name, upstream.service
        answers = self._answers.get(key)
        if answers is None and len(self._answers) < MAX_ROUTES:
            answers = self._answers[key] = RouteAnswers()
        return answers

    def _note_suspicious(
        self,
        upstream: Upstream,
        weights: EvidenceWeights,
        sample: RequestSample,
        now: float,
    ) -> None:
        if weights.suspicious >= TELLING_WEIGHT:
            self._report(upstream, True, now)
        self._add_suspicion(upstream, weights.suspicious, OWN_SOURCE, now, sample)

    def _note_plausible(
        self, upstream: Upstream, weights: EvidenceWeights, now: float
    ) -> None:
        token = upstream.token
        if token in self._ejections or token in self._evidence:
            self._report(upstream, False, now)
            self._remove_suspicion(upstream, weights.plausible, OWN_SOURCE, now)

    def note_report(
        self, upstream: Upstream, is_outlier: bool, source: str, now: float
    ) -> None:
        """Weigh what another balancer of the same failure domain has observed.

        Parameters
        ----------
        source : str
            Identifies the balancer; its reports add a limited score.
        """
        weights = self._service_weights(upstream.service)
        if is_outlier:
            self._add_suspicion(upstream, weights.suspicious, source, now)
        else:
            self._remove_suspicion(upstream, weights.plausible, source, now)

    def _service_weights(self, service: str) -> EvidenceWeights:
        """Return the weights of a report, which names no route: the least ones."""
        norms = [
            answers.norm
            for (_, of_service), answers in self._answers.items()
            if of_service == service and answers.norm is not None
        ]
        weights = [norm.weights for norm in norms] or [DEFAULT_WEIGHTS]
        return min(weights, key=lambda one: one.suspicious)

    def _report(self, upstream: Upstream, is_outlier: bool, now: float) -> None:
        if self._listener is None:
            return
        if self._limiter.take(now):
            self._listener(upstream, is_outlier)
        else:
            self._counts.reports_held_back += 1

    # Decisions ---------------------------------------------------------------------

    def _add_suspicion(
        self,
        upstream: Upstream,
        weight: float,
        source: str,
        now: float,
        sample: RequestSample | None = None,
    ) -> None:
        ejection = self._ejections.get(upstream.token)
        if ejection is not None:
            is_news = ejection.note_suspicious(self._name, now)
            # A balancer that has just started may know of no suspicious answer.
            if is_news and source and ejection.is_confirmed_by(self._name):
                self._report(upstream, True, now)
            return
        evidence = self._evidence.get(upstream.token)
        if evidence is None:
            if len(self._evidence) >= MAX_TRACKED:
                return
            evidence = self._evidence[upstream.token] = Evidence(updated_at=now)
        if evidence.add(weight, source, now) >= TELLING_WEIGHT:
            self._paused_until[upstream.token] = now + PAUSE_S
            self._version += 1
        if evidence.score < EJECTION_SCORE:
            return
        del self._evidence[upstream.token]
        if self._may_leave_out(upstream.service):
            self._eject(upstream, evidence, sample, now)
        else:
            self._relearn(upstream.service)

    def _remove_suspicion(
        self, upstream: Upstream, weight: float, source: str, now: float
    ) -> None:
        ejection = self._ejections.get(upstream.token)
        if ejection is not None:
            ejection.note_plausible(source, self._name, now)
            if ejection.has_ended:
                self._reinstate(ejection, "plausible answers", now)
            return
        evidence = self._evidence.get(upstream.token)
        if evidence is not None:
            evidence.add(weight, source, now)

    def _may_leave_out(self, service: str) -> bool:
        left_out = sum(
            ejection.upstream.service == service
            for ejection in self._ejections.values()
        )
        return left_out + 1 <= MAX_LEFT_OUT_SHARE * self._count_upstreams(service)

    def _relearn(self, service: str) -> None:
        """Learn anew what answers of a service look like; they may have changed.

        Upstreams that are left out return as soon as their trials look like the rest.
        """
        known = [key for key in self._answers if key[1] == service]
        if not known:
            return
        for key in known:
            del self._answers[key]
        _LOG.info(
            "most upstreams of a service answer alike; no more of them are left out.",
            service=service,
            left_out=len(self._ejections),
        )

    def _eject(
        self,
        upstream: Upstream,
        evidence: Evidence,
        sample: RequestSample | None,
        now: float,
    ) -> None:
        token = upstream.token
        returned_at, earlier_trials = self._returned.pop(token, (float("-inf"), 1))
        trials = TRIALS_TO_RETURN
        if now - returned_at <= RELAPSE_S:
            trials = min(MAX_TRIALS_TO_RETURN, 2 * earlier_trials)
        ejection = Ejection(upstream, trials)
        ejection.note_suspicious(self._name, now)
        self._ejections[token] = ejection
        self._version += 1
        for answers in self._answers.values():
            answers.forget(token)
        self._counts.ejections += 1
        _LOG.warning(
            "an upstream's answers differ from its peers'; it gets trials only.",
            upstream=upstream.name,
            score=round(evidence.score, 1),
            reporting_balancers=len(evidence.sources),
            answer_bytes=sample.answer_bytes if sample else None,
            service_ms=round(sample.service_s * 1000) if sample else None,
            from_peer=sample is None,
            trials_to_return=trials,
        )

    def _reinstate(self, ejection: Ejection, reason: str, now: float) -> None:
        token = ejection.upstream.token
        del self._ejections[token]
        self._paused_until.pop(token, None)
        self._version += 1
        self._returned[token] = now, ejection.trials_to_return
        _LOG.info(
            "an upstream gets openings again.",
            upstream=ejection.upstream.name,
            reason=reason,
            failed_trials=ejection.failed_trials,
        )

    def admits(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream may get an ordinary opening."""
        token = upstream.token
        if token in self._ejections:
            return False
        return self._paused_until.get(token, float("-inf")) <= now

    def pause_ends_at(self, now: float) -> float:
        """Return when the first pause of an upstream ends, in seconds."""
        pauses = [until for until in self._paused_until.values() if until > now]
        return min(pauses, default=float("inf"))

    def trial_for(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Upstream | None:
        """Return an upstream that gets this opening as a trial, if one is due."""
        ejection = self._due_trial(candidates, opening)
        if ejection is None:
            return None
        ejection.note_trial(self._name, opening.now)
        self._counts.trials += 1
        return ejection.upstream

    def next_trial(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Upstream | None:
        """Return what `trial_for` would, but change nothing."""
        ejection = self._due_trial(candidates, opening)
        return ejection.upstream if ejection is not None else None

    def _due_trial(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Ejection | None:
        if opening.tried or not self._ejections:
            return None
        idempotent, now = opening.route.idempotent, opening.now
        for ejection in self._ejections.values():
            upstream = ejection.upstream
            if (
                ejection.wants_trial(idempotent, now)
                and upstream in candidates
                and upstream not in opening.avoided
                and not upstream.is_ejected(now)
                and not upstream.is_cold(now)
            ):
                return ejection
        return None

    def _upkeep(self, now: float) -> None:
        """Drop what has aged, so that memory stays bounded."""
        self._upkept_at = now
        for token, evidence in list(self._evidence.items()):
            evidence.age(now)
            if evidence.score < MIN_SCORE:
                del self._evidence[token]
        for ejection in list(self._ejections.values()):
            if ejection.has_lapsed(now) or ejection.upstream.gone_at is not None:
                self._reinstate(ejection, "no recent evidence", now)
        for token, (returned_at, _) in list(self._returned.items()):
            if now - returned_at > RELAPSE_S:
                del self._returned[token]
        for key, answers in list(self._answers.items()):
            if now - answers.noted_at > ROUTE_LIFE_S:
                del self._answers[key]
        _drop_before(self._paused_until, now)
        _drop_before(self._stall_seen, now - RELAPSE_S)


def _drop_before(times: dict[int, float], limit: float) -> None:
    """Remove the entries with a time before a limit."""
    for token, time in list(times.items()):
        if time < limit:
            del times[token]
