"""The client library: requests and flows to services behind the fabric."""

from __future__ import annotations

import itertools
import random
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from types import TracebackType
from typing import Any, Self

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from egrethook.addresses import Address
from egrethook.callers import packets
from egrethook.callers.attempts import GrantedToken, RequestAttempt
from egrethook.callers.flows import Flow
from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.resend import resend_delays
from egrethook.clock import Clock, MonotonicClock
from egrethook.exceptions import BadMessageError, FlowError, RequestError
from egrethook.network import Network, SystemNetwork
from egrethook.retries import RetryBudget
from egrethook.tracing import Tracer
from egrethook.verdicts import Outcome, Refusal, Verdict

MAX_TOKEN_REUSE_AGE_S = 20.0
"""Maximum age of a token that is reused for further requests, in seconds."""

INBOX_CAPACITY = 1024
"""Maximum number of packets buffered for one request or flow."""

RETRY_SHARE = 0.2
"""Maximum number of retries per recent request, above the floor."""

RETRY_FLOOR = 10
"""Number of recent retries that are allowed even when there is little traffic."""


@dataclass(frozen=True)
class Answer:
    """The complete answer to a request.

    Parameters
    ----------
    payload : bytes
        The payload that the upstream returned.
    attempts : int
        The number of attempts made.
    number : int
        The number that the caller gave the request.
    """

    payload: bytes
    attempts: int
    number: int


