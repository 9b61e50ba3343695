"""Checks of the types of decoded messages.

A message is a list of JSON values. One of a wrong type would raise an error where it is
used, after other values of the message have taken effect.
"""

import types
from collections.abc import Callable
from enum import Enum
from typing import Any, Final, Union, get_args, get_origin, get_type_hints

import attrs

Check = Callable[[Any], bool]

NUMBERS: Final = (int, float)
"""Encoders round numbers, so that a float may arrive as an integer and vice versa."""

_checks: dict[type, Check] = {}
"""Checks of attrs classes, made when the first value of a class is checked."""


def has_valid_types(value: Any) -> bool:
    """Return whether the fields of an attrs instance have their annotated types."""
    cls = type(value)
    check = _checks.get(cls)
    if check is None:
        check = _checks[cls] = _make_class_check(cls)
    return check(value)


def _make_class_check(cls: type) -> Check:
    hints = get_type_hints(cls)
    checks = [(each.name, _make_check(hints[each.name])) for each in attrs.fields(cls)]

    def check(value: Any) -> bool:
        return all(is_valid(getattr(value, name)) for name, is_valid in checks)

    return check


def _make_check(hint: Any) -> Check:
    """Return the check of a type.

    Raises:
        TypeError: If there is none for such a type.
    """
    origin, arguments = get_origin(hint), get_args(hint)
    if origin in (Union, types.UnionType):
        choices = [_make_check(each) for each in arguments]
        return lambda value: any(check(value) for check in choices)
    if origin is tuple:
        return _make_tuple_check(arguments)
    if hint is type(None):
        return lambda value: value is None
    if hint in (int, float):
        return lambda value: type(value) in NUMBERS
    if hint is bool:
        return lambda value: isinstance(value, int)
    if hint in (str, bytes) or issubclass(hint, Enum):
        return lambda value: isinstance(value, hint)
    if attrs.has(hint):
        return lambda value: isinstance(value, hint) and has_valid_types(value)
    raise TypeError(f"no check for {hint}")


def _make_tuple_check(arguments: tuple[Any, ...]) -> Check:
    if arguments[1:] == (...,):
        check = _make_check(arguments[0])
        return lambda value: isinstance(value, tuple) and all(map(check, value))
    checks = [_make_check(each) for each in arguments]
    return lambda value: (
        isinstance(value, tuple)
        and len(value) == len(checks)
        and all(check(each) for check, each in zip(checks, value, strict=True))
    )
