"""Types that several packages share."""

from __future__ import annotations

import enum
import secrets
from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Le, MaxLen, MinLen

NAME_LIMIT = 64
"""Longest name of a service, an upstream, a balancer or a domain, in characters."""

Name = Annotated[str, MinLen(1), MaxLen(NAME_LIMIT)]
Port = Annotated[int, Ge(1), Le(65535)]
Int64 = Annotated[int, Ge(-(2**63)), Le(2**63 - 1)]
Count = Annotated[int, Ge(0), Le(2**31 - 1)]
Milliseconds = Annotated[int, Ge(0), Le(2**31 - 1)]


@dataclass(frozen=True)
class ExecutorId:
    """A balancer and the random incarnation made at its start."""

    balancer: Name
    incarnation: Int64


class VmState(enum.StrEnum):
    """What the platform says of an entry VM."""

    LIVE = "live"
    LEAVING = "leaving"


class UpstreamState(enum.StrEnum):
    """What the platform says of an upstream."""

    ACTIVE = "active"
    DRAINING = "draining"


def new_incarnation() -> int:
    """Return a random positive 63-bit integer."""
    return secrets.randbits(63)
