"""Blocking of requests that make their runners crash."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Final, Protocol

from attrs import define, field

from ..coordination.crashes import ClearanceStatement, CrashStatement, Statement
from ..models.crash import Charge, Clearance, RequestIdentity, RunStage
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.crashes.const import EARLY_RUN_S, SUSPICION_POINTS
from ..policy.crashes.probing import PropertyProbes
from ..policy.crashes.served_requests import ServedRequests
from ..policy.crashes.tracker import CrashTracker
from .crash_detector import RunnerCrash

MIN_REPORTED_CHARGES: Final = 2
"""Crash charges from which other edges are notified that a request has succeeded. Most
requests that a crash interrupts are charged once and served by another runner at once,
and one charge blocks no request."""

MAX_REPORTED_CRASHES: Final = 64
"""Crashes for which this edge keeps the charges that it has reported. Requests whose
connections break later, within a second, are added to the statement of the crash."""


class StatementSender(Protocol):
    """Sends crash statements to other processes."""

    def post(self, statement: Statement) -> None:
        """Queue a statement, which is sent soon."""
        ...


@define(eq=False)
class CrashFilter:
    """Reports crashes and clearances of an edge, and blocks crashing requests."""

    edge: str
    """Incarnation of this edge."""

    tracker: CrashTracker
    statement_sender: StatementSender
    clock: Callable[[], float]
    is_prober: Callable[[RequestIdentity], bool] = lambda shared: False
    """Returns whether this edge probes a blocked property."""

    probes: PropertyProbes = field(factory=PropertyProbes, init=False)
    served_requests: ServedRequests = field(factory=ServedRequests)
    served_properties: ServedRequests = field(factory=ServedRequests)
    """Properties of requests that were served, apart so that neither displaces the
    other."""

    _reported_charges: dict[str, dict[RequestIdentity, Charge]] = field(
        factory=dict, init=False
    )
    """Charges of this edge by crashed runner incarnation, oldest first."""

    _waiting: dict[str, list[tuple[RequestIdentity, Callable[[], None]]]] = field(
        factory=dict, init=False
    )
    """Requests that wait for a runner, by content."""

    def __attrs_post_init__(self) -> None:
        self.tracker.on_blocked.append(self._handle_blocked_content)

    def is_blocked(self, identity: RequestIdentity) -> bool:
        """Return whether a request is blocked and must not be sent to any runner.

        It is also blocked if a property that it shares with others is.
        """
        if self.probes.is_probe(identity):
            return self.tracker.is_blocked(identity)
        if self.tracker.is_blocked(identity):
            return True
        return any(map(self._is_property_blocked, identity.shared))

    def _is_property_blocked(self, shared: RequestIdentity) -> bool:
        """Return whether a property is blocked, and no other one explains its crashes.

        Harmless properties are often in progress beside the one that crashes runners,
        and so charged with some of its crashes, but with no others.
        """
        if not self.tracker.is_blocked(shared):
            return False
        crashes = self.tracker.list_crashes(shared)
        return not any(
            crashes
            < self.tracker.list_crashes(RequestIdentity(content, shared.variant))
            for content in self.tracker.list_blocked()
        )

    def try_probe(self, identity: RequestIdentity) -> bool:
        """Return whether a blocked request is let through, to probe a property of it.

        It must have no other blocked property, which could crash its runner instead.
        """
        if self.tracker.is_blocked(identity):
            return False
        blocked = [each for each in identity.shared if self.tracker.is_blocked(each)]
        if len(blocked) != 1 or not self.is_prober(blocked[0]):
            return False
        if self._explains_most_crashes(blocked[0]):
            return False
        return self.probes.try_begin(identity, blocked[0], self.clock())

    def _explains_most_crashes(self, shared: RequestIdentity) -> bool:
        """Return whether a blocked property has more crashes than any other one."""
        crashes = len(self.tracker.list_crashes(shared))
        others = (
            RequestIdentity(content, shared.variant)
            for content in self.tracker.list_blocked()
            if content != shared.content
        )
        return all(len(self.tracker.list_crashes(each)) < crashes for each in others)

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether one more crash would block a request."""
        return any(map(self.tracker.is_suspected, (identity, *identity.shared)))

    @contextmanager
    def call_if_blocked(
        self, identity: RequestIdentity, call: Callable[[], None]
    ) -> Iterator[None]:
        """Call a function if the request becomes blocked within the context."""
        entry = (identity, call)
        contents = {each.content for each in (identity, *identity.shared)}
        for content in contents:
            self._waiting.setdefault(content, []).append(entry)
        try:
            yield
        finally:
            for content in contents:
                waiting = self._waiting[content]
                waiting.remove(entry)
                if not waiting:
                    del self._waiting[content]

    def record_crash(self, crash: RunnerCrash) -> None:
        """Charge the requests of a crashed runner with the crash."""
        incarnation = crash.life.text
        charges_by_request = self._reported_charges.setdefault(incarnation, {})
        for each in crash.requests:
            self.probes.end(each.identity)
            if each.ran_s >= EARLY_RUN_S:
                # Shared properties crash runners at the begin of a run, if at all.
                self._acquit(each.identity.shared)
            for identity in (each.identity, *each.identity.shared):
                if not self._has_succeeded_recently(identity):
                    charge = self._make_charge(identity, each.ran_s, incarnation)
                    _keep_most_suspicious(charges_by_request, charge)
        if len(self._reported_charges) > MAX_REPORTED_CRASHES:
            del self._reported_charges[next(iter(self._reported_charges))]
        if charges_by_request:
            self._send_statement(
                CrashStatement(
                    incarnation=incarnation,
                    edge=self.edge,
                    charges=tuple(charges_by_request.values()),
                )
            )

    def record_success(self, identity: RequestIdentity) -> None:
        """Clear the charges of a request that has succeeded."""
        self.probes.end(identity)
        self.served_requests.add(identity, self.clock())
        self._clear_known(identity)
        self._acquit(identity.shared)

    def _acquit(self, shared: Iterable[RequestIdentity]) -> None:
        """Clear the charges of properties of a request whose run went on."""
        for each in shared:
            self.served_properties.add(each, self.clock())
            self._clear_known(each)

    def _clear_known(self, identity: RequestIdentity) -> None:
        lives = self.tracker.list_crashes(identity)
        if lives:
            self._clear(identity, lives, send=len(lives) >= MIN_REPORTED_CHARGES)

    def _has_succeeded_recently(self, identity: RequestIdentity) -> bool:
        now = self.clock()
        if self.served_properties.contains(identity, now):
            return True
        return self.served_requests.contains(identity, now)

    def _make_charge(
        self, identity: RequestIdentity, ran_s: float, incarnation: str
    ) -> Charge:
        content = identity.content
        return Charge(
            identity,
            incarnation,
            _get_stage(ran_s),
            variant_only=self.served_requests.contains_content(content, self.clock()),
        )

    def _clear(
        self, identity: RequestIdentity, lives: frozenset[str], *, send: bool
    ) -> None:
        statement = ClearanceStatement(
            clearance=Clearance(identity=identity, incarnations=lives)
        )
        statement.apply_to(self.tracker)
        if send:
            # The store keeps only the last value of the key.
            self.statement_sender.post(statement.merge_known(self.tracker))

    def _send_statement(self, statement: Statement) -> None:
        """Apply a statement here, and send it to all others."""
        self.statement_sender.post(statement)
        statement.apply_to(self.tracker)

    def _handle_blocked_content(self, content: str) -> None:
        """Handle blocked content: clear what succeeded here, reject what waits."""
        charges = self.tracker.list_charges(content)
        identities = {each.identity for each in charges}
        for identity in identities:
            if self._has_succeeded_recently(identity):
                self._clear(identity, self.tracker.list_crashes(identity), send=True)
        is_served = self.served_requests.contains_content(content, self.clock())
        if is_served and self.tracker.is_content_blocked(content):
            # Other variants of the content are served here, so the content as a whole
            # is not the cause of the crashes, and each variant is judged separately.
            self._clear(RequestIdentity(content, ""), frozenset(), send=True)
        blocked = [each for each in identities if self.tracker.is_blocked(each)]
        if not blocked:
            return
        log_event(
            log.CrashingRequestHeld(
                identities=tuple(sorted(each.text for each in blocked)),
                lives=tuple(sorted({each.incarnation for each in charges})),
            )
        )
        for identity, call in tuple(self._waiting.get(content, ())):
            if self.is_blocked(identity):
                call()


def _keep_most_suspicious(
    charges: dict[RequestIdentity, Charge], charge: Charge
) -> None:
    """Add a charge, unless one of a run that had begun less is known.

    Requests that share a property are charged with one crash together.
    """
    known = charges.get(charge.identity)
    points = SUSPICION_POINTS
    if known is None or points[charge.stage] >= points[known.stage]:
        charges[charge.identity] = charge


def _get_stage(ran_s: float) -> RunStage:
    """Return the stage that a run had reached.

    Args:
        ran_s: Seconds since its first event; 0 without one.
    """
    if ran_s <= 0:
        return RunStage.NOTHING_SENT
    return RunStage.OUTPUT_STARTED if ran_s < EARLY_RUN_S else RunStage.OUTPUT_ONGOING
