"""What callers and runners have seen, and the promises that it must keep."""

import time
from bisect import bisect_left
from enum import Enum
from random import Random

from attrs import define, field, frozen

from .customers import Customers
from .signals import SignalRecords

RETRY_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

DRAIN_S = 2.0
"""Time after a runner's announced leaving from which nothing may reach it."""

APPLY_S = 2.0
"""Time in which an accepted configuration is in force."""

ROUTE_TIMEOUT_S = 3.0
"""Longest time for which a request is kept; all routes of a soak have this one."""

CALM_S = 3.0
"""Time without a fault from which bounds in time hold again."""

CRASHES_ALLOWED = 3
"""Runners that one request may make crash before it must be known."""

RETRIES_ALLOWED = 3
"""Runs that such a request may still get once it must be known."""

KNOWN_S = 3.0
"""Time from the third crash in which all of the system must know the request."""


RETRY_RATIO = 0.2
RETRY_SLACK = 12
RETRY_WINDOW_S = 4.0
"""What the fleet is told of the budget for repeats of each service."""

HELD_BACK = "makes its runners crash"
"""Words of the refusal of such a request."""


class Kind(Enum):
    """What may be repeated."""

    SAFE = "safe"
    ONCE = "non_idempotent"
    STREAM = "stream"
    """A stream that may be resumed."""

    FIXED_STREAM = "fixed"
    """A stream that may not."""

    @property
    def service(self) -> str:
        """Return the service that the route goes to."""
        return "llm" if self in (Kind.STREAM, Kind.FIXED_STREAM) else "plain"

    @property
    def runs_once(self) -> bool:
        """Return whether a request may run once at most."""
        return self in (Kind.ONCE, Kind.FIXED_STREAM)


@frozen(kw_only=True)
class Run:
    """A runner began to work on a request."""

    runner_id: str
    at: float
    signature: str
    crashing: str = ""
    """Name of the request if it makes its runners crash; empty for all others."""

    customer: str = ""
    """Who asks, as the runner was told."""

    saw_key: bool = False
    """Whether the key went on to the runner."""


@define(kw_only=True)
class Call:
    """One request of a caller, and what came of it."""

    request_id: str
    kind: Kind
    edge: str
    sent_at: float
    version: int | None = None
    """Configuration that added its route; None: the first one."""

    crashing: str = ""
    """Name of the request if it makes its runners crash; empty for all others."""

    key: str = ""
    """The key that it shows."""

    reason: str = ""
    """Why it was refused, in the words of the answer."""

    model: str = ""
    subject: str = ""
    """Its own part of the prompt, which it keeps when it is sent again."""

    status: int | None = None
    signature: str = ""
    whole: bool = False
    """Whether a success ended as complete."""

    mixed: str = ""
    """What in the answer belongs to no such request; empty if nothing does."""

    broken: bool = False
    """Whether the connection ended without a complete answer."""

    given_up: bool = False
    """Whether the caller left before the answer."""

    ended_at: float = 0.0


@define
class Span:
    """A time in which something was disturbed."""

    what: str
    began: float
    ended: float | None = None
    planned: bool = False
    """Whether it was planned work, which must break nothing off."""

    caused: bool = False
    """Whether a request brought it about, which is no excuse for sending it again."""


