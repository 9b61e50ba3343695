"""Parsing of request bodies of the public completions API."""

from collections.abc import Mapping
from typing import Any, Final

from attrs import field, frozen

from .const import DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT
from .fields import BODY_FIELDS, make_malformed_error

OWN_FIELDS: Final = frozenset({"model", "prompt", "max_tokens", "stream"}) | BODY_FIELDS
"""Fields that the gateway evaluates itself and doesn't pass on as parameters."""

ENGINE_FIELDS: Final = frozenset(
    {"priority", "request_id", "resume_from", "resume_text"}
)
"""Fields of the engine protocol that callers must not set."""

SINGLE_VALUE_FIELDS: Final = {"n": 1, "best_of": 1, "echo": False, "logprobs": None}
"""Fields of the public API with the only value that is supported for each."""


@frozen(kw_only=True)
class CompletionBody:
    """Validated body of a completion request."""

    model: str
    prompt: str = field(repr=False)
    max_tokens: int
    stream: bool
    parameters: Mapping[str, Any]
    """All remaining fields; the engine validates them."""

    fields: Mapping[str, Any] = field(repr=False)
    """All fields of the body, as received."""


def parse_completion(fields: Mapping[str, Any]) -> CompletionBody:
    """Validate the decoded body of a completion request.

    Raises:
        MangowayError: MALFORMED_REQUEST with the name of the invalid field.
    """
    for name, supported in SINGLE_VALUE_FIELDS.items():
        if fields.get(name, supported) not in (supported, None):
            raise make_malformed_error(f"{name}: only {supported!r} is supported")
    reserved = ENGINE_FIELDS.intersection(fields)
    if reserved:
        raise make_malformed_error(
            f"{min(reserved)}: this field cannot be set by callers"
        )
    parameters = {
        name: value
        for name, value in fields.items()
        if name not in OWN_FIELDS and name not in SINGLE_VALUE_FIELDS
    }
    return CompletionBody(
        model=_read_text(fields, "model"),
        prompt=_read_text(fields, "prompt"),
        max_tokens=_read_max_tokens(fields.get("max_tokens", DEFAULT_MAX_TOKENS)),
        stream=_read_stream(fields.get("stream", False)),
        parameters=parameters,
        fields=fields,
    )


def _read_text(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise make_malformed_error(f"{name}: expected non-empty text")
    return value


def _read_max_tokens(value: Any) -> int:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if not is_whole or not 1 <= value <= MAX_TOKENS_LIMIT:
        raise make_malformed_error(
            f"max_tokens: expected a whole number from 1 to {MAX_TOKENS_LIMIT}"
        )
    return int(value)


def _read_stream(value: Any) -> bool:
    if not isinstance(value, bool):
        raise make_malformed_error("stream: expected true or false")
    return value
