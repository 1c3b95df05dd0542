"""Reassembly of answers from chunks that arrive in any order."""

from __future__ import annotations

from dataclasses import dataclass, field

from egrethook.callers.packets import Chunk

FETCH_BATCH_CHUNKS = 32
"""Maximum number of missing chunks requested at a time."""


@dataclass
class PartialAnswer:
    """The received chunks of one execution's answer."""

    attempt: int
    answer_id: int
    count: int
    chunks: dict[int, bytes] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether all chunks have been received."""
        return len(self.chunks) == self.count

    def missing(self) -> list[int]:
        """Return the indexes of the first missing chunks, at most one batch."""
        absent = (index for index in range(self.count) if index not in self.chunks)
        return [
            index for index, _ in zip(absent, range(FETCH_BATCH_CHUNKS), strict=False)
        ]

    def join(self) -> bytes:
        """Return the payload of the complete answer."""
        return b"".join(self.chunks[index] for index in range(self.count))


class AnswerAssembly:
    """Reassembles the answers to one request.

    Chunks of different executions are kept apart: copies of an idempotent request
    may be executed more than once, with different answers.
    """

    def __init__(self) -> None:
        self._partial: dict[tuple[int, int], PartialAnswer] = {}

    def add(self, chunk: Chunk) -> PartialAnswer | None:
        """Add a chunk; return its answer if that is now complete, or None."""
        key = (chunk.attempt, chunk.answer_id)
        partial = self._partial.get(key)
        if partial is None:
            partial = PartialAnswer(chunk.attempt, chunk.answer_id, chunk.count)
            self._partial[key] = partial
        if chunk.count != partial.count or chunk.index >= chunk.count:
            return None
        partial.chunks[chunk.index] = chunk.payload
        return partial if partial.is_complete else None

    def get(self, attempt: int, answer_id: int) -> PartialAnswer | None:
        """Return the chunks received of one execution's answer, or None."""
        return self._partial.get((attempt, answer_id))
