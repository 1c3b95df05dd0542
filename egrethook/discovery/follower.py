"""Keeps the replica up to date from the registry, while this process must read it."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from egrethook.clock import Clock
from egrethook.discovery.records import RecordSource
from egrethook.discovery.replica import Replica
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import HistoryLostError, SourceUnavailableError
from egrethook.logs import PartLog

WATCH_TIMEOUT_S = 1.0
"""Time that a watch call waits for a change, in seconds.

A dead connection hides changes only slightly longer than this.
"""

BATCH_DELAY_S = 0.25
"""Delay between changes and the next call, to batch further changes, in seconds."""

IDLE_POLL_S = 0.1
"""Interval between checks whether this process must read, in seconds."""

BACKOFF_RANGE_S = (0.15, 0.6)
"""Minimum and maximum backoff after a failed call, in seconds."""

_LOG = PartLog("registry")


class RegistryFollower:
    """Reads the registry and keeps the replica up to date.

    Parameters
    ----------
    source : RecordSource
        Reads the registry.
    replica : Replica
        Receives the snapshots and changes.
    must_read : callable
        Returns whether this process must currently read the registry.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Adds jitter to the backoff.
    """

    def __init__(
        self,
        source: RecordSource,
        replica: Replica,
        must_read: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._replica = replica
        self._must_read = must_read
        self._clock = clock
        self._rng = rng
        self._reachable: bool | None = None
        self._needs_snapshot = False
        self._consecutive_failures = 0
        self._snapshots_in_a_row = 0
        self._read_errors = ErrorBoundary(_LOG, "registry read")

    async def run(self) -> None:
        """Follow the registry until cancelled."""
        try:
            while True:
                if not self._must_read():
                    await anyio.sleep(IDLE_POLL_S)
                    continue
                try:
                    changed = await self._read()
                except HistoryLostError as error:
                    await self._request_snapshot(error.args[0])
                except SourceUnavailableError as error:
                    self._record_failure(error.args[0])
                    await anyio.sleep(self._backoff_s(self._consecutive_failures))
                except Exception as error:
                    self._read_errors.note(error)
                    self._record_failure(type(error).__name__)
                    self._needs_snapshot = True
                    await anyio.sleep(self._backoff_s(self._consecutive_failures))
                else:
                    self._record_success()
                    if changed:
                        await anyio.sleep(BATCH_DELAY_S)
        finally:
            with anyio.CancelScope(shield=True):
                await self._source.aclose()

    async def _read(self) -> bool:
        """Read a snapshot or wait for changes; return whether there were changes.

        A snapshot does not count as one, so that `run` makes the next call at once.
        """
        if self._needs_snapshot or not self._replica.revision:
            snapshot = await self._source.snapshot()
            self._check_era(snapshot.era)
            self._replica.apply_snapshot(snapshot, self._clock.now())
            self._needs_snapshot = False
            return False
        # Confirm a stale replica at once instead of waiting for a change.
        stale = self._replica.age(self._clock.now()) > 2 * WATCH_TIMEOUT_S
        wait_s = 0.0 if stale else WATCH_TIMEOUT_S
        asked = self._replica.version
        changes = await self._source.changes(asked.revision, wait_s)
        if changes.era != asked.era:
            # The revision asked for means another state there.
            self._check_era(changes.era)
            raise HistoryLostError(
                f"the registry's era changed from {asked.era} to {changes.era}"
            )
        self._snapshots_in_a_row = 0
        self._replica.apply_changes(changes, self._clock.now())
        return bool(changes.items)

    def _check_era(self, era: int) -> None:
        """Refuse an answer that belongs to an earlier era than what is held."""
        held = self._replica.version.era
        if era < held:
            raise SourceUnavailableError(
                f"the registry answered from era {era}, before the known era {held}"
            )

    async def _request_snapshot(self, reason: str) -> None:
        """Read a snapshot next, with a growing delay while no change is read."""
        _LOG.warning(
            "registry history lost; reading a full snapshot.",
            reason=reason,
            era=self._replica.version.era,
            revision=self._replica.revision,
        )
        self._needs_snapshot = True
        if self._snapshots_in_a_row:
            await anyio.sleep(self._backoff_s(self._snapshots_in_a_row))
        self._snapshots_in_a_row += 1

    def _backoff_s(self, repetitions: int) -> float:
        shortest_s, longest_s = BACKOFF_RANGE_S
        backoff_s = min(longest_s, shortest_s * 2.0 ** min(repetitions, 8))
        return backoff_s * self._rng.uniform(0.6, 1.0)

    def _record_failure(self, reason: str) -> None:
        self._consecutive_failures += 1
        if self._reachable is not False:
            self._reachable = False
            _LOG.warning(
                "registry unreachable; retrying with backoff.",
                error=reason,
                revision=self._replica.revision,
            )

    def _record_success(self) -> None:
        self._consecutive_failures = 0
        if not self._reachable:
            self._reachable = True
            _LOG.info("registry reachable.", revision=self._replica.revision)
