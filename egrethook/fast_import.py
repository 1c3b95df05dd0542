"""Loads libraries without the optional ones that make them slow to load."""

from __future__ import annotations

import sys
from importlib import import_module


def import_without(name: str, optional: str) -> None:
    """Import a module as if an optional library of its were not installed.

    Parameters
    ----------
    name : str
        The module.
    optional : str
        The library that it does without where it is missing.
    """
    if optional in sys.modules:
        import_module(name)
        return
    # The interpreter takes None to mean that there is no such module.
    sys.modules[optional] = None  # type: ignore[assignment]
    try:
        import_module(name)
    finally:
        del sys.modules[optional]


import_without("msgspec", "typing_extensions")
