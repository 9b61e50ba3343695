"""Validation of merged configurations before an edit is accepted."""

from collections.abc import Callable, Iterator

from ..models.errors import ErrorCode, MangowayError
from ..models.offer import Configuration, ModelOffer
from ..policy.placement.floors import check_floors_fit
from .bundle import BASE, ConfigurationBundle, name_overlay
from .converter import Fault

Check = Callable[[Configuration], Iterator[Fault]]

CHECKS: list[Check] = []
"""Registered checks, in the order in which they run."""

NO_SITE = ""
"""Stands for a site without an overlay."""


def register_check(check: Check) -> Check:
    """Register a check of a merged configuration."""
    CHECKS.append(check)
    return check


def validate_bundle(bundle: ConfigurationBundle) -> None:
    """Validate the base file alone and together with the overlay of every site.

    Raises:
        MangowayError: If a site is invalid; the detail names the document and the key
            of the first such site.
    """
    for site in (NO_SITE, *bundle.list_sites()):
        validate_configuration(bundle.load(site), name_overlay(site) if site else BASE)


def validate_configuration(configuration: Configuration, document: str) -> None:
    """Validate a merged configuration.

    Args:
        configuration: The merged configuration.
        document: Name of the document in errors.

    Raises:
        MangowayError: CONFIG_INVALID or CONFIG_DOES_NOT_FIT.
    """
    for check in CHECKS:
        faults = tuple(check(configuration))
        if faults:
            lines = "; ".join(str(fault) for fault in faults)
            raise MangowayError(faults[0].code, f"{document}: {lines}")


@register_check
def check_references(configuration: Configuration) -> Iterator[Fault]:
    """Yield faults of models whose keys contradict each other."""
    for name, model in configuration.models.items():
        yield from _check_model(name, model)


def _check_model(name: str, model: ModelOffer) -> Iterator[Fault]:
    path = ("models", name)
    default = model.versions.get(model.default_version)
    if default is None:
        detail = f"version {model.default_version!r} is not offered"
        yield Fault(ErrorCode.CONFIG_INVALID, (*path, "default_version"), detail)
    elif model.floor_data_centres > default.floor:
        detail = f"more than the {default.floor} floor copies of the default version"
        yield Fault(ErrorCode.CONFIG_INVALID, (*path, "floor_data_centres"), detail)


@register_check
def check_targets(configuration: Configuration) -> Iterator[Fault]:
    """Yield faults of classes whose first token may be later than their deadline."""
    for name, offer in configuration.classes.items():
        if offer.first_token_s is not None and offer.first_token_s > offer.deadline_s:
            path = ("classes", name.value, "first_token_s")
            yield Fault(ErrorCode.CONFIG_INVALID, path, "later than deadline_s")


@register_check
def check_floors(configuration: Configuration) -> Iterator[Fault]:
    """Yield faults of floors that do not fit the memory of the declared runners."""
    for shortage in check_floors_fit(configuration):
        model = shortage.artifact.model
        detail = (
            f"{shortage.artifact} of {shortage.memory_mb} MB does not fit: "
            f"{shortage.reason} {shortage.detail}"
        )
        path = ("models", model)
        yield Fault(ErrorCode.CONFIG_DOES_NOT_FIT, path, detail.rstrip())
