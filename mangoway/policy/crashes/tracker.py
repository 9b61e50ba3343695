"""Counts the crashes that each request was beside, over the whole fleet.

All that runs at a runner is cut off when it crashes, and any of it may be the cause. A
request is the cause for sure only if its runners crash each time. So each request is
charged with the crashes that it was beside; a run of it that ends well, at any runner,
clears it; and after three crashes without such a run it is held back. The further a run
had come at its crash the weaker is the suspicion, and the more crashes it takes.

What is known comes as statements under keys, from this process and from others, in any
order and more than once. Processes that know the same statements decide alike.
"""

from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, field

from ...models.crash import Charge, Clearance, RequestIdentity, RunStage
from .const import (
    MAX_BLOCKED,
    MAX_CHARGES,
    MAX_CLEARANCES,
    MOST_POINTS,
    POINTS,
    POINTS_TO_HOLD,
    POINTS_TO_HOLD_CONTENT,
)

NONE: Final[frozenset[str]] = frozenset()


@define(eq=False)
class Weight:
    """How much one crash says of one request."""

    stages: dict[RunStage, int] = field(factory=dict)
    """Statements on how far a run had come, with their number."""

    def add(self, stage: RunStage, amount: int) -> None:
        """Add a statement, or take it away."""
        self.stages[stage] = self.stages.get(stage, 0) + amount
        if self.stages[stage] <= 0:
            del self.stages[stage]

    @property
    def stage(self) -> RunStage:
        """Return how far the run had come that is the strongest suspect."""
        return max(self.stages, key=POINTS.__getitem__)

    @property
    def points(self) -> int:
        """Return the points that it counts."""
        return POINTS[self.stage]


@define(eq=False)
class ContentRecord:
    """Charges and clearances of the requests with one content."""

    charges: dict[str, dict[str, Weight]] = field(factory=dict)
    """Lives that crashed, by variant, with the statements that say so."""

    cleared: dict[str, set[str]] = field(factory=dict)
    """Lives whose crash each variant has not caused, by variant."""

    served: int = 0
    """Statements that say that another variant than the charged one was served."""

    def add(self, charge: Charge, amount: int) -> None:
        """Add a statement that a variant was beside a crash, or take it away."""
        self.served += amount * charge.alone
        lives = self.charges.setdefault(charge.identity.variant, {})
        weight = lives.setdefault(charge.life, Weight())
        weight.add(charge.stage, amount)
        if not weight.stages:
            del lives[charge.life]
        if not lives:
            del self.charges[charge.identity.variant]

    def list_lives(self, variant: str) -> frozenset[str]:
        """Return the crashes that a variant is charged with and not cleared of."""
        lives = self.charges.get(variant)
        if not lives:
            return NONE
        return frozenset(lives) - self.cleared.get(variant, NONE)

    def holds(self, variant: str) -> bool:
        """Return whether a variant is held back, by itself or with all others."""
        return self.weigh(variant) >= POINTS_TO_HOLD or self.is_content_blocked()

    def is_content_blocked(self) -> bool:
        """Return whether the content is held back, whoever sends it.

        It is what makes runners crash if several variants were beside crashes and none
        ever ended well.
        """
        if self.cleared or self.served or len(self.charges) < 2:
            return False
        points: dict[str, int] = {}
        for lives in self.charges.values():
            for life, weight in lives.items():
                points[life] = max(points.get(life, 0), weight.points)
        return sum(points.values()) >= POINTS_TO_HOLD_CONTENT

    def weigh(self, variant: str) -> int:
        """Return the points of the crashes that a variant is charged with.

        A run that came further than others before its crash shows that as much of a run
        does no harm, so that each crash counts as much as that one.
        """
        lives = self.charges.get(variant, {})
        charged = self.list_lives(variant)
        least = min((lives[each].points for each in charged), default=0)
        return len(charged) * least

    def is_empty(self) -> bool:
        """Return whether nothing is known."""
        return not self.charges and not self.cleared


