"""Imports libraries without optional dependencies that are slow to load."""

from __future__ import annotations

import sys
from importlib import import_module


def import_without(name: str, optional: str) -> None:
    """Import a module as if one of its optional dependencies were not installed.

    Parameters
    ----------
    name : str
        The module to import.
    optional : str
        The optional dependency.
    """
    if optional in sys.modules:
        import_module(name)
        return
    # An entry of None makes the import of that module fail.
    sys.modules[optional] = None  # type: ignore[assignment]
    try:
        import_module(name)
    finally:
        del sys.modules[optional]


import_without("msgspec", "typing_extensions")
