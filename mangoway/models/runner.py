"""Entries of runners in the platform's directory, and reports of runners."""

from attrs import frozen


@frozen(kw_only=True)
class ResidentModel:
    """A model that is loaded at a runner, with its loaded adapters."""

    name: str
    version: int
    adapters: frozenset[str]


@frozen(kw_only=True)
class RunnerEntry:
    """Entry of one runner incarnation in the platform's directory."""

    runner_id: str
    """ID of the runner; a restart may keep it."""

    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    seconds_left: float | None
    """Time until a runner that leaves at short notice ends; None if unknown."""

    models: tuple[ResidentModel, ...]
    """Models loaded when the runner wrote the entry, up to one heartbeat ago."""

    started_ms: int = 0
    """Start of the runner's incarnation in Unix milliseconds; 0 if unknown. A later
    start means a new incarnation, without the models and state of the previous one."""

    software_version: str = ""
    """Version of the runner's software; empty if it states none. Versions have no
    order."""


@frozen(kw_only=True)
class RunnerReport:
    """State of a runner with a model engine, up to some hundred milliseconds old."""

    models: tuple[ResidentModel, ...]
    pending_adapters: frozenset[str]
    """Adapters that are being loaded, as `model/adapter`."""

    busy: bool
    """Whether an order is being executed."""

    order_count: int
    queued: int
    active: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    in_host_memory: frozenset[str]
    """Models whose weights are in the runner's host memory."""

    on_disk: frozenset[str]
    """Models whose weights are on the runner's disk."""

    started_ms: int = 0
    """Start of the reporting incarnation, as in the entry."""

    run_ids: frozenset[str] | None = None
    """IDs of the requests that it runs; None if the report doesn't list them."""


def has_same_software(runner: RunnerEntry, other: RunnerEntry) -> bool:
    """Return whether two runners state the same version of their software, or none."""
    return runner.software_version == other.software_version


def is_later_incarnation(started_ms: int, other_started_ms: int) -> bool:
    """Return whether a runner incarnation started after another one.

    Args:
        started_ms: Start of the incarnation in Unix milliseconds; 0 if unknown.
        other_started_ms: Start of the other one; 0 if unknown.

    Returns:
        False if one of the starts is unknown.
    """
    return 0 < other_started_ms < started_ms
