"""Records of the requests that an executor has accepted."""

from __future__ import annotations

import enum
import heapq
import itertools
import secrets
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from egrethook.addresses import Address
from egrethook.callers.packets import ExecutorPacket, Run
from egrethook.verdicts import Outcome

RECORD_RETENTION_S = 5.0
"""Time for which a record is kept after the deadline, in seconds."""

MAX_ANSWER_BYTES = 16 * 2**20
"""Maximum bytes of answers that are kept for resending."""


class RecordState(enum.Enum):
    """State of a request; `REFUSED` means that it ended without an answer."""

    QUEUED = "queued"
    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"


class RequestKey(NamedTuple):
    """Identifies one attempt at a request."""

    caller_id: int
    number: int
    attempt: int


def key_of(packet: ExecutorPacket) -> RequestKey:
    """Return the key of the request that a packet belongs to."""
    return RequestKey(packet.caller_id, packet.number, packet.attempt)


@dataclass(eq=False)
class Record:
    """One accepted request.

    Parameters
    ----------
    run : Run
        The first accepted packet of the request.
    caller : Address
        Address that the answer is sent to.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    token : bytes
        Names this executor; echoed by later packets of the request.
    run_id : int
        Identifies the current execution to the upstream.
    answer_id : int
        Identifies the execution in the chunks sent to the caller.
    chunk_count : int
        Number of chunks in the complete answer; 0 before the first chunk.
    cancelled : bool
        Whether the upstream has been asked to stop the request.
    """

    run: Run
    caller: Address
    deadline: float
    token: bytes
    state: RecordState = RecordState.QUEUED
    upstream: str = ""
    run_id: int = 0
    started_at: float = 0.0
    answer_id: int = field(default_factory=lambda: secrets.randbits(63))
    chunks: list[bytes] = field(default_factory=list)
    chunk_count: int = 0
    outcome: Outcome | None = None
    cancelled: bool = False

    @property
    def key(self) -> RequestKey:
        """The key of the request."""
        return key_of(self.run)

    @property
    def answer_bytes(self) -> int:
        """Total size of the stored chunks, in bytes."""
        return sum(len(chunk) for chunk in self.chunks)

    def restart(self) -> None:
        """Discard a partial answer before the request runs again."""
        self.answer_id = secrets.randbits(63)
        self.chunks = []
        self.chunk_count = 0


class RecordTable:
    """Records by key; they expire some time after their deadline."""

    def __init__(self) -> None:
        self._records: dict[RequestKey, Record] = {}
        self._expiry: list[tuple[float, int, RequestKey]] = []
        self._counter = itertools.count()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        return iter(list(self._records.values()))

    def get(self, key: RequestKey) -> Record | None:
        """Return a record, or None."""
        return self._records.get(key)

    def add(self, record: Record) -> None:
        """Store the record of a new request."""
        self._records[record.key] = record
        entry = (record.deadline + RECORD_RETENTION_S, next(self._counter), record.key)
        heapq.heappush(self._expiry, entry)

    def add_chunk(self, record: Record, payload: bytes) -> None:
        """Add a chunk to an answer, evicting old answers above the size limit."""
        record.chunks.append(payload)
        self._answer_bytes += len(payload)
        while self._answer_bytes > MAX_ANSWER_BYTES and self._evict_oldest_answer(
            record
        ):
            pass

    def restart(self, record: Record) -> None:
        """Discard a record's partial answer."""
        self._answer_bytes -= record.answer_bytes
        record.restart()

    def remove(self, key: RequestKey) -> None:
        """Remove a record."""
        record = self._records.pop(key, None)
        if record is not None:
            self._answer_bytes -= record.answer_bytes

    def expire(self, now: float) -> list[Record]:
        """Remove and return records kept for their full retention time."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            key = heapq.heappop(self._expiry)[2]
            record = self._records.get(key)
            if record is not None and record.deadline + RECORD_RETENTION_S <= now:
                expired.append(record)
                self.remove(key)
        return expired

    def _evict_oldest_answer(self, keep: Record) -> bool:
        """Evict the answered record that was accepted first; return False if none."""
        for key, record in self._records.items():
            if record is not keep and record.state is RecordState.ANSWERED:
                self.remove(key)
                return True
        return False
