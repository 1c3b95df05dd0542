"""Local store of published items, merged by revision."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from egrethook.discovery.records import Changes, ItemKind, PublishedItem, Snapshot

TOMBSTONE_LIMIT = 5_000
"""Maximum number of tombstones (deleted items) kept."""

CHANGES_MAX_ITEMS = 4_000
"""Number of items after which a list of changes is cut."""

ItemKey = tuple[ItemKind, str]


def item_size(item: PublishedItem) -> int:
    """Return the size of an item's name and value, in bytes."""
    return len(item.name) + len(item.value or b"")


class Catalog:
    """The newest revision of each item, complete up to `revision`.

    Items arrive from the registry and from other balancers in any order. The
    newer revision of an item wins, so an item never reverts.
    """

    def __init__(self) -> None:
        self._items: dict[ItemKey, PublishedItem] = {}
        self._tombstones: OrderedDict[ItemKey, int] = OrderedDict()
        self._revision = 0
        # Newest revision among the tombstones dropped.
        self._forgotten_revision = 0

    @property
    def revision(self) -> int:
        """The revision up to which every change is held; 0 if nothing is held."""
        return self._revision

    def get(self, kind: ItemKind, name: str) -> PublishedItem | None:
        """Return an item, or its tombstone if it was deleted."""
        return self._items.get((kind, name))

    def merge_snapshot(self, snapshot: Snapshot) -> list[PublishedItem]:
        """Merge a snapshot and return the items that changed.

        Items missing from the snapshot are deleted unless they are newer.
        """
        changed = self._merge(snapshot.items)
        present = {(item.kind, item.name) for item in snapshot.items}
        missing = [
            PublishedItem(item.kind, item.name, snapshot.revision, None)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision <= snapshot.revision
        ]
        changed += self._merge(missing)
        self._revision = max(self._revision, snapshot.revision)
        return changed

    def merge_changes(self, changes: Changes) -> list[PublishedItem]:
        """Merge changes and return the items that changed.

        Changes that start after the held revision are merged too, but leave a
        gap and so do not advance `revision`. An item that is not held although its
        revision is covered was deleted since, and stays so: its tombstone may have
        been dropped, or never have been received, as after a snapshot.
        """
        changed = self._merge(
            item
            for item in changes.items
            if item.revision > self._revision or (item.kind, item.name) in self._items
        )
        if changes.after <= self._revision:
            self._revision = max(self._revision, changes.revision)
        return changed

    def changes_since(self, after: int, limit_bytes: int) -> Changes | None:
        """Return the changes after a revision, oldest first, up to a size limit.

        Changes of one revision are never separated: a snapshot deletes several items
        at once.

        Parameters
        ----------
        after : int
            The revision that the reader holds.
        limit_bytes : int
            Maximum total size. The first item is returned even if it is larger.

        Returns
        -------
        Changes or None
            None if tombstones of later revisions have been dropped.
        """
        if after < self._forgotten_revision:
            return None
        newer = [item for item in self._items.values() if item.revision > after]
        newer.sort(key=lambda item: item.revision)
        count = _count_within(newer, limit_bytes)
        if count == len(newer):
            return Changes(after, max(after, self._revision), newer)
        # Items newer than `revision` may follow a gap.
        complete_to = min(newer[count - 1].revision, self._revision)
        return Changes(after, max(after, complete_to), newer[:count])

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
            self._forgotten_revision = max(self._forgotten_revision, revision)
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
