"""Imports libraries without the parts of them that are slow to load and not needed."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from importlib import import_module
from types import ModuleType


def import_with_stand_ins(
    name: str, stand_ins: Mapping[str, ModuleType | None]
) -> None:
    """Import a module while other modules are replaced.

    The replaced modules can be imported afterwards. If the module or one of them is
    loaded already, the module is imported as usual.

    Parameters
    ----------
    name : str
        The module to import.
    stand_ins : mapping of str to module or None
        What the replaced modules appear to be, by name; with None, the import of such
        a module fails as if it were not installed.
    """
    if not sys.modules.keys().isdisjoint((name, *stand_ins)):
        import_module(name)
        return
    # An entry of None makes the import of that module fail.
    sys.modules.update(stand_ins)  # type: ignore[arg-type]
    try:
        import_module(name)
    finally:
        for replaced in stand_ins:
            del sys.modules[replaced]


def _stand_in(name: str, **attributes: object) -> ModuleType:
    module = ModuleType(name)
    vars(module).update(attributes)
    return module


import_with_stand_ins(
    "msgspec",
    {
        "typing_extensions": None,
        # The uuid module asks for the name of the operating system.
        "platform": _stand_in("platform", system=lambda: os.uname().sysname),
        # Forwarding needs neither JSON schemas nor descriptions of types.
        "msgspec._json_schema": _stand_in(
            "msgspec._json_schema", schema=None, schema_components=None
        ),
        "msgspec.inspect": _stand_in("msgspec.inspect"),
    },
)
