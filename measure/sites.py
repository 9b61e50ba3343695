"""The two simulated deployments: sizes, offers and limits."""

from random import Random
from typing import Generic, TypeVar

from attrs import evolve, frozen

from mangoway.models.identifiers import (
    AdapterName,
    CallerId,
    CallName,
    ConfigVersion,
    DataCentreId,
    HostId,
    ModelName,
    ServiceName,
    UpstreamId,
    VersionName,
)
from mangoway.models.offer import (
    AdapterOffer,
    CallerOffer,
    CallOffer,
    ClassOffer,
    Configuration,
    ModelOffer,
    RunnerGroup,
    ServiceOffer,
    SitePolicy,
    VersionOffer,
)
from mangoway.models.request import WorkClass
from tests.fakes.engine import EngineSettings
from tests.fakes.weight_store import WeightStoreSettings

from .const import FIRST_TOKEN_S, TRAFFIC_S

ItemT = TypeVar("ItemT")

DATA_CENTRES = (DataCentreId("dc1"), DataCentreId("dc2"), DataCentreId("dc3"))
VERSION = VersionName("1")
MODELS = 20
ADAPTERS = 75
CALLERS = 12
IMPORTANT_CALLERS = 2
RUNNERS = 6
SERVICE_HOSTS = 3
GATEWAYS = 6
RUNNER_MEMORY_MB = 160_000
KV_CACHE_FLOOR_MB = 16_384
ADAPTER_MB = 400
ACCELERATORS_PER_RUNNER = 4
ORDER_LATENESS_BOUND_S = 15.0
"""Longer than the longest order delay of the simulated lossy link."""

SERVICE = ServiceName("application")
CALL_TIMEOUT_S = 0.5


@frozen(kw_only=True)
class Placed(Generic[ItemT]):
    """An item and its data centre."""

    item: ItemT
    data_centre: DataCentreId


@frozen(kw_only=True)
class Mix:
    """Composition of a site's traffic; loads are shares of the total token capacity."""

    urgent_load: float
    patient_load: float
    calls_per_second: float
    non_idempotent_share: float
    """Share of the service calls that are not idempotent."""


