"""Which upstreams hold which prefix blocks, as far as is known."""

from collections import defaultdict

from attrs import define, field

from ...models.identifiers import UpstreamId
from ...models.upstream import CacheChange
from .const import PREFIX_MAX_BLOCKS, PREFIX_MAX_PER_UPSTREAM, PREFIX_MAX_TOTAL


@define(eq=False)
class CacheView:
    """Blocks of one upstream's cache; the oldest known is forgotten first."""

    sequence: int | None = None
    blocks: dict[int, None] = field(factory=dict)


@define(eq=False)
class PrefixIndex:
    """An index of prefix blocks, from late and gapped cache events.

    It may be wrong either way; who uses it must bound what it is worth.
    """

    _views: dict[UpstreamId, CacheView] = field(factory=dict)
    _holders: defaultdict[int, dict[UpstreamId, None]] = field(
        factory=lambda: defaultdict(dict)
    )

    def apply(self, upstream: UpstreamId, changes: tuple[CacheChange, ...]) -> None:
        """Take cache events; a gap in the sequence drops all that was known."""
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

    def expect(self, upstream: UpstreamId, prefix_hashes: tuple[int, ...]) -> None:
        """Note blocks that a request sent to an upstream will bring there."""
        view = self._views.setdefault(upstream, CacheView())
        for block in prefix_hashes[:PREFIX_MAX_BLOCKS]:
            self._add(upstream, view, block)

    def drop(self, upstream: UpstreamId) -> None:
        """Forget all of one upstream."""
        view = self._views.pop(upstream, None)
        if view is None:
            return
        for block in view.blocks:
            self._drop_holder(upstream, block)

    def list_holders(self, block: int) -> tuple[UpstreamId, ...]:
        """Return the upstreams that hold a block."""
        return tuple(self._holders.get(block, ()))

    def count_cached(self, upstream: UpstreamId, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks an upstream holds."""
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
