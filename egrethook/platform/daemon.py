"""Runs a forwarding process on the users' platform."""

from __future__ import annotations

import gc
import os
import sys
from importlib import import_module

# Imports msgspec without a slow dependency, so it must come before the modules that
# import msgspec.
import egrethook.fast_import  # noqa: F401
from egrethook.addresses import Address
from egrethook.datagrams import bind_when_free
from egrethook.exceptions import EgrethookError
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.settings import await_forwarder_settings
from egrethook.forwarding.start import StartupLoop
from egrethook.line_log import LineLog
from egrethook.logs import set_destination
from egrethook.platform.packet_header import PacketHeader
from egrethook.platform.store_messages import StoreDecoder
from egrethook.platform.store_reading import RangeReading

SETTINGS_VARIABLE = "EGRETHOOK_CONFIG"
"""Environment variable that holds the path of the settings file."""

UNNAMED_PROCESS = "forwarder"
"""Name of the process in log lines until its settings have been read."""

_DEFERRED_MODULES = (
    "anyio._backends._asyncio",
    "uvloop",
    "egrethook.forwarding.tasks",
    "egrethook.platform.store_client",
)
"""Modules that the event loop needs; imported while packets are forwarded."""


def main(packet_socket: int | None = None) -> int:
    """Run the process until it is told to leave; return the exit status.

    Parameters
    ----------
    packet_socket : int, optional
        File descriptor of a bound UDP socket for callers' packets. It is used if it
        is bound to the address in the settings.
    """
    try:
        path = os.environ.get(SETTINGS_VARIABLE, "")
        set_destination(LineLog(sys.stdout.fileno(), UNNAMED_PROCESS))
        settings = await_forwarder_settings(path)
        log = LineLog(sys.stdout.fileno(), settings.name)
        set_destination(log)
        packets = bind_when_free(Address.parse(settings.packets), packet_socket)
        with Forwarder(settings, PacketHeader(), StoreDecoder(), packets) as forwarder:
            StartupLoop(forwarder, RangeReading, _import_deferred_modules).run()
            # Garbage collection was off until here, see deploy/forwarder.py. Objects
            # created so far live on; exclude them from later collections.
            gc.freeze()
            gc.enable()
            _serve(forwarder, path, log)
    except EgrethookError as error:
        print(error, file=sys.stderr)
        return error.exit_status
    return 0


def _import_deferred_modules() -> None:
    """Import the modules that the tasks need."""
    for name in _DEFERRED_MODULES:
        import_module(name)


def _serve(forwarder: Forwarder, settings_path: str, log: LineLog) -> None:
    import anyio

    from egrethook.forwarding.tasks import ForwarderTasks
    from egrethook.platform.store_client import StoreClient

    source = StoreClient(Address.parse(forwarder.settings.registry))

    async def serve() -> None:
        await ForwarderTasks(forwarder, source, settings_path, log).run()

    anyio.run(serve, backend_options={"use_uvloop": True})
