"""Keeps failures out of what is learned from answers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from egrethook.upstreams.requests import RequestListener, RequestOutcome


class AnswerJudge(Protocol):
    """Tells answers that look like failures from others."""

    def is_suspicious(self, outcome: RequestOutcome) -> bool:
        """Return whether an answer differs from those of its route."""
        ...


class PlausibleAnswers:
    """Passes on only what doesn't look like a failure.

    The load that this answers: an upstream that fails requests at once would be learned
    as fast, and draw more of them.

    Parameters
    ----------
    judge : AnswerJudge
        Knows what answers look like.
    listeners : sequence of RequestListener
        Learn from the other answers.
    """

    def __init__(
        self, judge: AnswerJudge, listeners: Sequence[RequestListener]
    ) -> None:
        self._judge = judge
        self._listeners = listeners

    def request_answered(self, outcome: RequestOutcome, now: float) -> None:
        """Pass on an answer that is plausible."""
        if self._judge.is_suspicious(outcome):
            return
        for listener in self._listeners:
            listener.request_answered(outcome, now)
