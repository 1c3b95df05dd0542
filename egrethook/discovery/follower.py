"""Follows the registry while this process is one of its readers."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from egrethook.clock import Clock
from egrethook.discovery.records import RecordSource
from egrethook.discovery.replica import Replica
from egrethook.exceptions import HistoryLostError, SourceUnavailableError
from egrethook.logs import PartLog

WATCH_TIMEOUT_S = 1.0
"""Time that a watch waits for a change, in seconds.

A connection that has gone silent hides changes for little longer.
"""

BATCH_DELAY_S = 0.25
"""Pause after changes, in which further ones gather for the next call, in seconds."""

IDLE_POLL_S = 0.1
"""Time between two looks whether this process has to read, in seconds."""

BACKOFF_RANGE_S = (0.15, 0.6)
"""Shortest and longest pause after a failed call, in seconds."""

_LOG = PartLog("registry")


class RegistryFollower:
    """Reads the registry and keeps the replica up to date.

    Parameters
    ----------
    source : RecordSource
        Reads the registry.
    replica : Replica
        Takes what is read.
    must_read : callable
        Returns whether this process is to read at present.
    clock : Clock
        Tells the time.
    rng : random.Random
        Spreads retries.
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

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            while True:
                if not self._must_read():
                    await anyio.sleep(IDLE_POLL_S)
                    continue
                try:
                    changed = await self._read()
                except HistoryLostError:
                    _LOG.warning(
                        "the registry has dropped the history; all is read again.",
                        revision=self._replica.revision,
                    )
                    self._needs_snapshot = True
                except SourceUnavailableError as error:
                    self._record_failure(error)
                    await anyio.sleep(self._backoff_s())
                else:
                    self._record_success()
                    if changed:
                        await anyio.sleep(BATCH_DELAY_S)
        finally:
            with anyio.CancelScope(shield=True):
                await self._source.aclose()

    async def _read(self) -> bool:
        """Make one reading; return whether it brought changes."""
        if self._needs_snapshot or not self._replica.revision:
            snapshot = await self._source.snapshot()
            self._replica.apply_snapshot(snapshot, self._clock.now())
            self._needs_snapshot = False
            return False
        # A copy of unknown age is confirmed at once.
        stale = self._replica.age(self._clock.now()) > 2 * WATCH_TIMEOUT_S
        wait_s = 0.0 if stale else WATCH_TIMEOUT_S
        changes = await self._source.changes(self._replica.revision, wait_s)
        self._replica.apply_changes(changes, self._clock.now())
        return bool(changes.items)

    def _backoff_s(self) -> float:
        shortest_s, longest_s = BACKOFF_RANGE_S
        backoff_s = min(
            longest_s, shortest_s * 2.0 ** min(self._consecutive_failures, 8)
        )
        return backoff_s * self._rng.uniform(0.6, 1.0)

    def _record_failure(self, error: SourceUnavailableError) -> None:
        self._consecutive_failures += 1
        if self._reachable is not False:
            self._reachable = False
            _LOG.warning(
                "the registry is lost.",
                error=error.args[0],
                revision=self._replica.revision,
            )

    def _record_success(self) -> None:
        self._consecutive_failures = 0
        if not self._reachable:
            self._reachable = True
            _LOG.info("the registry answers.", revision=self._replica.revision)
