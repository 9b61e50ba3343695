"""Tracing: a span for each hop of a request; the last spans are kept in memory."""

from collections import deque
from collections.abc import Mapping, Sequence
from enum import Enum
from types import TracebackType
from typing import Final, Self

from attrs import frozen
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import Span, Status, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .event_log import log_event
from .events import SpanEnded

TRACEPARENT_HEADER: Final = "traceparent"
DEFAULT_CAPACITY: Final = 2048
NANOSECONDS_PER_S: Final = 1e9

AttributeValue = str | int | float | bool


class Hop(Enum):
    """Stage of a request's path through the system."""

    CALLER = "caller"
    """The caller's request, from its arrival at the gateway to its response."""

    GATEWAY = "gateway"
    """A decision of the gateway: admission, queueing and selection of an upstream."""

    PEER = "peer"
    """A call from one process of the system to another."""

    ENGINE = "engine"
    """An attempt at a model engine."""

    SERVICE = "service"
    """An attempt at a plain service."""


@frozen(kw_only=True)
class SpanRecord:
    """Ended span, as operators see it."""

    trace_id: str
    span_id: str
    parent_id: str | None
    hop: str
    name: str
    started_at: float
    """Wall-clock time in seconds since the epoch."""

    duration_s: float
    failure: str | None
    attributes: tuple[tuple[str, AttributeValue], ...]


class HopSpan:
    """Open span; it ends once, explicitly or as a context manager."""

    def __init__(self, tracing: "Tracing", span: Span) -> None:
        self._tracing = tracing
        self._span = span

    @property
    def traceparent(self) -> str:
        """Return the W3C `traceparent` header value for the next hop."""
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(self._span, Context())
        self._tracing.propagator.inject(carrier, context)
        return carrier[TRACEPARENT_HEADER]

    @property
    def trace_id(self) -> str:
        """Return the trace id in hexadecimal digits."""
        return trace.format_trace_id(self._span.get_span_context().trace_id)

    def set(self, name: str, value: AttributeValue) -> None:
        """Set an attribute."""
        self._span.set_attribute(name, value)

    def fail(self, code: str) -> None:
        """Mark the span as failed with an error code."""
        self._span.set_status(Status(StatusCode.ERROR, code))

    def end(self) -> None:
        """End the span."""
        self._span.end()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if error is not None:
            self.fail(str(error))
        self.end()


class Tracing:
    """Starts spans and keeps the last ended ones, up to a capacity."""

    def __init__(
        self,
        *,
        host: str,
        role: str,
        sample_ratio: float = 1.0,
        capacity: int = DEFAULT_CAPACITY,
        log_spans: bool = False,
    ) -> None:
        self._ring = SpanRing(capacity, log_spans=log_spans)
        resource = Resource(
            {"service.name": f"mangoway-{role}", "service.instance.id": host}
        )
        provider = TracerProvider(
            sampler=ParentBasedTraceIdRatio(sample_ratio),
            resource=resource,
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._ring)
        self._tracer = provider.get_tracer("mangoway")
        self.propagator = TraceContextTextMapPropagator()

    def start(
        self, hop: Hop, name: str, parent: HopSpan | str | None = None
    ) -> HopSpan:
        """Start a span under a parent span or a received `traceparent` value.

        A missing or malformed value starts a new trace.
        """
        span = self._tracer.start_span(
            name,
            context=self._make_context(parent),
            attributes={"hop": hop.value},
            record_exception=False,
        )
        return HopSpan(self, span)

    def _make_context(self, parent: HopSpan | str | None) -> Context:
        if isinstance(parent, HopSpan):
            return trace.set_span_in_context(parent._span, Context())
        if parent is None:
            return Context()
        return self.propagator.extract({TRACEPARENT_HEADER: parent}, Context())

    def list_spans(self, trace_id: str | None = None) -> tuple[SpanRecord, ...]:
        """Return the kept spans, oldest first; of one trace if it is given."""
        return self._ring.list_records(trace_id)


class SpanRing(SpanProcessor):
    """Span processor that keeps the last ended spans, without a thread or a queue."""

    def __init__(self, capacity: int, *, log_spans: bool) -> None:
        self._spans: deque[ReadableSpan] = deque(maxlen=capacity)
        self._log_spans = log_spans

    def on_end(self, span: ReadableSpan) -> None:
        """Keep an ended span, and log it if spans are logged."""
        self._spans.append(span)
        if self._log_spans:
            record = make_record(span)
            log_event(
                SpanEnded(
                    trace_id=record.trace_id,
                    span_id=record.span_id,
                    parent_id=record.parent_id,
                    hop=record.hop,
                    name=record.name,
                    seconds=record.duration_s,
                    failure=record.failure,
                )
            )

    def list_records(self, trace_id: str | None) -> tuple[SpanRecord, ...]:
        """Return the kept spans, oldest first; of one trace if it is given."""
        records = (make_record(span) for span in self._spans)
        return tuple(
            record for record in records if trace_id in (None, record.trace_id)
        )


def make_record(span: ReadableSpan) -> SpanRecord:
    """Return the record of an ended span of the OpenTelemetry library."""
    attributes = dict(span.attributes or {})
    hop = str(attributes.pop("hop", ""))
    started_ns = span.start_time or 0
    ended_ns = span.end_time or started_ns
    failed = span.status.status_code is StatusCode.ERROR
    return SpanRecord(
        trace_id=trace.format_trace_id(span.context.trace_id),
        span_id=trace.format_span_id(span.context.span_id),
        parent_id=trace.format_span_id(span.parent.span_id) if span.parent else None,
        hop=hop,
        name=span.name,
        started_at=started_ns / NANOSECONDS_PER_S,
        duration_s=(ended_ns - started_ns) / NANOSECONDS_PER_S,
        failure=span.status.description if failed else None,
        attributes=_list_attributes(attributes),
    )


def _list_attributes(
    attributes: Mapping[str, object],
) -> tuple[tuple[str, AttributeValue], ...]:
    return tuple(
        (name, value if isinstance(value, AttributeValue) else str(value))
        for name, value in attributes.items()
        if not isinstance(value, Sequence) or isinstance(value, str)
    )
