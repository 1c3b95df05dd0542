"""Computes changed indexes for operators to publish on the platform."""

from __future__ import annotations

import json
from typing import Any

from egrethook.exceptions import DocumentError
from egrethook.published.documents import Document, IndexDocument, validate


def _require_index(document: Document) -> IndexDocument:
    if not isinstance(document, IndexDocument):
        raise DocumentError(f"expected a document of kind index, got {document.kind}")
    return document


def with_preset(document: Document, name: str) -> IndexDocument:
    """Return the index with another preset selected, at the next revision.

    Raises
    ------
    DocumentError
        If the document is not an index or has no such preset.
    """
    index = _require_index(document)
    if name not in index.presets:
        raise DocumentError(f"preset {name} is not one of {sorted(index.presets)}")
    return _next_revision(index, preset=name)


def with_domain(document: Document, name: str, in_service: bool) -> IndexDocument:
    """Return the index with a failure domain in or out of service.

    Raises
    ------
    DocumentError
        If the document is not an index or has no such failure domain, or if no
        failure domain would remain in service.
    """
    index = _require_index(document)
    if name not in index.failure_domains:
        known = sorted(index.failure_domains)
        raise DocumentError(f"failure domain {name} is not one of {known}")
    domains = {
        key: {**model.model_dump(), "in_service": model.in_service}
        for key, model in index.failure_domains.items()
    }
    domains[name]["in_service"] = in_service
    if not any(model["in_service"] for model in domains.values()):
        raise DocumentError(
            f"can't take {name} out: no failure domain is in service without it"
        )
    return _next_revision(index, failure_domains=domains)


def _next_revision(index: IndexDocument, **changes: Any) -> IndexDocument:
    plain = {**index.model_dump(), **changes, "revision": index.revision + 1}
    changed = validate(plain)
    assert isinstance(changed, IndexDocument)
    return changed


def render_indented(document: Document) -> str:
    """Return a value as indented JSON that the platform accepts."""
    return json.dumps(document.model_dump(mode="json"), indent=2)


def describe_changes(before: Document, after: Document) -> list[str]:
    """Return a line for each key that differs.

    With another preset, the limits that differ are listed as well.
    """
    old = _flatten(before.model_dump(mode="json"))
    new = _flatten(after.model_dump(mode="json"))
    if "preset" in old and old["preset"] != new["preset"]:
        old |= _limits_in_force(before)
        new |= _limits_in_force(after)
    return [
        f"{key}: {old.get(key)} -> {new.get(key)}"
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


def _limits_in_force(document: Document) -> dict[str, Any]:
    index = _require_index(document)
    limits = index.presets[index.preset].model_dump()
    return {f"limit in force, {name}": value for name, value in limits.items()}


def _flatten(plain: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in plain.items():
        path = f"{prefix}{key}"
        if isinstance(value, dict):
            flat |= _flatten(value, f"{path}.")
        else:
            flat[path] = value
    return flat
