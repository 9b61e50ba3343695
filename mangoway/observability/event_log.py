"""Numbered events: their registry, and the log they are written to."""

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
    """Importance of an event; a log shows its own level and all above."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@attrs.frozen(kw_only=True)
class EventSpec:
    """What the catalogue says of one kind of event."""

    number: int
    name: str
    level: LogLevel
    meaning: str
    fields: tuple[str, ...]


@attrs.define
class LineBudget:
    """Bounds the lines of one kind of event, so that a flood does not stall a loop."""

    left: float = LINES_BURST
    filled_at: float = 0.0
    suppressed: int = 0
    """Events left out since the last line."""

    def take(self, now: float) -> bool:
        """Return whether a line may be written at this time in seconds."""
        earned = (now - self.filled_at) * LINES_PER_SECOND
        self.left = min(LINES_BURST, self.left + earned)
        self.filled_at = now
        if self.left < 1:
            self.suppressed += 1
            return False
        self.left -= 1
        return True

    def take_suppressed(self) -> int:
        """Return the number of events left out, and start counting anew."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed


# The library has no annotations.
_eliot: Any = eliot

_specs: dict[type, EventSpec] = {}
_budgets: dict[type, LineBudget] = {}
_minimum = LogLevel.INFO


@dataclass_transform(frozen_default=True, kw_only_default=True)
def numbered(number: int, level: LogLevel) -> Callable[[EventT], EventT]:
    """Register an event class under its number.

    The class becomes a frozen attrs class with keyword arguments; its docstring is
    the meaning in the catalogue.

    Raises:
        ValueError: If the number is taken.
    """

    def register(cls: EventT) -> EventT:
        if any(spec.number == number for spec in _specs.values()):
            raise ValueError(f"event number {number} is taken")
        frozen_cls = attrs.frozen(kw_only=True)(cls)
        _specs[frozen_cls] = EventSpec(
            number=number,
            name=cls.__name__,
            level=level,
            meaning=" ".join((cls.__doc__ or "").split()),
            fields=tuple(each.name for each in attrs.fields(frozen_cls)),
        )
        return frozen_cls

    return register


def list_specs() -> tuple[EventSpec, ...]:
    """Return the specifications of all registered events, by number."""
    return tuple(sorted(_specs.values(), key=lambda spec: spec.number))


def find_spec(event: object) -> EventSpec:
    """Return the specification of an event.

    Raises:
        KeyError: If its class is not a registered event.
    """
    return _specs[type(event)]


def log_event(event: Any) -> None:
    """Write one event to the log, unless its level is below the log's.

    Of one kind, at most `LINES_PER_SECOND` are written in the long run; the next
    line then says in `suppressed` how many were left out.
    """
    kind = type(event)
    spec = _specs[kind]
    if spec.level < _minimum:
        return
    budget = _budgets.setdefault(kind, LineBudget())
    if not budget.take(time.monotonic()):
        return
    fields = {name: _to_plain(getattr(event, name)) for name in spec.fields}
    if suppressed := budget.take_suppressed():
        fields["suppressed"] = suppressed
    _eliot.log_message(
        message_type=spec.name, event=spec.number, level=spec.level.name, **fields
    )


def start_log(
    level: LogLevel, *, host: str, role: str, stream: IO[str] | None = None
) -> Callable[[], None]:
    """Start writing JSON lines to a stream.

    Without one they go to standard output, which is never waited for: lines that its
    reader doesn't take in time are left out and counted.

    Every line carries the host and the role of the process.

    Returns:
        A function that stops writing to the stream.
    """
    global _minimum
    _minimum = level
    file: Any = stream or _open_output()
    destination = _eliot.FileDestination(file=file)
    _eliot.add_global_fields(host=host, role=role)
    _eliot.add_destinations(destination)

    def stop() -> None:
        file.flush()
        _eliot.remove_destination(destination)

    return stop


def _open_output() -> Any:
    # Imported late: the events are registered by this module's functions.
    from .fleet_events import LinesDropped

    try:
        descriptor = sys.stdout.fileno()
    except OSError:
        # A stream in memory, put there by who runs the program as a library.
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
