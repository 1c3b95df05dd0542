"""Rate limiting with a token bucket."""

from __future__ import annotations


class TokenBucket:
    """Allows a sustained rate and a burst.

    Parameters
    ----------
    rate_per_s, burst : float
        Tokens added per second, and most tokens held.
    now : float
        Start time, at which the bucket is full, in seconds.
    """

    __slots__ = ("_burst", "_tokens", "_updated_at", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float, now: float = 0.0) -> None:
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def has_token(self, now: float) -> bool:
        """Return whether a token is available."""
        self._tokens = self._tokens_at(now)
        self._updated_at = now
        return self._tokens >= 1.0

    def would_have_token(self, now: float) -> bool:
        """Return what `has_token` would, but change nothing."""
        return self._tokens_at(now) >= 1.0

    def _tokens_at(self, now: float) -> float:
        elapsed = max(0.0, now - self._updated_at)
        return min(self._burst, self._tokens + elapsed * self.rate_per_s)

    def spend(self) -> None:
        """Remove a token."""
        self._tokens -= 1.0

    def take(self, now: float) -> bool:
        """Remove a token if one is available; return whether it was."""
        if not self.has_token(now):
            return False
        self.spend()
        return True
