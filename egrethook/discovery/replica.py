"""Local replica of the published items, with its age."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from egrethook.discovery.catalog import Catalog
from egrethook.discovery.records import Changes, PublishedItem, Snapshot

Listener = Callable[[Sequence[PublishedItem], int], None]
"""Called with the changed items and the revision held before the change."""


class Replica:
    """Merges registry snapshots and changes, also those from other balancers.

    Parameters
    ----------
    listener : callable
        Called after each change.
    """

    def __init__(self, listener: Listener) -> None:
        self._catalog = Catalog()
        self._listener = listener
        self._confirmed_at = float("-inf")
        self._changed_after = float("-inf")

    @property
    def catalog(self) -> Catalog:
        """The items held."""
        return self._catalog

    @property
    def revision(self) -> int:
        """The revision up to which every change is held."""
        return self._catalog.revision

    def age(self, now: float) -> float:
        """Return the time since the replica was known to be current, in seconds."""
        return now - self._confirmed_at

    @property
    def changed_after(self) -> float:
        """Time after which the latest changes happened at the registry, in seconds.

        The replica was known to be current until then. They may be much older than the
        moment at which this process learned of them.
        """
        return self._changed_after

    def mark_stale(self) -> None:
        """Treat the replica as of unknown age, as after a pause of the process."""
        self._confirmed_at = float("-inf")

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Merge a registry snapshot."""
        self._changed_after = self._confirmed_at
        previous_revision = self._catalog.revision
        changed = self._catalog.merge_snapshot(snapshot)
        self._confirmed_at = max(self._confirmed_at, now)
        self._notify(changed, previous_revision)

    def apply_changes(self, changes: Changes, known_at: float) -> None:
        """Merge changes that were current at `known_at`."""
        self._changed_after = self._confirmed_at
        previous_revision = self._catalog.revision
        changed = self._catalog.merge_changes(changes)
        if changes.after <= previous_revision and changes.revision >= previous_revision:
            self._confirmed_at = max(self._confirmed_at, known_at)
        self._notify(changed, previous_revision)

    def confirm(self, revision: int, known_at: float) -> None:
        """Record that a revision was the newest one at `known_at`.

        Ignored unless it is the revision held here.
        """
        if revision == self._catalog.revision:
            self._confirmed_at = max(self._confirmed_at, known_at)

    def _notify(self, changed: Sequence[PublishedItem], previous_revision: int) -> None:
        if changed or self._catalog.revision != previous_revision:
            self._listener(changed, previous_revision)
