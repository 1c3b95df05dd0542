"""Reads the journal in which the users' bench records its runs."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

import msgspec

from egrethook.decoding import decode_json
from egrethook.exceptions import DocumentError
from egrethook.operators.played_days import BenchDay


class _Day(msgspec.Struct):
    """A simulated day of a run.

    The bench writes the score after deductions as `G`. Each price is a name, a
    value that is not used here, and the deduction from the score. `slot` is not
    used either.
    """

    name: str
    slot: str = ""
    worth: float | None = msgspec.field(name="G", default=None)
    served: float | None = None
    prices: list[tuple[str, float | None, float | None]] = []


class _Entry(msgspec.Struct):
    """One run of the bench.

    `at` holds the start time and the end time; the latter is null if the run did
    not finish. `cmd` is the bench command that was run; `why` is not used here.
    """

    at: tuple[datetime, str | None]
    cmd: str
    site: str | None = None
    why: str | None = None
    days: list[_Day] = []


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


def read_journal(folder: Path) -> Iterator[BenchDay]:
    """Yield the days of a journal, oldest run first.

    Files are read in the order of their names, which is that of their runs. Days
    without a score and runs without a site are skipped.

    Raises
    ------
    DocumentError
        If a file is not a valid journal entry; names the file.
    """
    for path in sorted(folder.glob("*.json")):
        try:
            entry = decode_json(_ENTRY_DECODER, path.read_bytes())
        except DocumentError as error:
            raise DocumentError(f"{path.name}: {error.args[0]}") from None
        for day in entry.days or []:
            if day.worth is None or entry.site is None:
                continue
            yield BenchDay(
                site=entry.site,
                day=day.name,
                kind=entry.cmd,
                run_started_at=entry.at[0],
                worth=day.worth,
                served=day.served or 0.0,
                prices={name: price or 0.0 for name, _, price in day.prices},
            )
