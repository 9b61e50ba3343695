"""Upstreams, reports and offers of any number."""

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    CallerId,
    ConfigVersion,
    DataCentreId,
    HostId,
    IncarnationId,
    ModelName,
    UpstreamId,
    VersionName,
)
from mangoway.models.member import Member, ProcessRole
from mangoway.models.offer import (
    CallerOffer,
    ClassOffer,
    Configuration,
    ModelOffer,
    SitePolicy,
    VersionOffer,
)
from mangoway.models.request import WorkClass
from mangoway.models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
    UpstreamAddress,
    UpstreamKind,
)

MODEL_MB = 20_000
RUNNER_MB = 8 * MODEL_MB
KV_CACHE_FLOOR_MB = MODEL_MB
COPIES_PER_RUNNER = 6
"""Models that a runner holds here; its size leaves room for one more."""

MAX_RUNNING = 256
TOKENS_PER_SECOND = 4000.0
DATA_CENTRE = DataCentreId("eu-north-1a")
CALLER = CallerId("office")
VERSION = VersionName("2026-01")


def make_member(number: int, role: ProcessRole = ProcessRole.GATEWAY) -> Member:
    """Return a process with identifiers of the length that real ones have."""
    address = f"10.20.{number // 250}.{number % 250}"
    return Member(
        host=HostId(f"entry-{number:04d}"),
        role=role,
        incarnation=IncarnationId(f"{number:032x}"),
        started_at=1_700_000_000.0 + number,
        data_centre=DATA_CENTRE,
        peer_address=f"{address}:7001",
        caller_address=f"{address}:7000",
        ready=True,
        config_version=ConfigVersion(4711),
    )


def make_artifact(number: int) -> Artifact:
    """Return a model version."""
    return Artifact(ModelName(f"policy-summary-{number:04d}"), VERSION)


def make_upstream(number: int) -> UpstreamAddress:
    """Return a runner as the host list names it."""
    return UpstreamAddress(
        id=UpstreamId(f"runner-{number:05d}"),
        kind=UpstreamKind.ENGINE,
        address=f"10.40.{number // 250}.{number % 250}:8000",
        data_centre=DATA_CENTRE,
    )


def make_incarnation(number: int) -> IncarnationId:
    """Return the incarnation of a runner."""
    return IncarnationId(f"e{number:031x}")


def list_residents(number: int, models: int) -> tuple[ResidentArtifact, ...]:
    """Return what a runner holds, spread evenly over the models."""
    first = number * COPIES_PER_RUNNER
    held = {(first + copy) % models for copy in range(COPIES_PER_RUNNER)}
    return tuple(
        ResidentArtifact(
            artifact=make_artifact(model), memory_mb=MODEL_MB, state=Residency.READY
        )
        for model in sorted(held)
    )


def make_report(number: int, models: int, now: float, running: int = 8) -> EngineReport:
    """Return a runner's report."""
    return EngineReport(
        upstream=make_upstream(number).id,
        incarnation=make_incarnation(number),
        reported_at=now,
        running=running,
        waiting=0,
        kv_cache_used_mb=3000 + running,
        residents=list_residents(number, models),
    )


def make_description(number: int) -> EngineDescription:
    """Return what a runner says of itself."""
    return EngineDescription(
        upstream=make_upstream(number).id,
        incarnation=make_incarnation(number),
        memory_mb=RUNNER_MB,
        accelerators=4,
        checks_fences=True,
        max_running=MAX_RUNNING,
        tokens_per_second=TOKENS_PER_SECOND,
    )


def make_configuration(models: int, version: int = 1) -> Configuration:
    """Return an offer of models with one version each."""
    offer = ModelOffer(
        default_version=VERSION,
        versions={VERSION: VersionOffer(memory_mb=MODEL_MB, floor=1)},
    )
    return Configuration(
        version=ConfigVersion(version),
        models={make_artifact(number).model: offer for number in range(models)},
        callers={CALLER: CallerOffer()},
        classes={WorkClass.URGENT: ClassOffer(deadline_s=60.0)},
        site=SitePolicy(
            kv_cache_floor_mb=KV_CACHE_FLOOR_MB,
            loads_per_second=20.0,
            loads_at_full_speed=20,
        ),
    )
