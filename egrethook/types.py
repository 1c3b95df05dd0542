"""Types that several packages share."""

from __future__ import annotations

import enum
import secrets
from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Le, MaxLen, MinLen

NAME_LIMIT = 64
"""Longest name of a service, upstream, balancer or failure domain, in characters."""

Name = Annotated[str, MinLen(1), MaxLen(NAME_LIMIT)]
Port = Annotated[int, Ge(1), Le(65535)]
Int64 = Annotated[int, Ge(-(2**63)), Le(2**63 - 1)]
Count = Annotated[int, Ge(0), Le(2**31 - 1)]
Milliseconds = Annotated[int, Ge(0), Le(2**31 - 1)]


@dataclass(frozen=True)
class ExecutorId:
    """A balancer and the random incarnation number chosen at its start."""

    balancer: Name
    incarnation: Int64


class VmState(enum.StrEnum):
    """State of an entry VM as the platform publishes it."""

    LIVE = "live"
    LEAVING = "leaving"


class UpstreamState(enum.StrEnum):
    """State of an upstream as the platform publishes it."""

    ACTIVE = "active"
    DRAINING = "draining"


def new_random_id() -> int:
    """Return a random integer of 63 bits, which fits a signed 64-bit field."""
    return secrets.randbits(63)
