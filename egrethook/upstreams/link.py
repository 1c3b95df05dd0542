"""The connection from an owner to one upstream, managed by one task."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from egrethook.callers.packets import Run
from egrethook.clock import Clock
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import BadMessageError, LinkError
from egrethook.logs import PartLog
from egrethook.network import Network
from egrethook.published.configuration import Endpoint
from egrethook.types import ExecutorId
from egrethook.upstreams import frames
from egrethook.upstreams.admission import Report, ShedReason
from egrethook.upstreams.messages import encode_frame, read_frame
from egrethook.upstreams.silence import LinkCheck, SilenceDetector

CONNECT_TIMEOUT_S = 1.0
"""Timeout for connecting and for the handshake, each, in seconds."""

KEEPALIVE_CHECK_INTERVAL_S = 0.25
"""Interval between keepalive checks, in seconds."""

RECONNECT_BACKOFF_S = (0.1, 2.0)
"""Initial and maximum backoff before reconnecting, before jitter, in seconds."""

SEND_BUFFER_FRAMES = 4096
"""Maximum frames queued for sending."""

_LOG = PartLog("link")

LINK_FAILURES = (
    OSError,
    TimeoutError,
    BadMessageError,
    LinkError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Exceptions that end a connection but not the task, which reconnects."""


class LinkEvents(Protocol):
    """Handles the events of a link."""

    def connected(self, name: str, report: Report) -> None:
        """Handle an opened link with the upstream's first load report."""
        ...

    def report(self, name: str, report: Report) -> None:
        """Handle a load report."""
        ...

    def answer(
        self, name: str, run_id: int, index: int, count: int, payload: bytes
    ) -> None:
        """Handle a chunk of an answer."""
        ...

    def shed(self, name: str, run_id: int, reason: ShedReason) -> None:
        """Handle a request that the upstream refused."""
        ...

    def stopped(self, name: str, run_id: int, started: bool) -> None:
        """Handle a cancelled request that the upstream stopped."""
        ...

    def link_lost(self, name: str) -> None:
        """Handle the loss of the link."""
        ...


