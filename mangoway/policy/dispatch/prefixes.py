"""Index of the prefix blocks that upstreams hold in their caches."""

from collections import defaultdict

from attrs import define, field

from ...models.identifiers import UpstreamId
from ...models.upstream import CacheChange
from .const import PREFIX_MAX_BLOCKS, PREFIX_MAX_PER_UPSTREAM, PREFIX_MAX_TOTAL


@define(eq=False)
class CacheView:
    """Known blocks of one upstream's cache; the oldest are dropped first."""

    sequence: int | None = None
    blocks: dict[int, None] = field(factory=dict)


@define(eq=False)
class PrefixIndex:
    """An index of prefix blocks by upstream.

    It is built from cache events that may be late or lost, so it may hold blocks
    that are gone and lack others. Code that uses it must bound its influence.
    """

    _views: dict[UpstreamId, CacheView] = field(factory=dict)
    _holders: defaultdict[int, dict[UpstreamId, None]] = field(
        factory=lambda: defaultdict(dict)
    )

    def apply(self, upstream: UpstreamId, changes: tuple[CacheChange, ...]) -> None:
        """Apply cache events; a gap in their sequence drops all known blocks."""
        for change in changes:
            view = self._views.setdefault(upstream, CacheView())
            if view.sequence is not None and change.sequence <= view.sequence:
                continue
            if view.sequence is not None and change.sequence != view.sequence + 1:
                self.drop(upstream)
                view = self._views.setdefault(upstream, CacheView())
            view.sequence = change.sequence
            for block in change.removed:
                self._remove(upstream, view, block)
            for block in change.added:
                self._add(upstream, view, block)

    def add_expected(
        self, upstream: UpstreamId, prefix_hashes: tuple[int, ...]
    ) -> None:
        """Add the blocks that an upstream will cache for a request sent to it."""
        view = self._views.setdefault(upstream, CacheView())
        for block in prefix_hashes[:PREFIX_MAX_BLOCKS]:
            self._add(upstream, view, block)

    def drop(self, upstream: UpstreamId) -> None:
        """Drop all blocks of one upstream."""
        view = self._views.pop(upstream, None)
        if view is None:
            return
        for block in view.blocks:
            self._drop_holder(upstream, block)

    def list_holders(self, block: int) -> tuple[UpstreamId, ...]:
        """Return the upstreams that hold a block."""
        return tuple(self._holders.get(block, ()))

    def count_cached(self, upstream: UpstreamId, prefix_hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks that an upstream holds."""
        view = self._views.get(upstream)
        if view is None:
            return 0
        for count, block in enumerate(prefix_hashes[:PREFIX_MAX_BLOCKS]):
            if block not in view.blocks:
                return count
        return min(len(prefix_hashes), PREFIX_MAX_BLOCKS)

    def _add(self, upstream: UpstreamId, view: CacheView, block: int) -> None:
        view.blocks.pop(block, None)
        view.blocks[block] = None
        self._holders[block][upstream] = None
        bound = min(PREFIX_MAX_PER_UPSTREAM, PREFIX_MAX_TOTAL // len(self._views))
        while len(view.blocks) > max(PREFIX_MAX_BLOCKS, bound):
            self._remove(upstream, view, next(iter(view.blocks)))

    def _remove(self, upstream: UpstreamId, view: CacheView, block: int) -> None:
        if block not in view.blocks:
            return
        del view.blocks[block]
        self._drop_holder(upstream, block)

    def _drop_holder(self, upstream: UpstreamId, block: int) -> None:
        holders = self._holders[block]
        holders.pop(upstream, None)
        if not holders:
            del self._holders[block]
