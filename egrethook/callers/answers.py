"""Puts the chunks of answers together, whatever their order."""

from __future__ import annotations

from dataclasses import dataclass, field

from egrethook.callers.packets import Chunk

FETCH_BATCH_CHUNKS = 32
"""Chunks that are asked for at a time."""


@dataclass
class PartialAnswer:
    """The chunks of one execution's answer that have arrived."""

    attempt: int
    answer_id: int
    count: int
    chunks: dict[int, bytes] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether no chunk is missing."""
        return len(self.chunks) == self.count

    def missing(self) -> list[int]:
        """Return the first missing chunks, as many as are asked for at a time."""
        absent = (index for index in range(self.count) if index not in self.chunks)
        return [
            index for index, _ in zip(absent, range(FETCH_BATCH_CHUNKS), strict=False)
        ]

    def join(self) -> bytes:
        """Return the whole answer."""
        return b"".join(self.chunks[index] for index in range(self.count))


class AnswerAssembly:
    """Collects the chunks that belong to one request.

    Chunks of different executions are never mixed: copies of an idempotent
    request may run twice and give different answers.
    """

    def __init__(self) -> None:
        self._partial: dict[tuple[int, int], PartialAnswer] = {}

    def add(self, chunk: Chunk) -> PartialAnswer | None:
        """Take a chunk; return the answer that is whole now, or None."""
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
        """Return what has arrived of one execution's answer."""
        return self._partial.get((attempt, answer_id))
