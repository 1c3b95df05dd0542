"""An emulated platform that publishes values with revisions over HTTP."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from egrethook.published.documents import render, validate

HISTORY_LENGTH = 16
"""Number of latest publications kept, for serving stale ones."""

MAX_WATCH_S = 30.0
"""Longest time that a watch request is held open, in seconds."""


@dataclass(frozen=True)
class PublishedState:
    """The index and all values after a publication."""

    revision: int
    raw_index: bytes
    values: dict[tuple[str, str], bytes]


class PlatformEmulator:
    """Stores published values; each publication increments the revision.

    Faults can be set with `set_mode`: the platform can serve stale values, answer
    slowly, or be down.
    """

    def __init__(self) -> None:
        self._index: dict[str, Any] = {}
        self._current = PublishedState(0, b"", {})
        self._stale_state: PublishedState | None = None
        self._history: deque[PublishedState] = deque(maxlen=HISTORY_LENGTH)
        self._changed = anyio.Event()
        self._delay_s = 0.0
        self._down = False
        self._calls = 0

    @property
    def revision(self) -> int:
        """The revision of the last publication."""
        return self._current.revision

    def index_value(self, key: str) -> dict[str, Any]:
        """Return a copy of a mapping in the index."""
        return dict(self._index[key])

    def publish(self, values: list[dict[str, Any]], changes: dict[str, Any]) -> int:
        """Publish values and index changes under a new revision, which is returned.

        Parameters
        ----------
        values : list of dict
            Documents of kind ``services`` or ``vms``, without revisions.
        changes : dict
            Top-level keys to replace in the index.
        """
        revision = self.revision + 1
        index = {**self._index, **changes, "kind": "index", "revision": revision}
        rendered = {}
        for value in values:
            kind, name = value["kind"], value["name"]
            rendered[kind, name] = render(validate({**value, "revision": revision}))
            index[kind] = {**index.get(kind, {}), name: revision}
        raw_index = render(validate(index))
        self._index = index
        visible = {**self._current.values, **rendered}
        self._set_state(PublishedState(revision, raw_index, visible))
        return revision

    def _set_state(self, state: PublishedState) -> None:
        self._current = state
        self._history.append(state)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def publish_raw_index(self, raw: bytes) -> None:
        """Publish an index without validating it, to emulate a faulty tool."""
        values = self._current.values
        self._set_state(PublishedState(self.revision + 1, raw, values))

    def set_mode(self, mode: dict[str, Any]) -> None:
        """Set or clear faults; modes that are not given keep their value.

        Parameters
        ----------
        mode : dict
            ``down`` answers each request with status 503. ``delay_s`` delays each
            response, in seconds. ``stale_by`` keeps serving one published state,
            whatever is published later: 1 selects the current state, 2 the one
            before it, and so on; 0 serves the newest state again.
        """
        self._down = bool(mode.get("down", self._down))
        self._delay_s = float(mode.get("delay_s", self._delay_s))
        if "stale_by" in mode:
            stale_by = int(mode["stale_by"])
            self._stale_state = self._history[-stale_by] if stale_by else None
        self._wake_watches()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/index", self._get_index),
                Route("/v1/{kind}/{name}", self._get_value),
                Route("/emulator/publish", self._publish, methods=["POST"]),
                Route("/emulator/raw-index", self._publish_raw, methods=["POST"]),
                Route("/emulator/mode", self._mode, methods=["POST"]),
                Route("/emulator/state", self._state),
            ]
        )

    async def _simulate_faults(self) -> Response | None:
        """Delay the request, and return an error response if the platform is down."""
        self._calls += 1
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        if self._down:
            return JSONResponse({"error": "unavailable"}, 503)
        return None

    async def _get_index(self, request: Request) -> Response:
        error = await self._simulate_faults()
        if error is not None:
            return error
        after = int(request.query_params.get("after", "0"))
        wait_s = float(request.query_params.get("wait_s", "0"))
        with anyio.move_on_after(min(wait_s, MAX_WATCH_S)):
            while self._visible_state().revision == after:
                if self._down:
                    return JSONResponse({"error": "unavailable"}, 503)
                await self._changed.wait()
        visible = self._visible_state()
        if not visible.raw_index or visible.revision == after:
            return Response(status_code=304)
        return Response(visible.raw_index, media_type="application/json")

    def _visible_state(self) -> PublishedState:
        """Return the state that readers get, which may be stale."""
        return self._stale_state or self._current

    async def _get_value(self, request: Request) -> Response:
        error = await self._simulate_faults()
        if error is not None:
            return error
        params = request.path_params
        raw = self._visible_state().values.get((params["kind"], params["name"]))
        if raw is None:
            return JSONResponse({"error": "no such value"}, 404)
        return Response(raw, media_type="application/json")

    async def _publish(self, request: Request) -> Response:
        body = json.loads(await request.body())
        revision = self.publish(body.get("values", []), body.get("index", {}))
        return JSONResponse({"revision": revision})

    async def _publish_raw(self, request: Request) -> Response:
        self.publish_raw_index(await request.body())
        return JSONResponse({"revision": self.revision})

    async def _mode(self, request: Request) -> Response:
        self.set_mode(json.loads(await request.body()))
        return JSONResponse({"down": self._down, "delay_s": self._delay_s})

    async def _state(self, request: Request) -> Response:
        return JSONResponse({"revision": self.revision, "calls": self._calls})


def control_app(
    state: Callable[[], dict[str, Any]], change: Callable[[dict[str, Any]], None]
) -> Starlette:
    """Return an HTTP application that reads and changes the state of an emulator."""

    async def get_state(request: Request) -> Response:
        return JSONResponse(state())

    async def post_change(request: Request) -> Response:
        change(json.loads(await request.body()))
        return JSONResponse(state())

    return Starlette(
        routes=[
            Route("/emulator/state", get_state),
            Route("/emulator/set", post_change, methods=["POST"]),
        ]
    )
