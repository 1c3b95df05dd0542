"""Local store of published items, merged by revision."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from egrethook.discovery.history_gaps import HistoryGaps
from egrethook.discovery.records import (
    Changes,
    ItemKind,
    PublishedItem,
    Snapshot,
    StateVersion,
)

TOMBSTONE_LIMIT = 5_000
"""Maximum number of tombstones (deleted items) kept."""

CHANGES_MAX_ITEMS = 4_000
"""Number of items after which a list of changes is cut."""

ItemKey = tuple[ItemKind, str]


def item_size(item: PublishedItem) -> int:
    """Return the size of an item's name and value, in bytes."""
    return len(item.name) + len(item.value or b"")


class Catalog:
    """The newest revision of each item in one era, complete up to `revision`.

    Items arrive from the registry and from other balancers in any order. The
    newer revision of an item wins, so an item never reverts. What a snapshot doesn't
    show, items that were added and removed since the revision held before, is
    remembered as a gap in the history.

    Parameters
    ----------
    era : int
        The registry's era to which all revisions belong.
    """

    def __init__(self, era: int = 0) -> None:
        self._era = era
        self._items: dict[ItemKey, PublishedItem] = {}
        self._tombstones: OrderedDict[ItemKey, int] = OrderedDict()
        self._revision = 0
        self._gaps = HistoryGaps()

    @property
    def revision(self) -> int:
        """The revision up to which every change is held; 0 if nothing is held."""
        return self._revision

    @property
    def version(self) -> StateVersion:
        """The state up to which every change is held."""
        return StateVersion(self._era, self._revision)

    def get(self, kind: ItemKind, name: str) -> PublishedItem | None:
        """Return an item, or its tombstone if it was deleted."""
        return self._items.get((kind, name))

    def difference_from(self, other: Catalog) -> list[PublishedItem]:
        """Return what differs from a copy of another era.

        These are the items with other values there, and tombstones of those that only
        the other copy holds.
        """
        missing = [
            PublishedItem(*key, self._revision, None)
            for key, item in other._items.items()
            if item.value is not None and key not in self._items
        ]
        changed = [
            item
            for key, item in self._items.items()
            if key not in other._items or other._items[key].value != item.value
        ]
        return missing + changed

    def merge_snapshot(self, snapshot: Snapshot) -> list[PublishedItem]:
        """Merge a snapshot and return the items that changed.

        Items missing from the snapshot are deleted unless they are newer.
        """
        changed = self._merge(snapshot.items)
        changed += self._delete_missing(snapshot.items, 0, snapshot.revision)
        self._skip_to(snapshot.revision)
        return changed

    def merge_changes(self, changes: Changes) -> list[PublishedItem]:
        """Merge changes and return the items that changed.

        Changes that start after the held revision are merged too, but leave a
        gap and so do not advance `revision`. An item whose revision is covered is held
        already, or was changed or deleted since: its tombstone may have been dropped,
        or never have been received, as after a snapshot. What changes that replace the
        items of their revisions lack is deleted.
        """
        changed = self._merge(
            item for item in changes.items if item.revision > self._revision
        )
        if changes.after > self._revision or changes.revision <= self._revision:
            return changed
        if changes.replaces:
            changed += self._delete_missing(
                changes.items, changes.after, changes.revision
            )
            self._skip_to(changes.revision)
        self._revision = changes.revision
        return changed

    def changes_since(self, after: int, limit_bytes: int) -> Changes:
        """Return the changes after a revision, oldest first, up to a size limit.

        Changes of one revision are never separated: a snapshot deletes several items
        at once. Across a gap in the history there is no limit, and the changes begin
        where the gap does and replace what the reader holds.

        Parameters
        ----------
        after : int
            The revision that the reader holds.
        limit_bytes : int
            Maximum total size. The first item is returned even if it is larger.
        """
        start = self._gaps.last_complete(after)
        newer = [item for item in self._items.values() if item.revision > start]
        newer.sort(key=lambda item: item.revision)
        if self._gaps.between(start, self._revision):
            return Changes(start, self._revision, newer, True, self._era)
        count = _count_within(newer, limit_bytes)
        if count == len(newer):
            revision = max(after, self._revision)
            return Changes(after, revision, newer, era=self._era)
        # Items newer than `revision` may follow a gap.
        complete_to = min(newer[count - 1].revision, self._revision)
        revision = max(after, complete_to)
        return Changes(after, revision, newer[:count], era=self._era)

    def whole_state(self) -> Changes:
        """Return all that is held, for a reader that holds nothing of this era.

        Tombstones are left out, except those of removals after `revision`.
        """
        items = [
            item
            for item in self._items.values()
            if item.value is not None or item.revision > self._revision
        ]
        return Changes(0, self._revision, items, True, self._era)

    def _skip_to(self, revision: int) -> None:
        """Advance to a revision whose state is known, but not the way to it."""
        self._gaps.add(self._revision, revision)
        self._revision = max(self._revision, revision)

    def _delete_missing(
        self, present: Sequence[PublishedItem], after: int, revision: int
    ) -> list[PublishedItem]:
        """Delete what is held of a stretch of revisions and is not present.

        A tombstone among the present items may be of an earlier removal.
        """
        keys = {(item.kind, item.name) for item in present if item.value is not None}
        return self._merge(
            [
                PublishedItem(item.kind, item.name, revision, None)
                for key, item in self._items.items()
                if key not in keys
                and item.value is not None
                and after < item.revision <= revision
            ]
        )

    def _merge(self, items: Iterable[PublishedItem]) -> list[PublishedItem]:
        changed = []
        for item in items:
            key = (item.kind, item.name)
            held = self._items.get(key)
            if held is not None and held.revision >= item.revision:
                continue
            self._items[key] = item
            self._tombstones.pop(key, None)
            if item.value is None:
                self._tombstones[key] = item.revision
            changed.append(item)
        while len(self._tombstones) > TOMBSTONE_LIMIT:
            key, revision = self._tombstones.popitem(last=False)
            self._gaps.add(0, revision)
            del self._items[key]
        return changed


def _count_within(items: Sequence[PublishedItem], limit_bytes: int) -> int:
    """Return how many of the items, sorted by revision, fit the limits.

    At least the items of the first revision do.
    """
    size = 0
    for count, item in enumerate(items):
        size += item_size(item)
        if size <= limit_bytes and count < CHANGES_MAX_ITEMS:
            continue
        if count and item.revision != items[count - 1].revision:
            return count
    return len(items)
