"""Interfaces that the executor depends on."""

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
    """Sends packets to callers without blocking."""

    def send(self, address: Address, packet: Any) -> None:
        """Send a packet to a caller's address."""
        ...


class RequestRelay(Protocol):
    """Relays to another owner the requests that this one cannot serve."""

    def relay_elsewhere(self, run: Run, failed: str) -> bool:
        """Relay an idempotent request to another owner.

        Parameters
        ----------
        failed : str
            Name of the upstream that could not serve the request.

        Returns
        -------
        bool
            Whether there is another owner.
        """
        ...


class ConfigurationSource(Protocol):
    """Provides the active configuration."""

    @property
    def configuration(self) -> Configuration | None:
        """The active configuration; None before the first one is received."""
        ...
