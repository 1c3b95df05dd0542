"""Emulates the platform's key-value store, with range reads and watches."""

from __future__ import annotations

import base64
from collections.abc import Iterable
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

PAGE_ITEMS = 5
"""Number of items on one page; small, so that a range read takes several pages."""

MAX_HISTORY_EVENTS = 40
"""Number of changes in the history, from which watches are answered."""


class StoreEmulator:
    """Holds items in memory; each change increments the revision."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = anyio.Event()

    def put(self, key: str, value: Any) -> None:
        """Write an item."""
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        self._revision += 1
        item = {"key": key, "value": encoded, "revision": self._revision}
        self._items[key] = item
        self._append_event(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._append_event({"key": key, "revision": self._revision, "deleted": True})

    def clear_history(self) -> None:
        """Clear the history, so that watchers must read all items again."""
        self._events.clear()

    def _append_event(self, event: dict[str, Any]) -> None:
        self._events = [*self._events, event][-MAX_HISTORY_EVENTS:]
        self._changed.set()
        self._changed = anyio.Event()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/kv-range", self._range),
                Route("/kv-watch", self._watch),
            ]
        )

    async def _range(self, request: Request) -> Response:
        prefix = request.query_params.get("prefix", "")
        after = request.query_params.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        body = {"items": page, "hasMore": more, "currentRev": self._revision}
        return JSONResponse(body)

    async def _watch(self, request: Request) -> Response:
        after = int(request.query_params["after"])
        wait_s = int(request.query_params.get("waitMs", "0")) / 1000
        with anyio.move_on_after(wait_s):
            while not self._events_after(after) and not self._is_compacted(after):
                await self._changed.wait()
        if self._is_compacted(after):
            # Gone: the reader must read all items again.
            return Response(status_code=410)
        events = list(self._events_after(after))
        return JSONResponse({"events": events, "currentRev": self._revision})

    def _events_after(self, after: int) -> list[dict[str, Any]]:
        return list(_filter_newer(self._events, after))

    def _is_compacted(self, after: int) -> bool:
        """Return whether the history lacks a change after a revision."""
        known_count = len(self._events_after(after))
        return known_count < self._revision - max(after, 1)


def _filter_newer(
    events: Iterable[dict[str, Any]], after: int
) -> Iterable[dict[str, Any]]:
    return (event for event in events if event["revision"] > after)
