"""Types of the operators' documents: a base file for all sites, an overlay for each."""

from collections.abc import Mapping

from attrs import field, frozen

from ..models.identifiers import (
    AdapterName,
    CallerId,
    ModelName,
    ServiceName,
    VersionName,
)
from ..models.offer import (
    CallerOffer,
    ClassOffer,
    ModelOffer,
    RunnerGroup,
    ServiceOffer,
    SitePolicy,
)
from ..models.request import WorkClass


@frozen(kw_only=True)
class BaseDocument:
    """What all sites offer, and the default policy of a site."""

    models: Mapping[ModelName, ModelOffer] = field(factory=dict)
    """Models with their versions and adapters."""

    services: Mapping[ServiceName, ServiceOffer] = field(factory=dict)
    """Plain services with their calls."""

    callers: Mapping[CallerId, CallerOffer] = field(factory=dict)
    """Callers with weights and limits; other callers are rejected."""

    classes: Mapping[WorkClass, ClassOffer] = field(factory=dict)
    """Targets of the classes of work; a class that is missing has default targets."""

    runner_groups: tuple[RunnerGroup, ...] = ()
    """Runners whose memory the floors must fit."""

    site: SitePolicy = field(factory=SitePolicy)
    """Policy of each site, unless its overlay overrides it."""


@frozen(kw_only=True)
class FloorPatch:
    """Override of the floor of one version or adapter."""

    floor: int
    """Minimum number of ready copies."""


@frozen(kw_only=True)
class ModelPatch:
    """Override of the floors of one model."""

    floor_data_centres: int | None = None
    versions: Mapping[VersionName, FloorPatch] = field(factory=dict)
    adapters: Mapping[AdapterName, FloorPatch] = field(factory=dict)


@frozen(kw_only=True)
class CallerPatch:
    """Override of a caller's weight and limits."""

    weight: float | None = None
    requests_per_second: float | None = None
    burst: int | None = None


@frozen(kw_only=True)
class ClassPatch:
    """Override of the targets of a class of work."""

    deadline_s: float | None = None
    first_token_s: float | None = None
    weight: float | None = None


@frozen(kw_only=True)
class SitePatch:
    """Override of the site policy."""

    move_price: float | None = None
    loads_per_second: float | None = None
    loads_at_full_speed: int | None = None
    kv_cache_floor_mb: int | None = None
    order_lateness_bound_s: float | None = None
    key_retention_s: float | None = None
    key_capacity: int | None = None
    address_validity_s: float | None = None
    stop_deadline_s: float | None = None
    claim_writes_per_second: float | None = None


@frozen(kw_only=True)
class OverlayDocument:
    """Overrides of the base file for one site; a missing key changes nothing."""

    models: Mapping[ModelName, ModelPatch] = field(factory=dict)
    """Floors of models in the base file."""

    callers: Mapping[CallerId, CallerPatch] = field(factory=dict)
    """Weights and limits; a caller that is not in the base file is added."""

    classes: Mapping[WorkClass, ClassPatch] = field(factory=dict)
    """Targets of the classes of work."""

    runner_groups: tuple[RunnerGroup, ...] | None = None
    """Runners of the site; they replace all runners of the base file."""

    site: SitePatch = field(factory=SitePatch)
    """Site policy."""
