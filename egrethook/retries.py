"""A retry budget: limits retries to a share of recent requests."""

from __future__ import annotations

HALF_LIFE_S = 10.0
"""Half-life of the counts of requests and retries, in seconds."""


class RetryBudget:
    """Counts requests and retries with exponential decay.

    Parameters
    ----------
    share : float
        Retries allowed per recent request.
    floor : int
        Retries allowed in any case, so that retries work at low traffic.
    now : float
        The time of the start, in seconds.
    """

    def __init__(self, share: float, floor: int, now: float) -> None:
        self._share = share
        self._floor = floor
        self._requests = 0.0
        self._retries = 0.0
        self._updated_at = now

    def configure(self, share: float, floor: int) -> None:
        """Set new limits."""
        self._share = share
        self._floor = floor

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        self._decay(now)
        self._requests += 1

    def try_retry(self, now: float) -> bool:
        """Return whether a retry is within the budget, and count it if so."""
        self._decay(now)
        if self._retries >= self._floor + self._share * self._requests:
            return False
        self._retries += 1
        return True

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        factor = 0.5 ** (elapsed / HALF_LIFE_S)
        self._requests *= factor
        self._retries *= factor
        self._updated_at = now
