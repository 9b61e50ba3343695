"""Settings of edges and schedulers."""

from typing import Final

from attrs import frozen

from ..observability.event_log import LogLevel
from ..util.address import parse_address
from .options import setting
from .parsers import (
    float_between,
    int_between,
    parse_flag,
    parse_level,
    parse_name,
    parse_optional,
    parse_optional_addresses,
)

DEFAULT_GRACE_S: Final = 8.0
DEFAULT_RETRY_RATIO: Final = 0.2
DEFAULT_RETRY_SLACK: Final = 50.0
DEFAULT_RETRY_WINDOW_S: Final = 10.0
DEFAULT_ORDER_DELAY_S: Final = 3.0
DEFAULT_REVOKE_MS: Final = 5000.0
DEFAULT_QUOTA_SLACK: Final = 0.0
DEFAULT_DRAIN_MS: Final = 3000.0


@frozen(kw_only=True)
class FleetSettings:
    """Settings that edges and schedulers share."""

    host: str = setting(parse_name, "Name of this host.")
    data_centre: str = setting(parse_name, "Data centre of this host.")
    store: str = setting(parse_address, "Address of the platform's store.")
    seeds: tuple[str, ...] = setting(
        parse_optional_addresses,
        "Addresses of schedulers, separated by commas, from which state is read if the "
        "store does not respond at the start.",
        (),
    )
    metrics_listen: str | None = setting(
        parse_address,
        "IP address and port to serve metrics on; none if not given.",
        None,
    )
    log_level: LogLevel = setting(
        parse_level, "Lowest level of events that are logged.", LogLevel.INFO
    )
    quota_slack: float = setting(
        parse_optional(float_between(0, 1e12), DEFAULT_QUOTA_SLACK),
        "Amount by which the fleet may temporarily exceed a customer's quota, in the "
        "quota's unit.",
        DEFAULT_QUOTA_SLACK,
    )
    grace_s: float = setting(
        float_between(0, 3600),
        "Seconds from the stop signal until the process must have ended.",
        DEFAULT_GRACE_S,
    )
    drain_ms: float = setting(
        parse_optional(float_between(0, 3_600_000), DEFAULT_DRAIN_MS),
        "Milliseconds for which a runner serves after its leaving is known.",
        DEFAULT_DRAIN_MS,
    )
    max_descriptors: int | None = setting(
        parse_optional(int_between(64, 10_000_000), None),
        "Descriptors that this process may open, from which the limits of its clients' "
        "connections follow; the limit that the process started with if not given.",
        None,
    )
    fair_shares: bool = setting(
        parse_flag,
        "Whether customers of equal priority share the runners of a service fairly.",
        True,
    )
    stream_transfers: bool = setting(
        parse_flag,
        "Whether running streams are transferred to other runners, on services whose "
        "most urgent streams can't be resumed.",
        True,
    )
    stream_backups: bool = setting(
        parse_flag,
        "Whether running streams are backed up at other runners, on services whose "
        "most urgent streams can't be resumed.",
        True,
    )
    runner_pace: bool = setting(
        parse_flag,
        "Whether the pace of each runner is learned, on services whose most urgent "
        "streams can't be resumed.",
        True,
    )
    placement_deferral: bool = setting(
        parse_flag,
        "Whether patient requests are deferred in the placement of models, on services "
        "whose most urgent streams can't be resumed.",
        True,
    )
    plain_grants: bool = setting(
        parse_flag,
        "Whether requests for a plain service whose runners are full are granted by "
        "the scheduler.",
        True,
    )


@frozen(kw_only=True)
class EdgeSettings(FleetSettings):
    """Settings of an edge."""

    retry_ratio: float = setting(
        float_between(0, 10),
        "Retries that the fleet may send per request to a service.",
        DEFAULT_RETRY_RATIO,
    )
    retry_slack: float = setting(
        float_between(0, 100_000),
        "Retries that the fleet may send to a service in each window in addition to "
        "--retry-ratio.",
        DEFAULT_RETRY_SLACK,
    )
    retry_window_s: float = setting(
        float_between(0.1, 3600),
        "Length of the window of --retry-slack in seconds.",
        DEFAULT_RETRY_WINDOW_S,
    )
    revoke_ms: float = setting(
        parse_optional(float_between(1, 3_600_000), DEFAULT_REVOKE_MS),
        "Milliseconds after which no host accepts a revoked customer key.",
        DEFAULT_REVOKE_MS,
    )
    revoke_closed: bool = setting(
        parse_optional(parse_flag, True),
        "Whether a host that can't know if keys are still valid rejects requests that "
        "need a key.",
        True,
    )

    caller_listen: str = setting(
        parse_address, "IP address and port to listen on for callers."
    )
    directory_listen: str = setting(
        parse_address, "IP address and port to serve the list of usable edges on."
    )
    ready_listen: str = setting(
        parse_address, "IP address and port to serve the readiness of this edge on."
    )
    datagram_listen: str | None = setting(
        parse_address,
        "IP address and UDP port for datagrams of other edges; that of --caller-listen "
        "if not given.",
        None,
    )


@frozen(kw_only=True)
class SchedulerSettings(FleetSettings):
    """Settings of a scheduler."""

    peer_listen: str = setting(
        parse_address,
        "IP address and port to listen on for edges and other schedulers.",
    )
    runners_check_fences: bool = setting(
        parse_flag,
        "Whether all runners reject an order with a lower fence number than an earlier "
        "order had.",
        False,
    )
    order_delay_s: float = setting(
        float_between(0, 3600),
        "Seconds for which a new leading scheduler sends no orders; not used with "
        "--runners-check-fences.",
        DEFAULT_ORDER_DELAY_S,
    )
