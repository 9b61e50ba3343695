"""Decodes what the operator and the runners write in the store."""

from typing import Any, Final

import orjson

from ..models.routing import (
    CallerLimits,
    EngineProfile,
    ModelProfile,
    Route,
    RouteKind,
    RoutingTable,
    ServiceProfile,
    TrafficShare,
)
from ..models.runner import ResidentModel, RunnerEntry

CONFIGURATION_KEY: Final = "op/config"
RUNNER_PREFIX: Final = "servers/"
OWN_PREFIX: Final = "mangoway/"
"""Keys of this system; the platform keeps the two prefixes above for itself."""

MS_PER_S: Final = 1000.0
DRAINING: Final = "draining"


class DocumentError(Exception):
    """A document of the store can't be read."""


def decode_configuration(document: bytes) -> RoutingTable:
    """Decode one version of the operator's configuration.

    Raises:
        DocumentError: If it can't be read.
    """
    try:
        fields = orjson.loads(document)
        return RoutingTable(
            version=int(fields["version"]),
            routes=tuple(_decode_route(each) for each in fields["routes"]),
            services={
                each["name"]: _decode_service(each) for each in fields["services"]
            },
            limits=_decode_limits(fields.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise DocumentError(f"configuration can't be read: {error!r}") from error


def decode_runner(key: str, document: bytes) -> RunnerEntry:
    """Decode the entry of a runner.

    Raises:
        DocumentError: If it can't be read.
    """
    try:
        fields = orjson.loads(document)
        left_ms = fields.get("remaining_ms")
        return RunnerEntry(
            runner_id=key.removeprefix(RUNNER_PREFIX),
            service=str(fields["service"]),
            address=str(fields["address"]),
            data_centre=str(fields.get("zone", "")),
            slots=int(fields.get("slots") or 1),
            draining=fields.get("state") == DRAINING,
            seconds_left=None if left_ms is None else float(left_ms) / MS_PER_S,
            models=decode_models(fields.get("models") or []),
        )
        # `seq` counts the runner's heartbeats here; in its report it counts orders.
    except (KeyError, TypeError, ValueError) as error:
        raise DocumentError(f"entry {key} can't be read: {error!r}") from error


def decode_models(fields: Any) -> tuple[ResidentModel, ...]:
    """Decode the list of models that a runner holds."""
    return tuple(
        ResidentModel(
            name=str(each["name"]),
            version=int(each.get("version") or 0),
            adapters=frozenset(
                _name_adapter(adapter) for adapter in each.get("adapters") or []
            ),
        )
        for each in fields
    )


def _name_adapter(adapter: Any) -> str:
    name = str(adapter["name"] if isinstance(adapter, dict) else adapter)
    return name.partition("@")[0]


def _decode_route(fields: Any) -> Route:
    split = fields.get("traffic_split")
    if split:
        shares = tuple(
            TrafficShare(service=each["service"], weight=float(each["weight"]))
            for each in split
        )
    else:
        shares = (TrafficShare(service=fields["service"], weight=1.0),)
    return Route(
        name=str(fields["name"]),
        host=str(fields["host"]),
        prefix=str(fields["prefix"]),
        kind=RouteKind(fields["kind"]),
        timeout_s=float(fields["timeout_ms"]) / MS_PER_S,
        objective_s=float(fields.get("target_latency_ms") or fields["timeout_ms"])
        / MS_PER_S,
        priority=int(fields.get("priority") or 0),
        shares=shares,
        max_attempts=max(1, int(fields.get("max_attempts") or 1)),
        resumable=bool(fields.get("resumable")),
        gap_objective_s=float(fields.get("gap_target_ms") or 0) / MS_PER_S,
    )


def _decode_service(fields: Any) -> ServiceProfile:
    engine = fields.get("engine")
    return ServiceProfile(
        name=str(fields["name"]),
        health_path=str(fields.get("health_path") or "/health"),
        max_connections=int(fields.get("max_conns") or 0),
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(fields: Any) -> EngineProfile:
    return EngineProfile(
        slots=int(fields["slots"]),
        kv_capacity_tokens=int(fields["kv_capacity"]),
        weights_mb=float(fields["weights_mb"]),
        adapter_slots=int(fields.get("adapter_slots") or 0),
        loads_per_s=float(fields.get("loads_per_s") or 0),
        models={each["name"]: _decode_model(each) for each in fields["models"]},
        disk_mb=float(fields.get("disk_mb") or 0),
    )


def _decode_model(fields: Any) -> ModelProfile:
    load_s = float(fields["load_s"])
    return ModelProfile(
        name=str(fields["name"]),
        weights_mb=float(fields["weights_mb"]),
        load_s=load_s,
        memory_load_s=float(fields.get("warm_s") or load_s),
        disk_load_s=float(fields.get("disk_s") or load_s),
        adapters=int(fields.get("adapters") or 0),
        adapter_mb=float(fields.get("adapter_mb") or 0),
    )


def _decode_limits(fields: Any) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(fields.get("max_header_bytes") or usual.max_header_bytes),
        max_body_bytes=int(fields.get("max_body_bytes") or usual.max_body_bytes),
        header_timeout_s=float(fields["header_timeout_ms"]) / MS_PER_S
        if fields.get("header_timeout_ms")
        else usual.header_timeout_s,
        idle_timeout_s=float(fields["idle_timeout_ms"]) / MS_PER_S
        if fields.get("idle_timeout_ms")
        else usual.idle_timeout_s,
    )
