"""Bounds how often something may happen."""

from __future__ import annotations


class TokenBucket:
    """Allows a rate in the long run, and a burst at once.

    Parameters
    ----------
    rate_per_s, burst : float
        Tokens a second, and most tokens that are saved up.
    now : float
        The time of the start, in seconds.
    """

    __slots__ = ("_burst", "_tokens", "_updated_at", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float, now: float = 0.0) -> None:
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def has_token(self, now: float) -> bool:
        """Return whether a token is left."""
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self.rate_per_s)
        self._updated_at = now
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Use up a token."""
        self._tokens -= 1.0

    def take(self, now: float) -> bool:
        """Use up a token if one is left."""
        if not self.has_token(now):
            return False
        self.spend()
        return True
