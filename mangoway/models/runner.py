"""Runners as the platform announces them and as they report about themselves."""

from attrs import frozen


@frozen(kw_only=True)
class ResidentModel:
    """A model that a runner holds, with its adapters."""

    name: str
    version: int
    adapters: frozenset[str]


@frozen(kw_only=True)
class RunnerEntry:
    """What the platform's directory says of one life of a runner."""

    runner_id: str
    """Names the runner; it may start again under the same id."""

    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    seconds_left: float | None
    """Time until a runner that leaves at short notice is gone; None if unknown."""

    models: tuple[ResidentModel, ...]
    """What it held when it wrote this, up to a heartbeat ago."""

    started_ms: int = 0
    """When its present life began, in Unix milliseconds; 0 if it doesn't say. A later
    one is a new life, which holds and knows nothing of the one before."""


@frozen(kw_only=True)
class RunnerReport:
    """State of a runner with an engine as of some hundred milliseconds ago."""

    models: tuple[ResidentModel, ...]
    pending_adapters: frozenset[str]
    """Adapters on their way to the runner, as `model/adapter`."""

    busy: bool
    """Whether an order is being carried out."""

    order_count: int
    queued: int
    active: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    in_host_memory: frozenset[str]
    """Models whose weights lie in the runner's host memory."""

    on_disk: frozenset[str]
    """Models whose weights lie on the runner's disk."""

    started_ms: int = 0
    """When the life that reports began, as in the entry."""


def is_later_incarnation(started_ms: int, known_ms: int) -> bool:
    """Return whether one life of a runner began after another; 0: not known when."""
    return 0 < known_ms < started_ms
