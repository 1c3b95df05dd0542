"""How long upstreams take to answer openings, and what follows from it."""

from __future__ import annotations

RESEND_TIMEOUT_RANGE_S = (0.045, 0.15)
"""Time without an answer after which an opening goes to a second upstream, in seconds.

Well above a round trip between failure domains, below a caller's first copy.
"""

INITIAL_ANSWER_TIME_S = 0.01
"""Time of an answer before any is known, in seconds."""

ANSWER_TIME_WEIGHT = 0.1
"""Weight of the newest answer in the mean time of an answer."""

RESEND_TIMEOUT_FACTOR = 3.0
"""The wait for an answer, in mean times of an answer."""

MIN_RECONNECT_FACTOR = 0.6
"""A caller that opens again before so many mean times of an answer does not return."""


class AnswerTimes:
    """The mean time from an opening to the caller's first packet after the answer."""

    def __init__(self) -> None:
        self._mean_s = INITIAL_ANSWER_TIME_S

    @property
    def resend_timeout_s(self) -> float:
        """How long to wait for an answer, in seconds: longer while this VM is busy."""
        shortest_s, longest_s = RESEND_TIMEOUT_RANGE_S
        return min(longest_s, max(shortest_s, RESEND_TIMEOUT_FACTOR * self._mean_s))

    @property
    def min_reconnect_s(self) -> float:
        """The shortest time in which a caller that was reset returns, in seconds."""
        return MIN_RECONNECT_FACTOR * self._mean_s

    def record(self, answer_s: float) -> None:
        """Take the time of an answer."""
        self._mean_s += ANSWER_TIME_WEIGHT * (answer_s - self._mean_s)
