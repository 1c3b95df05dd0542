"""Emulates the platform's key-value store, with range reads and watches."""

from __future__ import annotations

import base64
from collections.abc import Iterable
from typing import Any, NamedTuple

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


class StoreCopy(NamedTuple):
    """The state of a store at an earlier revision."""

    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]
    revision: int


class StoreEmulator:
    """Holds items in memory; each change increments the revision.

    It remembers what was written to it, also what it has lost by a return to a copy.
    """

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._era = 1
        self._written: dict[str, Any] = {}
        self._changed = anyio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy to which the store can come back."""
        return StoreCopy(dict(self._items), list(self._events), self._revision)

    def come_back(self, copy: StoreCopy) -> None:
        """Return to a copy, and begin a new era."""
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self._revision = copy.revision
        self._era += 1
        self._wake_watches()

    def lost_keys(self) -> list[str]:
        """Return the keys of which the store doesn't hold what was written last."""
        keys = dict.fromkeys([*self._written, *self._items])
        return [key for key in keys if self._is_lost(key)]

    def written(self, key: str) -> Any:
        """Return what was written last under a key; None if it was deleted."""
        return self._written.get(key)

    def _is_lost(self, key: str) -> bool:
        item, written = self._items.get(key), self._written.get(key)
        if item is None or written is None:
            return (item is None) != (written is None)
        return bool(item["value"] != _encoded(written))

    def put(self, key: str, value: Any) -> None:
        """Write an item."""
        self._written[key] = value
        self._revision += 1
        item = {"key": key, "value": _encoded(value), "revision": self._revision}
        self._items[key] = item
        self._append_event(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._written.pop(key, None)
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._append_event({"key": key, "revision": self._revision, "deleted": True})

    def clear_history(self) -> None:
        """Clear the history, so that watchers must read all items again."""
        self._events.clear()

    def _append_event(self, event: dict[str, Any]) -> None:
        self._events = [*self._events, event][-MAX_HISTORY_EVENTS:]
        self._wake_watches()

    def _wake_watches(self) -> None:
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
        return JSONResponse(body, headers=self._headers())

    async def _watch(self, request: Request) -> Response:
        after = int(request.query_params["after"])
        wait_s = int(request.query_params.get("waitMs", "0")) / 1000
        era = self._era
        with anyio.move_on_after(wait_s):
            while not self._events_after(after) and not self._is_gone(after, era):
                await self._changed.wait()
        if self._is_gone(after, era):
            # The reader must read all items again.
            return Response(status_code=410, headers=self._headers())
        events = list(self._events_after(after))
        body = {"events": events, "currentRev": self._revision}
        return JSONResponse(body, headers=self._headers())

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self._era)}

    def _events_after(self, after: int) -> list[dict[str, Any]]:
        return list(_filter_newer(self._events, after))

    def _is_gone(self, after: int, era: int) -> bool:
        """Return whether a watch that began in an era can't be answered any more."""
        return era != self._era or after > self._revision or self._is_compacted(after)

    def _is_compacted(self, after: int) -> bool:
        """Return whether the history lacks a change after a revision."""
        known_count = len(self._events_after(after))
        return known_count < self._revision - max(after, 1)


def _encoded(value: Any) -> str:
    return base64.b64encode(msgspec.json.encode(value)).decode()


def _filter_newer(
    events: Iterable[dict[str, Any]], after: int
) -> Iterable[dict[str, Any]]:
    return (event for event in events if event["revision"] > after)
