"""Sets with random sampling."""

from random import Random
from typing import Generic, TypeVar

from attrs import define, field

ItemT = TypeVar("ItemT")


@define(eq=False)
class RandomSet(Generic[ItemT]):
    """A set with updates and random sampling in constant time, in a stable order."""

    items: list[ItemT] = field(factory=list)
    _positions: dict[ItemT, int] = field(factory=dict)

    def add(self, item: ItemT) -> None:
        """Add an item if it is missing."""
        if item not in self._positions:
            self._positions[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: ItemT) -> None:
        """Remove an item if it is present."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self.items.pop()
        if position < len(self.items):
            self.items[position] = last
            self._positions[last] = position

    def sample(self, count: int, rng: Random) -> list[ItemT]:
        """Return up to `count` distinct random items."""
        size = len(self.items)
        if size <= count:
            return list(self.items)
        positions: dict[int, None] = {}
        while len(positions) < count:
            positions[int(rng.random() * size)] = None
        return [self.items[position] for position in positions]

    def __contains__(self, item: ItemT) -> bool:
        return item in self._positions

    def __len__(self) -> int:
        return len(self.items)
