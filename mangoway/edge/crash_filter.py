"""Keeps requests that make their runners crash away from runners."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, Protocol

from attrs import define, field

from ..coordination.crashes import ClearedStatement, CrashStatement, Statement
from ..models.crash import Charge, Clearance, RequestIdentity, RunStage
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.crashes.const import BEGIN_S
from ..policy.crashes.served_requests import ServedRequests
from ..policy.crashes.tracker import CrashTracker
from .crash_detector import InterruptedRequest, RunnerCrash

TOLD_FROM: Final = 2
"""Charges from which others are told that a request has ended well. Most of what a
crash cuts off is charged once and served elsewhere at once; one charge holds nobody
back."""

MAX_OWN_LIVES: Final = 64
"""Crashes of which this edge remembers what it has told: what breaks later is added to
the statement of its life, within a second."""


class StatementSender(Protocol):
    """Tells other processes."""

    def post(self, statement: Statement) -> None:
        """Tell a statement soon."""
        ...


@define(eq=False)
class CrashFilter:
    """What an edge adds to the book of crashes, and what it takes from it."""

    edge: str
    """Incarnation of this edge."""

    tracker: CrashTracker
    statement_sender: StatementSender
    clock: Callable[[], float]
    served_requests: ServedRequests = field(factory=ServedRequests)
    _own: dict[str, dict[RequestIdentity, Charge]] = field(factory=dict, init=False)
    """What this edge had at each life that crashed, oldest first."""

    _waiting: dict[str, list[tuple[RequestIdentity, Callable[[], None]]]] = field(
        factory=dict, init=False
    )
    """Requests that wait for a runner, by content."""

    def __attrs_post_init__(self) -> None:
        self.tracker.on_blocked.append(self._note_held)

    def is_blocked(self, identity: RequestIdentity) -> bool:
        """Return whether a request must go to no runner."""
        return self.tracker.is_blocked(identity)

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether one more crash holds a request back."""
        return self.tracker.is_suspected(identity)

    @contextmanager
    def call_if_held(
        self, identity: RequestIdentity, call: Callable[[], None]
    ) -> Iterator[None]:
        """Call back if a request becomes held back meanwhile."""
        entry = (identity, call)
        self._waiting.setdefault(identity.content, []).append(entry)
        try:
            yield
        finally:
            waiting = self._waiting[identity.content]
            waiting.remove(entry)
            if not waiting:
                del self._waiting[identity.content]

    def record_crash(self, crash: RunnerCrash) -> None:
        """Charge the requests that a crashed runner had with the crash."""
        life = crash.life.text
        own = self._own.setdefault(life, {})
        for each in crash.requests:
            if not self._has_just_ended_well(each.identity):
                own[each.identity] = self._make_charge(each, life)
        if len(self._own) > MAX_OWN_LIVES:
            del self._own[next(iter(self._own))]
        if own:
            self._tell(
                CrashStatement(life=life, edge=self.edge, charges=tuple(own.values()))
            )

    def record_success(self, identity: RequestIdentity) -> None:
        """Clear a request that has ended well."""
        self.served_requests.note(identity, self.clock())
        lives = self.tracker.list_crashes(identity)
        if lives:
            self._clear(identity, lives, told=len(lives) >= TOLD_FROM)

    def _has_just_ended_well(self, identity: RequestIdentity) -> bool:
        return self.served_requests.knows(identity, self.clock())

    def _make_charge(self, lost: InterruptedRequest, life: str) -> Charge:
        content = lost.identity.content
        return Charge(
            lost.identity,
            life,
            _get_stage(lost.ran_s),
            alone=self.served_requests.contains_content(content, self.clock()),
        )

    def _clear(
        self, identity: RequestIdentity, lives: frozenset[str], *, told: bool
    ) -> None:
        statement = ClearedStatement(
            clearance=Clearance(identity=identity, lives=lives)
        )
        if told:
            self._tell(statement)
        else:
            statement.take(self.tracker)

    def _tell(self, statement: Statement) -> None:
        """Take a statement here, and tell it to all others."""
        self.statement_sender.post(statement)
        statement.take(self.tracker)

    def _note_held(self, content: str) -> None:
        """Object if this edge knows better; else answer what waits."""
        charges = self.tracker.list_charges(content)
        identities = {each.identity for each in charges}
        for identity in identities:
            if self._has_just_ended_well(identity):
                self._clear(identity, self.tracker.list_crashes(identity), told=True)
        served = self.served_requests.contains_content(content, self.clock())
        if served and self.tracker.holds_all(content):
            # Others with this content are served, so it takes one of them by itself.
            self._clear(RequestIdentity(content, ""), frozenset(), told=True)
        held = [each for each in identities if self.tracker.is_blocked(each)]
        if not held:
            return
        log_event(
            log.CrashingRequestHeld(
                identities=tuple(sorted(each.text for each in held)),
                lives=tuple(sorted({each.life for each in charges})),
            )
        )
        for identity, call in tuple(self._waiting.get(content, ())):
            if self.tracker.is_blocked(identity):
                call()


def _get_stage(ran_s: float) -> RunStage:
    """Return how far a run had come.

    Args:
        ran_s: Seconds since its first event; 0 without one.
    """
    if ran_s <= 0:
        return RunStage.NOTHING_SENT
    return RunStage.BEGUN if ran_s < BEGIN_S else RunStage.GOING_ON
