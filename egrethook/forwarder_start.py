"""Forwards packets before the event loop and its libraries are loaded.

On a small VM the libraries take most of a second to load. So a process first serves
from a plain poll loop: it reads the registry once and forwards what arrives. Then it
loads the libraries and forwards between one module and the next.
"""

from __future__ import annotations

import errno
import select
import signal
import socket
from collections.abc import Callable
from typing import Protocol

from egrethook.addresses import Address
from egrethook.discovery.http_exchange import (
    HttpResponse,
    ResponseReader,
    request_bytes,
)
from egrethook.discovery.records import Snapshot
from egrethook.exceptions import HistoryLostError, SourceUnavailableError
from egrethook.forwarder import Forwarder
from egrethook.interleaving import ImportInterleaver
from egrethook.logs import PartLog
from egrethook.operators.early_probes import EarlyProbes

POLL_TIMEOUT_MS = 10
"""Longest wait for packets before due work is looked at, in milliseconds."""

RESPONSE_PROGRESS_TIMEOUT_S = 0.5
"""Time in which more of the registry's answer has to arrive, in seconds."""

FIRST_READ_WAIT_S = 0.7
"""Time after which the other balancers are asked as well, in seconds."""

READ_RETRY_DELAY_S = 0.15
"""Pause after a failed reading, in seconds."""

IMPORT_POLL_TIMEOUT_MS = 1
"""Wait for packets between two modules, in milliseconds; it yields the processor."""

RECEIVE_CHUNK_BYTES = 65_536

_LOG = PartLog("start")


class PagedReading(Protocol):
    """Collects the pages of one reading of the registry."""

    @property
    def path(self) -> str:
        """The path of the calls."""
        ...

    @property
    def complete(self) -> bool:
        """Whether the last page has been taken."""
        ...

    def query(self) -> dict[str, object]:
        """Return the query of the next page."""
        ...

    def take(self, response: HttpResponse) -> None:
        """Take one page."""
        ...

    def snapshot(self) -> Snapshot:
        """Return what was read."""
        ...


class StartupLoop:
    """Serves from a poll loop until the event loop can take over.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards the packets and holds the replica.
    new_reading : callable
        Begins a reading of the registry.
    load : callable
        Imports what the event loop needs.
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
        _LOG.info("the libraries are loaded.")

    def _on_signal(self, signal_number: int, frame: object) -> None:
        """Leave as soon as the event loop runs; packets are forwarded until then."""
        self._forwarder.request_leave()

    def _serve(self, started_at: float) -> None:
        try:
            while self._should_wait_for_view(started_at):
                self._poll_once(POLL_TIMEOUT_MS)
            _LOG.info("the libraries are loaded while packets are forwarded.")
            with ImportInterleaver(lambda: self._poll_once(IMPORT_POLL_TIMEOUT_MS)):
                self._import_libraries()
            while self._response_in_progress():
                self._poll_once(POLL_TIMEOUT_MS)
        finally:
            if self._registry_read is not None:
                self._registry_read.close()

    def _is_ready(self) -> bool:
        return self._forwarder.ready

    def _should_wait_for_view(self, started_at: float) -> bool:
        """Return whether the first reading is still worth waiting for."""
        waited_s = self._clock.now() - started_at
        return not self._forwarder.replica.revision and waited_s < FIRST_READ_WAIT_S

    def _response_in_progress(self) -> bool:
        """Return whether the answer to the first reading is on its way."""
        return self._registry_read is not None and self._registry_read.response_started

    def _poll_once(self, wait_ms: int) -> None:
        """Wait for packets or for the registry, and handle them."""
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
        """Begin a reading, or give up one that takes too long."""
        if self._registry_read is not None and now < self._registry_read.deadline:
            return
        if self._registry_read is not None:
            self._abandon_read("no answer in time")
            return
        self._registry_read = _RegistryRead(self._registry, self._new_reading(), now)

    def _continue_read(self) -> None:
        assert self._registry_read is not None
        try:
            snapshot = self._registry_read.advance(self._clock.now())
        except (OSError, SourceUnavailableError, HistoryLostError) as error:
            self._abandon_read(str(error))
            return
        if snapshot is None:
            return
        self._registry_read.close()
        self._registry_read = None
        self._forwarder.replica.take_snapshot(snapshot, self._clock.now())

    def _abandon_read(self, reason: str) -> None:
        assert self._registry_read is not None
        self._registry_read.close()
        self._registry_read = None
        self._retry_at = self._clock.now() + READ_RETRY_DELAY_S
        _LOG.warning("the first reading of the registry failed.", reason=reason)


class _RegistryRead:
    """One reading over one connection that never blocks."""

    def __init__(self, address: Address, reading: PagedReading, now: float) -> None:
        self._address = address
        self._reading = reading
        self._deadline = now + RESPONSE_PROGRESS_TIMEOUT_S
        self._reader = ResponseReader()
        self._sent = False
        self._response_started = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.connect_ex(address)

    @property
    def deadline(self) -> float:
        """When the answer has to be there, in seconds."""
        return self._deadline

    @property
    def response_started(self) -> bool:
        """Whether a part of the answer has arrived."""
        return self._response_started

    @property
    def poll_events(self) -> int:
        """What to wait for."""
        return select.POLLIN if self._sent else select.POLLOUT

    def fileno(self) -> int:
        """Return the descriptor, for a selector."""
        return self._socket.fileno()

    def advance(self, now: float) -> Snapshot | None:
        """Do what is possible; return the snapshot once it is whole."""
        if not self._sent:
            self._send()
            return None
        # A long answer may take its time as long as it makes progress.
        self._response_started = True
        self._deadline = now + RESPONSE_PROGRESS_TIMEOUT_S
        response = self._reader.feed(self._socket.recv(RECEIVE_CHUNK_BYTES))
        if response is None:
            return None
        self._reading.take(response)
        if self._reading.complete:
            return self._reading.snapshot()
        self._reader = ResponseReader()
        self._send()
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
