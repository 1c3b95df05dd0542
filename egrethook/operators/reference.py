"""Makes the reference pages from the code."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from pydantic import BaseModel

from egrethook.emulator.settings import (
    FabricSettings,
    PlatformSettings,
    UpstreamSettings,
)
from egrethook.exceptions import DocumentError, error_classes
from egrethook.forwarder_settings import ForwarderSettings
from egrethook.published import documents
from egrethook.settings import BalancerSettings
from egrethook.verdicts import Refusal, Verdict

SETTINGS_MODELS: list[tuple[str, type[BaseModel]]] = [
    ("Settings of a balancer (`egrethook serve`)", BalancerSettings),
    ("The index (a value of the platform)", documents.IndexDocument),
    ("A preset (in the index)", documents.PresetModel),
    ("A failure domain (in the index)", documents.DomainModel),
    ("A group of services (a value of the platform)", documents.ServicesDocument),
    ("A service", documents.ServiceModel),
    ("An endpoint", documents.EndpointModel),
    ("What an endpoint bears while cold", documents.ColdModel),
    ("The VMs of a failure domain (a value of the platform)", documents.VmsDocument),
    ("A VM", documents.VmModel),
    ("Stand-in for the platform (`egrethook emulate`)", PlatformSettings),
    ("Stand-in for an upstream", UpstreamSettings),
    ("Stand-in for the fabric", FabricSettings),
]

GENERATED_NOTICE = "<!-- Made by `make docs`; changes belong into the code. -->\n"


def settings_page() -> str:
    """Return the page of all settings with defaults and bounds."""
    parts = ["# Settings and configuration values\n", GENERATED_NOTICE]
    parts += [*_heading("Settings of a forwarding process"), *_forwarder_rows()]
    for title, model in SETTINGS_MODELS:
        parts += _heading(title)
        properties = model.model_json_schema()["properties"]
        for name, field in model.model_fields.items():
            schema = properties[name]
            default = "required" if field.is_required() else _default(field)
            row = (
                f"`{name}`",
                _type_name(schema),
                default,
                _bounds(schema),
                field.description or "",
            )
            parts.append("| " + " | ".join(row) + " |")
    return "\n".join(parts) + "\n"


def _heading(title: str) -> list[str]:
    return [
        f"\n## {title}\n",
        "| key | type | default | bounds | meaning |",
        "|---|---|---|---|---|",
    ]


def _forwarder_rows() -> list[str]:
    """Return the rows of the settings that msgspec checks."""
    schema = msgspec.json.schema(ForwarderSettings)["$defs"]["ForwarderSettings"]
    rows = []
    for name, field in schema["properties"].items():
        default = "required"
        if name not in schema["required"]:
            default = f"`{field['default']}`"
        cells = (
            f"`{name}`",
            _type_name(field),
            default,
            _bounds(field),
            field.get("description", ""),
        )
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def _default(field: Any) -> str:
    value = field.get_default(call_default_factory=True)
    return "see below" if isinstance(value, BaseModel) else f"`{value}`"


def _type_name(schema: dict[str, Any]) -> str:
    if "const" in schema:
        return f"`{schema['const']}`"
    if "$ref" in schema:
        return schema["$ref"].rsplit("/", 1)[-1]
    if "anyOf" in schema:
        return " or ".join(_type_name(option) for option in schema["anyOf"])
    if schema.get("type") == "array":
        return f"list of {_type_name(schema['items'])}"
    return str(schema.get("type", "any"))


_BOUND_LABELS = {
    "minimum": "at least",
    "exclusiveMinimum": "above",
    "maximum": "at most",
    "minLength": "at least (characters)",
    "maxLength": "at most (characters)",
    "minItems": "at least (items)",
    "maxItems": "at most (items)",
    "pattern": "matches",
}


def _bounds(schema: dict[str, Any]) -> str:
    options = [schema, *schema.get("anyOf", [])]
    bounds = [
        f"{label} {option[key]}"
        for option in options
        for key, label in _BOUND_LABELS.items()
        if key in option
    ]
    return ", ".join(bounds).replace("|", "\\|")


def errors_page() -> str:
    """Return the page of error codes, exit statuses and refusals."""
    parts = [
        "# Errors\n",
        GENERATED_NOTICE,
        "\n## Codes and exit statuses\n",
        "| code | exit status | meaning |",
        "|---|---|---|",
    ]
    for cls in error_classes():
        meaning = (cls.__doc__ or "").strip().splitlines()[0]
        parts.append(f"| {cls.code} | {cls.exit_status} | {meaning} |")
    parts += [
        "\n`egrethook demo` ends with 8 when something was lost, doubled or broken.",
        "\n## Verdicts\n",
        "| verdict | number |",
        "|---|---|",
        *(f"| {verdict.name} | {verdict.value} |" for verdict in Verdict),
        "\n## Codes of refusals\n",
        ", ".join(f"`{refusal.value}`" for refusal in Refusal),
    ]
    return "\n".join(parts) + "\n"


PAGES = {"SETTINGS.md": settings_page, "ERRORS.md": errors_page}


def write_pages(folder: Path) -> list[str]:
    """Write the pages and return their names."""
    for name, render in PAGES.items():
        (folder / name).write_text(render(), encoding="utf-8")
    return list(PAGES)


def check_pages(folder: Path) -> list[str]:
    """Check that the pages agree with the code.

    Raises
    ------
    DocumentError
        If a page is missing or says something else.
    """
    for name, render in PAGES.items():
        path = folder / name
        if not path.exists() or path.read_text(encoding="utf-8") != render():
            raise DocumentError(f"{path} does not agree with the code: run make docs")
    return list(PAGES)
