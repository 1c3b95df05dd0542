"""The mean time to answer an opening, and the time limits derived from it.

Answers go directly from the upstream to the caller, so an answer time is measured up
to the caller's next packet.
"""

from __future__ import annotations

RESEND_TIMEOUT_RANGE_S = (0.045, 0.15)
"""Bounds of the time after which an opening goes to another upstream, in seconds.

Well above a round trip between failure domains, and below the time at which the
caller retransmits its opening.
"""

INITIAL_ANSWER_TIME_S = 0.01
"""Mean answer time assumed before the first answer, in seconds."""

ANSWER_TIME_WEIGHT = 0.1
"""Weight of the latest answer in the moving average of answer times."""

RESEND_TIMEOUT_FACTOR = 3.0
"""The resend timeout, as a multiple of the mean answer time."""

MIN_RECONNECT_FACTOR = 0.6
"""Minimum time in which a caller reconnects after a reset, in mean answer times.

An opening that follows the previous one sooner is another flow of the same caller.
"""


class AnswerTimes:
    """Moving average of the time from an opening to the caller's next packet."""

    def __init__(self) -> None:
        self._mean_s = INITIAL_ANSWER_TIME_S

    @property
    def resend_timeout_s(self) -> float:
        """The time to wait for an answer, in seconds.

        It grows with the mean answer time, and so while this VM is busy.
        """
        shortest_s, longest_s = RESEND_TIMEOUT_RANGE_S
        return min(longest_s, max(shortest_s, RESEND_TIMEOUT_FACTOR * self._mean_s))

    @property
    def min_reconnect_s(self) -> float:
        """The minimum time in which a caller reconnects after a reset, in seconds."""
        return MIN_RECONNECT_FACTOR * self._mean_s

    def record(self, answer_s: float) -> None:
        """Add one answer time to the average."""
        self._mean_s += ANSWER_TIME_WEIGHT * (answer_s - self._mean_s)
