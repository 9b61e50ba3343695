"""Choice of an upstream for a request."""

from random import Random

from attrs import frozen

from .breakers import BreakerState
from .const import AFFINITY_BONUS, PREFIX_MAX_BLOCKS, REMOTE_LOAD_COST
from .entries import Entry
from .fleet import Fleet
from .options import DispatchOptions
from .upstreams import Upstream, find_resource


@frozen
class Chooser:
    """Compares a few random upstreams with room, and one with the prefix cached.

    The random sample keeps gateways that act on the same old report from choosing
    the same upstream. The bonus for a cached prefix is bounded, so it never outweighs
    a much higher load.
    """

    fleet: Fleet
    rng: Random
    options: DispatchOptions

    def choose(self, entry: Entry, now: float) -> Upstream | None:
        """Return the upstream with the lowest score; None if none has room."""
        candidates = self._sample(entry)
        if self.options.patient_headroom and entry.has_slack(now):
            candidates = [item for item in candidates if item.has_patient_headroom(now)]
        if not candidates:
            return None
        untried = [item for item in candidates if self._is_untried(entry, item)]
        return min(untried or candidates, key=lambda item: self.score(entry, item, now))

    def score(self, entry: Entry, upstream: Upstream, now: float) -> float:
        """Return the cost of an upstream as a share of full load; lower is better."""
        cost = upstream.estimate_load(now)
        address = upstream.address
        own = self.options.data_centre
        if address is not None and own is not None and address.data_centre != own:
            cost += REMOTE_LOAD_COST
        if self.options.prefix_affinity:
            cost -= self._compute_affinity_bonus(entry, upstream)
        return cost

    def _sample(self, entry: Entry) -> list[Upstream]:
        resource = find_resource(entry.request.target)
        count = self.options.candidates
        candidates = self.fleet.sample_available(resource, count, self.rng)
        if len(candidates) == count and self.options.prefix_affinity:
            holder = self._find_holder(entry)
            if holder is not None and holder not in candidates:
                candidates.append(holder)
        return candidates

    def _find_holder(self, entry: Entry) -> Upstream | None:
        resource = find_resource(entry.request.target)
        for block in reversed(entry.request.prefix_hashes[:PREFIX_MAX_BLOCKS]):
            holders = self.fleet.prefixes.list_holders(block)
            if not holders:
                continue
            holder_id = holders[int(self.rng.random() * len(holders))]
            holder = self.fleet.upstreams.get(holder_id)
            if holder is not None and self.fleet.is_available(resource, holder):
                return holder
        return None

    def _compute_affinity_bonus(self, entry: Entry, upstream: Upstream) -> float:
        hashes = entry.request.prefix_hashes
        if not hashes:
            return 0.0
        cached = self.fleet.prefixes.count_cached(upstream.id, hashes)
        return AFFINITY_BONUS * cached / min(len(hashes), PREFIX_MAX_BLOCKS)

    def _is_untried(self, entry: Entry, upstream: Upstream) -> bool:
        if upstream.id in entry.tried_upstreams:
            return False
        probing = upstream.breaker.state is BreakerState.HALF_OPEN
        return entry.request.idempotent or not probing
