"""Openings without a known route, held until the view of the routes is fresh."""

from __future__ import annotations

from typing import NamedTuple

from egrethook.callers.segments import Segment

HELD_OPENINGS_LIMIT = 2_000
"""Maximum number of openings held until the view is fresh."""


class HeldOpening(NamedTuple):
    """An opening as it was received, and its time of arrival in seconds."""

    segment: Segment
    datagram: bytes
    arrived_at: float


class HeldOpenings:
    """Holds openings that have no known route while the view may be out of date."""

    def __init__(self) -> None:
        self._openings: dict[bytes, HeldOpening] = {}

    def add(self, opening: HeldOpening) -> bool:
        """Hold an opening; return False if the limit is reached."""
        if len(self._openings) >= HELD_OPENINGS_LIMIT:
            return False
        self._openings[opening.segment.flow] = opening
        return True

    def take_all(self) -> list[HeldOpening]:
        """Return and remove all held openings."""
        openings, self._openings = self._openings, {}
        return list(openings.values())
