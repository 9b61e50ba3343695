"""What a configuration change costs, by models."""

from collections.abc import Sequence
from random import Random

from attrs import evolve, frozen

from mangoway.models.identifiers import ConfigVersion, IncarnationId
from mangoway.operators.bundle import (
    BASE,
    ConfigurationBundle,
    Part,
    name_overlay,
)
from mangoway.operators.delta import make_delta
from mangoway.operators.follower import ConfigurationFollower, ConfigurationUpdate
from mangoway.operators.records import encode_record
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import ConfigurationChanged
from mangoway.policy.placement.events import (
    ConfigurationChanged as PlacementConfigurationChanged,
)

from .builders import MODEL_MB, VERSION, make_artifact
from .fit import Point
from .meter import US_PER_S, CpuMeter
from .placement import ControllerLoad
from .registry import Series, register_measure

MODEL_SIZES = (20, 140, 350, 700, 1400)
SITE = "north"
EDITS = 12
PLAIN = b"p"
PLACEMENT_RUNNERS = 308
_HEAD = """[classes.urgent]
deadline_s = 60.0

[callers.office]
weight = 2.0

"""


@frozen(kw_only=True)
class EditCost:
    """What one edit costs the processes that follow it."""

    update_bytes: float
    document_bytes: float
    bundle_bytes: float
    """Whole documents as a process sends them to a peer that is far behind."""

    follow_us: float
    dispatch_us: float
    placement_us: float


def write_base(models: int, floor: int = 1, changed: int = 0) -> str:
    """Return a base file; the floor of one model is stated apart."""
    tables = []
    for number in range(models):
        name = make_artifact(number).model
        tables.append(
            f'[models.{name}]\ndefault_version = "{VERSION}"\n\n'
            f"[models.{name}.versions.{VERSION}]\nmemory_mb = {MODEL_MB}\n"
            f"floor = {floor if number == changed else 1}\n"
        )
    return _HEAD + "\n".join(tables)


def make_bundle(models: int) -> ConfigurationBundle:
    """Return the documents of a site at version 1."""
    version = ConfigVersion(1)
    return ConfigurationBundle(
        version=version,
        parts={
            BASE: Part(version=version, text=write_base(models)),
            name_overlay(SITE): Part(version=version, text=""),
        },
    )


def make_follower(models: int) -> ConfigurationFollower:
    """Return a process's documents with what is parsed of them."""
    follower = ConfigurationFollower(SITE)
    follower.accept_bundle(make_bundle(models))
    return follower


def measure_edit(models: int) -> EditCost:
    """Return the cost of edits that change one model each."""
    random = Random(1)
    follower = make_follower(models)
    dispatch = DispatchCore(IncarnationId("home"), random)
    for number in range(models):
        # Every model was asked for once.
        dispatch.context.estimates.get(make_artifact(number))
    placement = ControllerLoad(PLACEMENT_RUNNERS, models, gateways=1)
    placement.run(2.0)
    follow, dispatching, placing = CpuMeter(), CpuMeter(), CpuMeter()
    sizes = []
    text = write_base(models)
    place = random.randrange(models)
    for edit in range(EDITS):
        version = ConfigVersion(edit + 2)
        new = write_base(models, edit % 3 + 2, place)
        delta = make_delta(BASE, version, text, new)
        text = new
        update = PLAIN + encode_record(ConfigurationUpdate(site=SITE, deltas=(delta,)))
        sizes.append(len(update))
        with follow.measure():
            configuration = follower.accept_update(update)
        with dispatching.measure():
            event = ConfigurationChanged(configuration=configuration)
            dispatch.handle(event, float(edit))
        moved = evolve(configuration, version=ConfigVersion(1000 + edit))
        before = placement.cpu.seconds
        placement.give(PlacementConfigurationChanged(configuration=moved))
        placing.seconds += placement.cpu.seconds - before
    return EditCost(
        update_bytes=sum(sizes) / EDITS,
        document_bytes=float(len(text)),
        bundle_bytes=float(len(make_follower(models).make_update(ConfigVersion(0)))),
        follow_us=follow.seconds / EDITS * US_PER_S,
        dispatch_us=dispatching.seconds / EDITS * US_PER_S,
        placement_us=placing.seconds / EDITS * US_PER_S,
    )


@register_measure("configuration changes")
def measure_edits() -> Sequence[Series]:
    """Measure edits of one model in base files of several sizes."""
    costs = [(size, measure_edit(size)) for size in MODEL_SIZES]
    rows = (
        ("edit_bytes", "update that one edit sends to a peer", "B", "update_bytes"),
        ("document_bytes", "the whole base file", "B", "document_bytes"),
        ("bundle_bytes", "whole documents sent to a peer", "B", "bundle_bytes"),
        ("edit_follow_us", "following one edit from an update", "µs", "follow_us"),
        ("edit_dispatch_us", "one edit in the dispatch core", "µs", "dispatch_us"),
        (
            "edit_placement_us",
            "one edit in the placement core, 308 runners",
            "µs",
            "placement_us",
        ),
    )
    return tuple(
        Series(
            name=name,
            title=title,
            size_name="models",
            unit=unit,
            points=tuple(Point(size, getattr(cost, field)) for size, cost in costs),
        )
        for name, title, unit, field in rows
    )
