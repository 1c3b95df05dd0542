"""What proves to a balancer that the upstream of one open flow is gone.

Answers go directly to the callers, so silence is inferred. A wrong proof resets a sound
flow, which its caller loses; a missing one costs the time up to the caller's timeout.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import NamedTuple

from egrethook.upstreams.roster import EXPIRED_RECORD_GRACE_S
from egrethook.upstreams.upstream import SILENT_OPENING_MEMORY_S, Upstream

MIN_SILENT_DOMAIN_OPENINGS = 3
"""Unanswered openings that show together that a failure domain is silent."""

MIN_RETRANSMISSIONS = 2
"""Retransmissions of the flow's own request from which it counts as unanswered."""


class GoneProof(enum.Enum):
    """What shows that an upstream is gone, beside the flow's own unanswered request."""

    RECORD_REMOVED = "record removed"
    OPENINGS_UNANSWERED = "openings unanswered"
    DOMAIN_SILENT = "failure domain silent"


class SilentRequest(NamedTuple):
    """A request on one open flow, as seen by this balancer.

    Parameters
    ----------
    sent_at : float
        When its first copy passed here, in seconds.
    repeated_at : tuple of float
        When its caller repeated it through this balancer, at most the latest
        `MIN_RETRANSMISSIONS` times, in seconds.
    """

    sent_at: float
    repeated_at: tuple[float, ...]


class Hearing(NamedTuple):
    """What this balancer hears of other upstreams.

    Parameters
    ----------
    last_heard_at : float
        When a caller last showed here that some upstream had answered, in seconds.
    domain_heard_at : float
        The same for the upstreams of the flow's failure domain.
    domain_silent_openings : sequence of float
        When the latest unanswered openings were sent to that failure domain, at most
        `MIN_SILENT_DOMAIN_OPENINGS`, in seconds.
    now : float
        The current time, in seconds.
    """

    last_heard_at: float
    domain_heard_at: float
    domain_silent_openings: Sequence[float]
    now: float


def find_proof(
    upstream: Upstream, request: SilentRequest, hearing: Hearing
) -> GoneProof | None:
    """Return what proves that the upstream of an open flow is gone, if anything does.

    The flow's own request must be unanswered after retransmissions, and nothing may
    have been heard of the upstream since. A long request looks the same, so that a
    second proof is needed.
    """
    if len(request.repeated_at) < MIN_RETRANSMISSIONS:
        return None
    if upstream.alive_at >= request.repeated_at[0]:
        return None
    for proof, holds in _PROOFS:
        if holds(upstream, request, hearing):
            return proof
    return None


def _record_is_removed(
    upstream: Upstream, request: SilentRequest, hearing: Hearing
) -> bool:
    """Return whether the registry removed the record, and not by a lapse."""
    gone_at = upstream.gone_at
    return gone_at is not None and hearing.now - gone_at >= EXPIRED_RECORD_GRACE_S


def _openings_are_unanswered(
    upstream: Upstream, request: SilentRequest, hearing: Hearing
) -> bool:
    """Return whether this balancer's latest openings went unanswered.

    Other answers must have come since, or this balancer's callers may have moved to
    another one.
    """
    if not upstream.leaves_openings_unanswered(request.sent_at):
        return False
    return hearing.last_heard_at > upstream.silent_openings[-1]


def _domain_is_silent(
    upstream: Upstream, request: SilentRequest, hearing: Hearing
) -> bool:
    """Return whether an unanswered opening is confirmed by the whole failure domain."""
    sent_at = hearing.domain_silent_openings
    if len(sent_at) < MIN_SILENT_DOMAIN_OPENINGS:
        return False
    if hearing.domain_heard_at >= min(sent_at[0], request.repeated_at[0]):
        return False
    is_recent = sent_at[0] >= request.sent_at - SILENT_OPENING_MEMORY_S
    return (
        is_recent
        and hearing.last_heard_at > sent_at[-1]
        and upstream.leaves_openings_unanswered(request.sent_at, count=1)
    )


_PROOFS: tuple[
    tuple[GoneProof, Callable[[Upstream, SilentRequest, Hearing], bool]], ...
] = (
    (GoneProof.RECORD_REMOVED, _record_is_removed),
    (GoneProof.OPENINGS_UNANSWERED, _openings_are_unanswered),
    (GoneProof.DOMAIN_SILENT, _domain_is_silent),
)
