"""Builders of configurations, upstreams, requests and cores."""

from random import Random
from typing import Any

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    CallerId,
    CallName,
    ConfigVersion,
    DataCentreId,
    IncarnationId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
    VersionName,
)
from mangoway.models.offer import (
    CallerOffer,
    CallOffer,
    Configuration,
    ModelOffer,
    ServiceOffer,
    SitePolicy,
    VersionOffer,
)
from mangoway.models.request import Request, ServiceCall, Target, WorkClass
from mangoway.models.upstream import (
    CacheChange,
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
    UpstreamAddress,
    UpstreamKind,
)
from mangoway.policy.dispatch.actions import DispatchAction, StartAttempt
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import (
    ConfigurationChanged,
    EngineDescribed,
    EngineReported,
    RequestArrived,
    UpstreamListChanged,
)
from mangoway.policy.dispatch.options import DispatchOptions

CHAT = Artifact(ModelName("chat"), VersionName("1"))
DRAFT = Artifact(ModelName("draft"), VersionName("1"))
CALL = ServiceCall(ServiceName("floor"), CallName("confirm"))


def make_artifact(name: str) -> Artifact:
    return Artifact(ModelName(name), VersionName("1"))


def make_configuration(
    callers: dict[str, CallerOffer] | None = None,
    models: tuple[str, ...] = ("chat", "draft"),
    version: int = 1,
    **site: Any,
) -> Configuration:
    offer = ModelOffer(
        default_version=VersionName("1"),
        versions={VersionName("1"): VersionOffer(memory_mb=10)},
    )
    return Configuration(
        version=ConfigVersion(version),
        models={ModelName(name): offer for name in models},
        services={CALL.service: ServiceOffer(calls={CALL.call: CallOffer()})},
        callers={CallerId(name): offer for name, offer in (callers or {}).items()},
        site=SitePolicy(**site),
    )


def make_engine(
    name: str, data_centre: str = "north", **kwargs: Any
) -> UpstreamAddress:
    return UpstreamAddress(
        id=UpstreamId(name),
        kind=UpstreamKind.ENGINE,
        address="127.0.0.1:1",
        data_centre=DataCentreId(data_centre),
        **kwargs,
    )


def make_host(name: str, **kwargs: Any) -> UpstreamAddress:
    return UpstreamAddress(
        id=UpstreamId(name),
        kind=UpstreamKind.SERVICE,
        address="127.0.0.1:2",
        data_centre=DataCentreId("north"),
        service=CALL.service,
        **kwargs,
    )


def make_report(
    name: str,
    at: float,
    artifacts: tuple[Artifact, ...] = (CHAT, DRAFT),
    load: int = 0,
    incarnation: str = "1",
    state: Residency = Residency.READY,
    cache_changes: tuple[CacheChange, ...] = (),
    leaving: bool = False,
) -> EngineReported:
    residents = tuple(
        ResidentArtifact(artifact=artifact, memory_mb=10, state=state)
        for artifact in artifacts
    )
    report = EngineReport(
        upstream=UpstreamId(name),
        incarnation=IncarnationId(incarnation),
        reported_at=at,
        running=load,
        waiting=0,
        residents=residents,
        cache_changes=cache_changes,
        leaving=leaving,
    )
    return EngineReported(report=report)


def make_engine_described(
    name: str, max_running: int = 2, incarnation: str = "1"
) -> EngineDescribed:
    description = EngineDescription(
        upstream=UpstreamId(name),
        incarnation=IncarnationId(incarnation),
        memory_mb=100,
        max_running=max_running,
    )
    return EngineDescribed(description=description)


def make_request(
    name: str,
    at: float,
    within: float = 10.0,
    target: Target = CHAT,
    caller: str = "office",
    urgent: bool = True,
    **kwargs: Any,
) -> Request:
    return Request(
        id=RequestId(name),
        caller=CallerId(caller),
        work_class=WorkClass.URGENT if urgent else WorkClass.PATIENT,
        target=target,
        arrived_at=at,
        deadline=at + within,
        **kwargs,
    )


def make_core(
    engines: int = 2,
    hosts: int = 2,
    max_running: int = 2,
    options: DispatchOptions | None = None,
    configuration: Configuration | None = None,
    artifacts: tuple[Artifact, ...] = (CHAT, DRAFT),
) -> DispatchCore:
    """Return a core at time 0 whose engines have all artifacts ready."""
    core = DispatchCore(IncarnationId("home"), Random(1), options)
    changed = ConfigurationChanged(configuration=configuration or make_configuration())
    core.handle(changed, 0.0)
    addresses = [make_engine(f"engine{number}") for number in range(engines)]
    addresses += [make_host(f"host{number}") for number in range(hosts)]
    core.handle(UpstreamListChanged(upstreams=tuple(addresses)), 0.0)
    for number in range(engines):
        core.handle(make_engine_described(f"engine{number}", max_running), 0.0)
        core.handle(make_report(f"engine{number}", 0.0, artifacts), 0.0)
    return core


def arrive(core: DispatchCore, request: Request, at: float) -> list[DispatchAction]:
    return core.handle(RequestArrived(request=request), at)


def select(actions: list[DispatchAction], kind: type[Any]) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


def start(core: DispatchCore, request: Request, at: float) -> StartAttempt:
    """Submit a request and return its attempt, which must start at once."""
    (action,) = select(arrive(core, request, at), StartAttempt)
    assert isinstance(action, StartAttempt)
    return action
