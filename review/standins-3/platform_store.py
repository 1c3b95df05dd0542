"""A stand-in of the platform's store: items, revisions, watches and eras."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

HISTORY_S = 20.0
PAGE_ITEMS = 50


class Store:
    """Holds items under one revision counter and serves them over HTTP.

    Operators and endpoints write through `put` and `delete`, which return once the
    change is acknowledged.
    """

    def __init__(self, record):
        self.items = {}
        self.history = []
        self.revision = 0
        self.era = 1
        self.calls = 0
        self.is_up = False
        self._record = record
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        """Listen for readers."""
        self._address = host, port
        await self.come_back()

    async def come_back(self):
        """Serve again after `go_away`."""
        self.is_up = True
        self._server = await asyncio.start_server(
            self._serve, *self._address, reuse_address=True
        )

    async def go_away(self):
        """Reset all connections and refuse new ones."""
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def put(self, key, value):
        """Write an item; return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        held = self.items.get(key)
        self.revision += 1
        created = held["created"] if held else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key):
        """Remove an item; return the revision of the removal."""
        if key not in self.items:
            return self.revision
        del self.items[key]
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def _note(self, event):
        self.history.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        """Return a copy of the state, as a backup."""
        return dict(self.items), list(self.history), self.revision

    def restore(self, copy):
        """Replace the state by an older copy; the era rises by one."""
        items, history, revision = copy
        lost = self.revision - revision
        self.items, self.history = dict(items), list(history)
        self.revision = revision
        self.era += 1
        self._record(
            "store restored from a copy",
            era=self.era,
            revision=revision,
            changes_lost=lost,
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, target):
        self.calls += 1
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"error": "no such key"}
            return 200, {**item, "currentRev": self.revision}
        if url.path == "/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if url.path == "/kv-watch":
            return await self._watch(
                query.get("prefix", ""),
                int(query["after"]),
                min(int(query.get("waitMs", 0)), 30_000) / 1000,
            )
        return 404, {"error": "no such path"}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {
            "items": page,
            "hasMore": len(keys) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def _watch(self, prefix, after, wait_s):
        give_up_at = time.monotonic() + wait_s
        era = self.era
        while True:
            if after > self.revision or era != self.era:
                return 410, {"error": "no such revision"}
            oldest = time.monotonic() - HISTORY_S
            dropped = [e["revision"] for at, e in self.history if at < oldest]
            if dropped and after < max(dropped):
                return 410, {"error": "history is gone"}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = give_up_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
