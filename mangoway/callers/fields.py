"""Caller, work class, deadline and idempotency fields of a request."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from ..models.errors import ErrorCode, MangowayError
from ..models.request import WorkClass
from .const import (
    DEADLINE_MAX_S,
    FALSE_WORDS,
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_IDEMPOTENT,
    HEADER_WORK_CLASS,
    TRUE_WORDS,
)

FIELD_CALLER = "caller"
FIELD_WORK_CLASS = "work_class"
FIELD_DEADLINE = "deadline_s"
FIELD_KEY = "idempotency_key"
FIELD_IDEMPOTENT = "idempotent"
BODY_FIELDS = frozenset(
    {FIELD_CALLER, FIELD_WORK_CLASS, FIELD_DEADLINE, FIELD_KEY, FIELD_IDEMPOTENT}
)


@frozen(kw_only=True)
class RequestFields:
    """Fields given with a request; None for those that are not given."""

    caller: str | None
    work_class: WorkClass | None
    deadline_s: float | None
    key: str | None
    idempotent: bool | None


def read_fields(headers: Mapping[str, str], body: Mapping[str, Any]) -> RequestFields:
    """Read the fields; a header takes precedence over the field in the body.

    Raises:
        MangowayError: MALFORMED_REQUEST or UNKNOWN_CLASS with the name of the field.
    """
    key = _read_text(headers, HEADER_IDEMPOTENCY_KEY, body, FIELD_KEY)
    if key == "":
        raise make_malformed_error(f"{HEADER_IDEMPOTENCY_KEY}: expected non-empty text")
    return RequestFields(
        caller=_read_text(headers, HEADER_CALLER, body, FIELD_CALLER),
        work_class=_read_class(headers, body),
        deadline_s=_read_deadline(headers, body),
        key=key,
        idempotent=_read_flag(headers, body),
    )


def make_malformed_error(detail: str) -> MangowayError:
    """Return the error for a request that violates the interface."""
    return MangowayError(ErrorCode.MALFORMED_REQUEST, detail)


def _read_text(
    headers: Mapping[str, str], header: str, body: Mapping[str, Any], name: str
) -> str | None:
    value = headers.get(header, body.get(name))
    if value is not None and not isinstance(value, str):
        raise make_malformed_error(f"{name}: expected text")
    return value


def _read_class(
    headers: Mapping[str, str], body: Mapping[str, Any]
) -> WorkClass | None:
    text = _read_text(headers, HEADER_WORK_CLASS, body, FIELD_WORK_CLASS)
    if text is None:
        return None
    try:
        return WorkClass(text)
    except ValueError:
        known = ", ".join(each.value for each in WorkClass)
        detail = f"{HEADER_WORK_CLASS}: expected one of {known}, not {text!r}"
        raise MangowayError(ErrorCode.UNKNOWN_CLASS, detail) from None


def _read_deadline(headers: Mapping[str, str], body: Mapping[str, Any]) -> float | None:
    value = headers.get(HEADER_DEADLINE, body.get(FIELD_DEADLINE))
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise make_malformed_error(f"{FIELD_DEADLINE}: expected a number of seconds")
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= DEADLINE_MAX_S:
        raise make_malformed_error(
            f"{HEADER_DEADLINE}: expected seconds above 0 and up to {DEADLINE_MAX_S:g}"
        )
    return seconds


def _read_flag(headers: Mapping[str, str], body: Mapping[str, Any]) -> bool | None:
    text = headers.get(HEADER_IDEMPOTENT)
    if text is None:
        value = body.get(FIELD_IDEMPOTENT)
        if value is not None and not isinstance(value, bool):
            raise make_malformed_error(f"{FIELD_IDEMPOTENT}: expected true or false")
        return value
    if text.lower() in TRUE_WORDS:
        return True
    if text.lower() in FALSE_WORDS:
        return False
    raise make_malformed_error(f"{HEADER_IDEMPOTENT}: expected true or false")
