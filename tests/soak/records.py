"""Observations of callers and runners, and the guarantees checked against them."""

import time
from bisect import bisect_left
from collections import Counter
from enum import Enum
from random import Random

from attrs import define, field, frozen

from .copies import Copies
from .customers import Customers
from .order import Event, OrderReport, Response
from .signals import SignalRecords
from .streams import StreamRecords

RETRY_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and never will."""

DRAIN_S = 2.0
"""Time after a runner has announced its leaving from which it gets no requests."""

APPLY_S = 2.0
"""Time within which an accepted configuration is applied."""

ROUTE_TIMEOUT_S = 3.0
"""Timeout of a request; all routes of a soak have it."""

FAULT_FREE_S = 3.0
"""Time without a fault after which time bounds hold again."""

CRASHES_ALLOWED = 3
"""Runners that one request may crash before it must be blocked."""

RETRIES_ALLOWED = 3
"""Runs that such a request may still get once it must be blocked."""

BLOCK_S = 3.0
"""Time from the third crash within which all processes must block the request."""


FENCE_REJECTIONS_ALLOWED = 3
"""Orders with a low fence number that runners may reject while there is no fault."""

RETRY_RATIO = 0.2
RETRY_SLACK = 12
RETRY_WINDOW_S = 4.0
"""Settings of the retry budget of each service."""

BLOCKED_TEXT = "makes its runners crash"
"""Text in the rejection of a blocked request."""


class Kind(Enum):
    """Kind of a request: whether it may be retried or resumed."""

    SAFE = "safe"
    ONCE = "non_idempotent"
    STREAM = "stream"
    """A stream that may be resumed."""

    FIXED_STREAM = "fixed"
    """A stream that may not be resumed."""

    @property
    def service(self) -> str:
        """Return the service that the route goes to."""
        return "llm" if self.is_stream else "plain"

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream."""
        return self in (Kind.STREAM, Kind.FIXED_STREAM)

    @property
    def runs_once(self) -> bool:
        """Return whether a request may run once at most."""
        return self in (Kind.ONCE, Kind.FIXED_STREAM)


@frozen(kw_only=True)
class Run:
    """One run of a request at a runner."""

    runner_id: str
    at: float
    signature: str
    crashing: str = ""
    """Name of the request if it makes its runners crash; empty for all others."""

    customer: str = ""
    """Customer of the request, as the runner received it."""

    received_key: bool = False
    """Whether the runner received the API key."""


@define(kw_only=True)
class Call:
    """One request of a caller, and its result."""

    request_id: str
    """Its ID, with the number of the try if the caller has sent this ID before."""

    kind: Kind
    edge: str
    sent_at: float
    sent_id: str = ""
    """Its ID as it was sent."""

    tries: int = 0
    """How often the caller has sent this ID before."""

    version: int | None = None
    """Version of the configuration that added its route; None for the first routes."""

    crashing: str = ""
    """Name of the request if it makes its runners crash; empty for all others."""

    key: str = ""
    """API key of the request."""

    reason: str = ""
    """Reason of its rejection, as in the response."""

    model: str = ""
    subject: str = ""
    """Part of the prompt that identifies the request; kept when it is resent."""

    shared_part: str = ""
    """Further part of the prompt that other requests share, as the header has it."""

    status: int | None = None
    """Status of the response; None if there was none."""

    signature: str = ""
    """Signature of the run that the response belongs to."""

    whole: bool = False
    """Whether it succeeded with a complete response."""

    events: tuple[Event, ...] = ()
    """Complete events of the response, also of one that broke off."""

    resumes: str = ""
    """ID of the first request of the stream if this one is for its rest."""

    after: int = 0
    """Number of the event after which that rest begins."""

    has_ended: bool = False
    """Whether the response ended as if complete."""

    mixed: str = ""
    """Content of the response that doesn't belong to the request; empty if none."""

    was_disconnected: bool = False
    """Whether the connection ended without a complete response."""

    given_up: bool = False
    """Whether the caller disconnected before the response."""

    ended_at: float = 0.0
    """0 while the request is in progress."""


@define
class Span:
    """Period of a fault."""

    what: str
    began: float
    ended: float | None = None
    planned: bool = False
    """Whether it was planned work, which must not interrupt requests."""

    caused: bool = False
    """Whether a request caused it, which doesn't excuse sending the request again."""


