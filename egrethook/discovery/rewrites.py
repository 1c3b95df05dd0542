"""Holds back what a registry shows as it was before it came back from an older copy.

Operators and upstreams write again what the copy lacks. Until then a record that is
missing has lapsed, and one that is older than the held one is outdated. Neither says
that the registry has changed.
"""

from __future__ import annotations

from typing import NamedTuple

from egrethook.discovery.records import ItemKind, PublishedItem, UpstreamRecord
from egrethook.upstreams.roster import EXPIRED_RECORD_GRACE_S

REWRITE_TIME_S = EXPIRED_RECORD_GRACE_S
"""Time after the start of an era in which lost items are written again, in seconds."""

RETURNED_RECORD_HOLD_S = 4.5
"""Time after the start of an era for which removed records stay removed, in seconds.

If nobody writes such a record, the registry drops it after three heartbeats of 1.2 s.
"""


def record_hold_time(
    record: UpstreamRecord, known: UpstreamRecord, is_removed: bool
) -> float:
    """Return how long a record in a new era waits, in seconds; 0 if it doesn't.

    Parameters
    ----------
    known : UpstreamRecord
        The newest record that is known of the upstream.
    is_removed : bool
        Whether that record has been removed.
    """
    order, known_order = _write_order(record), _write_order(known)
    if is_removed:
        return RETURNED_RECORD_HOLD_S if order <= known_order else 0.0
    return REWRITE_TIME_S if order < known_order else 0.0


def _write_order(record: UpstreamRecord) -> tuple[int, int]:
    """Return what orders the records that upstreams have written under one name."""
    return record.started_ms, record.writes


class _HeldItem(NamedTuple):
    item: PublishedItem
    until: float


class RewriteWindow:
    """The time after the start of an era, and the items that wait for its end."""

    def __init__(self) -> None:
        self._began_at = float("-inf")
        self._held: dict[tuple[ItemKind, str], _HeldItem] = {}

    def __len__(self) -> int:
        return len(self._held)

    def open(self, began_at: float) -> None:
        """Begin anew with a later era; what is held waits for the new end too."""
        self._began_at = max(began_at, self._began_at)
        for held in list(self._held.values()):
            self.hold(held.item, held.until - self._began_at)

    def is_open(self, now: float) -> bool:
        """Return whether lost items may still be written again."""
        return now < self._began_at + REWRITE_TIME_S

    def hold(self, item: PublishedItem, hold_s: float = REWRITE_TIME_S) -> None:
        """Hold an item back until some time after the start of the era, in seconds."""
        until = self._began_at + max(hold_s, REWRITE_TIME_S)
        self._held[item.kind, item.name] = _HeldItem(item, until)

    def release(self, item: PublishedItem) -> None:
        """Forget what is held of an item that has been written since."""
        self._held.pop((item.kind, item.name), None)

    def take_due(self, now: float) -> list[PublishedItem]:
        """Remove and return the items that have waited long enough."""
        due = [held.item for held in self._held.values() if now >= held.until]
        for item in due:
            self.release(item)
        return due
