"""One attempt at a request, on the caller's side."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from egrethook.callers import packets
from egrethook.callers.answers import FETCH_BATCH_CHUNKS, AnswerAssembly
from egrethook.callers.port import CallerPort
from egrethook.callers.resend import resend_delays
from egrethook.verdicts import Outcome, Refusal, Verdict

REFUSAL_GRACE_S = 0.3
"""Time to wait for an answer after a `MAY_HAVE_RUN` refusal, in seconds."""


@dataclass
class GrantedToken:
    """A token for requests that are not idempotent."""

    token: bytes
    usable_until: float
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return the next sequence number within the token."""
        self.sequence += 1
        return self.sequence


class RequestAttempt:
    """Sends one attempt at a request and collects its answer or refusal.

    The same attempt is sent in several copies until it is answered.

    Parameters
    ----------
    caller : CallerPort
        Sends the packets.
    inbox : MemoryObjectReceiveStream
        The received packets with the request's number.
    service : str
        The service that the request is for.
    payload : bytes
        The payload of the request.
    number, attempt : int
        The numbers of the request and of the attempt.
    trace : str or None
        The trace context, if the request is traced.
    """

    def __init__(
        self,
        caller: CallerPort,
        inbox: MemoryObjectReceiveStream[Any],
        service: str,
        payload: bytes,
        number: int,
        attempt: int,
        trace: str | None,
    ) -> None:
        self._caller = caller
        self._inbox = inbox
        self.service = service
        self.trace = trace
        self._payload = payload
        self._number = number
        self._attempt = attempt
        self._assembly = AnswerAssembly()
        self._accepted: packets.Accepted | None = None
        self._refusal: Outcome | None = None
        self._refusal_at = math.inf
        self.answer = b""

    async def run(self, granted: GrantedToken | None, deadline: float) -> Outcome:
        """Send copies until a complete answer, a final refusal or the deadline.

        Parameters
        ----------
        granted : GrantedToken or None
            The token to use; None for an idempotent request.
        """
        clock = self._caller.clock
        sequence = granted.next_sequence() if granted else 0
        token = granted.token if granted else b""
        for copy, resend_delay_s in enumerate(resend_delays()):
            remaining_s = deadline - clock.now()
            if remaining_s <= 0.001:
                break
            self._send_copy(copy, token, sequence, granted is None, remaining_s)
            outcome = await self._receive_until(
                min(clock.now() + resend_delay_s, deadline)
            )
            if outcome is not None:
                return outcome
        self._send_cancel(token)
        return self._refusal or Outcome(Verdict.MAY_HAVE_RUN, Refusal.NO_ANSWER)

    def _send_copy(
        self,
        copy: int,
        token: bytes,
        sequence: int,
        idempotent: bool,
        remaining_s: float,
    ) -> None:
        """Send the request, or fetch the rest if part of an answer has arrived."""
        if self._accepted is not None and self._fetch_missing():
            return
        if idempotent and self._accepted is not None:
            token = self._accepted.token
        caller = self._caller
        self._caller.send(
            packets.Run(
                service_name=self.service,
                caller_id=caller.caller_id,
                number=self._number,
                attempt=self._attempt,
                idempotent=idempotent,
                deadline_ms=max(1, int(remaining_s * 1000)),
                caller_host=caller.address.host,
                caller_port=caller.address.port,
                payload=self._payload,
                sequence=sequence,
                token=token,
                copy=copy,
                trace=self.trace,
            )
        )

    def _fetch_missing(self) -> bool:
        """Request missing chunks; return False if no chunk has arrived yet."""
        accepted = self._accepted
        assert accepted is not None
        partial = self._assembly.get(accepted.attempt, accepted.answer_id)
        if partial is None:
            return False
        self._caller.send(
            packets.Fetch(
                token=accepted.token,
                caller_id=self._caller.caller_id,
                number=self._number,
                attempt=accepted.attempt,
                answer_id=accepted.answer_id,
                missing=partial.missing(),
            )
        )
        return True

    async def _receive_until(self, until: float) -> Outcome | None:
        clock = self._caller.clock
        while True:
            end = min(until, self._refusal_at + REFUSAL_GRACE_S)
            wait_s = end - clock.now()
            if wait_s <= 0:
                return self._refusal if end < until else None
            with anyio.move_on_after(wait_s):
                outcome = self._handle_packet(await self._inbox.receive(), clock.now())
                if outcome is not None:
                    return outcome

    def _handle_packet(self, packet: Any, now: float) -> Outcome | None:
        if isinstance(packet, packets.Accepted):
            if packet.attempt == self._attempt:
                # An executor has the request; a refusal of another copy is not final.
                self._accepted = packet
                self._refusal_at = math.inf
        elif isinstance(packet, packets.Chunk):
            return self._handle_chunk(packet)
        elif isinstance(packet, packets.Refused) and packet.attempt == self._attempt:
            return self._handle_refusal(packet, now)
        return None

    def _handle_chunk(self, chunk: packets.Chunk) -> Outcome | None:
        complete = self._assembly.add(chunk)
        if complete is not None:
            self.answer = complete.join()
            self._send_done()
            return Outcome(Verdict.ANSWERED)
        accepted = self._accepted
        if accepted is None or accepted.answer_id != chunk.answer_id:
            return None
        partial = self._assembly.get(chunk.attempt, chunk.answer_id)
        if partial is not None and len(partial.chunks) % FETCH_BATCH_CHUNKS == 0:
            self._fetch_missing()
        return None

    def _handle_refusal(self, refused: packets.Refused, now: float) -> Outcome | None:
        outcome = Outcome(refused.verdict, refused.code, refused.retry_after_ms)
        if refused.verdict is Verdict.NOT_RUN:
            return outcome
        if self._refusal is None:
            # The refusal covers one copy only; another copy may still be answered.
            self._refusal = outcome
            self._refusal_at = now
        return None

    def _send_done(self) -> None:
        accepted = self._accepted
        if accepted is not None:
            self._caller.send(
                packets.Done(
                    accepted.token,
                    self._caller.caller_id,
                    self._number,
                    accepted.attempt,
                )
            )

    def _send_cancel(self, token: bytes) -> None:
        """Tell the executor that the caller no longer waits."""
        known_token = self._accepted.token if self._accepted else token
        if known_token:
            self._caller.send(
                packets.Cancel(
                    known_token, self._caller.caller_id, self._number, self._attempt
                )
            )
