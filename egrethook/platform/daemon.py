"""Runs a forwarding process on the users' platform."""

from __future__ import annotations

import os
import sys

from egrethook.addresses import Address
from egrethook.exceptions import EgrethookError
from egrethook.forwarder import Forwarder
from egrethook.forwarder_settings import load_forwarder_settings
from egrethook.platform.packet_header import PacketHeader
from egrethook.platform.store_client import StoreClient
from egrethook.platform.store_messages import StoreDecoder

SETTINGS_VARIABLE = "EGRETHOOK_CONFIG"
"""Environment variable that holds the path of the settings file."""


def main() -> int:
    """Serve until told to leave; return the exit status."""
    try:
        settings = load_forwarder_settings(os.environ[SETTINGS_VARIABLE])
        with Forwarder(settings, PacketHeader(), StoreDecoder()) as forwarder:
            _run(forwarder)
    except EgrethookError as error:
        print(error, file=sys.stderr)
        return error.exit_status
    return 0


def _run(forwarder: Forwarder) -> None:
    import anyio

    from egrethook.forwarder_tasks import ForwarderTasks
    from egrethook.logs import log_fields, log_to

    log_to(sys.stdout)
    log_fields(process=forwarder.settings.name)
    source = StoreClient(Address.parse(forwarder.settings.registry))

    async def serve() -> None:
        await ForwarderTasks(forwarder, source).run()

    anyio.run(serve, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    sys.exit(main())
