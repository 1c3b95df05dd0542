"""Helpers shared by the commands."""

from __future__ import annotations

import math

from cleo.commands.command import Command

from egrethook.exceptions import SettingsError

FAULTS_EXIT_STATUS = 8
"""Exit status of a run in which faults or rule violations were found."""


def required_option(command: Command, name: str, placeholder: str) -> str:
    """Return the value of an option that must be given.

    Parameters
    ----------
    placeholder : str
        What the error message shows in place of the value, such as ``FILE``.

    Raises
    ------
    SettingsError
        If the option is missing.
    """
    value: str | None = command.option(name)
    if not value:
        raise SettingsError(f"--{name} {placeholder} is missing")
    return value


def number_option(command: Command, name: str) -> float:
    """Return the value of a numeric option.

    Raises
    ------
    SettingsError
        If the value is not a finite number.
    """
    text = command.option(name)
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise SettingsError(f"--{name}: {text!r} is not a number")
    return number


def integer_option(command: Command, name: str) -> int:
    """Return the value of a numeric option, rounded towards zero.

    Raises
    ------
    SettingsError
        If the value is not a finite number.
    """
    return int(number_option(command, name))
