"""Floors: missing copies, and a check that all floors fit the declared runners."""

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import DataCentreId
from ...models.offer import Configuration, RunnerGroup
from .load_queue import Need, NeedRank
from .state import PlacementState


def find_floor_need(state: PlacementState, artifact: Artifact) -> Need | None:
    """Return the need for the next missing floor copy of an artifact, or None."""
    floor = state.offered.get(artifact)
    if floor is None:
        return None
    floor = max(floor, 1)
    ready = state.copies.list_ready(artifact)
    ready_or_loading = state.copies.list_ready_or_loading(artifact)
    if len(ready_or_loading) < floor:
        rank = NeedRank.FLOOR if ready else NeedRank.LAST_COPY
        if not ready and ready_or_loading:
            rank = NeedRank.FLOOR
    elif len(state.list_data_centres(ready_or_loading)) < state.find_spread(artifact):
        rank = NeedRank.SPREAD
    else:
        return None
    return Need(
        artifact=artifact,
        rank=rank,
        score=state.demand.find(artifact).requests_per_second,
        memory_mb=state.find_memory_mb(artifact),
    )


@frozen(kw_only=True)
class Shortage:
    """A floor copy that does not fit the declared runners."""

    artifact: Artifact
    memory_mb: int
    """Memory of one copy including the adapters placed beside it."""

    reason: str
    """Stable reason code, lower case with underscores."""

    detail: str = ""


@define
class _Bin:
    data_centre: DataCentreId
    free_mb: int
    bases: set[Artifact] = field(factory=set)


@frozen(kw_only=True)
class _Item:
    """One floor copy of a model version, with the adapters placed beside it."""

    base: Artifact
    memory_mb: int
    adapters: tuple[Artifact, ...]


def check_floors_fit(configuration: Configuration) -> list[Shortage]:
    """Return the floor copies that do not fit the declared runners; empty if all do.

    Copies are packed largest first, each into the runner with the least free memory
    that is sufficient, after subtracting the KV cache floor from every runner. One
    runner keeps memory free for another copy of the largest artifact, so that
    versions and copies can be replaced by loading first. Nothing is checked if no
    runners are declared.
    """
    if not configuration.runner_groups:
        return []
    # Each of the two ways to reserve the memory, after or before packing the copies,
    # may fail where the other succeeds; one success is enough.
    reserved_last = _pack(configuration, reserve_first=False)
    if not reserved_last:
        return []
    reserve_first = _pack(configuration, reserve_first=True)
    return min(reserved_last, reserve_first, key=len)


def _pack(configuration: Configuration, reserve_first: bool) -> list[Shortage]:
    bins = _list_bins(configuration)
    shortages = _reserve_replacement(configuration, bins) if reserve_first else []
    for item in _list_items(configuration):
        shortage = _pack_item(configuration, bins, item)
        if shortage is not None:
            shortages.append(shortage)
    if not reserve_first:
        shortages.extend(_reserve_replacement(configuration, bins))
    return shortages


def _list_bins(configuration: Configuration) -> list[_Bin]:
    floor_mb = configuration.site.kv_cache_floor_mb

    def list_group(group: RunnerGroup) -> list[_Bin]:
        return [
            _Bin(group.data_centre, group.memory_mb - floor_mb)
            for _ in range(group.count)
        ]

    return [each for group in configuration.runner_groups for each in list_group(group)]


def _reserve_replacement(
    configuration: Configuration, bins: list[_Bin]
) -> list[Shortage]:
    """Reserve memory for a further copy of the largest artifact on one runner."""
    artifacts = configuration.list_artifacts()
    if not artifacts:
        return []
    largest = max(artifacts, key=configuration.find_memory_mb)
    memory_mb = configuration.find_memory_mb(largest)
    emptiest = max(bins, key=lambda each: each.free_mb, default=None)
    if emptiest is None or emptiest.free_mb < memory_mb:
        return [
            Shortage(
                artifact=largest,
                memory_mb=memory_mb,
                reason="no_room_to_replace",
                detail="no runner has room for another copy of the largest artifact",
            )
        ]
    emptiest.free_mb -= memory_mb
    return []


def _list_items(configuration: Configuration) -> list[_Item]:
    """Return one item per floor copy, largest first."""
    items: list[_Item] = []
    for name, offer in sorted(configuration.models.items()):
        for version, version_offer in sorted(offer.versions.items()):
            base = Artifact(name, version)
            is_default = version == offer.default_version
            adapters = sorted(offer.adapters.items()) if is_default else []
            floors = [max(1, version_offer.floor)]
            floors.extend(max(1, adapter.floor) for _, adapter in adapters)
            for number in range(max(floors)):
                copy_adapters = [
                    (Artifact(name, version, adapter), adapter_offer.memory_mb)
                    for adapter, adapter_offer in adapters
                    if number < max(1, adapter_offer.floor)
                ]
                memory_mb = version_offer.memory_mb + sum(mb for _, mb in copy_adapters)
                items.append(
                    _Item(
                        base=base,
                        memory_mb=memory_mb,
                        adapters=tuple(artifact for artifact, _ in copy_adapters),
                    )
                )
    return sorted(items, key=lambda item: (-item.memory_mb, item.base))


def _pack_item(
    configuration: Configuration, bins: list[_Bin], item: _Item
) -> Shortage | None:
    """Place a copy in the fullest runner that has room and no copy of the artifact."""
    offer = configuration.models[item.base.model]
    occupied = {each.data_centre for each in bins if item.base in each.bases}
    spread = 1
    if item.base.version == offer.default_version:
        spread = min(offer.floor_data_centres, configuration.find_floor(item.base))
    fitting = [
        each
        for each in bins
        if each.free_mb >= item.memory_mb and item.base not in each.bases
    ]
    spreading = [each for each in fitting if each.data_centre not in occupied]
    if len(occupied) < spread:
        candidates = spreading
        reason = "no_room_in_another_data_centre" if fitting else "no_room"
    else:
        candidates = fitting
        reason = "no_room"
    if not candidates:
        largest_mb = max((each.free_mb for each in bins), default=0)
        return Shortage(
            artifact=item.base,
            memory_mb=item.memory_mb,
            reason=reason,
            detail=f"needs {item.memory_mb} MB with {len(item.adapters)} adapters; "
            f"the most memory free on a runner is {largest_mb} MB",
        )
    chosen = min(candidates, key=lambda each: each.free_mb)
    chosen.free_mb -= item.memory_mb
    chosen.bases.add(item.base)
    return None
