"""Openings that wait for a view fresh enough to decide them."""

from __future__ import annotations

from typing import NamedTuple

from egrethook.callers.segments import Segment

UNDECIDED_OPENINGS_LIMIT = 2_000
"""Most openings that wait for a fresh view."""


class UndecidedOpening(NamedTuple):
    """An opening as it arrived, and when, in seconds."""

    segment: Segment
    datagram: bytes
    arrived_at: float


class UndecidedOpenings:
    """Keeps openings whose route is not known while the view may be old."""

    def __init__(self) -> None:
        self._openings: dict[bytes, UndecidedOpening] = {}

    def add(self, opening: UndecidedOpening) -> bool:
        """Keep an opening; return False if too many are kept already."""
        if len(self._openings) >= UNDECIDED_OPENINGS_LIMIT:
            return False
        self._openings[opening.segment.flow] = opening
        return True

    def take_all(self) -> list[UndecidedOpening]:
        """Return all openings, and keep none."""
        openings, self._openings = self._openings, {}
        return list(openings.values())
