"""What the answers of one route look like, over all upstreams of a service."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import NamedTuple

SAMPLES_PER_UPSTREAM = 6
"""Newest requests that count of each upstream.

Each upstream has the same share in what is typical, whatever load it draws.
"""

MAX_UPSTREAMS = 64
"""Maximum upstreams sampled; those answered longest ago are dropped."""

MIN_SAMPLES = 12
"""Number of answers from which they can be compared."""

MIN_UPSTREAMS = 3
"""Number of upstreams from which their answers can be compared."""

REFRESH_AFTER = 24
"""Number of requests after which the norm is computed anew."""

SAMPLE_MAX_AGE_S = 30.0
"""Age of an upstream's newest sample from which it is dropped, in seconds."""

SHORT_ANSWER_FACTOR = 0.4
"""Share of the median size below which an answer is short."""

FAST_QUANTILE = 0.05
"""Quantile of the service times that counts as the least cost of a request."""

FAST_ANSWER_FACTOR = 0.65
"""Share of that time below which an answer has come too soon."""

VERY_SHORT_FACTOR = 0.3
"""Share of the median size below which an answer is very short."""

EARLY_QUANTILE = 0.1
"""Quantile of the service times below which a very short answer has come too soon.

A failure is measured longer than it takes where its balancer is slow.
"""

STALL_FACTOR = 8.0
"""Factor over the median service time from which a request is stalled."""

STALL_MIN_S = 0.5
"""Shortest time after which a request is stalled, in seconds."""

OUTLIER_RATE = 0.4
"""Share of suspicious requests at an outlier that the evidence is weighed for."""

MIN_NORMAL_RATE = 0.005
"""Lower bound of the share of suspicious requests at other upstreams."""

PRIOR_REQUESTS = 20.0
"""Requests that the first estimate of that share counts for."""

PRIOR_SUSPICIOUS = 0.5
"""Suspicious ones among them."""


class RequestSample(NamedTuple):
    """One request: its service time in seconds, and the first bytes of its answer.

    `answer_bytes` is None if the request was left unanswered.
    """

    service_s: float
    answer_bytes: int | None


class EvidenceWeights(NamedTuple):
    """Log likelihood ratios of an outlier against a normal upstream.

    Parameters
    ----------
    suspicious, plausible : float
        Added to the score of an upstream by a request of that kind; `plausible` is
        negative. Both are 0 if suspicious answers are usual on the route.
    """

    suspicious: float
    plausible: float


class AnswerNorm(NamedTuple):
    """What is typical of a route.

    Parameters
    ----------
    short_bytes : float
        Size below which an answer is short.
    soon_s : float
        Time below which it has come too soon, in seconds.
    very_short_bytes, early_s : float
        The same for an answer that is very short.
    stalled_s : float
        Time from which a request without an answer is stalled, in seconds.
    weights : EvidenceWeights
        How much one request says about its upstream.
    """

    short_bytes: float
    soon_s: float
    very_short_bytes: float
    early_s: float
    stalled_s: float
    weights: EvidenceWeights

    def is_suspicious(self, sample: RequestSample) -> bool:
        """Return whether a request hangs, or was answered too soon and too short."""
        if sample.answer_bytes is None:
            return True
        if sample.answer_bytes < self.very_short_bytes:
            return sample.service_s < max(self.soon_s, self.early_s)
        return sample.answer_bytes < self.short_bytes and sample.service_s < self.soon_s

    def is_plausible(self, sample: RequestSample) -> bool:
        """Return whether a request was answered at length.

        A short answer that comes late may be a failure too: it was held up on its way,
        or this balancer is slow.
        """
        return (
            sample.answer_bytes is not None and sample.answer_bytes >= self.short_bytes
        )


def evidence_weights(normal_rate: float) -> EvidenceWeights:
    """Return the weights, given the suspicious share of normal upstreams."""
    rate = max(normal_rate, MIN_NORMAL_RATE)
    if rate >= OUTLIER_RATE:
        return EvidenceWeights(0.0, 0.0)
    return EvidenceWeights(
        math.log(OUTLIER_RATE / rate), math.log((1 - OUTLIER_RATE) / (1 - rate))
    )


DEFAULT_WEIGHTS = evidence_weights(PRIOR_SUSPICIOUS / PRIOR_REQUESTS)
"""Weights before the answers of a route are known."""


class RouteAnswers:
    """Recent requests of one route and service, and the norm that they give.

    An answer is compared with those of all upstreams in size and in time. Short answers
    that come soon are normal where all upstreams give them: then they weigh little.
    """

    def __init__(self) -> None:
        self._samples: OrderedDict[int, deque[RequestSample]] = OrderedDict()
        self._sampled_at: dict[int, float] = {}
        self._since_refresh = 0
        self._noted_at = float("-inf")
        self._norm: AnswerNorm | None = None

    @property
    def noted_at(self) -> float:
        """When the newest request was added, in seconds."""
        return self._noted_at

    @property
    def norm(self) -> AnswerNorm | None:
        """What is typical; None while too few answers are known."""
        return self._norm

    def note(self, token: int, sample: RequestSample, now: float) -> None:
        """Add a request to the upstream with this token."""
        samples = self._samples.get(token)
        if samples is None:
            samples = self._samples[token] = deque(maxlen=SAMPLES_PER_UPSTREAM)
        samples.append(sample)
        self._samples.move_to_end(token)
        self._sampled_at[token] = self._noted_at = now
        if len(self._samples) > MAX_UPSTREAMS:
            self.forget(next(iter(self._samples)))
        self._since_refresh += 1
        due = MIN_SAMPLES if self._norm is None else REFRESH_AFTER
        if self._since_refresh >= due:
            self._refresh(now)

    def forget(self, token: int) -> None:
        """Drop what is known of one upstream."""
        self._samples.pop(token, None)
        self._sampled_at.pop(token, None)

    def _refresh(self, now: float) -> None:
        self._since_refresh = 0
        for token, sampled_at in list(self._sampled_at.items()):
            if now - sampled_at > SAMPLE_MAX_AGE_S:
                self.forget(token)
        answers = [
            (sample.answer_bytes, sample.service_s)
            for samples in self._samples.values()
            for sample in samples
            if sample.answer_bytes is not None
        ]
        if len(answers) < MIN_SAMPLES or len(self._samples) < MIN_UPSTREAMS:
            return
        sizes = sorted(size for size, _ in answers)
        short_bytes = SHORT_ANSWER_FACTOR * sizes[len(sizes) // 2]
        times = sorted(time for size, time in answers if size >= short_bytes)
        norm = AnswerNorm(
            short_bytes,
            FAST_ANSWER_FACTOR * times[int(FAST_QUANTILE * len(times))],
            VERY_SHORT_FACTOR * sizes[len(sizes) // 2],
            times[int(EARLY_QUANTILE * len(times))],
            max(STALL_MIN_S, STALL_FACTOR * times[len(times) // 2]),
            DEFAULT_WEIGHTS,
        )
        self._norm = norm._replace(weights=evidence_weights(self._normal_rate(norm)))

    def _normal_rate(self, norm: AnswerNorm) -> float:
        """Return the share of suspicious requests at normal upstreams.

        Those with several samples, all of them suspicious, are left out.
        """
        suspicious = PRIOR_SUSPICIOUS
        total = PRIOR_REQUESTS
        for samples in self._samples.values():
            count = sum(map(norm.is_suspicious, samples))
            if count < max(2, len(samples)):
                suspicious += count
                total += len(samples)
        return suspicious / total