@define(eq=False)
class CrashTracker:
    """Knows the crashes that requests were beside."""

    most_charges: int = MAX_CHARGES
    on_blocked: list[Callable[[str], None]] = field(factory=list)
    """Told of each content of which a request is held back from now on."""

    _records: dict[str, ContentRecord] = field(factory=dict, init=False)
    """By content."""

    _charges: dict[str, tuple[Charge, ...]] = field(factory=dict, init=False)
    """Statements of crashes by key, oldest first."""

    _held_for: dict[str, tuple[Charge, ...]] = field(factory=dict, init=False)
    """Statements that say why a request is held back, by key."""

    _clearances: dict[str, Clearance] = field(factory=dict, init=False)
    _held: dict[str, None] = field(factory=dict, init=False)
    """Contents of which a request is held back, oldest first."""

    _count: int = field(default=0, init=False)
    """Charges in `_charges`."""

    def add_crash(self, key: str, charges: Iterable[Charge]) -> None:
        """Take a statement on what was beside a crash; one under its key is replaced.

        The oldest statements go if there are too many.
        """
        added = self._replace(self._charges, key, charges)
        self._count += added
        while self._count > self.most_charges and len(self._charges) > 1:
            self.withdraw(next(iter(self._charges)))

    def add_block(self, key: str, charges: Iterable[Charge]) -> None:
        """Take a statement on why a request is held back."""
        self._replace(self._held_for, key, charges)
        if len(self._held_for) > MAX_BLOCKED:
            self.withdraw(next(iter(self._held_for)))

    def add_clearance(self, key: str, clearance: Clearance) -> None:
        """Take a statement on crashes that a request has not caused."""
        self._clearances[key] = clearance
        if len(self._clearances) > MAX_CLEARANCES:
            self.withdraw(next(iter(self._clearances)))
        identity = clearance.identity
        record = self._records.setdefault(identity.content, ContentRecord())
        record.cleared.setdefault(identity.variant, set()).update(clearance.lives)
        self._judge(identity.content)

    def withdraw(self, key: str) -> None:
        """Forget the statement under a key."""
        self._count += self._replace(self._charges, key, ())
        self._replace(self._held_for, key, ())
        clearance = self._clearances.pop(key, None)
        if clearance is not None:
            self._forget_clearance(clearance)

    def is_blocked(self, identity: RequestIdentity) -> bool:
        """Return whether a request goes to no runner any more."""
        if identity.content not in self._held:
            return False
        return self._records[identity.content].holds(identity.variant)

    def is_content_blocked(self, content: str) -> bool:
        """Return whether a content is held back, whoever sends it."""
        record = self._records.get(content)
        return record is not None and record.is_content_blocked()

    def list_crashes(self, identity: RequestIdentity) -> frozenset[str]:
        """Return the crashes that a request is charged with and not cleared of."""
        record = self._records.get(identity.content)
        return NONE if record is None else record.list_lives(identity.variant)

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether one more crash holds a request back."""
        record = self._records.get(identity.content)
        if record is None:
            return False
        return record.weigh(identity.variant) >= POINTS_TO_HOLD - MOST_POINTS

    def list_blocked(self) -> tuple[str, ...]:
        """Return the contents of which a request is held back, oldest first."""
        return tuple(self._held)

    def list_charges(self, content: str) -> tuple[Charge, ...]:
        """Return the crashes that the requests with a content are charged with."""
        record = self._records.get(content, ContentRecord())
        alone = bool(record.cleared or record.served)
        return tuple(
            Charge(
                RequestIdentity(content, variant),
                life,
                record.charges[variant][life].stage,
                alone=alone,
            )
            for variant in record.charges
            for life in sorted(record.list_lives(variant))
        )

    @property
    def is_empty(self) -> bool:
        """Return whether there is no statement at all."""
        return not (self._charges or self._held_for or self._clearances)

    @property
    def charge_count(self) -> int:
        """Return the number of charges that are kept."""
        return self._count

    def _replace(
        self,
        statements: dict[str, tuple[Charge, ...]],
        key: str,
        charges: Iterable[Charge],
    ) -> int:
        """Replace the statement under a key; returns by how many charges it grew."""
        earlier, now = statements.pop(key, ()), tuple(charges)
        if now:
            statements[key] = now
        # What stands in both is never without a statement.
        for charge in now:
            content = charge.identity.content
            self._records.setdefault(content, ContentRecord()).add(charge, 1)
        for charge in earlier:
            self._records[charge.identity.content].add(charge, -1)
        for content in {each.identity.content for each in (*now, *earlier)}:
            self._judge(content)
        return len(now) - len(earlier)

    def _forget_clearance(self, clearance: Clearance) -> None:
        identity = clearance.identity
        record = self._records[identity.content]
        left = [
            each.lives
            for each in self._clearances.values()
            if each.identity == identity
        ]
        if left:
            record.cleared[identity.variant] = set().union(*left)
        else:
            record.cleared.pop(identity.variant, None)
        self._judge(identity.content)

    def _judge(self, content: str) -> None:
        """Work out anew whether a request with a content is held back."""
        record = self._records[content]
        if record.is_empty():
            del self._records[content]
        # A record without charges holds nothing.
        held = any(record.holds(variant) for variant in record.charges)
        if not held:
            self._held.pop(content, None)
        elif content not in self._held:
            self._held[content] = None
            for call in self.on_blocked:
                call(content)
