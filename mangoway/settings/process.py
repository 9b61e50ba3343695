"""Settings of the gateway and the controller."""

from typing import Final

from attrs import frozen

from ..models.identifiers import CellId, DataCentreId, HostId
from ..observability.event_log import LogLevel
from ..util.address import parse_address
from .errors import SettingError
from .options import setting
from .parsers import (
    float_between,
    int_between,
    parse_addresses,
    parse_flag,
    parse_level,
    parse_name,
    parse_url,
)

DEFAULT_STOP_DEADLINE_S: Final = 900.0
DEFAULT_MAX_BODY_BYTES: Final = 1 << 20
DEFAULT_KEY_VALUE_CALLS_PER_SECOND: Final = 20.0
DEFAULT_KEY_VALUE_TIMEOUT_S: Final = 1.0
DEFAULT_HOST_LIST_PERIOD_S: Final = 2.0
MAX_BODY_BYTES: Final = 1 << 26
UNSPECIFIED_HOSTS: Final = ("0.0.0.0", "[::]")


@frozen(kw_only=True)
class KeyValueSettings:
    """Settings of the key-value service, for processes and operators' commands."""

    key_value: tuple[str, ...] = setting(
        parse_addresses, "Addresses of the key-value service, separated by commas."
    )
    key_value_kind: str = setting(
        parse_name, "Adapter of the key-value service.", "etcd"
    )
    key_value_calls_per_second: float = setting(
        float_between(0.1, 10_000),
        "Calls per second that this process may make to the key-value service.",
        DEFAULT_KEY_VALUE_CALLS_PER_SECOND,
    )
    key_value_timeout_s: float = setting(
        float_between(0.01, 60),
        "Timeout in seconds of one attempt of a call to the key-value service.",
        DEFAULT_KEY_VALUE_TIMEOUT_S,
    )


@frozen(kw_only=True)
class ProcessSettings(KeyValueSettings):
    """Settings that gateways and controllers share."""

    host: HostId = setting(parse_name, "Name of this host.")
    data_centre: DataCentreId = setting(parse_name, "Data centre of this host.")
    site: str = setting(parse_name, "Site whose overlay applies.")
    cell: CellId = setting(
        parse_name,
        "Cell of this host, whose runners one controller plans; its data centre if not "
        "given.",
        CellId(""),
    )
    peer_listen: str = setting(
        parse_address, "IP address and port to listen on for other processes."
    )
    peer_address: str = setting(
        parse_address,
        "Address that other processes use; --peer-listen if not given.",
        "",
    )
    seeds: tuple[str, ...] = setting(
        parse_addresses, "Peer addresses of other processes, separated by commas.", ()
    )
    host_list_url: str | None = setting(
        parse_url, "URL of the host list; none is read if not given.", None
    )
    host_list_kind: str = setting(parse_name, "Adapter of the host list.", "http")
    host_list_period_s: float = setting(
        float_between(0.1, 3600),
        "Seconds between two reads of the host list.",
        DEFAULT_HOST_LIST_PERIOD_S,
    )
    stop_deadline_s: float = setting(
        float_between(0, 86_400),
        "Maximum seconds that a planned stop waits for requests or orders in progress.",
        DEFAULT_STOP_DEADLINE_S,
    )
    log_level: LogLevel = setting(
        parse_level, "Lowest level of events that are logged.", LogLevel.INFO
    )
    trace_sample_ratio: float = setting(
        float_between(0, 1), "Share of new traces whose spans are kept.", 1.0
    )
    log_spans: bool = setting(parse_flag, "Whether ended spans are logged.", False)

    def __attrs_post_init__(self) -> None:
        if not self.cell:
            object.__setattr__(self, "cell", CellId(self.data_centre))
        _fill_address(self, "peer_listen", "peer_address", "--peer-address")


@frozen(kw_only=True)
class GatewaySettings(ProcessSettings):
    """Settings of a gateway."""

    caller_listen: str = setting(
        parse_address, "IP address and port to listen on for callers."
    )
    caller_address: str = setting(
        parse_address, "Address that callers use; --caller-listen if not given.", ""
    )
    max_body_bytes: int = setting(
        int_between(1024, MAX_BODY_BYTES),
        "Maximum size of a request body in bytes.",
        DEFAULT_MAX_BODY_BYTES,
    )

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        _fill_address(self, "caller_listen", "caller_address", "--caller-address")
        if self.caller_listen == self.peer_listen:
            raise SettingError("--caller-listen", "is the same as --peer-listen")


@frozen(kw_only=True)
class ControllerSettings(ProcessSettings):
    """Settings of a controller."""

    metrics_listen: str | None = setting(
        parse_address,
        "IP address and port to serve metrics on; none if not given.",
        None,
    )
    lease_s: float = setting(
        float_between(1, 3600), "Seconds for which the lease of a cell is valid.", 10.0
    )


def _fill_address(
    settings: ProcessSettings, listen: str, advertised: str, flag: str
) -> None:
    """Set an advertised address that is not given to the listen address.

    Raises:
        SettingError: If the process listens on all addresses of its host.
    """
    if getattr(settings, advertised):
        return
    address: str = getattr(settings, listen)
    if address.rpartition(":")[0] in UNSPECIFIED_HOSTS:
        raise SettingError(
            flag, f"must be given, since {address} is not the address of one host"
        )
    object.__setattr__(settings, advertised, address)
