"""Validates settings files and configuration values."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from egrethook.exceptions import DocumentError
from egrethook.forwarding.settings import load_forwarder_settings
from egrethook.published.documents import Document, load_yaml, validate
from egrethook.settings import parse_settings, read_text


def check_file(path: Path) -> str:
    """Validate a settings file or a configuration value.

    Returns
    -------
    str
        A sentence that describes the file.

    Raises
    ------
    SettingsError, DocumentError
        If the file is not valid; names the path inside the file and the reason.
    """
    text = read_text(path)
    plain = _load(text, path)
    if isinstance(plain, dict) and "kind" in plain:
        document = _validate(plain, path)
        return f"{path}: a valid value of kind {document.kind}"
    # Of the settings, only those of a forwarding process have the key `packets`.
    if isinstance(plain, dict) and "packets" in plain:
        forwarder = load_forwarder_settings(str(path))
        return f"{path}: valid settings of forwarding process {forwarder.name}"
    settings = parse_settings(text, str(path))
    return f"{path}: valid settings of balancer {settings.name}"


def load_document(path: Path) -> Document:
    """Read a configuration value from a YAML or JSON file.

    Raises
    ------
    SettingsError, DocumentError
        If the file can't be read or is not valid.
    """
    return _validate(_load(read_text(path), path), path)


def _load(text: str, path: Path) -> Any:
    try:
        return load_yaml(text)
    except DocumentError as error:
        raise DocumentError(f"{path}: {error.args[0]}") from None


def _validate(plain: Any, path: Path) -> Document:
    try:
        return validate(plain)
    except DocumentError as error:
        raise DocumentError(f"{path}: {error.args[0]}") from None
