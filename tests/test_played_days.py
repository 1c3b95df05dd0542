"""Results of simulated days: reading the bench journal and plotting it.

Guards against runs in the wrong order, and against uncoded errors for an invalid
entry or a plot that can't be written.
"""

from __future__ import annotations

import json

import pytest

from egrethook.exceptions import DocumentError, UsageError
from egrethook.operators.played_days import plot_days
from egrethook.platform.bench_journal import read_journal


def write_entry(folder, number, worth, **fields):
    day = {
        "name": "quiet-1",
        "slot": "quiet",
        "G": worth,
        "served": 0.99,
        "prices": [["probes", 10.0, 0.01], ["memory", 5.0, 0.02], ["duty", None, None]],
    }
    entry = {
        "at": [f"2026-12-04T12:0{number}:00Z", f"2026-12-04T12:0{number}:30Z"],
        "cmd": "score",
        "site": "bonds",
        "days": [day, {"name": "given-up", "G": None}],
        **fields,
    }
    (folder / f"entry-{number}.json").write_text(json.dumps(entry))


def test_journal_days_are_read_in_order_of_their_runs(tmp_path):
    for number, worth in enumerate((0.8, 0.9)):
        write_entry(tmp_path, number, worth)
    write_entry(tmp_path, 3, 0.7, site=None)
    days = list(read_journal(tmp_path))
    assert [day.worth for day in days] == [0.8, 0.9]
    assert days[0].prices == {"probes": 0.01, "memory": 0.02, "duty": 0.0}


def test_invalid_entry_raises_document_error(tmp_path):
    (tmp_path / "entry.json").write_text("{")
    with pytest.raises(DocumentError):
        list(read_journal(tmp_path))


@pytest.mark.parametrize("suffix", ["svg", "png"])
def test_plot_is_written_in_each_file_type(tmp_path, suffix):
    for number, worth in enumerate((0.8, 0.9)):
        write_entry(tmp_path, number, worth)
    plot = tmp_path / f"plot.{suffix}"
    assert plot_days(read_journal(tmp_path), "bonds", "score", plot) == 2
    assert plot.stat().st_size > 1_000


def test_plot_without_days_or_of_unknown_type_raises_usage_error(tmp_path):
    write_entry(tmp_path, 0, 0.8)
    with pytest.raises(UsageError):
        plot_days(read_journal(tmp_path), "elsewhere", "score", tmp_path / "a.svg")
    with pytest.raises(UsageError):
        plot_days(read_journal(tmp_path), "bonds", "score", tmp_path / "a.wrong")
