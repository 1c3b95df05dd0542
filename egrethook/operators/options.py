"""Helpers shared by the commands."""

from __future__ import annotations

from egrethook.exceptions import SettingsError

FAULTS_EXIT_STATUS = 8
"""Exit status of a run in which faults or rule violations were found."""


def number_option(text: str, name: str) -> float:
    """Return the value of a numeric option.

    Raises
    ------
    SettingsError
        If the text is not a number.
    """
    try:
        return float(text)
    except ValueError:
        raise SettingsError(f"{name}: {text!r} is not a number") from None
