"""How much a cold upstream may get while it warms up."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass

COLD_SERVICE_TIME_FACTOR = 4.0
"""Recent service time over its own history that tells of a cold upstream."""

RECENT_ANSWER_COUNT = 6
"""Answers whose service times count as recent."""

MIN_HISTORY_WEIGHT = 0.02
"""Weight of each answer in the average service time."""

MIN_HISTORY_ANSWERS = 20
"""Answers after which the average service time is relied on."""


class Warmth(enum.Enum):
    """The steps of warm-up."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


@dataclass(frozen=True)
class Capacity:
    """What an upstream bears.

    Parameters
    ----------
    slots, cold_slots : int
        Requests at a time when warm and when cold.
    connections, cold_connections : int
        Open flows when warm and when cold.
    cold_answers : int
        Answers after which the upstream is warm.
    """

    slots: int
    connections: int
    cold_slots: int
    cold_connections: int
    cold_answers: int


class WarmUp:
    """Follows how warm an upstream is, from the work that it has answered.

    Parameters
    ----------
    capacity : Capacity
        What the upstream bears.
    step_s : float
        Shortest time between two steps, in seconds.
    growth : float
        Factor by which the allowed flows grow at each step.
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
        self._history = 0
        self._recent: deque[float] = deque(maxlen=RECENT_ANSWER_COUNT)

    @property
    def warmth(self) -> Warmth:
        """The step that the upstream is at."""
        return self._warmth

    @property
    def mean_service_s(self) -> float:
        """Average service time, in seconds; 0.0 before the first answer."""
        return self._mean_s

    @property
    def slots(self) -> int:
        """Requests that may run at a time."""
        if self._warmth is Warmth.WARM:
            return self._capacity.slots
        return self._capacity.cold_slots

    @property
    def connections(self) -> int:
        """Flows that may be open."""
        if self._warmth is Warmth.WARM:
            return self._capacity.connections
        return min(int(self._connections), self._capacity.connections)

    def restore(self, answers: int, now: float) -> None:
        """Take an upstream's own count of answers since its start.

        It is used when a link opens, so that an upstream which only changed
        its owner is not slowed down; a shed request corrects a wrong count.
        """
        if answers >= self._capacity.cold_answers:
            self._warmth = Warmth.WARM
        self._answers = min(answers, self._capacity.cold_answers)
        self._stepped_at = now

    def reset_to_cold(self, now: float) -> None:
        """Treat the upstream as freshly started."""
        self._warmth = Warmth.COLD
        self._answers = 0
        self._connections = float(self._capacity.cold_connections)
        self._stepped_at = now
        self._recent.clear()
        self._history = 0

    def record_answer(self, service_s: float, now: float) -> bool:
        """Count an answer.

        Returns
        -------
        bool
            Whether the service time told that the upstream has turned cold.
        """
        self._recent.append(service_s)
        if self._is_slow():
            self.reset_to_cold(now)
            return True
        self._history += 1
        weight = max(MIN_HISTORY_WEIGHT, 1.0 / self._history)
        self._mean_s += weight * (service_s - self._mean_s)
        self._answers += 1
        self._advance(now)
        return False

    def record_open_flows(self, flows: int, now: float) -> None:
        """Let the allowed flows grow when those in use are near the limit.

        A step needs time and work: an upstream that is not used does not
        become warm by waiting.
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
        # Service times vary widely: with exponential ones, the average of six
        # exceeds four times the mean three times in a million answers.
        if (
            self._history < MIN_HISTORY_ANSWERS
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
