"""Interprets the responses of the platform's store, without any I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from egrethook.decoding import decode_json
from egrethook.discovery.http_exchange import HttpResponse
from egrethook.discovery.records import Changes, PublishedItem, Snapshot
from egrethook.exceptions import (
    DocumentError,
    HistoryLostError,
    SourceUnavailableError,
)
from egrethook.platform.store_messages import (
    Event,
    RangeBody,
    WatchBody,
    published_item,
)

RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"

MAX_PAGES = 1_000
"""Maximum number of pages of one read."""

ERA_HEADER = b"store-era"
"""Header with the store's era, a whole number; absent if the store has none."""

MAX_ERA = 2**63 - 1
"""Largest era that fits gossip messages."""

_HTTP_OK = 200
_HTTP_GONE = 410

_RANGE_DECODER = msgspec.json.Decoder(RangeBody)
_WATCH_DECODER = msgspec.json.Decoder(WatchBody)


def read_watch(response: HttpResponse, after: int) -> Changes:
    """Return the changes in the response to a watch.

    Raises
    ------
    HistoryLostError
        If the store no longer has the changes after that revision.
    SourceUnavailableError
        If the response is an error or is not valid.
    """
    body = _decode(_WATCH_DECODER, response)
    # `currentRev` may be ahead of events that this watch has not received yet, so
    # only the revisions of received events count.
    newest_revision = max((event.revision for event in body.events), default=after)
    revision = max(after, newest_revision)
    return Changes(after, revision, _items(body.events), era=read_era(response))


def read_era(response: HttpResponse) -> int:
    """Return the store's era; 0 if the store has none.

    Raises
    ------
    SourceUnavailableError
        If it is not a whole number up to `MAX_ERA`.
    """
    text = response.headers.get(ERA_HEADER, b"0").strip()
    is_number = text.isdigit() and len(text) <= len(str(MAX_ERA))
    if not is_number or int(text) > MAX_ERA:
        raise SourceUnavailableError(f"invalid era of the store: {text[:40]!r}")
    return int(text)


class RangeReading:
    """Collects the pages of one read of all items."""

    def __init__(self) -> None:
        self._items: list[PublishedItem] = []
        self._after = ""
        self._revision: int | None = None
        self._era = 0
        self._complete = False
        self._pages = 0

    @property
    def path(self) -> str:
        """The path of the requests."""
        return RANGE_PATH

    @property
    def complete(self) -> bool:
        """Whether the last page has been received."""
        return self._complete

    def query(self) -> dict[str, object]:
        """Return the query parameters for the next page."""
        query: dict[str, object] = {"prefix": ""}
        if self._after:
            query["after"] = self._after
        return query

    def take(self, response: HttpResponse) -> None:
        """Add the response with the next page.

        Raises
        ------
        HistoryLostError
            If the store has begun a new era since the first page.
        SourceUnavailableError
            If the response is an error or is not valid, or there are too many pages.
        """
        body = _decode(_RANGE_DECODER, response)
        era = read_era(response)
        if body.has_more and not body.items:
            raise SourceUnavailableError("the store returned an empty page of several")
        if self._revision is None:
            self._revision, self._era = body.current_rev, era
        if era != self._era:
            raise HistoryLostError(
                f"the store's era changed from {self._era} to {era} between two pages"
            )
        self._items += _items(body.items)
        self._pages += 1
        self._complete = not body.has_more
        if body.items:
            self._after = body.items[-1].key
        if self._pages > MAX_PAGES:
            raise SourceUnavailableError(
                f"the store returned more than {MAX_PAGES} pages"
            )

    def snapshot(self) -> Snapshot:
        """Return the items read; they are complete up to the first page's revision."""
        return Snapshot(self._items, self._revision or 0, self._era)


def _items(events: list[Event]) -> list[PublishedItem]:
    items = (published_item(event) for event in events)
    return [item for item in items if item is not None]


def _decode(decoder: msgspec.json.Decoder[Any], response: HttpResponse) -> Any:
    if response.status == _HTTP_GONE:
        raise HistoryLostError("the store no longer holds the requested changes")
    if response.status != _HTTP_OK:
        raise SourceUnavailableError(
            f"the store answered with HTTP status {response.status}"
        )
    try:
        return decode_json(decoder, response.body)
    except DocumentError as error:
        raise SourceUnavailableError(
            f"invalid response from the store: {error.args[0]}"
        ) from None
