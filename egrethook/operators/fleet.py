"""Talks to the balancers of a fleet and to the platform, for the command line."""

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
"""Time in which a balancer answers, in seconds."""


@dataclass(frozen=True)
class BalancerState:
    """What one balancer says, or why it says nothing."""

    admin: str
    status: dict[str, Any] | None
    error: str = ""


class Fleet:
    """The administration APIs of some balancers.

    Parameters
    ----------
    admins : list of str
        Their addresses, ``host:port``.
    """

    def __init__(self, admins: list[str]) -> None:
        self._admins = admins

    @classmethod
    async def discover(cls, platform: str) -> Fleet:
        """Return the fleet that the platform lists.

        Raises
        ------
        PlatformUnreachableError
            If the platform gives no configuration.
        """
        store = ConfigurationStore()
        reader = PlatformReader(
            platform, store, list, "", lambda: None, SystemNetwork()
        )
        async with reader:
            await reader.refresh()
        if store.configuration is None:
            raise PlatformUnreachableError(f"{platform} gave no configuration")
        return cls([str(vm.admin) for vm in store.configuration.vms.values()])

    async def states(self) -> list[BalancerState]:
        """Ask every balancer for its state."""
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
        If it does not answer.
    UnauthorizedError
        If it does not take the secret.
    """
    headers = {"Authorization": f"Bearer {secret}"}
    try:
        async with httpx.AsyncClient(timeout=CALL_TIMEOUT_S, trust_env=False) as client:
            response = await client.post(f"http://{admin}/leave", headers=headers)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        reason = str(error) or type(error).__name__
        raise AdminUnreachableError(f"{admin}: {reason}") from None
    if response.status_code == httpx.codes.UNAUTHORIZED:
        raise UnauthorizedError(f"{admin} refused the secret")
    if not response.is_success:
        raise AdminUnreachableError(f"{admin}: status {response.status_code}")


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
    """Return a row for each balancer."""
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
