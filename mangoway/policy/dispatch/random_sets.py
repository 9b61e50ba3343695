"""Sets with random sampling."""

from random import Random
from typing import Generic, TypeVar

from attrs import define, field

ItemT = TypeVar("ItemT")


@define(eq=False)
class RandomSet(Generic[ItemT]):
    """A set with updates and random sampling in constant time, in a stable order."""

    items: list[ItemT] = field(factory=list)
    _places: dict[ItemT, int] = field(factory=dict)

    def add(self, item: ItemT) -> None:
        """Add an item if it is missing."""
        if item not in self._places:
            self._places[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: ItemT) -> None:
        """Remove an item if it is present."""
        place = self._places.pop(item, None)
        if place is None:
            return
        last = self.items.pop()
        if place < len(self.items):
            self.items[place] = last
            self._places[last] = place

    def sample(self, count: int, rng: Random) -> list[ItemT]:
        """Return up to `count` distinct random items."""
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
