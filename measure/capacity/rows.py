"""Rows of a role, and their sum."""

from attrs import field, frozen

from .target import BUDGET, ControlBudget


@frozen(kw_only=True)
class Row:
    """One part of what a role does."""

    what: str
    mechanism: str
    """Modules that carry it."""

    messages: float = 0.0
    """Messages a second that the process sends or answers."""

    sent: float = 0.0
    received: float = 0.0
    """Bytes a second."""

    core_share: float = 0.0
    memory_mb: float = 0.0


@frozen(kw_only=True)
class Role:
    """A role with its rows."""

    name: str
    rows: tuple[Row, ...]
    remedies: tuple[str, ...] = ()
    """What would make it fit where it does not."""

    is_control: bool = True
    budget: ControlBudget = field(default=BUDGET)

    @property
    def total(self) -> Row:
        """Return the sum of the rows."""
        return Row(
            what="all",
            mechanism="",
            messages=sum(row.messages for row in self.rows),
            sent=sum(row.sent for row in self.rows),
            received=sum(row.received for row in self.rows),
            core_share=sum(row.core_share for row in self.rows),
            memory_mb=sum(row.memory_mb for row in self.rows),
        )
