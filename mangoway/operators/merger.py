"""Merging of the base file and a site's overlay into a configuration."""

from collections.abc import Iterable, Mapping
from typing import Final, TypeVar

from attrs import asdict, evolve

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import CallerId, ConfigVersion, ModelName
from ..models.offer import (
    AdapterOffer,
    CallerOffer,
    ClassOffer,
    Configuration,
    ModelOffer,
    SitePolicy,
    VersionOffer,
)
from ..models.request import WorkClass
from .const import BASE_FILE, OVERLAY_FILE
from .documents import (
    BaseDocument,
    CallerPatch,
    ClassPatch,
    FloorPatch,
    ModelPatch,
    OverlayDocument,
    SitePatch,
)
from .parser import parse_base, parse_overlay

OfferT = TypeVar("OfferT", AdapterOffer, VersionOffer)
PatchedT = TypeVar("PatchedT", CallerOffer, ClassOffer, SitePolicy)
NameT = TypeVar("NameT", bound=str)

DEFAULT_CLASSES: Final[Mapping[WorkClass, ClassOffer]] = {
    WorkClass.URGENT: ClassOffer(deadline_s=30.0, first_token_s=2.0, weight=4.0),
    WorkClass.PATIENT: ClassOffer(deadline_s=28_800.0),
}
"""Targets of classes that are missing in the base file."""


def load_configuration(
    base_text: str,
    overlay_text: str,
    version: ConfigVersion,
    base_file: str = BASE_FILE,
    overlay_file: str = OVERLAY_FILE,
) -> Configuration:
    """Parse and merge a base file and an overlay, whose text may be empty.

    Raises:
        MangowayError: See `parse_base` and `merge_documents`.
    """
    base = parse_base(base_text, base_file)
    overlay = parse_overlay(overlay_text, overlay_file)
    return merge_documents(base, overlay, version, overlay_file)


def merge_documents(
    base: BaseDocument,
    overlay: OverlayDocument,
    version: ConfigVersion,
    overlay_file: str = OVERLAY_FILE,
) -> Configuration:
    """Return the merged configuration of a site.

    Raises:
        MangowayError: CONFIG_INVALID if the overlay names a model, version or
            adapter that the base does not offer.
    """
    groups = overlay.runner_groups
    return Configuration(
        version=version,
        models=_merge_models(base.models, overlay.models, overlay_file),
        services=dict(base.services),
        callers=_merge_callers(base.callers, overlay.callers),
        classes=_merge_classes(base.classes, overlay.classes),
        runner_groups=base.runner_groups if groups is None else groups,
        site=_patch(base.site, overlay.site),
    )


def _merge_models(
    offers: Mapping[ModelName, ModelOffer],
    patches: Mapping[ModelName, ModelPatch],
    file: str,
) -> dict[ModelName, ModelOffer]:
    _reject_unknown(patches, offers, f"{file}: models")
    return {
        name: _merge_model(offer, patches[name], f"{file}: models.{name}")
        if name in patches
        else offer
        for name, offer in offers.items()
    }


def _merge_model(offer: ModelOffer, patch: ModelPatch, path: str) -> ModelOffer:
    _reject_unknown(patch.versions, offer.versions, f"{path}.versions")
    _reject_unknown(patch.adapters, offer.adapters, f"{path}.adapters")
    data_centres = patch.floor_data_centres
    return evolve(
        offer,
        versions=_merge_floors(offer.versions, patch.versions),
        adapters=_merge_floors(offer.adapters, patch.adapters),
        floor_data_centres=data_centres or offer.floor_data_centres,
    )


def _merge_floors(
    offers: Mapping[NameT, OfferT], patches: Mapping[NameT, FloorPatch]
) -> dict[NameT, OfferT]:
    return {
        name: evolve(offer, floor=patches[name].floor) if name in patches else offer
        for name, offer in offers.items()
    }


def _merge_callers(
    offers: Mapping[CallerId, CallerOffer], patches: Mapping[CallerId, CallerPatch]
) -> dict[CallerId, CallerOffer]:
    merged = dict(offers)
    for name, patch in patches.items():
        merged[name] = _patch(merged.get(name, CallerOffer()), patch)
    return merged


def _merge_classes(
    offers: Mapping[WorkClass, ClassOffer], patches: Mapping[WorkClass, ClassPatch]
) -> dict[WorkClass, ClassOffer]:
    merged = {**DEFAULT_CLASSES, **offers}
    for name, patch in patches.items():
        merged[name] = _patch(merged[name], patch)
    return merged


def _patch(offer: PatchedT, patch: CallerPatch | ClassPatch | SitePatch) -> PatchedT:
    changes = {key: value for key, value in asdict(patch).items() if value is not None}
    return evolve(offer, **changes)


def _reject_unknown(names: Iterable[str], known: Iterable[str], path: str) -> None:
    unknown = sorted(set(names) - set(known))
    if unknown:
        detail = f"{path}.{unknown[0]}: the base file does not offer it"
        raise MangowayError(ErrorCode.CONFIG_INVALID, detail)
