"""Client of the administration APIs of a fleet, for the command line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import anyio
import httpx

from egrethook.exceptions import (
    AdminUnreachableError,
    PlatformUnreachableError,
    UnauthorizedError,
)
from egrethook.network import SystemNetwork
from egrethook.published.configuration import ConfigurationStore
from egrethook.published.reader import PlatformReader

CALL_TIMEOUT_S = 3.0
"""Timeout of a call to an administration API, in seconds."""


@dataclass(frozen=True)
class BalancerState:
    """The status that one balancer reported, or the error of the call."""

    admin: str
    status: dict[str, Any] | None
    error: str = ""


class Fleet:
    """Calls the administration APIs of several balancers.

    Parameters
    ----------
    admins : list of str
        Addresses of the administration APIs, ``host:port``.
    """

    def __init__(self, admins: list[str]) -> None:
        self._admins = admins

    @classmethod
    async def discover(cls, platform: str) -> Fleet:
        """Return the fleet of the balancers that the platform lists.

        Raises
        ------
        PlatformUnreachableError
            If no configuration could be read from the platform.
        """
        store = ConfigurationStore()
        # Without peers and secret: only the platform is read.
        reader = PlatformReader(
            platform, store, list, "", lambda: None, SystemNetwork()
        )
        async with reader:
            await reader.refresh()
        if store.configuration is None:
            raise PlatformUnreachableError(f"no configuration received from {platform}")
        return cls([str(vm.admin) for vm in store.configuration.vms.values()])

    async def states(self) -> list[BalancerState]:
        """Request the state of every balancer, all at the same time."""
        results: dict[str, BalancerState] = {}
        client = httpx.AsyncClient(timeout=CALL_TIMEOUT_S, trust_env=False)
        async with client, anyio.create_task_group() as tasks:
            for admin in self._admins:
                tasks.start_soon(self._fetch_state, client, admin, results)
        return [results[admin] for admin in self._admins]

    @staticmethod
    async def _fetch_state(
        client: httpx.AsyncClient, admin: str, results: dict[str, BalancerState]
    ) -> None:
        try:
            response = await client.get(f"http://{admin}/status")
            response.raise_for_status()
            results[admin] = BalancerState(admin, response.json())
        except (httpx.HTTPError, ValueError) as error:
            reason = str(error) or type(error).__name__
            results[admin] = BalancerState(admin, None, reason)


async def ask_to_leave(admin: str, secret: str) -> None:
    """Ask a balancer to leave gracefully.

    Raises
    ------
    AdminUnreachableError
        If the balancer does not answer, or answers with another error.
    UnauthorizedError
        If the balancer rejects the secret.
    """
    headers = {"Authorization": f"Bearer {secret}"}
    try:
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S, trust_env=False) as client:
            response = await client.post(f"http://{admin}/leave", headers=headers)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        reason = str(error) or type(error).__name__
        raise AdminUnreachableError(f"{admin}: {reason}") from None
    if response.status_code == httpx.codes.UNAUTHORIZED:
        raise UnauthorizedError(f"{admin} rejected the secret")
    if not response.is_success:
        raise AdminUnreachableError(
            f"{admin}: unexpected HTTP status {response.status_code}"
        )


HEADINGS = [
    "balancer",
    "domain",
    "ready",
    "revision",
    "preset",
    "owns",
    "cold",
    "draining",
    "refused",
    "unknown",
]


def fleet_rows(states: list[BalancerState]) -> list[list[str]]:
    """Return a table row for each balancer."""
    return [_row(state) for state in states]


def _row(state: BalancerState) -> list[str]:
    status = state.status
    if status is None:
        return [state.admin, "-", state.error, *["-"] * (len(HEADINGS) - 3)]
    upstreams = [u for u in status["upstreams"] if u["owned"]]
    readiness = "leaving" if status["leaving"] else str(status["ready"]).lower()
    return [
        status["name"],
        status["failure_domain"],
        readiness,
        str(status["revision"]),
        status["preset"] or "-",
        " ".join(u["name"] for u in upstreams) or "-",
        " ".join(u["name"] for u in upstreams if u["warmth"] != "warm") or "-",
        " ".join(u["name"] for u in upstreams if not u["accepts_work"]) or "-",
        str(status["requests"]["refused"]),
        str(status["requests"]["unknown"]),
    ]
