"""Numbered events: their registry, and the log they are written to."""

import sys
from collections.abc import Callable
from enum import IntEnum
from typing import IO, Any, TypeVar, dataclass_transform

import attrs
import eliot

EventT = TypeVar("EventT", bound=type)


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


# The library has no annotations.
_eliot: Any = eliot

_specs: dict[type, EventSpec] = {}
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
    """Write one event to the log, unless its level is below the log's."""
    spec = _specs[type(event)]
    if spec.level < _minimum:
        return
    fields = {name: _to_plain(getattr(event, name)) for name in spec.fields}
    _eliot.log_message(
        message_type=spec.name, event=spec.number, level=spec.level.name, **fields
    )


def start_log(
    level: LogLevel, *, host: str, role: str, stream: IO[str] | None = None
) -> Callable[[], None]:
    """Start writing JSON lines to a stream (standard error if none is given).

    Every line carries the host and the role of the process.

    Returns:
        A function that stops writing to the stream.
    """
    global _minimum
    _minimum = level
    destination = _eliot.FileDestination(file=stream or sys.stderr)
    _eliot.add_global_fields(host=host, role=role)
    _eliot.add_destinations(destination)

    def stop() -> None:
        _eliot.remove_destination(destination)

    return stop


def _to_plain(value: Any) -> Any:
    if value is None or isinstance(value, str | int | float | bool):
        return getattr(value, "value", value)
    if isinstance(value, tuple | list | frozenset):
        return [_to_plain(item) for item in value]
    return getattr(value, "value", None) or str(value)
