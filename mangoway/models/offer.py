"""The effective configuration: models, services, callers and the site's policy."""

from collections.abc import Mapping

from attrs import field, frozen

from .artifact import Artifact
from .identifiers import (
    AdapterName,
    CallerId,
    CallName,
    ConfigVersion,
    DataCentreId,
    ModelName,
    ServiceName,
    VersionName,
)
from .request import WorkClass


@frozen(kw_only=True)
class AdapterOffer:
    """Configuration of an adapter of a model."""

    memory_mb: int
    """Memory that it takes beside its model version."""

    floor: int = 1
    """Ready copies that are always kept."""


@frozen(kw_only=True)
class VersionOffer:
    """Configuration of one version of a model."""

    memory_mb: int
    """Memory that the weights take on a runner."""

    floor: int = 1
    """Ready copies that are always kept."""


@frozen(kw_only=True)
class ModelOffer:
    """Configuration of a model with its versions and adapters."""

    default_version: VersionName
    """Version that requests get which name none."""

    versions: Mapping[VersionName, VersionOffer]
    adapters: Mapping[AdapterName, AdapterOffer] = field(factory=dict)
    """Adapters, each usable with the default version."""

    floor_data_centres: int = 1
    """Data centres in which the floor copies of the default version are spread."""


@frozen(kw_only=True)
class CallOffer:
    """Configuration of one call of a plain service."""

    idempotent: bool = False
    """Whether it may run more than once; if not, it is never retried blindly."""

    work_class: WorkClass = WorkClass.URGENT
    """Class of work of requests that name none."""

    timeout_s: float = 5.0
    """Time for the whole answer when the request names none."""


@frozen(kw_only=True)
class ServiceOffer:
    """Configuration of a plain service."""

    calls: Mapping[CallName, CallOffer]


@frozen(kw_only=True)
class CallerOffer:
    """Weight and limits of a caller."""

    weight: float = 1.0
    """Share relative to other callers when there is not enough for all."""

    requests_per_second: float | None = None
    """Rate at one gateway above which requests are rejected; None for no limit."""

    burst: int | None = None
    """Requests that may come at once above the rate; None means one second's."""


@frozen(kw_only=True)
class ClassOffer:
    """Targets of a class of work."""

    deadline_s: float
    """Time for the whole answer when the request names none."""

    first_token_s: float | None = None
    """Target for the first token; None if only the deadline counts."""

    weight: float = 1.0
    """Share relative to the other class when there is not enough for both."""


@frozen(kw_only=True)
class RunnerGroup:
    """Runners that an operator declares to check that the floors fit on them."""

    data_centre: DataCentreId
    """Data centre in which they are."""

    count: int
    """Number of runners in the group."""

    memory_mb: int
    """Accelerator memory of one runner."""

    accelerators: int = 1
    """Accelerators of one runner."""


@frozen(kw_only=True)
class SitePolicy:
    """Placement policy of a site, and limits of its platform."""

    move_price: float = 100.0
    """Price of one load in units of request-seconds saved; higher means fewer moves."""

    loads_per_second: float = 2.0
    """Loads that the weight store allows to begin in a second."""

    loads_at_full_speed: int = 2
    """Loads that the weight store serves at full speed at once."""

    kv_cache_floor_mb: int = 4096
    """Memory of each runner that is kept for its KV cache."""
    order_lateness_bound_s: float = 60.0
    """Longest time an order may stay on its way after its connection died."""

    key_retention_s: float = 600.0
    """Time for which records of idempotency keys are kept."""

    key_capacity: int = 100_000
    """Records of idempotency keys that one gateway keeps at most."""

    address_validity_s: float = 5.0
    """Time for which callers may keep an address answer."""

    stop_deadline_s: float = 900.0
    """Longest time a planned stop waits for requests in progress."""

    claim_writes_per_second: float = 50.0
    """Writes per second that one gateway may spend on plain keys."""


@frozen(kw_only=True)
class Configuration:
    """The merged base file and site overlay at one version."""

    version: ConfigVersion
    models: Mapping[ModelName, ModelOffer] = field(factory=dict)
    services: Mapping[ServiceName, ServiceOffer] = field(factory=dict)
    callers: Mapping[CallerId, CallerOffer] = field(factory=dict)
    classes: Mapping[WorkClass, ClassOffer] = field(factory=dict)
    runner_groups: tuple[RunnerGroup, ...] = ()
    site: SitePolicy = field(factory=SitePolicy)

    def list_artifacts(self) -> tuple[Artifact, ...]:
        """Return all configured artifacts in a stable order."""
        artifacts: list[Artifact] = []
        for name, model in sorted(self.models.items()):
            artifacts.extend(Artifact(name, version) for version in model.versions)
            artifacts.extend(
                Artifact(name, model.default_version, adapter)
                for adapter in model.adapters
            )
        return tuple(artifacts)

    def find_floor(self, artifact: Artifact) -> int:
        """Return the floor of an artifact in ready copies; 0 if not configured."""
        offer = self._find_offer(artifact)
        return 0 if offer is None else offer.floor

    def find_memory_mb(self, artifact: Artifact) -> int:
        """Return the memory size of an artifact; 0 if it is not configured."""
        offer = self._find_offer(artifact)
        return 0 if offer is None else offer.memory_mb

    def _find_offer(self, artifact: Artifact) -> VersionOffer | AdapterOffer | None:
        model = self.models.get(artifact.model)
        if model is None:
            return None
        if artifact.adapter is None:
            return model.versions.get(artifact.version)
        if artifact.version != model.default_version:
            return None
        return model.adapters.get(artifact.adapter)
