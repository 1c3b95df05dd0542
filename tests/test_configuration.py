"""Published configuration: validation and order of revisions.

Guards against a balancer that goes back to an older revision, drops a valid value
for an invalid one, or ends with another configuration when values arrive in another
order.
"""

from __future__ import annotations

import itertools
import json

import pytest
from helpers import endpoint_value, index_value, raw, services_value

from egrethook.exceptions import DocumentError
from egrethook.published.configuration import ConfigurationStore, DocumentKey
from egrethook.published.documents import (
    MAX_VALUE_BYTES,
    load_yaml,
    parse_value,
    render,
    validate,
)

ORDERS = DocumentKey("services", "orders")
CHARTS = DocumentKey("services", "charts")


def store_with(revision: int = 5) -> ConfigurationStore:
    store = ConfigurationStore()
    store.offer_index(raw(index_value(revision, services={"orders": revision})))
    store.offer_document(
        ORDERS, raw(services_value(revision, [endpoint_value("a", 100)]))
    )
    return store


def test_older_index_is_ignored():
    store = store_with(5)
    assert not store.offer_index(raw(index_value(4, preset="peak")))
    assert store.configuration.preset == "ordinary"


def test_older_value_is_ignored():
    store = store_with(5)
    older = raw(services_value(4, [endpoint_value("old", 300)]))
    assert not store.offer_document(ORDERS, older)
    assert list(store.configuration.services["orders"]) == ["a"]


def test_indexes_in_any_order_end_in_the_newest():
    values = [
        raw(index_value(6, preset="peak", services={"orders": 5})),
        raw(index_value(7, services={"orders": 7})),
        raw(index_value(8, preset="peak", services={"orders": 7})),
    ]
    ends = set()
    for order in itertools.permutations(values):
        store = store_with(5)
        seen = [store.revision]
        for value in order:
            store.offer_index(value)
            seen.append(store.revision)
        assert seen == sorted(seen)
        ends.add((store.revision, store.configuration.preset))
    assert ends == {(8, "peak")}


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"preset": "carnival"}, "preset carnival"),
        ({"signing_key": 2}, "signing key 2"),
        ({"keys": {1: "zz"}}, "keys"),
        ({"keys": {1: "00"}}, "keys"),
        ({"presets": {"ordinary": {"retry_share": 2}}}, "presets.ordinary.retry_share"),
        ({"surprise": 1}, "surprise"),
        ({"failure_domains": {}}, "failure_domains"),
    ],
)
def test_invalid_index_raises_an_error_with_its_path_and_the_last_one_stays(
    changes, path
):
    store = store_with(5)
    bad = json.dumps(index_value(6, **changes)).encode()
    with pytest.raises(DocumentError, match=path.replace(".", r"\.")):
        store.offer_index(bad)
    assert store.revision == 5


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"kind": "index", "kind": "index"}',
        b'{"kind": "surprise"}',
        b"\xff\xfe",
        b"[" * 100_000,
        b" " * (MAX_VALUE_BYTES + 1),
    ],
)
def test_value_that_is_not_a_document_raises_e102(data):
    with pytest.raises(DocumentError) as error:
        parse_value(data)
    assert str(error.value).startswith("E102")


def test_refused_value_is_not_fetched_again_until_a_newer_revision():
    store = store_with(5)
    store.offer_index(raw(index_value(6, services={"orders": 6})))
    assert store.keys_to_fetch() == [ORDERS]
    with pytest.raises(DocumentError):
        store.offer_document(ORDERS, b"{}")
    assert store.keys_to_fetch() == []
    assert list(store.configuration.services["orders"]) == ["a"]
    store.offer_index(raw(index_value(7, services={"orders": 7})))
    assert store.keys_to_fetch() == [ORDERS]


def test_complete_revision_advances_when_every_listed_value_is_read():
    store = store_with(5)
    store.offer_index(raw(index_value(6, services={"orders": 5, "charts": 6})))
    assert store.configuration.revision == 6
    assert store.configuration.complete_revision == 5
    charts = services_value(6, [endpoint_value("c", 200)], "charts")
    store.offer_document(CHARTS, raw(charts))
    assert store.configuration.complete_revision == 6


def test_shared_address_belongs_to_the_latest_incarnation_in_any_order():
    old = services_value(6, [endpoint_value("a", 100)])
    new = services_value(6, [endpoint_value("c", 100, incarnation=2)], "charts")
    for first, second in ((old, new), (new, old)):
        store = ConfigurationStore()
        store.offer_index(raw(index_value(6, services={"orders": 6, "charts": 6})))
        for value in (first, second):
            store.offer_document(DocumentKey("services", value["name"]), raw(value))
        assert store.configuration.endpoint("charts", "c") is not None
        assert store.configuration.endpoint("orders", "a") is None
        assert store.conflicts == ["orders/a"]


def test_value_no_longer_listed_by_the_index_is_removed():
    store = store_with(5)
    store.offer_index(raw(index_value(6)))
    assert "orders" not in store.configuration.services


def test_duplicate_key_in_yaml_raises_document_error():
    with pytest.raises(DocumentError, match="duplicate key 'a'"):
        load_yaml("a: 1\na: 2\n")


def test_rendered_document_parses_to_the_same_document():
    document = validate(index_value(3))
    assert parse_value(render(document)) == document
