"""Sends one request for the command line."""

from __future__ import annotations

from collections.abc import Callable

from egrethook.addresses import Address
from egrethook.callers.client import Caller
from egrethook.exceptions import SettingsError


async def call_service(
    fabric: str,
    service: str,
    payload: bytes,
    idempotent: bool,
    deadline_s: float,
    print_line: Callable[[str], None],
) -> None:
    """Send a request and print its answer.

    Parameters
    ----------
    fabric : str
        ``host:port`` of the network fabric, which delivers each packet to one of the
        balancers.

    Raises
    ------
    SettingsError
        If `fabric` is not a valid address.
    RequestError
        If there was no answer; its verdict says whether the request may have run.
    """
    try:
        address = Address.parse(fabric)
    except ValueError as error:
        raise SettingsError(f"--fabric: {error}") from None
    async with Caller(address) as caller:
        answer = await caller.request(
            service, payload, idempotent=idempotent, deadline_s=deadline_s
        )
    print_line(answer.payload.decode(errors="replace"))
