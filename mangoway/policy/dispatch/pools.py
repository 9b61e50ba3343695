"""Sets that can be drawn from at random."""

from random import Random
from typing import Generic, TypeVar

from attrs import define, field

ItemT = TypeVar("ItemT")


@define(eq=False)
class Pool(Generic[ItemT]):
    """A set with constant-time change and random choice, in a stable order."""

    items: list[ItemT] = field(factory=list)
    _places: dict[ItemT, int] = field(factory=dict)

    def add(self, item: ItemT) -> None:
        """Add an item once."""
        if item not in self._places:
            self._places[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: ItemT) -> None:
        """Remove an item if it is there."""
        place = self._places.pop(item, None)
        if place is None:
            return
        last = self.items.pop()
        if place < len(self.items):
            self.items[place] = last
            self._places[last] = place

    def draw(self, count: int, rng: Random) -> list[ItemT]:
        """Return up to `count` different items at random."""
        size = len(self.items)
        if size <= count:
            return list(self.items)
        places: dict[int, None] = {}
        while len(places) < count:
            places[int(rng.random() * size)] = None
        return [self.items[place] for place in places]

    def __contains__(self, item: ItemT) -> bool:
        return item in self._places

    def __len__(self) -> int:
        return len(self.items)