class Caller:
    """Sends requests and opens flows; an asynchronous context manager.

    Parameters
    ----------
    fabric : Address
        The address of the network fabric, which delivers each packet to one of the
        balancers.
    bind : Address, optional
        The local address; any free port of 127.0.0.1 if None. Answers are sent to it,
        so the balancers and the upstreams must be able to reach it.
    tracer : Tracer, optional
        Starts a trace for a share of the requests.
    network : Network, optional
        Opens the socket; the operating system's network if None.
    clock : Clock, optional
        The source of time; the system's monotonic clock if None.
    """

    def __init__(
        self,
        fabric: Address,
        bind: Address | None = None,
        tracer: Tracer | None = None,
        network: Network | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._fabric = fabric
        self._bind = bind or Address("127.0.0.1", 0)
        self._tracer = tracer
        self._network = network or SystemNetwork()
        self._clock = clock or MonotonicClock()
        self._caller_id = secrets.randbits(63)
        self._numbers = itertools.count(1)
        self._inboxes: dict[int, MemoryObjectSendStream[Any]] = {}
        self._cached_tokens: dict[str, list[GrantedToken]] = {}
        self._budget = RetryBudget(RETRY_SHARE, RETRY_FLOOR, self._clock.now())
        self._tasks: TaskGroup | None = None

    @property
    def address(self) -> Address:
        """The local address, which answers are sent to."""
        return self._datagrams.address

    @property
    def caller_id(self) -> int:
        """The random id of this caller in its packets."""
        return self._caller_id

    @property
    def clock(self) -> Clock:
        """The source of time."""
        return self._clock

    async def __aenter__(self) -> Self:
        self._datagrams = self._network.bind(self._bind)
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._receive)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        try:
            return await self._tasks.__aexit__(exc_type, exc, traceback)
        finally:
            self._datagrams.close()

    async def _receive(self) -> None:
        while True:
            for data, _ in await self._datagrams.receive():
                try:
                    packet = CALLER_CODEC.decode(data)
                except BadMessageError:
                    continue
                inbox = self._inboxes.get(getattr(packet, "number", 0))
                if inbox is not None:
                    self._deliver(inbox, packet)

    @staticmethod
    def _deliver(inbox: MemoryObjectSendStream[Any], packet: Any) -> None:
        try:
            inbox.send_nowait(packet)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            # A packet that does not fit counts as lost on the network; it is resent.
            return

    def send(self, packet: Any) -> None:
        """Send a packet through the fabric."""
        self._datagrams.send(self._fabric, CALLER_CODEC.encode(packet))

    @asynccontextmanager
    async def _inbox(
        self, number: int
    ) -> AsyncIterator[MemoryObjectReceiveStream[Any]]:
        """Receive the packets with a given number for the duration of the block."""
        sending, receiving = anyio.create_memory_object_stream[Any](INBOX_CAPACITY)
        self._inboxes[number] = sending
        try:
            yield receiving
        finally:
            del self._inboxes[number]
            sending.close()
            receiving.close()

    # Requests ------------------------------------------------------------

    async def request(
        self,
        service: str,
        payload: bytes = b"",
        *,
        idempotent: bool = True,
        deadline_s: float = 2.0,
    ) -> Answer:
        """Send a request and return its complete answer.

        Parameters
        ----------
        service : str
            The service that the request is for.
        payload : bytes
            At most `packets.PAYLOAD_LIMIT` bytes.
        idempotent : bool
            Whether the request may run more than once.
        deadline_s : float
            The maximum time to wait for the answer, in seconds.

        Raises
        ------
        RequestError
            If there is no answer; its verdict says whether the request may have run.
        ValueError
            If the payload is too long.
        """
        if len(payload) > packets.PAYLOAD_LIMIT:
            raise ValueError(
                f"payload is {len(payload)} bytes; limit is {packets.PAYLOAD_LIMIT}"
            )
        number = next(self._numbers)
        deadline = self._clock.now() + deadline_s
        self._budget.record_request(self._clock.now())
        trace = self._tracer.start("caller", service=service) if self._tracer else None
        may_have_run = False
        async with self._inbox(number) as inbox:
            for attempt in itertools.count(1):
                request_attempt = RequestAttempt(
                    self, inbox, service, payload, number, attempt, trace
                )
                if idempotent:
                    outcome = await request_attempt.run(None, deadline)
                else:
                    outcome = await self._run_with_token(request_attempt, deadline)
                if outcome.verdict is Verdict.ANSWERED:
                    return Answer(request_attempt.answer, attempt, number)
                may_have_run |= outcome.verdict is Verdict.MAY_HAVE_RUN
                may_repeat = idempotent or outcome.verdict is Verdict.NOT_RUN
                if not may_repeat or not await self._wait_to_retry(outcome, deadline):
                    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
                    raise RequestError(Outcome(verdict, outcome.code), number)
        raise AssertionError("unreachable")

    async def _wait_to_retry(self, outcome: Outcome, deadline: float) -> bool:
        """Wait about as long as the refusal asks, and return True.

        Return False at once if the deadline or the retry budget rules out a retry.
        """
        wait_s = outcome.retry_after_ms / 1000 * random.uniform(0.5, 1.5)
        now = self._clock.now()
        if now + wait_s >= deadline or not self._budget.try_retry(now):
            return False
        await anyio.sleep(wait_s)
        return True

    async def _run_with_token(
        self, request_attempt: RequestAttempt, deadline: float
    ) -> Outcome:
        """Run a request with a cached token, or with a new one if none is cached."""
        try:
            granted = await self._get_token(
                request_attempt.service, deadline, request_attempt.trace
            )
        except RequestError as error:
            return error.outcome
        outcome = await request_attempt.run(granted, deadline)
        if outcome.verdict is Verdict.ANSWERED:
            self._cached_tokens.setdefault(request_attempt.service, []).append(granted)
        return outcome

    async def _get_token(
        self, service: str, deadline: float, trace: str | None
    ) -> GrantedToken:
        """Return a cached token, or request a new one if none is usable."""
        cached = self._cached_tokens.get(service, [])
        while cached:
            granted = cached.pop()
            if granted.usable_until > self._clock.now():
                return granted
        number = next(self._numbers)
        async with self._inbox(number) as inbox:
            packet = self._build_packet(packets.Grant, service, number, trace)
            reply = await self._send_until_reply(
                inbox, packet, packets.Granted, deadline
            )
        if isinstance(reply, packets.Granted):
            reuse_s = min(MAX_TOKEN_REUSE_AGE_S, reply.life_ms / 1000 / 2)
            return GrantedToken(reply.token, self._clock.now() + reuse_s)
        code = reply.code if reply else Refusal.NO_ANSWER
        retry_after_ms = reply.retry_after_ms if reply else 0
        # Only the token was requested; no copy of the request has been sent.
        outcome = Outcome(Verdict.NOT_RUN, code, retry_after_ms)
        raise RequestError(outcome, number)

    def _build_packet(
        self,
        kind: type[packets.Open] | type[packets.Grant],
        service: str,
        number: int,
        trace: str | None,
    ) -> packets.Open | packets.Grant:
        return kind(
            service_name=service,
            caller_id=self._caller_id,
            number=number,
            caller_host=self.address.host,
            caller_port=self.address.port,
            trace=trace,
        )

    async def _send_until_reply(
        self,
        inbox: MemoryObjectReceiveStream[Any],
        packet: packets.Open | packets.Grant,
        reply_type: type,
        deadline: float,
    ) -> Any:
        """Send copies of a packet until a reply, a refusal or the deadline."""
        for copy, resend_delay_s in enumerate(resend_delays()):
            remaining_s = deadline - self._clock.now()
            if remaining_s <= 0:
                return None
            self.send(replace(packet, copy=copy))
            with anyio.move_on_after(min(resend_delay_s, remaining_s)):
                while True:
                    reply = await inbox.receive()
                    if isinstance(reply, (reply_type, packets.Refused)):
                        return reply
        return None

    # Flows ---------------------------------------------------------------

    @asynccontextmanager
    async def open_flow(
        self, service: str, deadline_s: float = 2.0
    ) -> AsyncIterator[Flow]:
        """Open a flow for the duration of the block.

        Raises
        ------
        FlowError
            If no upstream accepts the flow before the deadline.
        """
        deadline = self._clock.now() + deadline_s
        trace = self._tracer.start("caller", service=service) if self._tracer else None
        while True:
            number = next(self._numbers)
            packet = self._build_packet(packets.Open, service, number, trace)
            async with self._inbox(number) as inbox:
                reply = await self._send_until_reply(
                    inbox, packet, packets.Opened, deadline
                )
                if isinstance(reply, packets.Opened):
                    flow = Flow(self, inbox, number, reply.token)
                    try:
                        yield flow
                    finally:
                        flow.close()
                    return
            code = reply.code if reply else Refusal.NO_ANSWER
            outcome = Outcome(
                Verdict.NOT_RUN, code, reply.retry_after_ms if reply else 0
            )
            if not await self._wait_to_retry(outcome, deadline):
                raise FlowError(f"{service}: {code.value}")
