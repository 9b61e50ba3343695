"""Recent spending of customers."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from .const import SLOT_S, SPENDING_RETENTION_S


@frozen
class SpendingEntry:
    """Amount that a customer spent around one time."""

    customer: str
    age_s: float
    """Age of the spending in seconds."""

    amount: float


@define(eq=False)
class SpendingHistory:
    """Amounts by customer and time, kept for `SPENDING_RETENTION_S`.

    An amount counts as spent at the end of its slot: with an earlier time, the refill
    since then would be too large.
    """

    _slots: dict[str, deque[tuple[float, float]]] = field(factory=dict, init=False)
    """End and amount of each slot, oldest first."""

    def add(self, customer: str, amount: float, at: float) -> None:
        """Add an amount that was spent at a time; a negative amount is a refund."""
        slots = self._slots.setdefault(customer, deque())
        end = (at // SLOT_S + 1) * SLOT_S
        later_slots = []
        while slots and slots[-1][0] > end:
            later_slots.append(slots.pop())
        if slots and slots[-1][0] == end:
            amount += slots.pop()[1]
        slots.append((end, amount))
        slots.extend(reversed(later_slots))
        while slots and slots[0][0] < slots[-1][0] - SPENDING_RETENTION_S:
            slots.popleft()

    def list_slots(self, customer: str, now: float) -> list[tuple[float, float]]:
        """Return end time and amount of a customer's recent slots, oldest first."""
        slots = self._slots.get(customer, ())
        return [
            (min(end, now), amount)
            for end, amount in slots
            if end >= now - SPENDING_RETENTION_S
        ]

    def list_all(self, now: float) -> Iterable[SpendingEntry]:
        """Yield the recent spending of all customers."""
        for customer in self._slots:
            for at, amount in self.list_slots(customer, now):
                yield SpendingEntry(customer, now - at, amount)
