"""Forwards packets before the event loop and its libraries are loaded.

On a small VM the libraries take most of a second to load. A process therefore starts
with a plain poll loop that reads the registry once and forwards packets. Then it
imports the libraries, and forwards packets between the imports of single modules.
"""

from __future__ import annotations

import _signal as signal
import _socket as socket
import errno
import select
from collections.abc import Callable
from typing import Protocol

from egrethook.addresses import Address
from egrethook.discovery.http_exchange import (
    HttpResponse,
    ResponseReader,
    request_bytes,
)
from egrethook.discovery.records import Snapshot
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import HistoryLostError, SourceUnavailableError
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.interleaving import ImportInterleaver
from egrethook.logs import PartLog
from egrethook.operators.early_probes import EarlyProbes

POLL_TIMEOUT_MS = 10
"""Longest wait for packets before due work is checked, in milliseconds."""

RESPONSE_PROGRESS_TIMEOUT_S = 0.5
"""Timeout of a registry read that makes no progress, in seconds."""

FIRST_READ_WAIT_S = 0.7
"""Longest wait for the first registry read before the imports, in seconds.

Once the event loop runs, the other balancers can be asked as well.
"""

READ_RETRY_DELAY_S = 0.15
"""Delay before a failed registry read is retried, in seconds."""

IMPORT_POLL_TIMEOUT_MS = 1
"""Wait for packets between two imports, in milliseconds; it yields the processor."""

RECEIVE_CHUNK_BYTES = 65_536
"""Longest part of a response that is read at once, in bytes."""

_LOG = PartLog("start")


class PagedReading(Protocol):
    """Collects the pages of one registry read."""

    @property
    def path(self) -> str:
        """The path of the requests."""
        ...

    @property
    def complete(self) -> bool:
        """Whether the last page has been received."""
        ...

    def query(self) -> dict[str, object]:
        """Return the query parameters for the next page."""
        ...

    def take(self, response: HttpResponse) -> None:
        """Add the response with the next page."""
        ...

    def snapshot(self) -> Snapshot:
        """Return the items of all pages."""
        ...


class StartupLoop:
    """Forwards packets from a poll loop until the event loop can take over.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards the packets and holds the replica.
    new_reading : callable
        Creates the state of a registry read.
    import_libraries : callable
        Imports the modules that the event loop needs.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        new_reading: Callable[[], PagedReading],
        import_libraries: Callable[[], None],
    ) -> None:
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._new_reading = new_reading
        self._import_libraries = import_libraries
        self._registry = Address.parse(forwarder.settings.registry)
        self._registry_read: _RegistryRead | None = None
        self._retry_at = 0.0
        self._read_errors = ErrorBoundary(_LOG, "first registry read")
        self._probes = EarlyProbes(
            Address.parse(forwarder.settings.probes), self._is_ready
        )

    def run(self) -> None:
        """Serve until the libraries are loaded."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)
        _LOG.info("the process starts.")
        started_at = self._clock.now()
        with self._probes:
            self._serve(started_at)
        _LOG.info("libraries loaded.")

    def _on_signal(self, signal_number: int, frame: object) -> None:
        """Request a leave, which starts when the event loop runs.

        Packets are forwarded until then.
        """
        self._forwarder.request_leave()

    def _serve(self, started_at: float) -> None:
        try:
            while self._should_wait_for_view(started_at):
                self._poll_once(POLL_TIMEOUT_MS)
            _LOG.info("importing libraries while forwarding packets.")
            with ImportInterleaver(lambda: self._poll_once(IMPORT_POLL_TIMEOUT_MS)):
                self._import_libraries()
            # The event loop would start an unfinished read from the beginning.
            while self._response_in_progress():
                self._poll_once(POLL_TIMEOUT_MS)
        finally:
            if self._registry_read is not None:
                self._registry_read.close()

    def _is_ready(self) -> bool:
        return self._forwarder.ready

    def _should_wait_for_view(self, started_at: float) -> bool:
        """Return whether to keep waiting for the first registry read."""
        waited_s = self._clock.now() - started_at
        return not self._forwarder.replica.revision and waited_s < FIRST_READ_WAIT_S

    def _response_in_progress(self) -> bool:
        """Return whether a response from the registry has started to arrive."""
        return self._registry_read is not None and self._registry_read.response_started

    def _poll_once(self, wait_ms: int) -> None:
        """Poll all sockets once and handle those that are ready."""
        now = self._clock.now()
        if not self._forwarder.replica.revision and now >= self._retry_at:
            self._begin_or_expire_read(now)
        poll = select.poll()
        poll.register(self._forwarder.socket.fileno(), select.POLLIN)
        if self._registry_read is not None:
            poll.register(self._registry_read.fileno(), self._registry_read.poll_events)
        self._probes.register(poll)
        ready = dict(poll.poll(wait_ms))
        self._probes.handle(ready)
        if self._registry_read is not None and self._registry_read.fileno() in ready:
            self._continue_read()
        self._forwarder.handle_ready_packets()

    def _begin_or_expire_read(self, now: float) -> None:
        """Start a registry read, or abandon one that has timed out."""
        if self._registry_read is not None and now < self._registry_read.deadline:
            return
        if self._registry_read is not None:
            self._abandon_read(f"no progress within {RESPONSE_PROGRESS_TIMEOUT_S} s")
            return
        try:
            self._registry_read = _RegistryRead(
                self._registry, self._new_reading(), now
            )
        except OSError as error:
            # No file descriptor or no route; the event loop's reader tries again too.
            self._abandon_read(str(error))

    def _continue_read(self) -> None:
        assert self._registry_read is not None
        try:
            snapshot = self._registry_read.advance(self._clock.now())
        except (OSError, SourceUnavailableError, HistoryLostError) as error:
            self._abandon_read(str(error))
            return
        except Exception as error:
            self._read_errors.note(error)
            self._abandon_read(type(error).__name__)
            return
        if snapshot is None:
            return
        self._registry_read.close()
        self._registry_read = None
        self._forwarder.replica.apply_snapshot(snapshot, self._clock.now())

    def _abandon_read(self, reason: str) -> None:
        if self._registry_read is not None:
            self._registry_read.close()
            self._registry_read = None
        self._retry_at = self._clock.now() + READ_RETRY_DELAY_S
        _LOG.warning("first registry read failed.", reason=reason)


