"""The published items that a process holds, merged by their revisions."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from egrethook.discovery.records import Changes, ItemKind, PublishedItem, Snapshot

TOMBSTONE_LIMIT = 5_000
"""Most deleted items that are remembered."""

ItemKey = tuple[ItemKind, str]


def item_size(item: PublishedItem) -> int:
    """Return the bytes of an item's name and value."""
    return len(item.name) + len(item.value or b"")


class Catalog:
    """The newest revision of each item, complete up to `revision`.

    Items come from the registry and from other balancers in any order. The
    newer revision of an item wins, so that nothing reverts.
    """

    def __init__(self) -> None:
        self._items: dict[ItemKey, PublishedItem] = {}
        self._tombstones: OrderedDict[ItemKey, int] = OrderedDict()
        self._revision = 0
        self._forgotten_revision = 0

    @property
    def revision(self) -> int:
        """The revision up to which every change is held; 0 before the first."""
        return self._revision

    def get(self, kind: ItemKind, name: str) -> PublishedItem | None:
        """Return an item, also a deleted one."""
        return self._items.get((kind, name))

    def merge_snapshot(self, snapshot: Snapshot) -> list[PublishedItem]:
        """Merge a complete reading and return the items that changed.

        Items that the reading lacks are deleted unless they are newer.
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

        Changes that begin after what is held are merged too, but leave a gap
        and do not move `revision`.
        """
        changed = self._merge(changes.items)
        if changes.after <= self._revision:
            self._revision = max(self._revision, changes.revision)
        return changed

    def changes_since(self, after: int, limit_bytes: int) -> Changes | None:
        """Return the changes after a revision that fit, oldest first.

        Parameters
        ----------
        after : int
            The revision that the reader holds.
        limit_bytes : int
            Most bytes, unless the first item alone is longer.

        Returns
        -------
        Changes or None
            None if deletions since then have been forgotten.
        """
        if after < self._forgotten_revision:
            return None
        newer = [item for item in self._items.values() if item.revision > after]
        newer.sort(key=lambda item: item.revision)
        size = 0
        for count, item in enumerate(newer):
            size += item_size(item)
            if count and size > limit_bytes:
                # What is held beyond `revision` may have gaps before it.
                complete_to = min(newer[count - 1].revision, self._revision)
                return Changes(after, max(after, complete_to), newer[:count])
        return Changes(after, max(after, self._revision), newer)

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
