"""Decodes documents that the operator and the runners write to the store."""

import reprlib
from collections.abc import Mapping
from typing import Any, Final

import orjson

from ..models.customer import Customer, CustomerRegistry, Quota
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
from .fields import (
    DocumentError,
    check_name,
    read_address,
    read_integer,
    read_list,
    read_name,
    read_number,
    read_object,
    read_text,
)

CONFIGURATION_KEY: Final = "op/config"
RUNNER_PREFIX: Final = "servers/"
OWN_PREFIX: Final = "mangoway/"
"""Prefix of this system's keys; the platform reserves the two prefixes above."""

MS_PER_S: Final = 1000.0
MAX_SLOTS: Final = 65_536
"""Most requests that a runner processes at once. Plain runners are chosen by their load
per slot, so that a large number would attract most requests."""

MAX_STARTED_MS: Final = 4_102_444_800_000
"""Latest start of an incarnation: the year 2100. Entries of earlier incarnations are
ignored, so that a later time would hide the runner for good."""

MAX_REMAINING_MS: Final = 366 * 86_400_000
MAX_MODELS: Final = 1024
MAX_ADAPTERS: Final = 4096
"""Most models at a runner, and most adapters of one model there."""

TOKEN_UNIT: Final = "token_stream"
READY: Final = "ready"
DRAINING: Final = "draining"

DECODE_ERRORS: Final = (LookupError, TypeError, ValueError, ArithmeticError)
"""Errors raised while decoding the fields of a document with an unexpected shape."""


def decode_configuration(document: bytes) -> RoutingTable:
    """Decode one version of the operator's configuration.

    Raises:
        DocumentError: If the configuration is invalid.
    """
    try:
        fields = read_object(orjson.loads(document), "the configuration")
        return RoutingTable(
            version=int(fields["version"]),
            routes=tuple(_decode_route(each) for each in fields["routes"]),
            services={
                each["name"]: _decode_service(each) for each in fields["services"]
            },
            limits=_decode_limits(fields.get("limits") or {}),
            customers=_decode_customers(fields.get("tenants")),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(f"invalid configuration: {error!r}") from error


def decode_runner(key: str, document: bytes) -> RunnerEntry:
    """Decode the entry of a runner.

    Other writers may store arbitrary bytes under its key.

    Raises:
        DocumentError: If the entry is invalid or describes no usable runner.
    """
    try:
        fields = read_object(orjson.loads(document), "the entry")
        remaining_ms = read_number(fields, "remaining_ms", maximum=MAX_REMAINING_MS)
        return RunnerEntry(
            runner_id=check_name(key.removeprefix(RUNNER_PREFIX), "the ID"),
            service=read_name(fields, "service"),
            address=read_address(fields, "address"),
            data_centre=read_name(fields, "zone"),
            slots=read_integer(fields, "slots", minimum=1, maximum=MAX_SLOTS),
            draining=_read_draining(fields),
            seconds_left=None if remaining_ms is None else remaining_ms / MS_PER_S,
            models=decode_models(fields.get("models")),
            started_ms=read_started_ms(fields),
            software_version=_read_software_version(fields),
        )
        # `seq` is ignored: here it counts heartbeats of the runner, whereas in its
        # report it counts orders.
    except (DocumentError, *DECODE_ERRORS) as error:
        raise DocumentError(f"invalid entry {key!r}: {error}") from error


def read_started_ms(fields: Mapping[str, Any]) -> int:
    """Return the start of a runner's incarnation in Unix ms; 0 if it is missing."""
    return read_integer(fields, "born", 0, maximum=MAX_STARTED_MS)


def decode_models(value: Any) -> tuple[ResidentModel, ...]:
    """Decode the list of models that are loaded at a runner.

    Raises:
        DocumentError: If the list is invalid.
    """
    rows = read_list(value, "models", MAX_MODELS)
    return tuple(_decode_resident(each) for each in rows)


def _decode_resident(value: Any) -> ResidentModel:
    fields = read_object(value, "a model")
    adapters = read_list(fields.get("adapters"), "adapters", MAX_ADAPTERS)
    return ResidentModel(
        name=read_name(fields, "name"),
        version=read_integer(fields, "version", 0),
        adapters=frozenset(_decode_adapter_name(each) for each in adapters),
    )


def _decode_adapter_name(value: Any) -> str:
    """Return the name of an adapter, given as text or object, without its version."""
    name = check_name(value.get("name") if isinstance(value, dict) else value, "name")
    return name.partition("@")[0]


def _read_software_version(fields: Mapping[str, Any]) -> str:
    """Return the version of a runner's software; empty if it can't be read."""
    version = fields.get("version")
    is_readable = isinstance(version, str | int) and not isinstance(version, bool)
    if not is_readable or version == "":
        return ""
    return check_name(str(version), "version")


def _read_draining(fields: Mapping[str, Any]) -> bool:
    state = fields.get("state")
    if state not in (READY, DRAINING):
        raise DocumentError(
            f"state is neither ready nor draining: {reprlib.repr(state)}"
        )
    return bool(state == DRAINING)


def _decode_route(value: Any) -> Route:
    fields = read_object(value, "a route")
    split = fields.get("traffic_split")
    if split:
        shares = tuple(
            TrafficShare(service=str(each["service"]), weight=float(each["weight"]))
            for each in split
        )
    else:
        shares = (TrafficShare(service=str(fields["service"]), weight=1.0),)
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
        public=bool(fields.get("public")),
    )


