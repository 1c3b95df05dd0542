"""Manages the links to the upstreams that this balancer owns."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from egrethook.clock import Clock
from egrethook.network import Network
from egrethook.published.configuration import Configuration, Endpoint
from egrethook.types import ExecutorId
from egrethook.upstreams.executor import Executor
from egrethook.upstreams.link import UpstreamLink

StartTask = Callable[[Callable[[], Awaitable[None]]], anyio.CancelScope]
"""Starts a task and returns the scope that cancels it."""


class OwnershipCheck(Protocol):
    """Decides whether this balancer owns an upstream."""

    def owns(
        self, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> bool:
        """Return whether this balancer owns an upstream."""
        ...


class UpstreamLinks:
    """Opens and closes links as ownership and configuration change.

    Parameters
    ----------
    identity : ExecutorId
        This balancer.
    executor : Executor
        Holds the upstreams' counts and queues.
    owners : OwnershipCheck
        Decides which upstreams this balancer owns.
    network : Network
        Opens the connections.
    clock : Clock
        The time.
    start : callable
        Starts a task.
    """

    def __init__(
        self,
        identity: ExecutorId,
        executor: Executor,
        owners: OwnershipCheck,
        network: Network,
        clock: Clock,
        start: StartTask,
    ) -> None:
        self._identity = identity
        self._executor = executor
        self._owners = owners
        self._network = network
        self._clock = clock
        self._start = start
        self._links: dict[str, tuple[UpstreamLink, anyio.CancelScope]] = {}

    def reconcile(self, configuration: Configuration) -> None:
        """Open links to owned upstreams and stop new work for the others."""
        now = self._clock.now()
        owned = {
            endpoint.name: endpoint
            for endpoint in configuration.endpoints()
            if configuration.in_service(endpoint.domain)
            and self._owners.owns(endpoint, configuration, now)
        }
        for name in list(self._links):
            self._update_link(name, owned.get(name), configuration)
        for name in owned.keys() - self._links.keys():
            self._open(owned[name], configuration)

    def _update_link(
        self, name: str, endpoint: Endpoint | None, configuration: Configuration
    ) -> None:
        link, _ = self._links[name]
        pool = self._executor.pool
        if not configuration.in_service(link.endpoint.domain):
            self._executor.evacuate(name)
        elif endpoint is None:
            pool.set_owned(name, False)
        elif _connection_key(endpoint) != _connection_key(link.endpoint):
            self._close(name)
        else:
            pool[name].admission.update(endpoint, configuration.limits)
            pool.set_owned(name, True)

    def _open(self, endpoint: Endpoint, configuration: Configuration) -> None:
        link = UpstreamLink(
            endpoint, self._identity, self._executor, self._network, self._clock
        )
        self._executor.pool.add(endpoint, configuration.limits, link)
        self._links[endpoint.name] = (link, self._start(link.run))

    def drop_finished(self) -> None:
        """Close links to upstreams that are not owned and have no work left here."""
        for name in list(self._links):
            if self._executor.pool.can_drop(name):
                self._close(name)

    def _close(self, name: str) -> None:
        _, scope = self._links.pop(name)
        scope.cancel()
        self._executor.drop(name)

    def resume(self) -> None:
        """Restart the keepalive timers after a pause of this process."""
        for link, _ in self._links.values():
            link.resume()


def _connection_key(endpoint: Endpoint) -> tuple[object, int]:
    """Return the values whose change requires a new connection."""
    return (endpoint.address, endpoint.incarnation)
