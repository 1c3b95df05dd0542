"""Runs one balancer with its administration API until it is told to leave."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from egrethook.addresses import Address
from egrethook.balancer import Balancer
from egrethook.exceptions import EgrethookError, PlatformUnreachableError
from egrethook.httpserver import bind_http, serve_http
from egrethook.logs import PartLog
from egrethook.operators.admin import AdminApi
from egrethook.settings import BalancerSettings
from egrethook.signals import SignalReceiver

READY_POLL_INTERVAL_S = 0.05
"""Interval between checks for the first configuration, in seconds."""

_LOG = PartLog("daemon")


async def serve(settings: BalancerSettings) -> None:
    """Serve until SIGTERM or SIGINT, then leave gracefully.

    Raises
    ------
    AddressInUseError
        If another process holds one of the addresses.
    PlatformUnreachableError
        If neither the platform nor a peer provides a configuration in time.
    """
    listener = bind_http(Address.parse(settings.admin))
    with listener:
        async with Balancer(settings) as balancer, anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http, AdminApi(balancer).app(), listener)
            tasks.start_soon(_leave_on_signal, balancer)
            tasks.start_soon(_report_ready, balancer, settings)
            await balancer.run()
            tasks.cancel_scope.cancel()


async def _leave_on_signal(balancer: Balancer) -> None:
    with SignalReceiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            _LOG.info("signal received; leaving.", signal=number.name)
            balancer.leave()


async def _report_ready(balancer: Balancer, settings: BalancerSettings) -> None:
    with anyio.move_on_after(settings.start_timeout_s):
        while balancer.store.configuration is None:
            await anyio.sleep(READY_POLL_INTERVAL_S)
    if balancer.store.configuration is None:
        raise PlatformUnreachableError(
            f"{settings.platform} gave no configuration"
            f" within {settings.start_timeout_s:g} s"
        )
    _LOG.info("balancer ready.", balancer=settings.name)


def first_error(group: BaseExceptionGroup) -> EgrethookError | None:
    """Return the first `EgrethookError` in an exception group, or None."""
    matching: BaseException | None = group.split(EgrethookError)[0]
    while isinstance(matching, BaseExceptionGroup):
        matching = matching.exceptions[0]
    return matching if isinstance(matching, EgrethookError) else None


def run_async(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an asynchronous function on uvloop; unwrap an error from its group."""
    try:
        return anyio.run(function, *args, backend_options={"use_uvloop": True})
    except BaseExceptionGroup as group:
        error = first_error(group)
        if error is None:
            raise
        raise error from None
