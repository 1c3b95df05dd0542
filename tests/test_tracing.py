"""Spans in the structured log.

Guards against spans of one trace that can't be joined across processes, and against
spans of traces that are not sampled.
"""

from __future__ import annotations

import eliot

from egrethook.tracing import Tracer


def test_spans_of_one_trace_share_a_task_and_name_their_parents():
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    try:
        first, second = Tracer("caller", sample_share=1.0), Tracer("balancer")
        traceparent = first.start("caller")
        second.hop("owner", second.hop("entry", traceparent))
    finally:
        eliot.remove_destination(messages.append)
    span_events = [m for m in messages if m.get("message") == "trace: span ended."]
    assert [m["span"] for m in span_events] == ["caller", "entry", "owner"]
    assert len({m["task_uuid"] for m in span_events}) == 1
    parents = [m["parent_id"] for m in span_events]
    assert parents == ["", span_events[0]["span_id"], span_events[1]["span_id"]]


def test_unsampled_trace_records_no_span():
    tracer = Tracer("caller", sample_share=0.0)
    assert tracer.start("caller") is None
    assert tracer.hop("entry", None) is None
