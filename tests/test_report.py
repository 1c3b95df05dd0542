"""The report of a run of an emulated deployment.

The tests guard against violations of the guarantees that the report misses, such as
duplicate executions, and against correct runs reported as faulty.
"""

from __future__ import annotations

from collections import Counter

import pytest

from egrethook.emulator.load import LoadResult
from egrethook.emulator.report import RunReport, format_table
from egrethook.verdicts import Verdict


def make_report(runs: int, verdict: Verdict, wrong_service: int = 0) -> RunReport:
    result = LoadResult(
        outcomes=Counter({verdict.name: 1}),
        latencies_s=[0.1],
        non_idempotent={(7, 1): verdict},
    )
    upstream = {
        "service": "orders",
        "busy_s": 1.0,
        "executed": [[7, 1, runs]] if runs else [],
        "wrong_service": wrong_service,
    }
    return RunReport({"orders": result}, [upstream])


@pytest.mark.parametrize(
    ("runs", "verdict", "fault"),
    [
        (1, Verdict.ANSWERED, None),
        (0, Verdict.NOT_RUN, None),
        (2, Verdict.ANSWERED, "requests doubled: 1"),
        (1, Verdict.NOT_RUN, "false refusals: 1"),
        (2, Verdict.MAY_HAVE_RUN, "requests doubled: 1"),
    ],
)
def test_report_lists_a_fault_only_for_violated_guarantees(runs, verdict, fault):
    assert make_report(runs, verdict).faults == ([fault] if fault else [])


def test_report_lists_packets_received_by_another_service():
    report = make_report(1, Verdict.ANSWERED, wrong_service=2)
    assert report.faults == ["packets at another service: 2"]
    assert report.as_json()["services"][0]["service"] == "orders"


def test_lowest_answered_share_is_that_of_the_worst_second():
    result = LoadResult(
        requests_by_second=Counter({(0, True): 9, (0, False): 1, (1, True): 5})
    )
    assert result.lowest_answered_share() == 0.9
    assert LoadResult().lowest_answered_share() == 1.0


def test_table_columns_are_aligned():
    table = format_table(["a", "long"], [["value", "x"]])
    assert table.splitlines() == ["a      long", "value  x   "]