@define(eq=False)
class Records:
    """All that was seen from outside the system."""

    calls: dict[str, Call] = field(factory=dict, init=False)
    runs: dict[str, list[Run]] = field(factory=dict, init=False)
    arrivals: dict[str, list[tuple[float, str]]] = field(factory=dict, init=False)
    """Time and request of what reached the runners of each service, run or refused."""

    spans: list[Span] = field(factory=list, init=False)
    leaving: dict[str, float] = field(factory=dict, init=False)
    """Runners with the time at which the store took their leaving."""

    accepted: dict[int, float] = field(factory=dict, init=False)
    """Versions of the configuration with the time of the store's answer."""

    crashes: dict[str, list[float]] = field(factory=dict, init=False)
    """Times at which each request that makes its runners crash did so."""

    broken: list[str] = field(factory=list, init=False)
    """Promises that were broken, as sentences."""

    customers: Customers = field(factory=lambda: Customers(Random(0)))
    signals: SignalRecords = field(factory=SignalRecords, init=False)

    def begin(self, what: str, *, planned: bool = False, caused: bool = False) -> Span:
        """Note that something is disturbed from now on."""
        span = Span(what, time.monotonic(), planned=planned, caused=caused)
        self.spans.append(span)
        return span

    def note_arrival(self, service: str, runner_id: str, request_id: str) -> None:
        """Note that a request reached a runner, which runs or refuses it."""
        rows = self.arrivals.setdefault(service, [])
        rows.append((time.monotonic(), request_id))
        call = self.calls.get(request_id)
        if call is not None:
            self.signals.note_arrival(runner_id, call.edge, call.sent_at)

    def find_edge(self, request_id: str) -> str:
        """Return the edge to which a request was sent; empty if nobody sent it."""
        call = self.calls.get(request_id)
        return "" if call is None else call.edge

    def note_run(self, request_id: str, run: Run) -> None:
        """Note that a runner works on a request."""
        self.runs.setdefault(request_id, []).append(run)
        left_at = self.leaving.get(run.runner_id)
        if left_at is not None and run.at - left_at > DRAIN_S:
            if self.is_calm(left_at - CALM_S, run.at):
                late_s = run.at - left_at
                self.broken.append(
                    f"drain: {request_id} reached {run.runner_id} {late_s:.1f} s late"
                )

    def is_calm(self, began: float, ended: float, *, but_caused: bool = False) -> bool:
        """Return whether no unplanned fault touches a time.

        Args:
            began: Begin of the time.
            ended: Its end.
            but_caused: Whether what requests brought about is passed over.
        """
        return not any(
            span.began <= ended and (span.ended is None or span.ended + CALM_S >= began)
            for span in self.spans
            if not span.planned and not (but_caused and span.caused)
        )

    def find_noticed(self, crashing: str) -> float | None:
        """Return when a request could be known: at its third crash.

        It may be known before, since crashes of others beside it count as well: then
        it is when it was first refused for that.
        """
        crashes = self.crashes.get(crashing, [])[CRASHES_ALLOWED - 1 :]
        refused = [
            call.ended_at
            for call in self.calls.values()
            if call.crashing == crashing and HELD_BACK in call.reason and call.ended_at
        ]
        return min([*crashes, *refused], default=None)

    def count_late_retries(self, crashing: str) -> int:
        """Return the runs of a request that came after all had to know it."""
        noticed_at = self.find_noticed(crashing)
        if noticed_at is None:
            return 0
        known_at = noticed_at + KNOWN_S
        return sum(
            1
            for runs in self.runs.values()
            for run in runs
            if run.crashing == crashing
            and run.at > known_at
            and self.is_calm(run.at - CALM_S, run.at, but_caused=True)
        )

    def count_held_back(self) -> int:
        """Return the innocent requests that were refused for making runners crash."""
        held = {
            (call.kind, call.model, call.subject)
            for call in self.calls.values()
            if not call.crashing and HELD_BACK in call.reason
        }
        return len(held)

    def check(self) -> list[str]:
        """Return the promises that were broken."""
        broken = list(self.broken)
        for call in self.calls.values():
            broken += self._check_call(call)
        broken += self._check_versions()
        for service in self.arrivals:
            broken += self.check_repeats(service)
        for name, crashes in self.crashes.items():
            late = self.count_late_retries(name)
            if late > RETRIES_ALLOWED:
                broken.append(
                    f"crashing: {name} ran {late} times though it was to be known; "
                    f"{len(crashes)} runners crashed"
                )
        broken += self.signals.check()
        unasked = set(self.runs) - set(self.calls)
        broken += [f"unasked: {each} ran and nobody sent it" for each in unasked]
        return broken

    def list_repeats(self, service: str) -> list[float]:
        """Return the times of a service's arrivals beyond the first of a request."""
        seen = set()
        repeats = []
        for at, request_id in self.arrivals.get(service, ()):
            if request_id in seen:
                repeats.append(at)
            seen.add(request_id)
        return repeats

    def check_repeats(self, service: str) -> list[str]:
        """Check the budget for repeats of a service in each window.

        A window is held against its requests, those of the one before it, or those of
        the one half a window before it, whichever are most.
        """
        sent = sorted(
            call.sent_at for call in self.calls.values() if call.kind.service == service
        )
        repeats = self.list_repeats(service)
        broken = []
        for began in repeats:
            count = _count_between(repeats, began, began + RETRY_WINDOW_S)
            requests = max(
                _count_between(sent, began - back_s, began - back_s + RETRY_WINDOW_S)
                for back_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            allowed = RETRY_RATIO * requests + RETRY_SLACK
            if count > allowed:
                broken.append(
                    f"budget: {service} got {count} repeats for {requests} requests; "
                    f"{allowed:.0f} allowed"
                )
        # One spell breaks it in many windows.
        return broken[:1]

    def _check_call(self, call: Call) -> list[str]:
        runs = self.runs.get(call.request_id, [])
        name = f"{call.kind.value} {call.request_id}"
        broken = []
        if call.mixed:
            broken.append(f"mixed: {name}: {call.mixed}")
        if call.kind.runs_once and len(runs) > 1:
            broken.append(f"twice: {name} ran {len(runs)} times")
        if call.status in RETRY_STATUSES and runs and call.kind.runs_once:
            broken.append(f"refused: {name} was told {call.status} and ran")
        wrong = self.customers.check(
            call.key, call.sent_at, call.status, ran=bool(runs)
        )
        if wrong:
            broken.append(f"key: {name} at {call.edge}: {wrong}")
        if any(run.saw_key for run in runs):
            broken.append(f"key: {name} showed its key to a runner")
        owner = self.customers.find_owner(call.key)
        if any(run.customer != owner for run in runs):
            broken.append(f"unasked: {name} ran as another customer's")
        signatures = {run.signature for run in runs}
        if call.whole and call.signature not in signatures:
            broken.append(f"mixed: {name} got the answer {call.signature}")
        calm = self.is_calm(call.sent_at - CALM_S, call.ended_at)
        in_time = call.ended_at - call.sent_at < ROUTE_TIMEOUT_S
        if call.broken and in_time and not call.given_up and calm:
            broken.append(f"lost: {name} at {call.edge} ended without an answer")
        return broken

    def _check_versions(self) -> list[str]:
        """Check that a version is in force in time, and never reverts in a process."""
        broken = []
        seen: dict[str, int] = {}
        for call in sorted(self.calls.values(), key=lambda each: each.sent_at):
            if call.version is None or call.status is None:
                continue
            known = call.status != 404
            if known:
                seen[call.edge] = max(seen.get(call.edge, 0), call.version)
                continue
            if call.version <= seen.get(call.edge, 0):
                broken.append(f"config: {call.edge} forgot version {call.version}")
            accepted = self.accepted[call.version]
            late = call.sent_at > accepted + APPLY_S
            if late and self.is_calm(accepted - CALM_S, call.ended_at):
                broken.append(f"config: {call.edge} lacks version {call.version}")
        return broken


def _count_between(times: list[float], began: float, ended: float) -> int:
    """Return how many of sorted times lie in `[began, ended)`."""
    return bisect_left(times, ended) - bisect_left(times, began)
