"""What the executor needs from the tasks around it."""

from __future__ import annotations

from typing import Any, Protocol

from egrethook.addresses import Address
from egrethook.callers.packets import Run
from egrethook.published.configuration import Configuration


class RequestLink(Protocol):
    """The connection to one upstream."""

    def execute(self, run_id: int, run: Run, deadline_ms: int) -> None:
        """Send a request."""
        ...

    def cancel(self, run_id: int) -> None:
        """Ask the upstream to stop a request."""
        ...


class PacketSender(Protocol):
    """Sends packets to callers without waiting."""

    def send(self, address: Address, packet: Any) -> None:
        """Send a packet to a caller's address."""
        ...


class RequestRelay(Protocol):
    """Finds another owner for a request that this one cannot serve."""

    def relay_elsewhere(self, run: Run, failed: str) -> bool:
        """Give an idempotent request to another owner.

        Returns
        -------
        bool
            Whether there is another owner.
        """
        ...


class ConfigurationSource(Protocol):
    """Holds the configuration in force."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first."""
        ...
