"""The interface of a caller that its flows and attempts use."""

from __future__ import annotations

from typing import Any, Protocol

from egrethook.addresses import Address
from egrethook.clock import Clock


class CallerPort(Protocol):
    """The part of a caller that its flows and attempts use."""

    @property
    def address(self) -> Address:
        """The local address, which answers are sent to."""
        ...

    @property
    def caller_id(self) -> int:
        """The random id of the caller."""
        ...

    @property
    def clock(self) -> Clock:
        """The source of time."""
        ...

    def send(self, packet: Any) -> None:
        """Send a packet through the fabric."""
        ...
