"""Counters of an executor."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class ExecutorCounts:
    """Counters of an executor, exported as metrics.

    Parameters
    ----------
    started : int
        Requests sent to an upstream, retries included.
    refused, unknown : int
        Refusals with the verdict `NOT_RUN` and with `MAY_HAVE_RUN`.
    shed : int
        Requests that an upstream refused to run.
    turned_cold : int
        How often slow answers reset an upstream to cold.
    """

    started: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    retried: int = 0
    shed: int = 0
    turned_cold: int = 0