class UpstreamLink:
    """Keeps one multiplexed connection to an upstream open.

    Parameters
    ----------
    endpoint : Endpoint
        The upstream.
    identity : ExecutorId
        This balancer.
    events : LinkEvents
        Handles the events of the link.
    network : Network
        Opens the connection.
    clock : Clock
        The time.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        identity: ExecutorId,
        events: LinkEvents,
        network: Network,
        clock: Clock,
    ) -> None:
        self._endpoint = endpoint
        self._identity = identity
        self._events = events
        self._network = network
        self._clock = clock
        self._frame_sender, self._frame_receiver = anyio.create_memory_object_stream[
            Any
        ](SEND_BUFFER_FRAMES)
        self._silence = SilenceDetector(clock.now())
        self._losses = 0
        self._frame_errors = ErrorBoundary(_LOG, "frame")
        self._welcomed = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            frames.Answer: self._on_answer,
            frames.Shed: self._on_shed,
            frames.Cancelled: self._on_cancelled,
            frames.Load: self._on_load,
            frames.Pong: self._on_pong,
        }

    @property
    def losses(self) -> int:
        """How often the connection has been lost."""
        return self._losses

    @property
    def endpoint(self) -> Endpoint:
        """The upstream."""
        return self._endpoint

    def execute(self, run_id: int, run: Run, deadline_ms: int) -> None:
        """Send a request."""
        self._send(
            frames.Execute(
                run_id=run_id,
                deadline_ms=deadline_ms,
                caller_id=run.caller_id,
                number=run.number,
                attempt=run.attempt,
                payload=run.payload,
                trace=run.trace,
            )
        )

    def cancel(self, run_id: int) -> None:
        """Ask the upstream to stop a request."""
        self._send(frames.CancelRun(run_id))

    def resume(self) -> None:
        """Restart the keepalive timer after a pause of this process."""
        self._silence.resume(self._clock.now())

    def _send(self, message: Any) -> None:
        try:
            self._frame_sender.send_nowait(message)
        except anyio.WouldBlock:
            # The connection is stuck. The keepalive check closes it, and the
            # request ends at its deadline.
            _LOG.warning(
                "the send buffer is full; a frame is dropped.",
                upstream=self._endpoint.name,
            )

    async def run(self) -> None:
        """Keep the connection open, reconnecting with backoff, until cancelled."""
        shortest_s, longest_s = RECONNECT_BACKOFF_S
        wait_s = shortest_s
        while True:
            self._welcomed = False
            try:
                await self._run_connection()
            except LINK_FAILURES as error:
                self._note_loss(error)
            except BaseExceptionGroup as group:
                _, others = group.split(LINK_FAILURES)
                if others is not None:
                    raise
                self._note_loss(group.exceptions[0])
            self._events.link_lost(self._endpoint.name)
            self._discard_queued_frames()
            await anyio.sleep(wait_s * random.uniform(0.5, 1.0))
            wait_s = (
                min(longest_s, wait_s * 2)
                if not self._welcomed
                else RECONNECT_BACKOFF_S[0]
            )

    _welcomed = False

    def _note_loss(self, error: BaseException) -> None:
        self._losses += 1
        _LOG.warning(
            "the connection is lost.",
            upstream=self._endpoint.name,
            error=str(error) or type(error).__name__,
        )

    def _discard_queued_frames(self) -> None:
        """Drop frames queued for the closed connection."""
        while True:
            try:
                self._frame_receiver.receive_nowait()
            except anyio.WouldBlock:
                return

    async def _run_connection(self) -> None:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await self._network.connect(self._endpoint.address)
        async with stream:
            reader = BufferedByteReceiveStream(stream)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await self._handshake(stream, reader)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, stream)
                tasks.start_soon(self._check_keepalive)
                await self._read(reader)

    async def _handshake(
        self, stream: ByteStream, reader: BufferedByteReceiveStream
    ) -> None:
        endpoint = self._endpoint
        hello = frames.Hello(
            self._identity.balancer, self._identity.incarnation, endpoint.service
        )
        await stream.send(encode_frame(hello))
        welcome = await read_frame(reader)
        if not isinstance(welcome, frames.Welcome):
            raise LinkError(f"expected Welcome, got {type(welcome).__name__}")
        expected = (endpoint.service, endpoint.name, endpoint.incarnation)
        found = (welcome.service_name, welcome.upstream, welcome.incarnation)
        if found != expected:
            raise LinkError(f"expected upstream {expected}, connected to {found}")
        self._welcomed = True
        self._silence.note_received(self._clock.now())
        self._events.connected(endpoint.name, welcome.report())

    async def _read(self, reader: BufferedByteReceiveStream) -> None:
        while True:
            message = await read_frame(reader)
            self._silence.note_received(self._clock.now())
            handler = self._handlers.get(type(message))
            if handler is None:
                raise LinkError(f"unexpected message type {type(message).__name__}")
            with self._frame_errors:
                handler(message)

    async def _write(self, stream: ByteStream) -> None:
        while True:
            await stream.send(encode_frame(await self._frame_receiver.receive()))

    async def _check_keepalive(self) -> None:
        sequence = 0
        while True:
            await anyio.sleep(KEEPALIVE_CHECK_INTERVAL_S)
            check = self._silence.check(self._clock.now())
            if check is LinkCheck.GIVE_UP:
                raise LinkError("ping timeout: no data received since the ping")
            if check is LinkCheck.PING:
                sequence += 1
                self._send(frames.Ping(sequence))

    def _on_answer(self, message: frames.Answer) -> None:
        self._events.answer(
            self._endpoint.name,
            message.run_id,
            message.index,
            message.count,
            message.payload,
        )

    def _on_shed(self, message: frames.Shed) -> None:
        self._events.shed(self._endpoint.name, message.run_id, message.reason)

    def _on_cancelled(self, message: frames.Cancelled) -> None:
        self._events.stopped(self._endpoint.name, message.run_id, message.started)

    def _on_load(self, message: frames.Load) -> None:
        self._events.report(self._endpoint.name, message.report())

    def _on_pong(self, message: frames.Pong) -> None:
        """Do nothing: any received frame resets the keepalive timer."""