@frozen(kw_only=True)
class Site:
    """One deployment."""

    name: str
    configuration: Configuration
    runners: tuple[Placed[EngineSettings], ...]
    service_hosts: tuple[Placed[UpstreamId], ...]
    gateways: tuple[Placed[HostId], ...]
    store: WeightStoreSettings
    mix: Mix

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of all runners."""
        return sum(placed.item.accelerators for placed in self.runners)

    @property
    def tokens_per_second(self) -> float:
        """Return the total decode capacity of all runners."""
        return sum(placed.item.tokens_per_second for placed in self.runners)


def limit_callers(site: Site, requests_per_second: float | None) -> Site:
    """Return a site with a rate limit for each caller; None changes nothing."""
    if requests_per_second is None:
        return site
    callers = {
        name: evolve(offer, requests_per_second=requests_per_second)
        for name, offer in site.configuration.callers.items()
    }
    return evolve(site, configuration=evolve(site.configuration, callers=callers))


def build_khangai() -> Site:
    """Build a site for chat with families, with the higher move price."""
    policy = SitePolicy(
        move_price=300.0,
        order_lateness_bound_s=ORDER_LATENESS_BOUND_S,
        loads_per_second=2.0,
        loads_at_full_speed=2,
        kv_cache_floor_mb=KV_CACHE_FLOOR_MB,
    )
    mix = Mix(
        urgent_load=0.22,
        patient_load=0.14,
        calls_per_second=1.0,
        non_idempotent_share=0.6,
    )
    return _build_site("khangai", policy, mix)


def build_cascadia() -> Site:
    """Build a site for drafts and service calls, with the lower move price."""
    policy = SitePolicy(
        move_price=100.0,
        order_lateness_bound_s=ORDER_LATENESS_BOUND_S,
        loads_per_second=2.0,
        loads_at_full_speed=9,
        kv_cache_floor_mb=KV_CACHE_FLOOR_MB,
    )
    mix = Mix(
        urgent_load=0.12,
        patient_load=0.28,
        calls_per_second=3.0,
        non_idempotent_share=0.3,
    )
    return _build_site("cascadia", policy, mix)


def _build_site(name: str, policy: SitePolicy, mix: Mix) -> Site:
    return Site(
        name=name,
        configuration=_build_configuration(name, policy),
        runners=tuple(_build_runner(number) for number in range(RUNNERS)),
        service_hosts=tuple(
            Placed(item=UpstreamId(f"service{n}"), data_centre=_find_data_centre(n))
            for n in range(SERVICE_HOSTS)
        ),
        gateways=tuple(
            Placed(item=HostId(f"gateway{n}"), data_centre=_find_data_centre(n))
            for n in range(GATEWAYS)
        ),
        store=WeightStoreSettings(
            loads_per_second=policy.loads_per_second,
            loads_at_full_speed=policy.loads_at_full_speed,
        ),
        mix=mix,
    )


def _find_data_centre(number: int) -> DataCentreId:
    return DATA_CENTRES[number % len(DATA_CENTRES)]


def _build_runner(number: int) -> Placed[EngineSettings]:
    settings = EngineSettings(
        upstream=UpstreamId(f"runner{number}"),
        memory_mb=RUNNER_MEMORY_MB,
        kv_cache_floor_mb=KV_CACHE_FLOOR_MB,
        accelerators=ACCELERATORS_PER_RUNNER,
        max_running=20,
        stream_tokens_per_second=60.0,
        tokens_per_second=600.0,
        prefill_tokens_per_second=8000.0,
        # Half of the engines check fences, the others ignore them.
        checks_fences=number % 2 == 0,
        cache_blocks=256,
    )
    return Placed(item=settings, data_centre=_find_data_centre(number))


def _build_configuration(name: str, policy: SitePolicy) -> Configuration:
    random = Random(f"offer of {name}")
    models = {ModelName(f"model{n:02}"): _build_model(n, random) for n in range(MODELS)}
    urgent = ClassOffer(deadline_s=15.0, first_token_s=FIRST_TOKEN_S, weight=4.0)
    return Configuration(
        version=ConfigVersion(1),
        models=models,
        services={SERVICE: _build_service()},
        callers={
            CallerId(f"caller{n:02}"): CallerOffer(
                weight=3.0 if n < IMPORTANT_CALLERS else 1.0
            )
            for n in range(CALLERS)
        },
        classes={
            WorkClass.URGENT: urgent,
            WorkClass.PATIENT: ClassOffer(deadline_s=TRAFFIC_S),
        },
        runner_groups=tuple(
            RunnerGroup(
                data_centre=data_centre,
                count=RUNNERS // len(DATA_CENTRES),
                memory_mb=RUNNER_MEMORY_MB,
                accelerators=ACCELERATORS_PER_RUNNER,
            )
            for data_centre in DATA_CENTRES
        ),
        site=policy,
    )


def _build_model(number: int, random: Random) -> ModelOffer:
    adapters = {
        AdapterName(f"adapter{n}"): AdapterOffer(memory_mb=ADAPTER_MB)
        for n in range(number, ADAPTERS, MODELS)
    }
    memory_mb = random.choice((12_000, 16_000, 24_000, 32_000))
    return ModelOffer(
        default_version=VERSION,
        versions={VERSION: VersionOffer(memory_mb=memory_mb)},
        adapters=adapters,
    )


def _build_service() -> ServiceOffer:
    return ServiceOffer(
        calls={
            CallName("read"): CallOffer(idempotent=True, timeout_s=CALL_TIMEOUT_S),
            CallName("write"): CallOffer(idempotent=False, timeout_s=CALL_TIMEOUT_S),
        }
    )
