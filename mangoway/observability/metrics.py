"""Metrics of a process, rendered for Prometheus."""

from collections import defaultdict
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"

BUCKETS_REQUEST_S: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
    float("inf"),
)
BUCKETS_CALL_S: Final = (0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 5.0, float("inf"))

LabelValues = tuple[str, ...]


class CounterFamily:
    """Counter with fixed label names.

    Counts are kept in a plain dictionary and copied to the collector when metrics are
    rendered, since a collector encodes its labels at each access.
    """

    def __init__(
        self, registry: Registry, name: str, doc: str, labels: tuple[str, ...] = ()
    ) -> None:
        self._collector = Counter(name, doc, registry=registry)
        self._labels = labels
        self._counts: defaultdict[LabelValues, float] = defaultdict(float)

    def add(self, *values: str, amount: float = 1) -> None:
        """Increase the count of these label values, given in the family's order."""
        self._counts[values] += amount

    def get(self, *values: str) -> float:
        """Return the count of these label values."""
        return self._counts.get(values, 0)

    def flush(self) -> None:
        """Copy the counts to the collector."""
        for values, count in self._counts.items():
            self._collector.set(dict(zip(self._labels, values, strict=True)), count)


class GaugeFamily:
    """Gauge with fixed label names.

    Levels are kept in a plain dictionary and copied to the collector when metrics are
    rendered.
    """

    def __init__(
        self, registry: Registry, name: str, doc: str, labels: tuple[str, ...] = ()
    ) -> None:
        self._collector = Gauge(name, doc, registry=registry)
        self._labels = labels
        self._levels: dict[LabelValues, float] = {}

    def set(self, *values: str, level: float) -> None:
        """Set the level of these label values."""
        self._levels[values] = level

    def get(self, *values: str) -> float:
        """Return the level of these label values; 0 if it was never set."""
        return self._levels.get(values, 0)

    def drop(self, *values: str) -> None:
        """Remove these label values, whose subject is gone."""
        self._levels.pop(values, None)

    def drop_all(self) -> None:
        """Remove all label values."""
        self._levels.clear()

    def flush(self) -> None:
        """Replace the levels in the collector, so that dropped ones disappear."""
        self._collector.values.clear()
        for values, level in self._levels.items():
            self._collector.set(dict(zip(self._labels, values, strict=True)), level)


class HistogramFamily:
    """Histogram with fixed label names; values are in seconds."""

    def __init__(
        self,
        registry: Registry,
        name: str,
        doc: str,
        labels: tuple[str, ...] = (),
        buckets: tuple[float, ...] = BUCKETS_REQUEST_S,
    ) -> None:
        self._collector = Histogram(name, doc, registry=registry, buckets=buckets)
        self._labels = labels

    def observe(self, *values: str, seconds: float) -> None:
        """Record one observation under these label values."""
        labels = dict(zip(self._labels, values, strict=True))
        self._collector.observe(labels, float(seconds))


