"""Structured log lines, and the `explain` command that reads them.

Guards against a log that blocks the process on a full pipe, a flood of lines, and
explanations that miss or mix up the lines of a flow.
"""

from __future__ import annotations

import json
import os

import pytest

from egrethook.exceptions import FlowNotFoundError
from egrethook.line_log import DECISION_BURST, DECISIONS_PER_S, LineLog
from egrethook.logs import PartLog, set_destination
from egrethook.operators.commands import EgrethookApplication, ExplainCommand
from egrethook.operators.explain import explain, read_lines


class FakeClock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_available(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 16)
        except BlockingIOError:
            return data


def read_log_lines(reader):
    return [json.loads(line) for line in read_available(reader).splitlines()]


def test_log_line_has_the_fields_of_an_eliot_message(pipe):
    reader, writer = pipe
    previous = set_destination(LineLog(writer, "vm-1"))
    try:
        PartLog("flows").decision("an opening is refused.", flow="a>b", waiting=3)
    finally:
        set_destination(previous)
    (line,) = read_log_lines(reader)
    assert line["message"] == "flows: an opening is refused."
    assert line["message_type"] == "egrethook:flows"
    assert line["process"] == "vm-1" and line["waiting"] == 3
    assert {"timestamp", "task_uuid", "task_level"} <= line.keys()


def test_flood_of_decisions_is_rate_limited_and_the_rest_counted(pipe):
    reader, writer = pipe
    clock = FakeClock()
    log = LineLog(writer, "vm-1", clock)
    written = []
    for step in range(5_000):
        clock.now = step / 1_000
        log.write("decision", "flows", "an opening is refused.", {"n": step})
        if step % 50 == 0:
            written += read_log_lines(reader)
    written += read_log_lines(reader)
    decisions = [line for line in written if line["level"] == "decision"]
    messages = [line["message"] for line in written]
    assert len(decisions) <= DECISION_BURST + 5 * DECISIONS_PER_S + 1
    assert len(decisions) + log.left_out == 5_000
    assert 3 <= messages.count("log: lines were left out.") <= 6


def test_full_pipe_does_not_block_and_drops_only_whole_lines(pipe):
    reader, writer = pipe
    clock = FakeClock()
    log = LineLog(writer, "vm-1", clock)
    for _ in range(2_000):
        clock.now += 1.0
        log.write("info", "view", "a record has changed.", {"pad": "x" * 400})
    assert log.left_out > 0
    log.write("info", "view", "the last line.", {})
    data = b""
    for _ in range(20):
        data += read_available(reader)
        log.flush()
    lines = [json.loads(line) for line in data.splitlines()]
    events = [line for line in lines if line["level"] == "info"]
    assert len(events) + log.left_out >= 2_001


FLOW = "100.64.0.7:40001>198.18.0.1:443"
LINES = [
    {
        "timestamp": 10.0,
        "process": "vm-1",
        "level": "warning",
        "message": "health: an upstream leaves openings unanswered.",
        "upstream": "i-1",
        "silent_openings": 2,
    },
    {
        "timestamp": 11.0,
        "process": "vm-1",
        "level": "decision",
        "message": "flows: an opening is sent to an upstream.",
        "flow": FLOW,
        "upstream": "i-2",
        "failure_domain": "zone-b",
        "attempt": 1,
        "candidates": 4,
        "busy_flows": 1,
        "waited_ms": 0,
        "version": 7,
        "revision": 41,
    },
    {
        "timestamp": 11.05,
        "process": "vm-1",
        "level": "decision",
        "message": "flows: an opening had no answer; it went to a further upstream.",
        "flow": FLOW,
        "silent": "i-2",
        "silent_openings": 1,
        "upstream": "i-3",
    },
    {"timestamp": 11.1, "process": "vm-2", "message": "view: other.", "level": "info"},
]


def raw_lines():
    yield " -1.2 vm-1 " + json.dumps(LINES[0])
    yield from (json.dumps(line) for line in LINES[1:])
    yield '{"timestamp": 3, "mess'
    yield "Traceback (most recent call last):"


def test_flow_is_explained_in_order_with_log_lines_of_its_process():
    output = explain(read_lines(raw_lines()), "100.64.0.7:40001")
    assert output[0] == f"flow {FLOW}"
    assert "sent to i-2 (zone-b; attempt 1, 4 candidates" in output[1]
    assert "i-2 did not answer" in output[2]
    assert "an upstream leaves openings unanswered" in output[4]
    assert not any("vm-2" in text for text in output)


def test_unknown_flow_raises_e503(tmp_path):
    path = tmp_path / "vm.log"
    path.write_text("\n".join(raw_lines()))
    from cleo.testers.command_tester import CommandTester

    command = ExplainCommand()
    command.set_application(EgrethookApplication())
    tester = CommandTester(command)
    assert tester.execute(f"40001 {path}") == 0
    with pytest.raises(FlowNotFoundError, match="E503"):
        tester.execute(f"50000 {path}")
