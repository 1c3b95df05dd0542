"""Local replica of the published items, with its age."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from egrethook.discovery.catalog import Catalog
from egrethook.discovery.records import (
    Changes,
    PublishedItem,
    Snapshot,
    StateVersion,
)
from egrethook.logs import PartLog

Listener = Callable[[Sequence[PublishedItem], StateVersion], None]
"""Called with the changed items and the state held before the change."""

_LOG = PartLog("replica")


class Replica:
    """Merges registry snapshots and changes, also those from other balancers.

    It holds the state of one era of the registry. What belongs to an earlier one is
    ignored; a later one begins with a whole state, which replaces what is held.

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
        self._era_seen_at = float("inf")

    @property
    def catalog(self) -> Catalog:
        """The items held."""
        return self._catalog

    @property
    def revision(self) -> int:
        """The revision up to which every change is held."""
        return self._catalog.revision

    @property
    def version(self) -> StateVersion:
        """The state up to which every change is held."""
        return self._catalog.version

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

    @property
    def era_seen_at(self) -> float:
        """When the era is known to have been read first by any process, in seconds."""
        return self._era_seen_at

    def mark_stale(self) -> None:
        """Treat the replica as of unknown age, as after a pause of the process."""
        self._confirmed_at = float("-inf")

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Merge a registry snapshot, or begin the later era that it shows."""
        previous = self.version
        if snapshot.era > previous.era:
            self._begin_era(snapshot, now, now)
        elif snapshot.era == previous.era:
            self._changed_after = self._confirmed_at
            changed = self._catalog.merge_snapshot(snapshot)
            self._confirmed_at = max(self._confirmed_at, now)
            self._notify(changed, previous)

    def apply_changes(
        self, changes: Changes, known_at: float, era_seen_at: float | None = None
    ) -> None:
        """Merge changes; a later era begins only with its whole state.

        Parameters
        ----------
        known_at : float
            When they were known to be current, in seconds.
        era_seen_at : float, optional
            When their era is known to have been read first, in seconds; `known_at` if
            it is not given.
        """
        previous = self.version
        if era_seen_at is None:
            era_seen_at = known_at
        if changes.era > previous.era and changes.is_whole_state:
            state = Snapshot(changes.items, changes.revision, changes.era)
            self._begin_era(state, known_at, era_seen_at)
        elif changes.era == previous.era:
            self._era_seen_at = min(self._era_seen_at, era_seen_at)
            self._changed_after = self._confirmed_at
            changed = self._catalog.merge_changes(changes)
            if changes.after <= previous.revision <= changes.revision:
                self._confirmed_at = max(self._confirmed_at, known_at)
            self._notify(changed, previous)

    def confirm(self, version: StateVersion, known_at: float) -> None:
        """Record that a state was the newest one at `known_at`.

        Ignored unless it is the state held here.
        """
        if version == self.version:
            self._confirmed_at = max(self._confirmed_at, known_at)

    def _begin_era(self, state: Snapshot, known_at: float, era_seen_at: float) -> None:
        """Replace what is held of an earlier era."""
        earlier, self._catalog = self._catalog, Catalog(state.era)
        self._changed_after, self._confirmed_at = self._confirmed_at, known_at
        self._era_seen_at = era_seen_at
        self._catalog.merge_snapshot(state)
        changed = self._catalog.difference_from(earlier)
        if earlier.revision:
            _LOG.info(
                "the registry has begun a new era; its state replaces what is held.",
                era=state.era,
                revision=state.revision,
                held_era=earlier.version.era,
                held_revision=earlier.revision,
                changed=len(changed),
            )
        self._notify(changed, earlier.version)

    def _notify(self, changed: Sequence[PublishedItem], previous: StateVersion) -> None:
        if changed or self.version != previous:
            self._listener(changed, previous)
