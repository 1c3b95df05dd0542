"""Stretches of revisions over which a copy of the registry lacks removals."""

from __future__ import annotations

from typing import NamedTuple

MAX_GAPS = 16
"""Number of gaps above which the two oldest are merged."""


class Gap(NamedTuple):
    """A stretch of revisions, without the two at its ends."""

    start: int
    end: int


class HistoryGaps:
    """What a copy of the registry hasn't followed change by change.

    A copy that jumps from one revision to a later one, as by a snapshot, is complete at
    both, but never sees an item that was added and removed in between. What a reader
    holds of a revision inside a gap can't be brought up to date from there.
    """

    def __init__(self) -> None:
        self._gaps: list[Gap] = []

    def add(self, start: int, end: int) -> None:
        """Add a gap; it is merged with those that it overlaps."""
        if end - start < 2:
            return
        apart = [gap for gap in self._gaps if gap.end <= start or gap.start >= end]
        merged = [gap for gap in self._gaps if gap not in apart]
        whole = Gap(
            min([start, *(gap.start for gap in merged)]),
            max([end, *(gap.end for gap in merged)]),
        )
        self._gaps = sorted([*apart, whole])
        if len(self._gaps) > MAX_GAPS:
            first, second, *others = self._gaps
            self._gaps = [Gap(first.start, second.end), *others]

    def last_complete(self, revision: int) -> int:
        """Return the newest revision up to a given one that is in no gap."""
        for gap in self._gaps:
            if gap.start < revision < gap.end:
                return gap.start
        return revision

    def between(self, start: int, end: int) -> bool:
        """Return whether there is a gap between two revisions."""
        return any(gap.start < end and gap.end > start for gap in self._gaps)
