"""Reads and watches the platform's configuration over HTTP."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import anyio
import httpx

from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import DocumentError
from egrethook.logs import PartLog
from egrethook.network import Network
from egrethook.published.configuration import ConfigurationStore, DocumentKey

WATCH_WAIT_S = 8.0
"""Maximum wait of a watch (a long-polling request) at the platform, in seconds.

If the connection of a watch goes silent, changes stay unseen for this time; a
change must take effect within 13 s.
"""

INCOMPLETE_WATCH_WAIT_S = 1.0
"""Maximum wait of a watch while a listed value is missing, in seconds."""

MIN_WATCH_INTERVAL_S = 0.05
"""Minimum interval between two watches, in seconds."""

CALL_TIMEOUT_S = 2.0
"""Timeout of a call other than a watch, in seconds."""

BACKOFF_RANGE_S = (0.2, 5.0)
"""Minimum and maximum backoff after a failed call, in seconds."""

PEER_READ_DELAY_S = 0.5
"""Time for the watch to catch up before a peer is asked, in seconds."""

INDEX_PATH = "/v1/index"

READ_ERRORS = (httpx.HTTPError, DocumentError, OSError)

_LOG = PartLog("platform")


def document_path(key: DocumentKey) -> str:
    """Return the path of a value other than the index."""
    return f"/v1/{key.kind}/{key.name}"


class PlatformReader:
    """Keeps a store up to date from the platform or, if that fails, from peers.

    Parameters
    ----------
    url : str
        The platform's base URL.
    store : ConfigurationStore
        Receives the values that are read.
    peers : callable
        Returns the base URLs of balancers that know newer revisions.
    secret : str
        The fleet secret, which other balancers require.
    on_change : callable
        Called after each change of the active configuration.
    network : Network
        Creates the HTTP client.
    """

    def __init__(
        self,
        url: str,
        store: ConfigurationStore,
        peers: Callable[[], Sequence[str]],
        secret: str,
        on_change: Callable[[], None],
        network: Network,
    ) -> None:
        self._url = url
        self._store = store
        self._peers = peers
        self._on_change = on_change
        self._peer_headers = {"Authorization": f"Bearer {secret}"}
        self._client = network.http_client(CALL_TIMEOUT_S)
        self._newer_revision_noted = anyio.Event()
        self._noted_revision = 0
        self._calls = 0
        self._failures = 0
        self._read_errors = ErrorBoundary(_LOG, "configuration read")
        self._bytes = 0
        self._reachable = False

    @property
    def calls(self) -> int:
        """Number of calls to the platform; each watch counts as one."""
        return self._calls

    @property
    def failures(self) -> int:
        """Number of failed reads and refused values."""
        return self._failures

    @property
    def bytes_read(self) -> int:
        """Bytes of all responses, from the platform and from peers."""
        return self._bytes

    @property
    def reachable(self) -> bool:
        """Whether the last read from the platform succeeded."""
        return self._reachable

    async def __aenter__(self) -> PlatformReader:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._client.aclose()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._read_noted_revisions)

    def note_peer_revision(self, revision: int) -> None:
        """Note that another balancer knows a newer revision."""
        if revision > self._store.revision and revision > self._noted_revision:
            self._noted_revision = revision
            self._newer_revision_noted.set()

    async def refresh(self) -> bool:
        """Read the newest values from the platform or, if that fails, from a peer.

        At most two peers are asked.

        Returns
        -------
        bool
            Whether a read succeeded.
        """
        if await self._read_from(self._url, 0.0):
            return True
        for peer in list(self._peers())[:2]:
            if await self._read_from(peer, 0.0):
                return True
        return False

    async def _watch(self) -> None:
        """Watch the platform; without any configuration, ask peers after a failure."""
        shortest_s, longest_s = BACKOFF_RANGE_S
        wait_s = shortest_s
        while True:
            if await self._read_from(self._url, self._next_watch_wait_s()):
                wait_s = shortest_s
                await anyio.sleep(MIN_WATCH_INTERVAL_S)
                continue
            await anyio.sleep(wait_s * random.uniform(0.5, 1.0))
            wait_s = min(longest_s, wait_s * 2)
            if self._store.configuration is None:
                await self._read_from_peers()

    def _next_watch_wait_s(self) -> float:
        """Return how long the next watch waits, in seconds; 0 without an index."""
        if not self._store.revision:
            return 0.0
        longest_s = (
            INCOMPLETE_WATCH_WAIT_S if self._store.keys_to_fetch() else WATCH_WAIT_S
        )
        return longest_s * random.uniform(0.7, 1.0)

    async def _read_noted_revisions(self) -> None:
        """Ask a peer if the platform does not send a revision that peers know."""
        while True:
            await self._newer_revision_noted.wait()
            self._newer_revision_noted = anyio.Event()
            await anyio.sleep(PEER_READ_DELAY_S * random.uniform(0.5, 1.0))
            if self._noted_revision > self._store.revision:
                await self._read_from_peers()
            # Reset, so that a later heartbeat retries if this attempt failed.
            self._noted_revision = self._store.revision

    async def _read_from_peers(self) -> None:
        """Ask up to two peers, until a read succeeds."""
        for peer in list(self._peers())[:2]:
            if await self._read_from(peer, 0.0):
                return

    async def _read_from(self, base: str, wait_s: float) -> bool:
        """Read the index and the values of which it lists newer revisions."""
        from_platform = base == self._url
        before = self._store.configuration
        try:
            await self._read_index(base, wait_s)
            for key in self._store.keys_to_fetch():
                await self._read_document(base, key)
        except READ_ERRORS as error:
            self._failures += 1
            self._reachable = self._reachable and not from_platform
            reason = str(error) or type(error).__name__
            _LOG.warning("reading the configuration failed.", base=base, error=reason)
            return False
        except Exception as error:
            self._failures += 1
            self._read_errors.note(error, base=base)
            return False
        finally:
            if self._store.configuration is not before:
                self._on_change()
        self._reachable = self._reachable or from_platform
        return True

    async def _read_index(self, base: str, wait_s: float) -> None:
        revision = self._store.revision
        response = await self._get(
            base,
            INDEX_PATH,
            {"after": str(revision), "wait_s": f"{wait_s:.1f}"},
            CALL_TIMEOUT_S + wait_s,
        )
        if response.status_code == httpx.codes.NOT_MODIFIED:
            return
        response.raise_for_status()
        if not self._store.offer_index(response.content) and wait_s:
            # A stale replica answers a watch at once with an old index; back off.
            await anyio.sleep(random.uniform(*BACKOFF_RANGE_S))

    async def _read_document(self, base: str, key: DocumentKey) -> None:
        response = await self._get(base, document_path(key), {}, CALL_TIMEOUT_S)
        if response.status_code == httpx.codes.NOT_FOUND:
            _LOG.warning(
                "a value that the index lists was not found.",
                kind=key.kind,
                name=key.name,
            )
            return
        response.raise_for_status()
        try:
            self._store.offer_document(key, response.content)
        except DocumentError as error:
            self._failures += 1
            _LOG.alarm(
                "a value was refused.", kind=key.kind, name=key.name, error=str(error)
            )

    async def _get(
        self, base: str, path: str, params: dict[str, str], timeout_s: float
    ) -> httpx.Response:
        headers = self._peer_headers
        if base == self._url:
            self._calls += 1
            headers = {}
        response = await self._client.get(
            base + path, params=params, timeout=timeout_s, headers=headers
        )
        self._bytes += len(response.content)
        return response
