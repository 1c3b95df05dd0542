"""HTTP client of the platform's key-value store; see `RecordSource`."""

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
"""Timeout of a call other than a watch, in seconds."""

WATCH_RESPONSE_MARGIN_S = 0.5
"""Time added to the wait of a watch to get its timeout, in seconds."""


class StoreClient:
    """A connection to the store; only one call at a time may be in progress."""

    def __init__(self, address: Address) -> None:
        self._http = HttpClient(address)

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._http.calls

    async def snapshot(self) -> Snapshot:
        """Read all items; changes made meanwhile are returned by the next watch."""
        reading = RangeReading()
        while not reading.complete:
            response = await self._http.get(
                RANGE_PATH, CALL_TIMEOUT_S, **reading.query()
            )
            reading.take(response)
        return reading.snapshot()

    async def changes(self, after: int, wait_s: float) -> Changes:
        """Wait up to `wait_s` seconds for changes after a revision."""
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
