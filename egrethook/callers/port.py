"""What flows and attempts need of the caller that they belong to."""

from __future__ import annotations

from typing import Any, Protocol

from egrethook.addresses import Address
from egrethook.clock import Clock


class CallerPort(Protocol):
    """What a flow or an attempt needs of its caller."""

    @property
    def address(self) -> Address:
        """Where answers arrive."""
        ...

    @property
    def caller_id(self) -> int:
        """The random number that names the caller."""
        ...

    @property
    def clock(self) -> Clock:
        """The time."""
        ...

    def send(self, packet: Any) -> None:
        """Send a packet through the fabric."""
        ...
