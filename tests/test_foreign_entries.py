"""Entries of the registry that another writer left, and other unreadable input.

Guards against an entry, a response or a settings file that can't be read and ends the
process that reads it, or keeps it from following the registry.
"""

from __future__ import annotations

import base64
import json
import random

import pytest

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import Delta, encode
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.http_exchange import HttpResponse
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.discovery.view import ForwardingView
from egrethook.exceptions import (
    DocumentError,
    SettingsError,
    SourceUnavailableError,
)
from egrethook.forwarding.settings import load_forwarder_settings
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


BAD_ADDRESSES = [
    "10.0.0.9:80800",
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:\u00b2",
    "10.0.0.9:\u0668\u0660",
    "10.0.0.9:" + "9" * 5_000,
    "10.0.0.9: 80",
    "10.0.0.9",
    ":8080",
    "",
    "10.0.0.900:8080",
    "10.9:8080",
    "::1:8080",
    "some.host:8080",
    "\u0000:8080",
    "h\u00f6st:8080",
    "x" * 70 + ":8080",
]


@pytest.mark.parametrize("address", BAD_ADDRESSES, ids=lambda text: ascii(text)[:20])
def test_entry_with_an_invalid_address_names_no_upstream(address):
    """Guards against an address that ends the process when an opening is sent there.

    Also against host names, whose look-up would block the process.
    """
    with pytest.raises(DocumentError):
        StoreDecoder().upstream("i-0b", entry(address=address))


@pytest.mark.parametrize("address", BAD_ADDRESSES, ids=lambda text: ascii(text)[:20])
def test_settings_with_an_invalid_address_raise_the_coded_error(tmp_path, address):
    """Guards against ValueError, which ended the process when a file was reloaded."""
    settings = {
        "name": "edge-1",
        "failure_domain": "zone-a",
        "packets": "10.0.0.1:8172",
        "peers": "10.0.0.1:8166",
        "probes": "10.0.0.1:8167",
        "registry": "10.200.1.7:8169",
        "known_peers": ["10.2.0.40:8166", address],
    }
    path = tmp_path / "node"
    path.write_text(json.dumps(settings))
    with pytest.raises(SettingsError, match="known_peers|invalid address"):
        load_forwarder_settings(str(path))


@pytest.mark.parametrize(
    "address",
    [
        ("127.0.0.1", 99_999),
        ("127.0.0.1", -1),
        ("\0", 80),
        ("127.0.0.1", 0),
        ("::1", 8),
    ],
    ids=str,
)
def test_datagram_to_an_invalid_address_is_dropped_and_counted(address):
    """Guards against OverflowError out of `sendto`, which ended the process."""
    with DatagramSocket(Address("127.0.0.1", 0)) as socket:
        socket.send(address, b"packet")
        assert socket.dropped == 1


OUT_OF_RANGE = [
    ("concurrency", "1" + "0" * 400),
    ("concurrency", str(2**63)),
    ("concurrency", "0"),
    ("concurrency", "-1"),
    ("warmupLeftMs", "1e300"),
    ("warmupLeftMs", "1" + "0" * 5_000),
    ("born", str(2**63)),
    ("born", "-1"),
    ("born", "1.5"),
    ("born", "true"),
]


@pytest.mark.parametrize(("field", "number"), OUT_OF_RANGE, ids=lambda text: text[:20])
def test_entry_with_a_number_out_of_range_names_no_upstream(field, number):
    """Guards against numbers that no later arithmetic or message can hold."""
    raw = entry(**{field: "number"}).replace(b'"number"', number.encode())
    with pytest.raises(DocumentError):
        StoreDecoder().upstream("i-0b", raw)


@pytest.mark.parametrize(
    "revision", [2**63, 10**400, -1, 1.5, None], ids=lambda number: str(number)[:20]
)
def test_response_with_a_revision_out_of_range_counts_as_a_failed_read(revision):
    """Guards against a revision that gossip can't send, which ended the process."""
    event = {"key": "servers/i-0b", "value": "e30=", "revision": revision}
    for body in (
        {"events": [event], "items": [event], "currentRev": 9},
        {"events": [], "items": [], "currentRev": revision},
    ):
        response = HttpResponse(200, json.dumps(body).encode())
        with pytest.raises(SourceUnavailableError):
            read_watch(response, after=1)
        with pytest.raises(SourceUnavailableError):
            RangeReading().take(response)


def test_large_foreign_entry_does_not_keep_gossip_from_other_changes():
    """Guards against an entry that fits no message: members asked for it for ever."""
    large = base64.b64encode(random.Random(1).randbytes(1_000_000)).decode()
    events = [
        {"key": "servers/i-0b", "value": large, "revision": 7},
        {"key": "op/evacuate/zone-a", "value": large, "revision": 8},
    ]
    body = json.dumps({"events": events, "currentRev": 8}).encode()
    changes = read_watch(HttpResponse(200, body), after=6)
    assert len(encode(Delta(changes, 0.0))) < 1_000
    view = view_with(*changes.items)
    assert [upstream.name for upstream in view.upstreams.all()] == ["i-0a"]
    assert view.domains_out == {"zone-a"}


@pytest.mark.parametrize("field", sorted(ENTRY.keys() - {"born"}))
def test_entry_without_a_field_names_no_upstream(field):
    """Guards against another writer's entry that sends flows to a wrong service."""
    incomplete = {name: part for name, part in ENTRY.items() if name != field}
    view = view_with(
        PublishedItem(ItemKind.UPSTREAM, "i-0b", 2, json.dumps(incomplete).encode())
    )
    assert [upstream.name for upstream in view.upstreams.all()] == ["i-0a"]


@pytest.mark.parametrize("field", sorted(ENTRY))
@pytest.mark.parametrize("part", [None, [], {}, True, "\u00b2", 1.5, -1, ["v1"]])
def test_entry_with_a_field_of_another_type_is_refused_or_whole(field, part):
    """Guards against a field of another type that is taken for the endpoint's own."""
    raw = entry(**{field: part})
    try:
        record = StoreDecoder().upstream("i-0b", raw)
    except DocumentError:
        return
    # A text may hold any text, and the rest of a warm-up any small number.
    assert (field, type(part)) in {
        ("service", str),
        ("zone", str),
        ("version", str),
        ("warmupLeftMs", float),
        ("warmupLeftMs", int),
    }
    assert record.address == ("10.0.0.9", 8080)


def test_incomplete_entry_moves_no_upstream_to_another_service():
    """Guards against requests at a wrong service.

    Another writer has written over the entry of a known endpoint.
    """
    incomplete = {
        name: part
        for name, part in ENTRY.items()
        if name not in {"version", "warmupLeftMs", "sequence", "born"}
    }
    raw = json.dumps({**incomplete, "service": "documents"}).encode()
    view = view_with(PublishedItem(ItemKind.UPSTREAM, "i-0a", 2, raw))
    assert view.candidates("documents") == []
    view.update([PublishedItem(ItemKind.UPSTREAM, "i-0a", 3, entry())], 2.0)
    assert [upstream.name for upstream in view.candidates("holdings")] == ["i-0a"]
