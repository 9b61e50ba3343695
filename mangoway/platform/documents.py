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
    check_text,
    read_address,
    read_count,
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

MAX_TIMEOUT_MS: Final = 7 * 86_400_000
"""Longest timeout of a configuration: a week."""

MAX_AMOUNT: Final = 1e15
"""Largest size, rate or weight: sums and products of some of them stay finite."""

MAX_PRIORITY: Final = 1_000_000
MAX_ATTEMPTS: Final = 1000

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
            version=read_count(fields, "version"),
            routes=tuple(
                _decode_route(each) for each in read_list(fields["routes"], "routes")
            ),
            services={
                each.name: each
                for each in map(
                    _decode_service, read_list(fields["services"], "services")
                )
            },
            limits=_decode_limits(fields.get("limits") or {}),
            customers=_decode_customers(fields.get("tenants")),
        )
    except (DocumentError, *DECODE_ERRORS) as error:
        raise DocumentError(f"invalid configuration: {error!r}") from error


def decode_runner(key: str, document: bytes) -> RunnerEntry:
    """Decode the entry of a runner.

    Other writers may store arbitrary bytes under its key.

    Raises:
        DocumentError: If the entry is invalid or describes no usable runner.
    """
    try:
        fields = read_object(orjson.loads(document), "the entry")
        remaining_ms = read_number(
            fields,
            "remaining_ms",
            minimum=-MAX_REMAINING_MS,
            maximum=MAX_REMAINING_MS,
        )
        return RunnerEntry(
            runner_id=check_name(key.removeprefix(RUNNER_PREFIX), "the ID"),
            service=read_name(fields, "service"),
            address=read_address(fields, "address"),
            data_centre=read_name(fields, "zone"),
            slots=read_integer(fields, "slots", minimum=1, maximum=MAX_SLOTS),
            draining=_read_draining(fields),
            # A runner whose time is over may still state by how much.
            seconds_left=None
            if remaining_ms is None
            else max(0.0, remaining_ms / MS_PER_S),
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
    split = read_list(fields.get("traffic_split"), "the split")
    shares = tuple(_decode_share(each) for each in split) or (
        TrafficShare(service=read_text(fields, "service"), weight=1.0),
    )
    timeout_ms = _read_positive(fields, "timeout_ms", MAX_TIMEOUT_MS)
    return Route(
        name=read_text(fields, "name"),
        host=_read_optional_text(fields, "host"),
        prefix=_read_optional_text(fields, "prefix"),
        kind=RouteKind(read_text(fields, "kind")),
        timeout_s=timeout_ms / MS_PER_S,
        objective_s=_read_positive(
            fields, "target_latency_ms", MAX_TIMEOUT_MS, timeout_ms
        )
        / MS_PER_S,
        priority=_read_priority(fields) or 0,
        shares=shares,
        max_attempts=max(1, _read_limited_count(fields, "max_attempts", MAX_ATTEMPTS)),
        resumable=bool(fields.get("resumable")),
        gap_objective_s=(
            read_number(fields, "gap_target_ms", maximum=MAX_TIMEOUT_MS) or 0
        )
        / MS_PER_S,
        public=bool(fields.get("public")),
    )


def _decode_share(value: Any) -> TrafficShare:
    fields = read_object(value, "a share")
    weight = read_number(fields, "weight", maximum=MAX_AMOUNT)
    if weight is None:
        raise DocumentError("a share has no weight")
    return TrafficShare(service=read_text(fields, "service"), weight=weight)


def _read_optional_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a text that may be empty."""
    return "" if fields.get(name) == "" else read_text(fields, name)


def _read_positive(
    fields: Mapping[str, Any], name: str, maximum: float, default: float | None = None
) -> float:
    """Return a positive number; the default if it is missing or 0."""
    value = read_number(fields, name, maximum=maximum) or default
    if value is None:
        raise DocumentError(f"{name} is missing")
    return value


def _read_priority(fields: Mapping[str, Any]) -> int | None:
    priority = read_number(
        fields, "priority", minimum=-MAX_PRIORITY, maximum=MAX_PRIORITY
    )
    return None if priority is None else int(priority)


def _read_limited_count(fields: Mapping[str, Any], name: str, maximum: int) -> int:
    """Return a count; 0 if it is missing."""
    return int(read_number(fields, name, maximum=maximum) or 0)


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
    return Customer(
        # A header field carries it to runners.
        name=read_name(fields, "name"),
        priority=_read_priority(fields),
        quota=_decode_quota(fields),
        counts_tokens=fields.get("unit") == TOKEN_UNIT,
        plain_tokens=read_count(fields, "plain_tokens", 0),
    )


def _decode_quota(fields: Mapping[str, Any]) -> Quota | None:
    rate = read_number(fields, "rate_per_s", minimum=-MAX_AMOUNT, maximum=MAX_AMOUNT)
    if rate is None or rate <= 0:
        return None
    burst = read_number(fields, "burst", maximum=MAX_AMOUNT) or 0.0
    return Quota(rate_per_s=rate, burst=burst)


def _read_key(value: Any) -> str:
    """Return an API key; error messages must not contain it."""
    if not isinstance(value, str) or not value:
        raise DocumentError("an API key is empty or not a string")
    return value


def _decode_service(value: Any) -> ServiceProfile:
    fields = read_object(value, "a service")
    engine = fields.get("engine")
    return ServiceProfile(
        name=read_text(fields, "name"),
        health_path=check_text(fields.get("health_path") or "/health", "health_path"),
        max_connections=read_count(fields, "max_conns", 0),
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(value: Any) -> EngineProfile:
    fields = read_object(value, "an engine")
    return EngineProfile(
        slots=read_count(fields, "slots"),
        kv_capacity_tokens=read_count(fields, "kv_capacity"),
        weights_mb=_read_amount(fields, "weights_mb"),
        adapter_slots=read_count(fields, "adapter_slots", 0),
        loads_per_s=_read_amount(fields, "loads_per_s", 0.0),
        models={
            each.name: each
            for each in map(_decode_model, read_list(fields["models"], "the models"))
        },
        disk_mb=_read_amount(fields, "disk_mb", 0.0),
        moves=bool(fields.get("moves")),
        backups=bool(fields.get("backups")),
        handle_s=_read_amount(fields, "handle_s", 0.0),
        kv_token_bytes=read_count(fields, "kv_token_bytes", 0),
        tokens_per_event=read_count(fields, "stride", 0),
    )


def _decode_model(value: Any) -> ModelProfile:
    fields = read_object(value, "a model")
    load_s = _read_amount(fields, "load_s")
    return ModelProfile(
        name=read_text(fields, "name"),
        weights_mb=_read_amount(fields, "weights_mb"),
        load_s=load_s,
        memory_load_s=_read_amount(fields, "warm_s", 0.0) or load_s,
        disk_load_s=_read_amount(fields, "disk_s", 0.0) or load_s,
        adapters=read_count(fields, "adapters", 0),
        adapter_mb=_read_amount(fields, "adapter_mb", 0.0),
    )


def _read_amount(
    fields: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    value = read_number(fields, name, maximum=MAX_AMOUNT)
    if value is None:
        value = default
    if value is None:
        raise DocumentError(f"{name} is missing")
    return value


def _decode_limits(value: Any) -> CallerLimits:
    fields = read_object(value, "the limits")
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=read_count(fields, "max_header_bytes", 0)
        or defaults.max_header_bytes,
        max_body_bytes=read_count(fields, "max_body_bytes", 0)
        or defaults.max_body_bytes,
        header_timeout_s=_read_timeout(
            fields, "header_timeout_ms", defaults.header_timeout_s
        ),
        idle_timeout_s=_read_timeout(
            fields, "idle_timeout_ms", defaults.idle_timeout_s
        ),
    )


def _read_timeout(fields: Mapping[str, Any], name: str, default_s: float) -> float:
    """Return a timeout in seconds; the default if it is missing or 0."""
    value = read_number(fields, name, maximum=MAX_TIMEOUT_MS)
    return value / MS_PER_S if value else default_s
