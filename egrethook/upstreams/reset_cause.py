"""Decides whether to reset an open flow because its upstream has failed.

Upstreams answer callers directly, so a balancer sees no answers, only requests that
callers repeat. A long request, and an upstream that takes no new flows, look the same
as a failed upstream. A flow is therefore reset only if its request was repeated and the
registry or a network partition explains the missing answer. A wrong reset loses a
request; a missing one delays the caller until its timeout.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple

from egrethook.upstreams.roster import EXPIRED_RECORD_GRACE_S
from egrethook.upstreams.upstream import Registration, Upstream

MIN_REPETITIONS = 2
"""Repetitions of the flow's own request from which it counts as unanswered."""

MIN_UNANSWERED_OPENINGS = 3
"""Unanswered openings of different callers from which a domain may be cut off."""

UNANSWERED_OPENING_MEMORY_S = 2.0
"""Time before a request from which unanswered openings count with it, in seconds."""

CUT_CONTACT_AGE_S = 1.0
"""Time without gossip after which a failure domain may be cut off, in seconds.

Gossip of a sound domain is older at times, so that this alone proves nothing.
"""


class ResetCause(enum.Enum):
    """What explains that an upstream doesn't answer a request."""

    RECORD_REMOVED = "record removed"
    DOMAIN_CUT_OFF = "failure domain cut off"


class UnansweredRequest(NamedTuple):
    """A request on an open flow that its caller has not seen answered.

    Parameters
    ----------
    sent_at : float
        When this balancer first received it, in seconds.
    repeated_at : tuple of float
        When its latest repetitions arrived, at most `MIN_REPETITIONS`, in seconds.
    """

    sent_at: float
    repeated_at: tuple[float, ...]


class DomainContact(NamedTuple):
    """What this balancer hears of a failure domain, and of others.

    Parameters
    ----------
    gossip_age_s : float or None
        Time since gossip came from it, in seconds; None if it tells nothing.
    heard_at : float
        When a caller last showed here that one of its upstreams answered, in seconds.
    others_heard_at : float
        The same for any upstream.
    unanswered_openings : sequence of float
        When the latest unanswered openings of different callers were sent to it, at
        most `MIN_UNANSWERED_OPENINGS`, in seconds.
    registry_age_s : float
        Time since the copy of the registry was confirmed, in seconds.
    """

    gossip_age_s: float | None
    heard_at: float
    others_heard_at: float
    unanswered_openings: Sequence[float]
    registry_age_s: float


def find_reset_cause(
    upstream: Upstream, request: UnansweredRequest, contact: DomainContact, now: float
) -> ResetCause | None:
    """Return why to reset an open flow, or None if its upstream may still answer.

    The flow's own request must be unanswered after repetitions through this balancer,
    and nothing may have been heard of the upstream since the first of them.
    """
    if len(request.repeated_at) < MIN_REPETITIONS:
        return None
    if upstream.alive_at >= request.repeated_at[0]:
        return None
    if _record_is_removed(upstream.registration, now - contact.registry_age_s):
        return ResetCause.RECORD_REMOVED
    if _domain_is_cut_off(request, contact):
        return ResetCause.DOMAIN_CUT_OFF
    return None


def _record_is_removed(registration: Registration, confirmed_at: float) -> bool:
    """Return whether the registry still lacked the record after a lapse would end.

    A newer incarnation is no removal: the flow may have been opened at it before its
    record came. If it wasn't, the new incarnation resets the flow itself.
    """
    absent_since = registration.absent_since
    if absent_since is None or registration.alive_at >= absent_since:
        return False
    return confirmed_at - absent_since >= EXPIRED_RECORD_GRACE_S


def _domain_is_cut_off(request: UnansweredRequest, contact: DomainContact) -> bool:
    """Return whether nothing comes from a failure domain, by any way.

    Others must be heard meanwhile, or this balancer's callers may have moved to
    another one.
    """
    gossip_age_s, sent_at = contact.gossip_age_s, contact.unanswered_openings
    if gossip_age_s is None or gossip_age_s < CUT_CONTACT_AGE_S:
        return False
    if len(sent_at) < MIN_UNANSWERED_OPENINGS:
        return False
    if sent_at[0] < request.sent_at - UNANSWERED_OPENING_MEMORY_S:
        return False
    if contact.heard_at >= min(sent_at[0], request.repeated_at[0]):
        return False
    return contact.others_heard_at > sent_at[-1]
