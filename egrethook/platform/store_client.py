"""Reads the platform's store; see `RecordSource`."""

from __future__ import annotations

from egrethook.addresses import Address
from egrethook.discovery.http_client import HttpClient
from egrethook.discovery.records import Changes, Snapshot
from egrethook.platform.store_reading import (
    RANGE_PATH,
    WATCH_PATH,
    RangeReading,
    read_watch,
)

CALL_TIMEOUT_S = 1.0
"""Time in which the store answers a call that does not wait, in seconds."""

WATCH_RESPONSE_MARGIN_S = 0.5
"""Time beyond its wait in which a watch is answered, in seconds."""


class StoreClient:
    """One connection to the store, for one call at a time."""

    def __init__(self, address: Address) -> None:
        self._http = HttpClient(address)

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._http.calls

    async def snapshot(self) -> Snapshot:
        """Read all items; changes during the reading come with the next watch."""
        reading = RangeReading()
        while not reading.complete:
            response = await self._http.get(
                RANGE_PATH, CALL_TIMEOUT_S, **reading.query()
            )
            reading.take(response)
        return reading.snapshot()

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, at most so many seconds."""
        response = await self._http.get(
            WATCH_PATH,
            wait_s + WATCH_RESPONSE_MARGIN_S,
            prefix="",
            after=after,
            waitMs=int(wait_s * 1000),
        )
        return read_watch(response, after)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._http.aclose()