def make_record_id(sent_id: str, tries: int) -> str:
    """Return the ID under which a request is recorded.

    Args:
        sent_id: Its ID as it was sent.
        tries: How often the caller has sent this ID before.
    """
    return f"{sent_id}.{tries}" if tries else sent_id


@define(eq=False)
class Records:
    """All observations from outside the system."""

    calls: dict[str, Call] = field(factory=dict, init=False)
    """Requests by id."""

    runs: dict[str, list[Run]] = field(factory=dict, init=False)
    """Runs by id of the request."""

    arrivals: dict[str, list[tuple[float, str]]] = field(factory=dict, init=False)
    """Time and id of each request that reached a runner, by service."""

    spans: list[Span] = field(factory=list, init=False)
    leaving: dict[str, float] = field(factory=dict, init=False)
    """Time at which the store accepted that a runner leaves, by runner."""

    accepted: dict[int, float] = field(factory=dict, init=False)
    """Time at which the store accepted a version of the configuration."""

    changes: int = field(default=0, init=False)
    """Periods with changed entries or configurations, a leader without the store, or
    long calls."""

    restores: int = field(default=0, init=False)
    """Number of times that the store came back from a copy."""

    extras: int = field(default=0, init=False)
    """Number of responses that runners sent beside the due ones."""

    own_failures: int = field(default=0, init=False)
    """Requests that runners ran and then failed with a status that promises the
    opposite."""

    pours: list[str] = field(factory=list, init=False)
    """IDs of the requests that runners answered with bytes without end."""

    unframed: int = field(default=0, init=False)
    """Responses of runners that have no length and end with their connections."""

    cut_unframed: int = field(default=0, init=False)
    """Those of them whose connections were closed before their ends."""

    power_cuts: int = field(default=0, init=False)
    """Number of times that all edges were killed at once."""

    rolling_stops: int = field(default=0, init=False)
    """Number of times that all edges were stopped one after the other."""

    fence_rejections: list[float] = field(factory=list, init=False)
    """Times at which runners rejected orders with a fence number that was too low."""

    crashes: dict[str, list[float]] = field(factory=dict, init=False)
    """Times of the crashes, by the request that caused them."""

    violations: list[str] = field(factory=list, init=False)
    """Guarantees whose violation was seen at once; `check` finds the others."""

    customers: Customers = field(factory=lambda: Customers(Random(0)))
    signals: SignalRecords = field(factory=SignalRecords, init=False)
    streams: StreamRecords = field(factory=StreamRecords, init=False)
    copies: Copies = field(factory=Copies, init=False)

    def begin(self, what: str, *, planned: bool = False, caused: bool = False) -> Span:
        """Record the start of a fault."""
        span = Span(what, time.monotonic(), planned=planned, caused=caused)
        self.spans.append(span)
        return span

    def record_arrival(
        self, service: str, runner_id: str, request_id: str, sender: str
    ) -> None:
        """Record that a request of an edge reached a runner, which runs or rejects it.

        The edge isn't the one of the caller if that has relayed the request.
        """
        rows = self.arrivals.setdefault(service, [])
        rows.append((time.monotonic(), request_id))
        call = self.calls.get(request_id)
        if call is not None:
            self.signals.record_arrival(runner_id, sender, call.sent_at)

    def find_edge(self, request_id: str) -> str:
        """Return the edge to which a request was sent; empty if no caller sent it."""
        call = self.calls.get(request_id)
        return "" if call is None else call.edge

    def record_run(self, request_id: str, run: Run) -> None:
        """Record that a runner runs a request."""
        self.runs.setdefault(request_id, []).append(run)
        left_at = self.leaving.get(run.runner_id)
        if left_at is not None and run.at - left_at > DRAIN_S:
            if self.has_no_fault(left_at - FAULT_FREE_S, run.at):
                leaving_s = run.at - left_at
                self.violations.append(
                    f"drain: {request_id} reached {run.runner_id} {leaving_s:.1f} s "
                    "after it had announced its leaving"
                )

    def has_no_fault(
        self, began: float, ended: float, *, ignore_caused: bool = False
    ) -> bool:
        """Return whether no unplanned fault affects a period.

        A fault does so until `FAULT_FREE_S` after its end.

        Args:
            began: Start of the period.
            ended: End of the period.
            ignore_caused: Whether to ignore faults that requests caused.
        """
        return not any(
            span.began <= ended
            and (span.ended is None or span.ended + FAULT_FREE_S >= began)
            for span in self.spans
            if not span.planned and not (ignore_caused and span.caused)
        )

    def find_identified_at(self, crashing: str) -> float | None:
        """Return when a request could be identified as crashing: at its third crash.

        Crashes of other requests at the same runners count as well, so it may be
        identified earlier: then it is the time of its first rejection as blocked.
        """
        crashes = self.crashes.get(crashing, [])[CRASHES_ALLOWED - 1 :]
        rejected_at = [
            call.ended_at
            for call in self.calls.values()
            if call.crashing == crashing
            and BLOCKED_TEXT in call.reason
            and call.ended_at
        ]
        return min([*crashes, *rejected_at], default=None)

    def count_late_runs(self, crashing: str) -> int:
        """Return the number of runs of a request after all processes had to block it.

        Runs during and shortly after faults don't count, unless requests caused these.
        """
        identified_at = self.find_identified_at(crashing)
        if identified_at is None:
            return 0
        blocked_from = identified_at + BLOCK_S
        return sum(
            1
            for runs in self.runs.values()
            for run in runs
            if run.crashing == crashing
            and run.at > blocked_from
            and self.has_no_fault(run.at - FAULT_FREE_S, run.at, ignore_caused=True)
        )

    def count_wrongly_blocked(self) -> int:
        """Return the number of harmless requests that were rejected as crashing.

        Requests with the same content count once, such as resent ones.
        """
        blocked = {
            (call.kind, call.model, call.subject)
            for call in self.calls.values()
            if not call.crashing and BLOCKED_TEXT in call.reason
        }
        return len(blocked)

    def check(self, joined_allowed: int = 0) -> list[str]:
        """Return the violated guarantees.

        Args:
            joined_allowed: Streams that callers may have joined from two software
                versions by resuming them.
        """
        violations = self.judge_order().list_violations(joined_allowed)
        violations += self.violations
        for call in self.calls.values():
            violations += self._check_call(call)
        violations += self._check_tries()
        violations += self._check_versions()
        for service in self.arrivals:
            violations += self.check_retries(service)
        for name, crashes in self.crashes.items():
            late = self.count_late_runs(name)
            if late > RETRIES_ALLOWED:
                violations.append(
                    f"crashing: {name} ran {late} times after it had to be blocked; "
                    f"{len(crashes)} runners crashed"
                )
        violations += self.signals.check()
        violations += self.streams.check(self.leaving)
        violations += self._check_fences()
        unknown = set(self.runs) - set(self.calls)
        violations += [f"unasked: {each} ran but no caller sent it" for each in unknown]
        return violations

    def judge_order(self) -> OrderReport:
        """Judge the order of all streams that brought events or ended well.

        A stream consists of its first response and of those that brought its rest.
        """
        streams: dict[str, list[Call]] = {}
        for call in self.calls.values():
            if call.kind.is_stream and (call.events or call.has_ended):
                first_id = call.resumes or call.request_id
                streams.setdefault(first_id, []).append(call)
        starts = self.streams.find_starts()
        report = OrderReport()
        for first_id, calls in streams.items():
            responses = [
                Response(
                    events=each.events,
                    after=each.after,
                    has_ended=each.has_ended,
                    may_resume=not each.kind.runs_once,
                )
                for each in calls
            ]
            name = f"{calls[0].kind.value} {first_id}"
            report.add(name, responses, starts)
        return report

    def list_retries(self, service: str) -> list[float]:
        """Return the times of the arrivals after the first one of each request.

        Only retries by edges count: a caller resends a request under another id.
        """
        seen = set()
        retries = []
        for at, request_id in self.arrivals.get(service, ()):
            if request_id in seen:
                retries.append(at)
            seen.add(request_id)
        return retries

    def check_retries(self, service: str) -> list[str]:
        """Check the retry budget of a service in each window.

        The budget of a window follows from its own requests, those of the previous
        window, or those of the window that began half a window earlier, whichever are
        most.
        """
        sent = sorted(
            call.sent_at for call in self.calls.values() if call.kind.service == service
        )
        retries = self.list_retries(service)
        violations = []
        for began in retries:
            count = _count_between(retries, began, began + RETRY_WINDOW_S)
            requests = max(
                _count_between(sent, began - back_s, began - back_s + RETRY_WINDOW_S)
                for back_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            allowed = RETRY_RATIO * requests + RETRY_SLACK
            if count > allowed:
                violations.append(
                    f"budget: {service} got {count} retries for {requests} requests; "
                    f"{allowed:.0f} allowed"
                )
        # One period of many retries violates the budget in many windows.
        return violations[:1]

    def _check_fences(self) -> list[str]:
        """Check that no scheduler keeps sending orders that runners must reject."""
        rejected = sum(
            self.has_no_fault(at - FAULT_FREE_S, at) for at in self.fence_rejections
        )
        if rejected <= FENCE_REJECTIONS_ALLOWED:
            return []
        return [f"fence: runners rejected {rejected} orders without a fault"]

    def _check_call(self, call: Call) -> list[str]:
        runs = self.runs.get(call.request_id, [])
        name = f"{call.kind.value} {call.request_id}"
        violations = []
        if call.mixed:
            violations.append(f"mixed: {name}: {call.mixed}")
        if call.kind.runs_once and len(runs) > 1:
            violations.append(f"twice: {name} ran {len(runs)} times")
        if call.status in RETRY_STATUSES and runs and call.kind.runs_once:
            violations.append(
                f"rejected: {name} ran though status {call.status} was returned"
            )
        wrong = self.customers.check(
            call.key, call.sent_at, call.status, ran=bool(runs)
        )
        if wrong:
            violations.append(f"key: {name} at {call.edge}: {wrong}")
        if any(run.received_key for run in runs):
            violations.append(f"key: {name} revealed its key to a runner")
        owner = self.customers.find_owner(call.key)
        if any(run.customer != owner for run in runs):
            violations.append(f"unasked: {name} ran as another customer's")
        signatures = {run.signature for run in runs}
        if call.whole and call.signature not in signatures:
            violations.append(f"mixed: {name} got the response {call.signature}")
        is_undisturbed = self.has_no_fault(call.sent_at - FAULT_FREE_S, call.ended_at)
        in_time = call.ended_at - call.sent_at < ROUTE_TIMEOUT_S
        if call.was_disconnected and in_time and not call.given_up and is_undisturbed:
            violations.append(f"lost: {name} at {call.edge} got no complete response")
        return violations

    def _check_tries(self) -> list[str]:
        """Check that a request runs once at most over all tries under one ID.

        Callers send it again only after a promise that it has not run.
        """
        runs: Counter[str] = Counter()
        for call in self.calls.values():
            if call.kind.runs_once and call.sent_id:
                runs[call.sent_id] += bool(self.runs.get(call.request_id))
        return [
            f"twice: {sent_id} ran in {count} tries"
            for sent_id, count in runs.items()
            if count > 1
        ]

    def count_kept_ids(self) -> int:
        """Return the number of requests that were sent again under their ID."""
        return sum(call.tries > 0 for call in self.calls.values())

    def _check_versions(self) -> list[str]:
        """Check that a version is applied in time, and never reverts in a process."""
        violations = []
        seen: dict[str, int] = {}
        for call in sorted(self.calls.values(), key=lambda each: each.sent_at):
            if call.version is None or call.status is None:
                continue
            has_version = call.status != 404
            if has_version:
                seen[call.edge] = max(seen.get(call.edge, 0), call.version)
                continue
            if call.version <= seen.get(call.edge, 0):
                violations.append(
                    f"config: {call.edge} no longer has version {call.version}"
                )
            accepted = self.accepted[call.version]
            late = call.sent_at > accepted + APPLY_S
            if late and self.has_no_fault(accepted - FAULT_FREE_S, call.ended_at):
                violations.append(f"config: {call.edge} lacks version {call.version}")
        return violations


def _count_between(times: list[float], began: float, ended: float) -> int:
    """Return how many of sorted times lie in `[began, ended)`."""
    return bisect_left(times, ended) - bisect_left(times, began)
