"""Tracks the runner crashes that interrupted each request, over the whole fleet.

A crash interrupts all requests in progress at its runner, and any of them may be the
cause. A request is certainly the cause only if its runners crash each time. Each
request is therefore charged with the crashes that interrupted it, and a successful run
at any runner clears it. After three crashes without a successful run it is blocked. The
further a run had progressed before its crash, the weaker the suspicion and the more
crashes are required.

The input consists of keyed statements from this process and others, in any order and
possibly repeated. Processes with the same statements make the same decisions.
A crash or block statement replaces the one under the same key. Clearances under one key
come from any process, so they are merged, and each process writes the merged one.
"""

from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, evolve, field

from ...models.crash import Charge, Clearance, RequestIdentity, RunStage
from .const import (
    BLOCK_POINTS,
    CONTENT_BLOCK_POINTS,
    MAX_BLOCKED,
    MAX_CHARGES,
    MAX_CLEARANCES,
    MAX_CLEARED_INCARNATIONS,
    MAX_SUSPICION_POINTS,
    SUSPICION_POINTS,
)

NO_CRASHES: Final[frozenset[str]] = frozenset()


@define(eq=False)
class CrashEvidence:
    """Evidence that one crash provides against one request."""

    stages: dict[RunStage, int] = field(factory=dict)
    """Number of statements by the progress of the run that they report."""

    def add(self, stage: RunStage, amount: int) -> None:
        """Add a statement (`amount` 1) or remove one (-1)."""
        self.stages[stage] = self.stages.get(stage, 0) + amount
        if self.stages[stage] <= 0:
            del self.stages[stage]

    @property
    def stage(self) -> RunStage:
        """Return the progress of the most suspicious run."""
        return max(self.stages, key=SUSPICION_POINTS.__getitem__)

    @property
    def points(self) -> int:
        """Return the suspicion points of this crash."""
        return SUSPICION_POINTS[self.stage]


@define(eq=False)
class ContentRecord:
    """Charges and clearances of all requests with the same content."""

    charges: dict[str, dict[str, CrashEvidence]] = field(factory=dict)
    """Evidence by variant, and by the runner incarnation that crashed."""

    cleared: dict[str, frozenset[str]] = field(factory=dict)
    """Runner incarnations whose crash was not caused by a variant, by variant."""

    served_statements: int = 0
    """Number of statements that another variant than the charged one was served."""

    def add(self, charge: Charge, amount: int) -> None:
        """Add (`amount` 1) or remove (-1) a charge against a variant."""
        self.served_statements += amount * charge.variant_only
        crashes = self.charges.setdefault(charge.identity.variant, {})
        evidence = crashes.setdefault(charge.incarnation, CrashEvidence())
        evidence.add(charge.stage, amount)
        if not evidence.stages:
            del crashes[charge.incarnation]
        if not crashes:
            del self.charges[charge.identity.variant]

    def list_variant_crashes(self, variant: str) -> frozenset[str]:
        """Return the runner incarnations that a variant is charged with crashing.

        Crashes that it is cleared of are left out.
        """
        crashes = self.charges.get(variant)
        if not crashes:
            return NO_CRASHES
        return frozenset(crashes) - self.cleared.get(variant, NO_CRASHES)

    def is_variant_blocked(self, variant: str) -> bool:
        """Return whether a variant is blocked, by itself or with all others."""
        return self.compute_points(variant) >= BLOCK_POINTS or self.is_content_blocked()

    def is_content_blocked(self) -> bool:
        """Return whether the content is blocked for all senders.

        The content itself is the cause if crashes interrupted several variants and none
        was ever served.
        """
        if self.cleared or self.served_statements or len(self.charges) < 2:
            return False
        points: dict[str, int] = {}
        for crashes in self.charges.values():
            for incarnation, evidence in crashes.items():
                points[incarnation] = max(points.get(incarnation, 0), evidence.points)
        return sum(points.values()) >= CONTENT_BLOCK_POINTS

    def compute_points(self, variant: str) -> int:
        """Return the suspicion points of the crashes that a variant is charged with.

        The run that progressed furthest before its crash shows that running that far is
        harmless, so each crash counts only as many points as that one.
        """
        crashes = self.charges.get(variant, {})
        charged = self.list_variant_crashes(variant)
        min_points = min((crashes[each].points for each in charged), default=0)
        return len(charged) * min_points

    def is_empty(self) -> bool:
        """Return whether there are neither charges nor clearances."""
        return not self.charges and not self.cleared


