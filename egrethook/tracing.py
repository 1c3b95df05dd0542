"""Traces with a span for each hop; packets carry the trace context."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from eliot import Action
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult as Result
from opentelemetry.trace import SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from egrethook.logs import PartLog

_PROPAGATOR = TraceContextTextMapPropagator()
_LOG = PartLog("trace")


class LogExporter(SpanExporter):
    """Writes each finished span to the structured log.

    All processes log the spans of a trace as actions of one eliot task. The trace
    id is the task's id, and the span id is the level of the action.
    """

    def export(self, spans: Sequence[ReadableSpan]) -> Result:
        """Write the spans, oldest first."""
        for span in spans:
            fields = span_fields(span)
            level = int(str(fields["span_id"]), 16)
            task_id = f"{fields['trace_id']}@/{level}"
            with Action.continue_task(
                task_id=task_id, action_type=f"egrethook:{span.name}"
            ):
                _LOG.info("span ended.", **fields)
        return Result.SUCCESS


def span_fields(span: ReadableSpan) -> dict[str, str | int]:
    """Return the name, ids, duration and attributes of a span as plain fields."""
    context = span.get_span_context() or trace.INVALID_SPAN_CONTEXT
    parent = span.parent
    return {
        "span": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else "",
        "duration_us": ((span.end_time or 0) - (span.start_time or 0)) // 1000,
        **{str(key): str(value) for key, value in (span.attributes or {}).items()},
    }


class Tracer:
    """Starts traces and continues the traces of received packets.

    Parameters
    ----------
    process_kind : str
        The kind of process, such as ``balancer``; part of the service name.
    sample_share : float
        The share of new traces that are recorded, from 0 to 1.
    exporter : SpanExporter, optional
        Receives finished spans; writes the structured log if None.
    """

    def __init__(
        self,
        process_kind: str,
        sample_share: float = 0.0,
        exporter: SpanExporter | None = None,
    ) -> None:
        self._sample_share = sample_share
        self._provider = TracerProvider(
            resource=Resource({"service.name": f"egrethook-{process_kind}"})
        )
        self._provider.add_span_processor(
            SimpleSpanProcessor(exporter or LogExporter())
        )
        self._tracer = self._provider.get_tracer("egrethook")

    def start(self, name: str, **attributes: str | int) -> str | None:
        """Start a trace, if it is sampled, and record its first span.

        Returns
        -------
        str or None
            The trace context to carry in packets; None if not sampled.
        """
        if random.random() >= self._sample_share:
            return None
        return self._record(name, None, attributes)

    def hop(
        self, name: str, traceparent: str | None, **attributes: str | int
    ) -> str | None:
        """Record one hop of a trace and return the context to send on."""
        if not traceparent:
            return None
        return self._record(name, traceparent, attributes)

    @contextmanager
    def span(self, name: str, traceparent: str | None) -> Iterator[str | None]:
        """Record the duration of a block as one hop."""
        if not traceparent:
            yield None
            return
        span = self._tracer.start_span(name, context=_extract(traceparent))
        try:
            yield _inject(span)
        finally:
            span.end()

    def _record(
        self, name: str, traceparent: str | None, attributes: dict[str, str | int]
    ) -> str:
        context = _extract(traceparent) if traceparent else None
        span = self._tracer.start_span(
            name, context=context, kind=SpanKind.INTERNAL, attributes=attributes
        )
        span.end()
        return _inject(span)


def _extract(traceparent: str) -> trace.Context:
    return _PROPAGATOR.extract({"traceparent": traceparent})


def _inject(span: trace.Span) -> str:
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
    return carrier.get("traceparent", "")
