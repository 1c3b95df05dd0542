"""The evidence against single upstreams, and the trials of those that are left out."""

from __future__ import annotations

import math
from zlib import crc32

from msgspec import Struct

from egrethook.upstreams.upstream import Upstream

OWN_SOURCE = ""
"""The source of what this balancer has observed itself."""

EJECTION_SCORE = 7.0
"""Score from which an upstream is left out: two or three suspicious answers."""

PEER_SCORE_MAX = 4.5
"""Maximum that the reports of one other balancer add to a score.

Less than `EJECTION_SCORE`: a single balancer with a faulty view leaves out no upstream
at others.
"""

EVIDENCE_HALF_LIFE_S = 10.0
"""Time in which evidence loses half of its weight, in seconds."""

TRIAL_RANGE_S = (0.5, 2.0)
"""Initial and maximum time between two trials, before jitter, in seconds."""

SECOND_TRIAL_S = 0.15
"""Time from a plausible answer to the next trial, before jitter, in seconds."""

LAST_RESORT_S = 1.0
"""Time after which a trial also takes a request that must not run twice, in seconds."""

TRIALS_TO_RETURN = 2
"""Plausible answers that end an ejection; doubled with each relapse."""

MAX_TRIALS_TO_RETURN = 8
"""Maximum number of them."""

RELAPSE_S = 10.0
"""Time after an ejection in which another one is a relapse, in seconds."""

EJECTION_LAPSE_S = 10.0
"""Time without a suspicious answer after which an ejection lapses, in seconds."""

NEWS_INTERVAL_S = 0.3
"""Time in which further reports of one suspicious answer may arrive, in seconds."""

CONFIRMING_SHARE = 0.15
"""Share of the balancers of a domain that confirm what another one reports."""

MIN_SCORE = 0.05
"""Score below which evidence is dropped."""

MAX_SOURCES = 64
"""Maximum balancers whose reports on one upstream are told apart."""


class Evidence(Struct):
    """A cumulative sum of log likelihood ratios, never below 0.

    It rises while an upstream gives more suspicious answers than its peers, whether
    to all requests or to a part, and falls with plausible answers and with time.
    """

    score: float = 0.0
    updated_at: float = 0.0
    sources: dict[str, tuple[float, float]] = {}

    def age(self, now: float) -> None:
        """Reduce the score by the time that has passed."""
        self.score *= _decay(now - self.updated_at)
        self.updated_at = now

    def add(self, weight: float, source: str, now: float) -> float:
        """Add the weight of one request, and return how much of it counted."""
        self.age(now)
        if weight > 0.0 and source != OWN_SOURCE:
            weight = self._limited(weight, source, now)
        self.score = max(0.0, self.score + weight)
        return weight

    def _limited(self, weight: float, source: str, now: float) -> float:
        """Return the part of a weight that another balancer's report may add."""
        added, added_at = self.sources.get(source, (0.0, now))
        if source not in self.sources and len(self.sources) >= MAX_SOURCES:
            return 0.0
        added *= _decay(now - added_at)
        allowed = min(weight, PEER_SCORE_MAX - added)
        self.sources[source] = added + allowed, now
        return allowed


class Ejection(Struct):
    """An upstream that gets no openings but trials.

    Parameters
    ----------
    trials_to_return : int
        Plausible answers that end the ejection.
    last_suspicious_at : float
        When it last gave a suspicious answer, in seconds.
    trial_due_at : float
        When the next trial is due, in seconds.
    failed_trials : int
        Suspicious answers since the start of the ejection.
    plausible : int
        Plausible answers since the last suspicious one.
    sources : set of str
        Other balancers that reported one of them.
    """

    upstream: Upstream
    trials_to_return: int
    last_suspicious_at: float = float("-inf")
    trial_due_at: float = 0.0
    failed_trials: int = 0
    plausible: int = 0
    sources: set[str] = set()

    @property
    def has_ended(self) -> bool:
        """Whether enough answers were plausible."""
        return self.plausible >= self.trials_to_return

    def has_lapsed(self, now: float) -> bool:
        """Return whether nothing has confirmed the ejection for long."""
        return now - self.last_suspicious_at > EJECTION_LAPSE_S

    def wants_trial(self, idempotent: bool, now: float) -> bool:
        """Return whether a request may be the next trial."""
        due_at = self.trial_due_at + (0.0 if idempotent else LAST_RESORT_S)
        return now >= due_at

    def note_trial(self, balancer: str, now: float) -> None:
        """Record that an opening was sent as a trial."""
        self._schedule(self._interval_s, balancer, now)

    def note_suspicious(self, balancer: str, now: float) -> bool:
        """Record a suspicious answer, and return whether it is news.

        The next trial then comes later.
        """
        is_news = now - self.last_suspicious_at > NEWS_INTERVAL_S
        self.last_suspicious_at = now
        self.plausible = 0
        self.sources.clear()
        self._schedule(self._interval_s, balancer, now)
        if is_news:
            self.failed_trials += 1
        return is_news

    def is_confirmed_by(self, balancer: str) -> bool:
        """Return whether this balancer is one of the few that confirm it next."""
        return self._hash(balancer) < CONFIRMING_SHARE

    def note_plausible(self, source: str, balancer: str, now: float) -> None:
        """Record a plausible answer; each other balancer counts once."""
        if source != OWN_SOURCE:
            if source in self.sources:
                return
            self.sources.add(source)
        self.plausible += 1
        self._schedule(SECOND_TRIAL_S, balancer, now)

    @property
    def _interval_s(self) -> float:
        shortest_s, longest_s = TRIAL_RANGE_S
        return min(longest_s, shortest_s * 2.0 ** min(self.failed_trials, 8))

    def _schedule(self, interval_s: float, balancer: str, now: float) -> None:
        """Set the next trial, with a jitter that depends on the balancer's name.

        The first of them to try tells the others, whose trials then come later.
        """
        self.trial_due_at = now + interval_s * (1.0 + self._hash(balancer))

    def _hash(self, balancer: str) -> float:
        """Return a number from 0 to 1 that differs between balancers and trials."""
        text = f"{balancer}/{self.upstream.name}/{self.failed_trials}/{self.plausible}"
        return crc32(text.encode()) / 2**32


def _decay(elapsed_s: float) -> float:
    return math.pow(0.5, max(0.0, elapsed_s) / EVIDENCE_HALF_LIFE_S)
