"""Floors: what is lacking now, and whether all floors fit the declared runners."""

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import DataCentreId
from ...models.offer import Configuration, RunnerGroup
from .load_queue import Need, NeedRank
from .state import PlacementState


def find_floor_need(state: PlacementState, artifact: Artifact) -> Need | None:
    """Return what the floor of an artifact lacks; None if nothing."""
    floor = state.offered.get(artifact)
    if floor is None:
        return None
    floor = max(floor, 1)
    ready = state.copies.list_ready(artifact)
    coming = state.copies.list_held(artifact)
    if len(coming) < floor:
        rank = NeedRank.FLOOR if ready else NeedRank.LAST_COPY
        if not ready and coming:
            rank = NeedRank.FLOOR
    elif len(state.list_data_centres(coming)) < state.find_spread(artifact):
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
    """Memory of one copy with the adapters that go beside it."""

    reason: str
    """Stable reason code, lower case with underscores."""

    detail: str = ""


@define
class _Bin:
    data_centre: DataCentreId
    free_mb: int
    held: set[Artifact] = field(factory=set)


@frozen(kw_only=True)
class _Item:
    """One floor copy of a model version, with the adapters placed beside it."""

    base: Artifact
    memory_mb: int
    adapters: tuple[Artifact, ...]


def check_floors_fit(configuration: Configuration) -> list[Shortage]:
    """Return the floor copies that do not fit the declared runners; empty if all do.

    Copies are packed largest first, each into the runner with the least room that
    holds it, with the KV cache floor taken off every runner. One runner keeps room
    for another copy of the largest artifact, so that versions and copies can be
    replaced by loading first. Nothing is checked if no runners are declared.
    """
    if not configuration.runner_groups:
        return []
    # Either order may fail where the other fits; one that fits is enough.
    swing_last = _pack(configuration, swing_first=False)
    if not swing_last:
        return []
    swing_first = _pack(configuration, swing_first=True)
    return min(swing_last, swing_first, key=len)


def _pack(configuration: Configuration, swing_first: bool) -> list[Shortage]:
    bins = _list_bins(configuration)
    shortages = _reserve_swing(configuration, bins) if swing_first else []
    for item in _list_items(configuration):
        shortage = _place(configuration, bins, item)
        if shortage is not None:
            shortages.append(shortage)
    if not swing_first:
        shortages.extend(_reserve_swing(configuration, bins))
    return shortages


def _list_bins(configuration: Configuration) -> list[_Bin]:
    floor_mb = configuration.site.kv_cache_floor_mb

    def list_group(group: RunnerGroup) -> list[_Bin]:
        return [
            _Bin(group.data_centre, group.memory_mb - floor_mb)
            for _ in range(group.count)
        ]

    return [one for group in configuration.runner_groups for one in list_group(group)]


def _reserve_swing(configuration: Configuration, bins: list[_Bin]) -> list[Shortage]:
    """Take the room for replacing the largest artifact off the roomiest runner."""
    artifacts = configuration.list_artifacts()
    if not artifacts:
        return []
    largest = max(artifacts, key=configuration.find_memory_mb)
    memory_mb = configuration.find_memory_mb(largest)
    roomiest = max(bins, key=lambda one: one.free_mb, default=None)
    if roomiest is None or roomiest.free_mb < memory_mb:
        return [
            Shortage(
                artifact=largest,
                memory_mb=memory_mb,
                reason="no_room_to_replace",
                detail="no runner has room to load the largest artifact",
            )
        ]
    roomiest.free_mb -= memory_mb
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
                beside = [
                    (Artifact(name, version, adapter), adapter_offer.memory_mb)
                    for adapter, adapter_offer in adapters
                    if number < max(1, adapter_offer.floor)
                ]
                memory_mb = version_offer.memory_mb + sum(mb for _, mb in beside)
                items.append(
                    _Item(
                        base=base,
                        memory_mb=memory_mb,
                        adapters=tuple(artifact for artifact, _ in beside),
                    )
                )
    return sorted(items, key=lambda item: (-item.memory_mb, item.base))


def _place(
    configuration: Configuration, bins: list[_Bin], item: _Item
) -> Shortage | None:
    """Put a copy into the fullest runner that holds it and not yet its artifact."""
    offer = configuration.models[item.base.model]
    held_in = {one.data_centre for one in bins if item.base in one.held}
    spread = 1
    if item.base.version == offer.default_version:
        spread = min(offer.floor_data_centres, configuration.find_floor(item.base))
    fitting = [
        one
        for one in bins
        if one.free_mb >= item.memory_mb and item.base not in one.held
    ]
    spreading = [one for one in fitting if one.data_centre not in held_in]
    if len(held_in) < spread:
        candidates = spreading
        reason = "no_room_in_another_data_centre" if fitting else "no_room"
    else:
        candidates = fitting
        reason = "no_room"
    if not candidates:
        largest_mb = max((one.free_mb for one in bins), default=0)
        return Shortage(
            artifact=item.base,
            memory_mb=item.memory_mb,
            reason=reason,
            detail=f"needs {item.memory_mb} MB with {len(item.adapters)} adapters; "
            f"the largest room left is {largest_mb} MB",
        )
    chosen = min(candidates, key=lambda one: one.free_mb)
    chosen.free_mb -= item.memory_mb
    chosen.held.add(item.base)
    return None