class Metrics:
    """All metrics of one process.

    Label values are given in the order in which a metric declares its labels.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._families: list[CounterFamily | GaugeFamily] = []
        self._add_request_metrics()
        self._add_upstream_metrics()
        self._add_platform_metrics()
        self._add_sharing_metrics()
        self._add_process_metrics()
        self._add_edge_metrics()
        self._add_pace_metrics()

    def _add_request_metrics(self) -> None:
        self.requests = self._counter(
            "mangoway_requests_total",
            "Requests that ended, by class, outcome (whole or refused) and error code.",
            ("work_class", "outcome", "code"),
        )
        self.request_seconds = self._histogram(
            "mangoway_request_seconds",
            "Time from arrival to the complete response.",
            ("work_class",),
        )
        self.first_token_seconds = self._histogram(
            "mangoway_first_token_seconds",
            "Time from arrival to the first token.",
            ("work_class",),
        )
        self.tokens = self._counter(
            "mangoway_tokens_total", "Tokens added to responses.", ("work_class",)
        )
        self.attempts = self._counter(
            "mangoway_attempts_total",
            "Attempts at upstreams, by kind (engine, service, cancel) and outcome.",
            ("kind", "outcome"),
        )
        self.retries = self._counter(
            "mangoway_retries_total",
            "Retries, by error code of the failed attempt.",
            ("code",),
        )
        self.forwards = self._counter(
            "mangoway_forwards_total",
            "Requests forwarded to a peer, by reason.",
            ("reason",),
        )
        self.queue_length = self._gauge(
            "mangoway_queue_length",
            "Requests that wait for an upstream, by target.",
            ("target",),
        )
        self.in_progress = self._gauge(
            "mangoway_requests_in_progress", "Requests that have not ended."
        )
        self.key_records = self._gauge(
            "mangoway_key_records", "Idempotency key records that are kept."
        )

    def _add_upstream_metrics(self) -> None:
        self.upstreams = self._gauge(
            "mangoway_upstreams",
            "Known upstreams, by kind and state.",
            ("kind", "state"),
        )
        self.orders = self._counter(
            "mangoway_orders_total",
            "Orders to engines, by kind and outcome.",
            ("kind", "outcome"),
        )
        self.moves = self._counter(
            "mangoway_moves_total",
            "Loads and unloads that engines accepted.",
            ("kind",),
        )
        self.memory_committed = self._gauge(
            "mangoway_memory_committed_mb",
            "Memory committed in the ledger of a runner.",
            ("upstream",),
        )

    def _add_platform_metrics(self) -> None:
        self.key_value_calls = self._counter(
            "mangoway_key_value_calls_total",
            "Calls to the key-value service, by call, rank and result.",
            ("call", "rank", "result"),
        )
        self.key_value_seconds = self._histogram(
            "mangoway_key_value_seconds",
            "Duration of calls to the key-value service.",
            ("call",),
            BUCKETS_CALL_S,
        )
        self.host_list_age = self._gauge(
            "mangoway_host_list_age_seconds", "Time since the host list was last read."
        )

    def _add_sharing_metrics(self) -> None:
        labels = ("service", "customer")
        self.customer_shares = self._gauge(
            "mangoway_customer_share",
            "Share of a service's runner time that a customer used, at the leader.",
            labels,
        )
        self.customer_share_ratios = self._gauge(
            "mangoway_customer_share_ratio",
            "That share relative to the customer's fair share; above 1 is more.",
            labels,
        )
        self.customer_waiting = self._gauge(
            "mangoway_customer_waiting",
            "Requests of a customer that wait for a grant, at the leader.",
            labels,
        )

    def _add_process_metrics(self) -> None:
        self.config_version = self._gauge(
            "mangoway_config_version", "Version of the configuration in force."
        )
        self.members = self._gauge(
            "mangoway_members", "Known processes, by role and state.", ("role", "state")
        )
        self.lease_held = self._gauge(
            "mangoway_lease_held",
            "1 while this controller holds the lease of its cell, otherwise 0.",
        )
        self.loop_lag_seconds = self._histogram(
            "mangoway_loop_lag_seconds",
            "Delay of the event loop.",
            (),
            BUCKETS_CALL_S,
        )

    def _add_edge_metrics(self) -> None:
        self.edge_requests = self._counter(
            "mangoway_edge_requests_total",
            "Requests of an edge, by route, outcome and status.",
            ("route", "outcome", "status"),
        )
        self.edge_customers = self._counter(
            "mangoway_edge_customer_requests_total",
            "Requests of an edge, by customer, outcome and status.",
            ("customer", "outcome", "status"),
        )
        self.edge_attempts = self._counter(
            "mangoway_edge_attempts_total",
            "Attempts of an edge at runners, by outcome.",
            ("outcome",),
        )
        self.edge_repeats = self._counter(
            "mangoway_edge_repeats_total",
            "Retries of requests already sent to a runner, by service and cause.",
            ("service", "cause"),
        )
        self.edge_signals = self._counter(
            "mangoway_edge_signals_total",
            "Signals in responses of runners, by service and signal.",
            ("service", "signal"),
        )
        self.streams_continued = self._counter(
            "mangoway_edge_streams_continued_total",
            "Streams that went on at another runner, by service and cause (leaving or "
            "yielding for a transfer, crash for a backup).",
            ("service", "cause"),
        )
        self.transfers_failed = self._counter(
            "mangoway_edge_transfers_failed_total",
            "Streams that were not transferred as ordered, by service and cause.",
            ("service", "cause"),
        )
        self.backups_not_used = self._counter(
            "mangoway_edge_backups_not_used_total",
            "Broken streams that didn't go on at their backup, by service and cause.",
            ("service", "cause"),
        )
        self.resumed_streams = self._counter(
            "mangoway_edge_resumed_streams_total",
            "Streams that an edge sent to another runner, by service, who resumed them "
            "(caller, edge) and whether the runner has the software version of the "
            "first event (same, other, unknown).",
            ("service", "resumed_by", "version"),
        )
        self.stream_faults = self._counter(
            "mangoway_edge_stream_faults_total",
            "What an edge found wrong with the responses of runners, by route: events "
            "that the caller had already (duplicate), that are missing (gap), or that "
            "differ from the caller's in their place (conflict).",
            ("route", "fault"),
        )
        self.uncertain_ends = self._counter(
            "mangoway_edge_uncertain_ends_total",
            "Responses of runners that ended with their connections, by service and "
            "what was found (goes_on: complete; ended, replaced, unknown: broken).",
            ("service", "found"),
        )
        self.service_versions = self._gauge(
            "mangoway_edge_service_versions",
            "Software versions that the runners of a service have had recently.",
            ("service",),
        )
        self.unknown_origins = self._counter(
            "mangoway_edge_unknown_origins_total",
            "Streams that an edge did not resume since no host knows the software "
            "version that began them, by service.",
            ("service",),
        )
        self.found_origins = self._counter(
            "mangoway_edge_found_origins_total",
            "Streams whose callers resumed them and that an edge sent on, by service "
            "and what the version that began them is known from.",
            ("service", "basis"),
        )
        self.origin_bytes = self._counter(
            "mangoway_edge_origin_bytes_total",
            "Bytes of the records of streams that an edge sent to others.",
        )
        self.relayed_requests = self._counter(
            "mangoway_edge_relayed_requests_total",
            "Requests that an edge sent through a peer, by outcome.",
            ("outcome",),
        )
        self.unreachable_runners = self._gauge(
            "mangoway_edge_unreachable_runners",
            "Runners to which connections failed since the edge reached any runner.",
        )
        self.runner_crashes = self._counter(
            "mangoway_edge_runner_crashes_total",
            "Crashes of runners that interrupted requests of an edge, by service.",
            ("service",),
        )
        self.crashed_requests = self._counter(
            "mangoway_edge_crashed_requests_total",
            "Requests of an edge that a crash of their runner interrupted, by service.",
            ("service",),
        )
        self.scheduler_kv_tokens = self._gauge(
            "mangoway_scheduler_kv_tokens",
            "KV memory of a service's runners in tokens: expected, planned margin, and"
            " use beyond the expected.",
            ("service", "kind"),
        )
        self.edge_held_bytes = self._gauge(
            "mangoway_edge_held_bytes",
            "Bytes of requests and responses that an edge holds for callers.",
        )
        self.edge_broken_responses = self._counter(
            "mangoway_edge_broken_responses_total",
            "Responses that an edge broke off since they were not read, by cause.",
            ("cause",),
        )
        self.edge_dropped_inputs = self._counter(
            "mangoway_edge_dropped_inputs_total",
            "Connections whose unfinished requests were dropped, since an edge held too"
            " many bytes.",
        )
        self.edge_reset_connections = self._counter(
            "mangoway_edge_reset_connections_total",
            "Connections that were reset since their clients did not read a complete"
            " response, by listener.",
            ("listener",),
        )
        self.connections = self._gauge(
            "mangoway_connections",
            "Open connections of clients, by listener.",
            ("listener",),
        )
        self.displaced_connections = self._counter(
            "mangoway_displaced_connections_total",
            "Connections that were closed to make room for new ones, by listener and by"
            " what they waited for.",
            ("listener", "state"),
        )
        self.rejected_connections = self._counter(
            "mangoway_rejected_connections_total",
            "Connections that were closed for what their other ends sent or did not"
            " read, by listener.",
            ("listener",),
        )
        self.edge_paused_connections = self._counter(
            "mangoway_edge_paused_connections_total",
            "Connections that sent so many requests ahead that reading was paused, by"
            " listener.",
            ("listener",),
        )
        self.edge_queue_seconds = self._histogram(
            "mangoway_edge_queue_seconds",
            "Time that served requests waited for a runner.",
            ("route",),
        )
        self.edge_first_seconds = self._histogram(
            "mangoway_edge_first_event_seconds",
            "Time from arrival to the first event, or to the response if not streamed.",
            ("route",),
        )
        self.edge_request_seconds = self._histogram(
            "mangoway_edge_request_seconds",
            "Time from arrival to the complete response.",
            ("route",),
        )
        self.store_calls = self._counter(
            "mangoway_store_calls_total",
            "Calls to the platform's store, by call and status.",
            ("call", "status"),
        )
        self.store_era = self._gauge(
            "mangoway_store_era",
            "Era of the platform's store, which rises when it comes back from a copy.",
        )
        self.store_age = self._gauge(
            "mangoway_store_age_seconds",
            "Time for which changes in the platform's store may be unknown here.",
        )
        self.store_revision = self._gauge(
            "mangoway_store_revision", "Last revision that a response has stated."
        )
        self.plain_grants = self._counter(
            "mangoway_plain_grants_total",
            "Requests for plain services short of room, by service and result.",
            ("service", "result"),
        )
        self.plain_waiting = self._gauge(
            "mangoway_plain_waiting",
            "Requests that wait for a plain service short of room.",
            ("service",),
        )
        self.plain_room = self._gauge(
            "mangoway_plain_room",
            "Requests at once that a runner of a plain service is assumed to accept.",
            ("service", "runner"),
        )
        self.stream_transfers = self._counter(
            "mangoway_stream_transfers_total",
            "Transfers of running streams that this scheduler ordered, by reason.",
            ("reason",),
        )
        self.stream_transfer_results = self._counter(
            "mangoway_stream_transfer_results_total",
            "Results of transfers that edges reported: moved or failed.",
            ("result",),
        )
        self.stream_reservations = self._gauge(
            "mangoway_stream_reservations",
            "Slots that are reserved now for streams that are being transferred.",
        )
        self.stream_backups = self._counter(
            "mangoway_stream_backups_total",
            "Streams that were granted with a backup runner.",
        )
        self.stream_copies = self._gauge(
            "mangoway_stream_copies",
            "Backup copies of streams that runners keep now.",
        )
        self.placement_orders = self._counter(
            "mangoway_placement_orders_total",
            "Orders to runners, by operation and the answer of the runner.",
            ("operation", "answer"),
        )

    def _add_pace_metrics(self) -> None:
        self.runner_pace = self._gauge(
            "mangoway_runner_pace",
            "Time of a runner for the same work, as a factor on the mean.",
            ("service", "runner"),
        )
        self.runner_pace_error = self._gauge(
            "mangoway_runner_pace_error",
            "Relative standard error of a runner's pace.",
            ("service", "runner"),
        )
        self.slow_moments = self._gauge(
            "mangoway_runner_slow_moments",
            "Slow moments that first events have shown since the start, by service.",
            ("service",),
        )
        self.held_prompts = self._gauge(
            "mangoway_held_prompts",
            "Prompts that waited for the sake of streams since the start, by service.",
            ("service",),
        )

    def _counter(
        self, name: str, doc: str, labels: tuple[str, ...] = ()
    ) -> CounterFamily:
        family = CounterFamily(self._registry, name, doc, labels)
        self._families.append(family)
        return family

    def _gauge(self, name: str, doc: str, labels: tuple[str, ...] = ()) -> GaugeFamily:
        family = GaugeFamily(self._registry, name, doc, labels)
        self._families.append(family)
        return family

    def _histogram(
        self,
        name: str,
        doc: str,
        labels: tuple[str, ...] = (),
        buckets: tuple[float, ...] = BUCKETS_REQUEST_S,
    ) -> HistogramFamily:
        return HistogramFamily(self._registry, name, doc, labels, buckets)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format (`CONTENT_TYPE`)."""
        for family in self._families:
            family.flush()
        return bytes(text.TextFormatter().marshall(self._registry))
