"""What the commands share."""

from __future__ import annotations

from egrethook.exceptions import SettingsError

FAULTS_EXIT_STATUS = 8
"""Exit status of a run that lost, doubled or broke something."""


def number_option(text: str, name: str) -> float:
    """Return the number that an option gives.

    Raises
    ------
    SettingsError
        If it is none.
    """
    try:
        return float(text)
    except ValueError:
        raise SettingsError(f"{name}: {text!r} is not a number") from None