@define(eq=False)
class CrashTracker:
    """Tracks which crashes interrupted which requests, and decides which to block."""

    max_charges: int = MAX_CHARGES
    on_blocked: list[Callable[[str], None]] = field(factory=list)
    """Called with a content when one of its requests becomes blocked."""

    _records: dict[str, ContentRecord] = field(factory=dict, init=False)
    """By content."""

    _charges: dict[str, tuple[Charge, ...]] = field(factory=dict, init=False)
    """Charges of each crash statement, by key, oldest first."""

    _block_charges: dict[str, tuple[Charge, ...]] = field(factory=dict, init=False)
    """Charges of each statement that blocks a request, by key."""

    _clearances: dict[str, Clearance] = field(factory=dict, init=False)
    """Merged clearances by key, the least recently added to first."""

    _blocked: dict[str, None] = field(factory=dict, init=False)
    """Contents with a blocked request, oldest first."""

    _charge_count: int = field(default=0, init=False)
    """Number of charges in `_charges`."""

    def add_crash(self, key: str, charges: Iterable[Charge]) -> None:
        """Add a statement on the requests that a crash interrupted.

        It replaces the statement under the same key. If there are too many charges, the
        oldest statements are dropped.
        """
        added = self._replace(self._charges, key, charges)
        self._charge_count += added
        while self._charge_count > self.max_charges and len(self._charges) > 1:
            self.withdraw(next(iter(self._charges)))

    def add_block(self, key: str, charges: Iterable[Charge]) -> None:
        """Add a statement on the charges for which a request is blocked."""
        self._replace(self._block_charges, key, charges)
        if len(self._block_charges) > MAX_BLOCKED:
            self.withdraw(next(iter(self._block_charges)))

    def add_clearance(self, key: str, clearance: Clearance) -> None:
        """Add a statement on crashes that a request has not caused.

        It is merged with the statement under the same key. Each request has one key.
        """
        identity = clearance.identity
        merged = clearance.incarnations
        previous = self._clearances.pop(key, None)
        if previous is not None:
            merged |= previous.incarnations
        merged = _limit_incarnations(merged)
        self._clearances[key] = evolve(clearance, incarnations=merged)
        if len(self._clearances) > MAX_CLEARANCES:
            self.withdraw(next(iter(self._clearances)))
        record = self._records.setdefault(identity.content, ContentRecord())
        record.cleared[identity.variant] = merged
        self._update_blocked(identity.content)

    def withdraw(self, key: str) -> None:
        """Remove the statement under a key."""
        self._charge_count += self._replace(self._charges, key, ())
        self._replace(self._block_charges, key, ())
        clearance = self._clearances.pop(key, None)
        if clearance is not None:
            identity = clearance.identity
            self._records[identity.content].cleared.pop(identity.variant, None)
            self._update_blocked(identity.content)

    def find_clearance(self, key: str) -> Clearance | None:
        """Return all that was added by clearances under a key."""
        return self._clearances.get(key)

    def is_blocked(self, identity: RequestIdentity) -> bool:
        """Return whether a request must not be sent to any runner."""
        if identity.content not in self._blocked:
            return False
        return self._records[identity.content].is_variant_blocked(identity.variant)

    def is_content_blocked(self, content: str) -> bool:
        """Return whether a content is blocked for all senders."""
        record = self._records.get(content)
        return record is not None and record.is_content_blocked()

    def list_crashes(self, identity: RequestIdentity) -> frozenset[str]:
        """Return the runner incarnations that a request is charged with crashing.

        Crashes that it is cleared of are left out.
        """
        record = self._records.get(identity.content)
        return (
            NO_CRASHES
            if record is None
            else record.list_variant_crashes(identity.variant)
        )

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether one more crash may block a request."""
        record = self._records.get(identity.content)
        if record is None:
            return False
        return (
            record.compute_points(identity.variant)
            >= BLOCK_POINTS - MAX_SUSPICION_POINTS
        )

    def list_blocked(self) -> tuple[str, ...]:
        """Return the contents with a blocked request, oldest first."""
        return tuple(self._blocked)

    def list_charges(self, content: str) -> tuple[Charge, ...]:
        """Return the uncleared charges of all requests with a content."""
        record = self._records.get(content, ContentRecord())
        variant_only = bool(record.cleared or record.served_statements)
        return tuple(
            Charge(
                RequestIdentity(content, variant),
                incarnation,
                record.charges[variant][incarnation].stage,
                variant_only=variant_only,
            )
            for variant in record.charges
            for incarnation in sorted(record.list_variant_crashes(variant))
        )

    @property
    def is_empty(self) -> bool:
        """Return whether there are no statements."""
        return not (self._charges or self._block_charges or self._clearances)

    @property
    def charge_count(self) -> int:
        """Return the number of stored charges."""
        return self._charge_count

    def _replace(
        self,
        statements: dict[str, tuple[Charge, ...]],
        key: str,
        charges: Iterable[Charge],
    ) -> int:
        """Replace the statement under a key; return the change of the charge count."""
        previous, current = statements.pop(key, ()), tuple(charges)
        if current:
            statements[key] = current
        # Adding before removing keeps a charge that is in both statements in place.
        for charge in current:
            content = charge.identity.content
            self._records.setdefault(content, ContentRecord()).add(charge, 1)
        for charge in previous:
            self._records[charge.identity.content].add(charge, -1)
        for content in {each.identity.content for each in (*current, *previous)}:
            self._update_blocked(content)
        return len(current) - len(previous)

    def _update_blocked(self, content: str) -> None:
        """Update whether a request with a content is blocked."""
        record = self._records[content]
        if record.is_empty():
            del self._records[content]
        # A record without charges blocks nothing.
        blocked = any(record.is_variant_blocked(variant) for variant in record.charges)
        if not blocked:
            self._blocked.pop(content, None)
        elif content not in self._blocked:
            self._blocked[content] = None
            for callback in self.on_blocked:
                callback(content)


def _limit_incarnations(incarnations: frozenset[str]) -> frozenset[str]:
    """Return the runner incarnations of a clearance that are kept, the latest started.

    The selection depends on the texts only, so that processes that merge the same
    clearances in another order keep the same ones.
    """
    if len(incarnations) <= MAX_CLEARED_INCARNATIONS:
        return incarnations
    latest_first = sorted(incarnations, key=_get_start_order, reverse=True)
    return frozenset(latest_first[:MAX_CLEARED_INCARNATIONS])


def _get_start_order(incarnation: str) -> tuple[int, str, str]:
    """Return a sort key by start, which is the decimal number at the end of the text.

    Strings from the store are compared unparsed, since they may hold anything.
    """
    start = incarnation.rpartition("@")[2]
    return len(start), start, incarnation
