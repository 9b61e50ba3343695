"""The cache of prompt prefixes in an engine, limited in blocks."""

from collections import OrderedDict, deque

from mangoway.models.upstream import CacheChange


class PrefixCache:
    """Blocks of prompts, the least recently used of which go first."""

    def __init__(self, blocks: int, reported_changes: int) -> None:
        self._limit = blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._changes: deque[CacheChange] = deque(maxlen=reported_changes)

    def count(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are here, and note their use."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def add(self, hashes: tuple[int, ...]) -> None:
        """Take the blocks of a prompt that was read."""
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
        """Return the newest changes; older ones are missed."""
        return tuple(self._changes)

    def clear(self) -> None:
        """Lose everything; the sequence goes on."""
        self._blocks.clear()
        self._changes.clear()
