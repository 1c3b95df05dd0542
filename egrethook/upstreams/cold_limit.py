"""Limits the openings that a cold upstream gets from the whole fleet.

Only a few balancers may send to a cold upstream, each at a fixed share of its rate.
The shares add up to at most 0.7 of the rate whatever the size of the fleet, and to at
most 1.4 times the rate while two membership views select different balancers, which
is within the permitted 1.5 times the rate.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from msgspec import Struct

from egrethook.discovery.records import ColdLimit
from egrethook.token_bucket import TokenBucket
from egrethook.upstreams.upstream import Upstream

SENDERS_PER_UPSTREAM = 2
"""Balancers that may send to one cold upstream."""

SENDER_RATE_SHARE = 0.35
"""Fraction of a cold upstream's rate that one balancer may use."""

SENDER_CHECK_INTERVAL_S = 0.2
"""Time after which a balancer checks again whether it may send, in seconds."""

SENDER_BURST_OPENINGS = 1.0
"""Openings that one balancer may send to a cold upstream at once."""


class ColdAdmission(Protocol):
    """Limits the openings that are sent to cold upstreams."""

    def admits(self, upstream: Upstream, now: float) -> bool:
        """Return whether an opening may be sent now."""
        ...

    def would_admit(self, upstream: Upstream, now: float) -> bool:
        """Return what `admits` would, but change nothing."""
        ...

    def note_sent(self, upstream: Upstream, now: float) -> None:
        """Count an opening that was sent."""
        ...


class _Allowance(Struct):
    """This balancer's rate limit for one cold upstream."""

    bucket: TokenBucket
    may_send: bool = False
    checked_at: float = float("-inf")


class FleetColdLimit:
    """Shares the rate of each cold upstream among a few balancers.

    Parameters
    ----------
    limits : callable
        Returns the rate limit of cold upstreams for each service.
    may_send : callable
        Returns whether this balancer is one of the senders for an upstream.
    """

    def __init__(
        self,
        limits: Callable[[], Mapping[str, ColdLimit]],
        may_send: Callable[[Upstream], bool],
    ) -> None:
        self._limits = limits
        self._may_send = may_send
        self._allowances: dict[int, _Allowance] = {}

    def admits(self, upstream: Upstream, now: float) -> bool:
        """Return whether an opening may be sent now."""
        if not upstream.is_cold(now):
            self._allowances.pop(upstream.token, None)
            return True
        limit = self._limits().get(upstream.service)
        if limit is None or limit.rate_per_s <= 0.0:
            return True
        allowance = self._allowance(upstream, limit.rate_per_s, now)
        if now - allowance.checked_at >= SENDER_CHECK_INTERVAL_S:
            allowance.may_send = self._may_send(upstream)
            allowance.checked_at = now
        return allowance.may_send and allowance.bucket.has_token(now)

    def would_admit(self, upstream: Upstream, now: float) -> bool:
        """Return what `admits` would, but change nothing."""
        limit = self._limits().get(upstream.service)
        if not upstream.is_cold(now) or limit is None or limit.rate_per_s <= 0.0:
            return True
        allowance = self._allowances.get(upstream.token)
        if allowance is None:
            return self._may_send(upstream)
        if now - allowance.checked_at >= SENDER_CHECK_INTERVAL_S:
            return self._may_send(upstream) and allowance.bucket.would_have_token(now)
        return allowance.may_send and allowance.bucket.would_have_token(now)

    def note_sent(self, upstream: Upstream, now: float) -> None:
        """Count an opening that was sent."""
        allowance = self._allowances.get(upstream.token)
        if allowance is not None:
            allowance.bucket.spend()

    def _allowance(
        self, upstream: Upstream, rate_per_s: float, now: float
    ) -> _Allowance:
        share_per_s = rate_per_s * SENDER_RATE_SHARE
        allowance = self._allowances.get(upstream.token)
        if allowance is None:
            bucket = TokenBucket(share_per_s, SENDER_BURST_OPENINGS, now)
            allowance = self._allowances[upstream.token] = _Allowance(bucket)
        allowance.bucket.rate_per_s = share_per_s
        return allowance
