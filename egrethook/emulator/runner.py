"""Runs the emulator that a settings file describes."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from egrethook.addresses import Address
from egrethook.emulator.fabric import FabricEmulator
from egrethook.emulator.platform import PlatformEmulator, control_app
from egrethook.emulator.settings import (
    EmulatorSettings,
    FabricSettings,
    PlatformSettings,
    UpstreamSettings,
)
from egrethook.emulator.upstream import UpstreamEmulator, listen
from egrethook.httpserver import bind_http, serve_http
from egrethook.network import DatagramSocket, SystemNetwork
from egrethook.published.configuration import ConfigurationStore
from egrethook.published.reader import PlatformReader
from egrethook.tracing import Tracer


async def run_emulator(settings: EmulatorSettings) -> None:
    """Run an emulator until cancelled."""
    runners: dict[type, Callable[[Any], Awaitable[None]]] = {
        PlatformSettings: _run_platform,
        UpstreamSettings: _run_upstream,
        FabricSettings: _run_fabric,
    }
    await runners[type(settings)](settings)


async def _run_platform(settings: PlatformSettings) -> None:
    platform = PlatformEmulator()
    if settings.index:
        platform.publish(settings.values, settings.index)
    await serve_http(platform.app(), bind_http(Address.parse(settings.listen)))


async def _run_upstream(settings: UpstreamSettings) -> None:
    emulator = UpstreamEmulator(
        settings.service,
        settings.endpoint,
        settings.mean_service_s,
        settings.answer_bytes,
        settings.seed,
        Tracer("upstream"),
    )
    control = bind_http(Address.parse(settings.control))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listen, emulator, settings.endpoint)
        app = control_app(emulator.state, emulator.change)
        await serve_http(app, control)
        tasks.cancel_scope.cancel()


async def _run_fabric(settings: FabricSettings) -> None:
    store = ConfigurationStore()
    control = bind_http(Address.parse(settings.control))
    with DatagramSocket(Address.parse(settings.listen)) as datagrams:
        fabric = FabricEmulator(datagrams, store, settings.seed)
        faults = settings.model_dump(include=set(vars(fabric.faults)))
        fabric.change(faults)
        reader = PlatformReader(
            settings.platform, store, list, "", lambda: None, SystemNetwork()
        )
        async with reader, anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            tasks.start_soon(fabric.run)
            await serve_http(control_app(fabric.state, fabric.change), control)
            tasks.cancel_scope.cancel()


def derive_seed(seed: int, salt: str) -> int:
    """Return a seed derived from the seed of a run, different for each `salt`."""
    return random.Random(f"{seed}:{salt}").getrandbits(32)
