"""Routes, services, runners and requests for tests."""

from mangoway.models.customer import CustomerRegistry
from mangoway.models.prompt import Prompt, PromptPart
from mangoway.models.routing import (
    EngineProfile,
    ModelProfile,
    Route,
    RouteKind,
    RoutingTable,
    ServiceProfile,
    TrafficShare,
)
from mangoway.models.runner import ResidentModel, RunnerEntry, RunnerReport
from mangoway.policy.scheduling.events import GrantRequest

WEIGHTS_MB = 70_000.0
RUNNER_MB = 225_000.0
"""Memory for three models and the adapters."""


def make_model(name: str, load_s: float = 1.2, adapters: int = 0) -> ModelProfile:
    """Return a model."""
    return ModelProfile(
        name=name,
        weights_mb=WEIGHTS_MB,
        load_s=load_s,
        memory_load_s=0.45,
        disk_load_s=0.6,
        adapters=adapters,
        adapter_mb=60.0,
    )


def make_engine(models: list[str], load_s: float = 1.2) -> EngineProfile:
    """Return an engine that offers models."""
    return EngineProfile(
        slots=64,
        kv_capacity_tokens=150_000,
        weights_mb=RUNNER_MB,
        adapter_slots=8,
        loads_per_s=2.0,
        models={name: make_model(name, load_s) for name in models},
    )


def make_route(
    kind: RouteKind = RouteKind.STREAMING,
    *,
    service: str = "llm",
    prefix: str = "/chat/",
    resumable: bool = True,
    max_attempts: int = 2,
    timeout_s: float = 5.0,
    public: bool = False,
) -> Route:
    """Return a route."""
    return Route(
        name=f"route-{prefix.strip('/')}",
        host="example.test",
        prefix=prefix,
        kind=kind,
        timeout_s=timeout_s,
        objective_s=0.4,
        priority=0,
        shares=(TrafficShare(service=service, weight=1.0),),
        max_attempts=max_attempts,
        resumable=resumable,
        gap_objective_s=0.3,
        public=public,
    )


def make_table(
    version: int = 1,
    routes: tuple[Route, ...] = (),
    models: list[str] | None = None,
    customers: CustomerRegistry | None = None,
) -> RoutingTable:
    """Return a table with the services `llm` and `plain`."""
    return RoutingTable(
        version=version,
        routes=routes,
        services={
            "llm": ServiceProfile(
                name="llm",
                health_path="/health",
                max_connections=300,
                engine=make_engine(models or ["a", "b"]),
            ),
            "plain": ServiceProfile(
                name="plain", health_path="/health", max_connections=100
            ),
        },
        customers=customers,
    )


def make_runner(
    runner_id: str,
    models: tuple[str, ...] = (),
    *,
    service: str = "llm",
    address: str = "127.0.0.1:1",
    data_centre: str = "dc1",
    draining: bool = False,
    started_ms: int = 0,
    software_version: str = "",
) -> RunnerEntry:
    """Return a runner's entry."""
    return RunnerEntry(
        runner_id=runner_id,
        service=service,
        address=address,
        data_centre=data_centre,
        slots=64,
        draining=draining,
        seconds_left=None,
        models=make_residents(models),
        started_ms=started_ms,
        software_version=software_version,
    )


def make_residents(models: tuple[str, ...]) -> tuple[ResidentModel, ...]:
    """Return models without adapters."""
    return tuple(
        ResidentModel(name=name, version=1, adapters=frozenset()) for name in models
    )


def make_report(
    models: tuple[ResidentModel, ...],
    order_count: int,
    *,
    busy: bool = False,
    on_disk: frozenset[str] = frozenset(),
    started_ms: int = 0,
) -> RunnerReport:
    """Return a runner's report."""
    return RunnerReport(
        models=models,
        pending_adapters=frozenset(),
        busy=busy,
        order_count=order_count,
        queued=0,
        active=0,
        kv_used_tokens=0,
        kv_capacity_tokens=150_000,
        in_host_memory=frozenset(),
        on_disk=on_disk,
        started_ms=started_ms,
    )


def make_grant_request(
    request_id: str,
    model: str = "a",
    *,
    edge: str = "e1",
    adapter: str = "",
    tokens: int = 800,
    priority: int = 0,
    objective_s: float = 0.4,
    patience_s: float = 2.4,
    excluded: tuple[str, ...] = (),
    only: tuple[str, ...] = (),
    repeat: bool = False,
    software_version: str = "",
) -> GrantRequest:
    """Return the request of an edge for a grant."""
    return GrantRequest(
        request_id=request_id,
        edge=edge,
        service="llm",
        model=model,
        adapter=adapter,
        prompt=Prompt(
            tokens=tokens,
            max_output_tokens=300,
            expected_output_tokens=200,
            parts=(PromptPart(f"p-{request_id}", tokens),),
        ),
        priority=priority,
        objective_left_s=objective_s,
        patience_left_s=patience_s,
        excluded=excluded,
        only=only,
        repeat=repeat,
        software_version=software_version,
    )
