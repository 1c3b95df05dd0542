"""Sends request states and answers to callers."""

from __future__ import annotations

from collections.abc import Iterable

from egrethook.addresses import Address
from egrethook.callers.packets import Accepted, Chunk, Refused, Run
from egrethook.upstreams.interfaces import PacketSender
from egrethook.upstreams.records import Record, RecordState
from egrethook.verdicts import Refusal, Verdict

FIRST_CHUNKS = 32
"""Leading chunks of an answer sent unasked; the caller fetches the others."""


class Replies:
    """Sends the state and the answers of requests to their callers.

    Parameters
    ----------
    sender : PacketSender
        Sends packets to callers.
    """

    def __init__(self, sender: PacketSender) -> None:
        self._sender = sender

    def send_state(self, record: Record) -> None:
        """Resend the state of a request to a caller that asks again."""
        if record.state is RecordState.REFUSED:
            self.send_refused(record)
            return
        self.send_accepted(record)
        if record.state is RecordState.ANSWERED:
            self.send_chunks(record, range(min(FIRST_CHUNKS, len(record.chunks))))

    def send_accepted(self, record: Record) -> None:
        """Send an acceptance with the token that later packets of the request carry."""
        run = record.run
        packet = Accepted(run.number, run.attempt, record.token, record.answer_id)
        self._sender.send(record.caller, packet)

    def send_new_chunk(self, record: Record, index: int) -> None:
        """Send a new chunk, unless the caller fetches it itself."""
        if index < FIRST_CHUNKS:
            self.send_chunks(record, [index])

    def send_chunks(self, record: Record, indexes: Iterable[int]) -> None:
        """Send chunks of an answer."""
        run = record.run
        for index in indexes:
            if index >= len(record.chunks):
                continue
            chunk = Chunk(
                number=run.number,
                attempt=run.attempt,
                answer_id=record.answer_id,
                index=index,
                count=record.chunk_count,
                payload=record.chunks[index],
            )
            self._sender.send(record.caller, chunk)

    def send_refused(self, record: Record) -> None:
        """Send the outcome of a request that ended without an answer."""
        outcome = record.outcome
        assert outcome is not None and outcome.code is not None
        packet = Refused(
            number=record.run.number,
            attempt=record.run.attempt,
            verdict=outcome.verdict,
            code=outcome.code,
            retry_after_ms=outcome.retry_after_ms,
        )
        self._sender.send(record.caller, packet)

    def refuse_unknown(self, run: Run, caller: Address, code: Refusal) -> None:
        """Refuse a duplicate whose outcome this process does not know."""
        packet = Refused(run.number, run.attempt, Verdict.MAY_HAVE_RUN, code)
        self._sender.send(caller, packet)
