"""Cache of prompt prefixes in an engine, with a limited number of blocks."""

from collections import OrderedDict, deque

from mangoway.models.upstream import CacheChange


class PrefixCache:
    """Blocks of prompts, of which the least recently used are evicted."""

    def __init__(self, blocks: int, reported_changes: int) -> None:
        self._limit = blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._changes: deque[CacheChange] = deque(maxlen=reported_changes)

    def count(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks in the cache, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def add(self, hashes: tuple[int, ...]) -> None:
        """Add the blocks of a prefilled prompt."""
        added = tuple(block for block in hashes if block not in self._blocks)
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed: list[int] = []
        while len(self._blocks) > self._limit:
            removed.append(self._blocks.popitem(last=False)[0])
        if added or removed:
            self._sequence += 1
            change = CacheChange(
                sequence=self._sequence, added=added, removed=tuple(removed)
            )
            self._changes.append(change)

    def list_changes(self) -> tuple[CacheChange, ...]:
        """Return the newest changes; older ones are dropped."""
        return tuple(self._changes)

    def clear(self) -> None:
        """Clear the cache; the sequence numbers continue."""
        self._blocks.clear()
        self._changes.clear()