def _decode_customers(value: Any) -> CustomerRegistry | None:
    """Return the customers; None if there are none, so that no keys are required."""
    if not value:
        return None
    registry = CustomerRegistry()
    for each in read_list(value, "the customers"):
        fields = read_object(each, "a customer")
        keys = read_list(fields.get("api_keys"), "the keys")
        registry.add(_decode_customer(fields), [_read_key(key) for key in keys])
    return registry


def _decode_customer(fields: Mapping[str, Any]) -> Customer:
    priority = fields.get("priority")
    return Customer(
        name=read_text(fields, "name"),
        priority=None if priority is None else int(priority),
        quota=_decode_quota(fields),
        counts_tokens=fields.get("unit") == TOKEN_UNIT,
        plain_tokens=int(fields.get("plain_tokens") or 0),
    )


def _decode_quota(fields: Mapping[str, Any]) -> Quota | None:
    rate = read_number(fields, "rate_per_s") or 0.0
    if rate <= 0:
        return None
    return Quota(rate_per_s=rate, burst=read_number(fields, "burst") or 0.0)


def _read_key(value: Any) -> str:
    """Return an API key; error messages must not contain it."""
    if not isinstance(value, str) or not value:
        raise DocumentError("an API key is empty or not a string")
    return value


def _decode_service(value: Any) -> ServiceProfile:
    fields = read_object(value, "a service")
    engine = fields.get("engine")
    return ServiceProfile(
        name=str(fields["name"]),
        health_path=str(fields.get("health_path") or "/health"),
        max_connections=int(fields.get("max_conns") or 0),
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(value: Any) -> EngineProfile:
    fields = read_object(value, "an engine")
    return EngineProfile(
        slots=int(fields["slots"]),
        kv_capacity_tokens=int(fields["kv_capacity"]),
        weights_mb=float(fields["weights_mb"]),
        adapter_slots=int(fields.get("adapter_slots") or 0),
        loads_per_s=float(fields.get("loads_per_s") or 0),
        models={each["name"]: _decode_model(each) for each in fields["models"]},
        disk_mb=float(fields.get("disk_mb") or 0),
        moves=bool(fields.get("moves")),
        backups=bool(fields.get("backups")),
        handle_s=float(fields.get("handle_s") or 0),
        kv_token_bytes=int(fields.get("kv_token_bytes") or 0),
        tokens_per_event=int(fields.get("stride") or 0),
    )


def _decode_model(value: Any) -> ModelProfile:
    fields = read_object(value, "a model")
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


def _decode_limits(value: Any) -> CallerLimits:
    fields = read_object(value, "the limits")
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(
            fields.get("max_header_bytes") or defaults.max_header_bytes
        ),
        max_body_bytes=int(fields.get("max_body_bytes") or defaults.max_body_bytes),
        header_timeout_s=float(fields["header_timeout_ms"]) / MS_PER_S
        if fields.get("header_timeout_ms")
        else defaults.header_timeout_s,
        idle_timeout_s=float(fields["idle_timeout_ms"]) / MS_PER_S
        if fields.get("idle_timeout_ms")
        else defaults.idle_timeout_s,
    )
