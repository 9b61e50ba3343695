"""A link that loses, delays and duplicates orders to an engine."""

from random import Random

from attrs import define, field, frozen

from mangoway.models.order import Order


@frozen(kw_only=True)
class LinkFaults:
    """Share of orders with each fault, from 0 to 1."""

    lost: float = 0.0
    delayed: float = 0.0
    doubled: float = 0.0
    answer_lost: float = 0.0
    delay_s: float = 5.0
    """Longest delay of a delayed order."""


@frozen(kw_only=True)
class Delivery:
    """One arrival of an order at its engine."""

    time: float
    order: Order
    answers: bool
    """Whether the sender receives the engine's response to this arrival."""


@define
class OrderLink:
    """Chooses when and how often each order arrives."""

    random: Random
    latency_s: float = 0.001
    faults: LinkFaults = field(factory=LinkFaults)

    def send(self, now: float, order: Order) -> tuple[Delivery, ...]:
        """Return the arrivals of an order sent at `now`; empty if it is lost."""
        faults = self.faults
        if self.random.random() < faults.lost:
            return ()
        time = now + self.latency_s
        if self.random.random() < faults.delayed:
            time += self.random.uniform(0.0, faults.delay_s)
        answers = self.random.random() >= faults.answer_lost
        first = Delivery(time=time, order=order, answers=answers)
        if self.random.random() >= faults.doubled:
            return (first,)
        late = time + self.random.uniform(0.0, faults.delay_s)
        return (first, Delivery(time=late, order=order, answers=False))
