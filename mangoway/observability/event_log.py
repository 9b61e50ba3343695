"""Numbered events: their registry and the log to which they are written."""

import sys
import time
from collections.abc import Callable
from enum import IntEnum
from typing import IO, Any, Final, TypeVar, dataclass_transform

import attrs
import eliot

from .output import BoundedOutput

EventT = TypeVar("EventT", bound=type)

LINES_PER_SECOND: Final = 20.0
LINES_BURST: Final = 200.0


class LogLevel(IntEnum):
    """Severity of an event; events below the log's level are not written."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@attrs.frozen(kw_only=True)
class EventSpec:
    """Catalogue entry of one kind of event."""

    number: int
    name: str
    level: LogLevel
    meaning: str
    fields: tuple[str, ...]
    limited_by: str = ""
    """Field by whose values lines are limited separately; empty for all together."""


@attrs.define
class LineBudget:
    """Token bucket for the lines of one kind of event.

    Without a limit, a flood of events would stall the event loop.
    """

    remaining: float = LINES_BURST
    refilled_at: float = 0.0
    suppressed: int = 0
    """Events dropped since the last line."""

    def try_acquire(self, now: float) -> bool:
        """Consume a token and return whether a line may be written.

        Args:
            now: Monotonic time in seconds.
        """
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.remaining = min(LINES_BURST, self.remaining + refill)
        self.refilled_at = now
        if self.remaining < 1:
            self.suppressed += 1
            return False
        self.remaining -= 1
        return True

    def pop_suppressed(self) -> int:
        """Return the number of dropped events and reset it."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed


# The library has no type annotations.
_eliot: Any = eliot

_specs: dict[type, EventSpec] = {}
_budgets: dict[tuple[type, str], LineBudget] = {}
"""Budgets by class of event and value of the field that limits it."""

_minimum_level = LogLevel.INFO


@dataclass_transform(frozen_default=True, kw_only_default=True)
def numbered(
    number: int, level: LogLevel, *, limited_by: str = ""
) -> Callable[[EventT], EventT]:
    """Return a decorator that registers an event class under a number.

    The class becomes a frozen attrs class with keyword arguments; its docstring is
    its meaning in the catalogue.

    Args:
        number: Number of the event.
        level: Severity of the event.
        limited_by: Field by whose few values the lines are limited separately, so that
            frequent events of one value suppress none of another.

    Raises:
        ValueError: If the number is already in use.
    """

    def register(cls: EventT) -> EventT:
        if any(spec.number == number for spec in _specs.values()):
            raise ValueError(f"event number {number} is already in use")
        frozen_cls = attrs.frozen(kw_only=True)(cls)
        _specs[frozen_cls] = EventSpec(
            number=number,
            name=cls.__name__,
            level=level,
            meaning=" ".join((cls.__doc__ or "").split()),
            fields=tuple(each.name for each in attrs.fields(frozen_cls)),
            limited_by=limited_by,
        )
        return frozen_cls

    return register


def list_specs() -> tuple[EventSpec, ...]:
    """Return the specifications of all registered events, sorted by number."""
    return tuple(sorted(_specs.values(), key=lambda spec: spec.number))


def find_spec(event: object) -> EventSpec:
    """Return the specification of an event's class.

    Raises:
        KeyError: If the class is not registered.
    """
    return _specs[type(event)]


def log_event(event: Any) -> None:
    """Write an event to the log, unless its level is below the log's.

    The lines of each kind of event, or of each value of the field that limits it, are
    limited to `LINES_PER_SECOND` after a burst of `LINES_BURST`. The first line after
    dropped events gives their number in the field `suppressed`.
    """
    kind = type(event)
    spec = _specs[kind]
    if spec.level < _minimum_level:
        return
    value = str(getattr(event, spec.limited_by)) if spec.limited_by else ""
    budget = _budgets.setdefault((kind, value), LineBudget())
    if not budget.try_acquire(time.monotonic()):
        return
    fields = {name: _to_plain(getattr(event, name)) for name in spec.fields}
    if suppressed := budget.pop_suppressed():
        fields["suppressed"] = suppressed
    _eliot.log_message(
        message_type=spec.name, event=spec.number, level=spec.level.name, **fields
    )


def start_log(
    level: LogLevel, *, host: str, role: str, stream: IO[str] | None = None
) -> Callable[[], None]:
    """Start writing JSON lines to a stream.

    Every line contains the host and the role of the process. Without a stream, lines
    are written to standard output without blocking: if its reader does not keep up,
    lines are dropped and counted.

    Returns:
        A function that stops writing to the stream.
    """
    global _minimum_level
    _minimum_level = level
    file: Any = stream or _open_output()
    destination = _eliot.FileDestination(file=file)
    _eliot.add_global_fields(host=host, role=role)
    _eliot.add_destinations(destination)

    def stop() -> None:
        file.flush()
        _eliot.remove_destination(destination)

    return stop


def _open_output() -> Any:
    # Imported here, since `fleet_events` imports this module.
    from .fleet_events import LinesDropped

    try:
        descriptor = sys.stdout.fileno()
    except OSError:
        # An in-memory stream, set by a program that uses this one as a library.
        return sys.stdout
    output = BoundedOutput(descriptor)
    output.on_dropped = lambda count: log_event(LinesDropped(lines=count))
    return output


def _to_plain(value: Any) -> Any:
    if value is None or isinstance(value, str | int | float | bool):
        return getattr(value, "value", value)
    if isinstance(value, tuple | list | frozenset):
        return [_to_plain(item) for item in value]
    return getattr(value, "value", None) or str(value)
