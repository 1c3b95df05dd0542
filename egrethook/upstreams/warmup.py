"""Limits the load of a cold upstream while it warms up."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass

COLD_SERVICE_TIME_FACTOR = 4.0
"""Ratio of recent to average service time above which an upstream is cold."""

RECENT_ANSWER_COUNT = 6
"""Number of latest answers that count as recent."""

MIN_HISTORY_WEIGHT = 0.02
"""Minimum weight of an answer in the average service time."""

MIN_HISTORY_ANSWERS = 20
"""Answers needed before the average service time is used for comparison."""


class Warmth(enum.Enum):
    """Stages of warm-up.

    An upstream that is `WARMING` has the slots of a cold one, but a higher flow limit.
    """

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


@dataclass(frozen=True)
class Capacity:
    """Capacity of an upstream.

    Parameters
    ----------
    slots, cold_slots : int
        Maximum concurrent requests when warm and when cold.
    connections, cold_connections : int
        Maximum open flows when warm and when cold.
    cold_answers : int
        Answers after which a cold upstream counts as warm.
    """

    slots: int
    connections: int
    cold_slots: int
    cold_connections: int
    cold_answers: int


class WarmUp:
    """Tracks the warm-up of an upstream by the requests it has answered.

    Parameters
    ----------
    capacity : Capacity
        Capacity of the upstream.
    step_s : float
        Minimum time between two increases of the flow limit, in seconds.
    growth : float
        Factor of each increase.
    """

    def __init__(self, capacity: Capacity, step_s: float, growth: float) -> None:
        self._capacity = capacity
        self._step_s = step_s
        self._growth = growth
        self._warmth = Warmth.COLD
        self._answers = 0
        self._connections = float(capacity.cold_connections)
        self._stepped_at = 0.0
        self._mean_s = 0.0
        self._history_answers = 0
        self._recent: deque[float] = deque(maxlen=RECENT_ANSWER_COUNT)

    @property
    def warmth(self) -> Warmth:
        """The current stage."""
        return self._warmth

    @property
    def mean_service_s(self) -> float:
        """Average service time, in seconds; 0.0 before the first answer."""
        return self._mean_s

    @property
    def slots(self) -> int:
        """Maximum concurrent requests at the current stage."""
        if self._warmth is Warmth.WARM:
            return self._capacity.slots
        return self._capacity.cold_slots

    @property
    def connections(self) -> int:
        """Maximum open flows at the current stage."""
        if self._warmth is Warmth.WARM:
            return self._capacity.connections
        return min(int(self._connections), self._capacity.connections)

    def restore(self, answers: int, now: float) -> None:
        """Restore the stage from the upstream's own count of answers.

        Called for the first report to a new owner, so that an upstream is not slowed
        down by a change of its owner. If the upstream is cold after all, a request
        that it sheds as overloaded resets it.
        """
        if answers >= self._capacity.cold_answers:
            self._warmth = Warmth.WARM
        self._answers = min(answers, self._capacity.cold_answers)
        self._stepped_at = now

    def reset_to_cold(self, now: float) -> None:
        """Treat the upstream as newly started."""
        self._warmth = Warmth.COLD
        self._answers = 0
        self._connections = float(self._capacity.cold_connections)
        self._stepped_at = now
        self._recent.clear()
        self._history_answers = 0

    def record_answer(self, service_s: float, now: float) -> bool:
        """Count an answer.

        Returns
        -------
        bool
            Whether recent service times show that the upstream has turned cold.
        """
        self._recent.append(service_s)
        if self._is_slow():
            self.reset_to_cold(now)
            return True
        self._history_answers += 1
        weight = max(MIN_HISTORY_WEIGHT, 1.0 / self._history_answers)
        self._mean_s += weight * (service_s - self._mean_s)
        self._answers += 1
        self._advance(now)
        return False

    def record_open_flows(self, flows: int, now: float) -> None:
        """Raise the flow limit when at least half of it is in use.

        An increase needs both time and load: an unused upstream does not become
        warm by waiting.
        """
        if self._warmth is Warmth.WARM or flows < self._connections / 2:
            return
        if now - self._stepped_at < self._step_s:
            return
        self._stepped_at = now
        self._connections *= self._growth
        if self._connections >= self._capacity.connections:
            self._warmth = Warmth.WARM
        else:
            self._warmth = Warmth.WARMING

    def _is_slow(self) -> bool:
        # Service times vary widely, so several are averaged: with exponentially
        # distributed ones, the average of six exceeds four times the mean three
        # times in a million answers.
        if (
            self._history_answers < MIN_HISTORY_ANSWERS
            or len(self._recent) < RECENT_ANSWER_COUNT
        ):
            return False
        return (
            sum(self._recent)
            > RECENT_ANSWER_COUNT * COLD_SERVICE_TIME_FACTOR * self._mean_s
        )

    def _advance(self, now: float) -> None:
        if self._warmth is Warmth.WARM:
            return
        if self._answers >= self._capacity.cold_answers:
            self._warmth = Warmth.WARM
        elif now - self._stepped_at >= self._step_s:
            self._warmth = Warmth.WARMING
            self._stepped_at = now
            self._connections *= self._growth
