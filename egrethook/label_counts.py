"""Counters by a label whose values are not known beforehand."""

from __future__ import annotations

MAX_LABELS = 50
"""Labels that are counted apart; further ones are counted together."""

OTHER_LABEL = "other"
"""Label of the events beyond `MAX_LABELS`."""


class LabelCounts:
    """Counts events by label, for a bounded number of labels."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def add(self, label: str) -> None:
        """Count one event."""
        if label not in self._counts and len(self._counts) >= MAX_LABELS:
            label = OTHER_LABEL
        self._counts[label] = self._counts.get(label, 0) + 1

    def by_label(self) -> dict[str, int]:
        """Return the counts by label."""
        return self._counts
