"""A layer-4 load balancer whose entry VMs share no state."""

from __future__ import annotations

from importlib import import_module
from typing import Any

from egrethook.version import __version__

_EXPORTS = {
    "Caller": "egrethook.callers.client",
    "EgrethookError": "egrethook.exceptions",
    "Verdict": "egrethook.verdicts",
}
"""Public names, imported at their first use so that processes start fast."""

__all__ = ["__version__", *_EXPORTS]


def __getattr__(name: str) -> Any:
    if name not in _EXPORTS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_EXPORTS[name]), name)