class _RegistryRead:
    """One registry read over a non-blocking connection."""

    def __init__(self, address: Address, reading: PagedReading, now: float) -> None:
        self._address = address
        self._reading = reading
        self._deadline = now + RESPONSE_PROGRESS_TIMEOUT_S
        self._reader = ResponseReader()
        self._sent = False
        self._response_started = False
        self._socket = _connecting_socket(address)

    @property
    def deadline(self) -> float:
        """Time by which the next part of the response is due, in seconds."""
        return self._deadline

    @property
    def response_started(self) -> bool:
        """Whether part of the response has arrived."""
        return self._response_started

    @property
    def poll_events(self) -> int:
        """The poll events to wait for."""
        return select.POLLIN if self._sent else select.POLLOUT

    def fileno(self) -> int:
        """Return the file descriptor, for `select.poll`."""
        return self._socket.fileno()

    def advance(self, now: float) -> Snapshot | None:
        """Send or receive without blocking; return the snapshot once it is complete."""
        if not self._sent:
            self._send()
            return None
        # Each part extends the deadline: a long response may exceed the timeout.
        self._response_started = True
        self._deadline = now + RESPONSE_PROGRESS_TIMEOUT_S
        response = self._reader.feed(self._socket.recv(RECEIVE_CHUNK_BYTES))
        if response is None:
            return None
        self._reading.take(response)
        if self._reading.complete:
            return self._reading.snapshot()
        keeps_connection = self._reader.keeps_connection
        self._reader = ResponseReader()
        if keeps_connection:
            self._send()
        else:
            # The request for the next page is sent once the connection is open.
            self.close()
            self._sent = False
            self._socket = _connecting_socket(self._address)
        return None

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _send(self) -> None:
        failure = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failure:
            raise OSError(failure, errno.errorcode.get(failure, "error"))
        query = self._reading.query()
        request = request_bytes(self._address.host, self._reading.path, **query)
        self._socket.send(request)
        self._sent = True


def _connecting_socket(address: Address) -> socket.socket:
    """Return a non-blocking socket that is being connected."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.connect_ex(address)
    return sock
