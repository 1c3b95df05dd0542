"""Entries of the registry that another writer left, and other unreadable input.

Guards against an entry, a response or a settings file that can't be read and ends the
process that reads it, or keeps it from following the registry.
"""

from __future__ import annotations

import base64
import json

import pytest

from egrethook.discovery.http_exchange import HttpResponse
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.discovery.view import ForwardingView
from egrethook.exceptions import (
    DocumentError,
    SettingsError,
    SourceUnavailableError,
)
from egrethook.forwarder_settings import load_forwarder_settings
from egrethook.operators.explain import read_lines
from egrethook.platform.bench_journal import read_journal
from egrethook.platform.store_messages import StoreDecoder
from egrethook.platform.store_reading import RangeReading, read_watch

ENTRY = {
    "service": "holdings",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 4,
    "born": 1700000000000,
}

DEEPLY_NESTED = {
    "array": b'{"dump":' + b"[" * 4_000,
    "object": b'{"dump":' + b'{"a":' * 4_000,
    "in a known field": b'{"service":' + b"[" * 4_000,
    "closed": b'{"dump":' + b"[" * 4_000 + b"]" * 4_000 + b"}",
}

nested = pytest.mark.parametrize(
    "raw", DEEPLY_NESTED.values(), ids=DEEPLY_NESTED.keys()
)


def entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def view_with(*items):
    """Return a view that holds a good entry, after more items have arrived."""
    view = ForwardingView(StoreDecoder(), flow_life_s=60.0)
    view.update([PublishedItem(ItemKind.UPSTREAM, "i-0a", 1, entry())], 0.0)
    view.update(items, 1.0)
    return view


@nested
def test_deeply_nested_entry_does_not_end_the_reader(raw):
    """Guards against RecursionError, which ended every process of the fleet."""
    view = view_with(
        PublishedItem(ItemKind.UPSTREAM, "i-0b", 2, raw),
        PublishedItem(ItemKind.ROUTES, "", 3, raw),
        PublishedItem(ItemKind.UPSTREAM, "i-0c", 4, entry(address="10.0.0.8:8080")),
    )
    assert {upstream.name for upstream in view.upstreams.all()} == {"i-0a", "i-0c"}
    assert view.revision == 4


@nested
def test_deeply_nested_value_raises_the_coded_error(raw):
    """Guards against RecursionError out of a decoder of published values."""
    for decode in (
        lambda: StoreDecoder().upstream("i-0b", raw),
        lambda: StoreDecoder().routes(raw),
    ):
        with pytest.raises(DocumentError):
            decode()


@nested
def test_deeply_nested_response_counts_as_a_failed_read(raw):
    """Guards against RecursionError in the reader's task and in the startup loop."""
    with pytest.raises(SourceUnavailableError):
        read_watch(HttpResponse(200, raw), after=1)
    with pytest.raises(SourceUnavailableError):
        RangeReading().take(HttpResponse(200, raw))


@pytest.mark.parametrize(
    "text", [*DEEPLY_NESTED.values(), b"- " * 4_000, b"a: [" * 999]
)
def test_deeply_nested_settings_raise_the_coded_error(tmp_path, text):
    """Guards against RecursionError when the settings are read again."""
    path = tmp_path / "node"
    path.write_bytes(text)
    with pytest.raises(SettingsError):
        load_forwarder_settings(str(path))


@nested
def test_deeply_nested_file_ends_no_operators_command(tmp_path, raw):
    """Guards against tracebacks of `plot` and `explain`."""
    (tmp_path / "run.json").write_bytes(raw)
    with pytest.raises(DocumentError, match=r"run\.json"):
        list(read_journal(tmp_path))
    assert list(read_lines([raw.decode()])) == []


def test_watch_with_a_deeply_nested_entry_yields_all_its_items():
    """Guards against a reader that stops following because of one entry."""
    events = [
        {"key": f"servers/{name}", "value": base64.b64encode(raw).decode()}
        for name, raw in (("i-0a", entry()), ("i-0b", DEEPLY_NESTED["array"]))
    ]
    body = {
        "events": [{**event, "revision": 7 + n} for n, event in enumerate(events)],
        "currentRev": 8,
    }
    changes = read_watch(HttpResponse(200, json.dumps(body).encode()), after=6)
    assert [item.name for item in changes.items] == ["i-0a", "i-0b"]
    assert changes.revision == 8
