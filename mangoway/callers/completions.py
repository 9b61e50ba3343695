"""The body of a completion in the published shape."""

from collections.abc import Mapping
from typing import Any, Final

from attrs import field, frozen

from .const import DEFAULT_MAX_TOKENS, MAX_TOKENS_LIMIT
from .fields import BODY_FIELDS, fail_malformed

OWN_FIELDS: Final = frozenset({"model", "prompt", "max_tokens", "stream"}) | BODY_FIELDS
ENGINE_FIELDS: Final = frozenset(
    {"priority", "request_id", "resume_from", "resume_text"}
)
"""Fields of the engines' protocol that callers must not set."""

SINGLE_ANSWER: Final = {"n": 1, "best_of": 1, "echo": False, "logprobs": None}
"""Fields of the published shape for which only one value is served."""


@frozen(kw_only=True)
class CompletionBody:
    """A checked body."""

    model: str
    prompt: str = field(repr=False)
    max_tokens: int
    stream: bool
    parameters: Mapping[str, Any]
    """All further fields; the engine checks them."""

    fields: Mapping[str, Any] = field(repr=False)
    """The whole object."""


def parse_completion(fields: Mapping[str, Any]) -> CompletionBody:
    """Check the object of a body.

    Raises:
        MangowayError: MALFORMED_REQUEST, naming the field.
    """
    for name, only in SINGLE_ANSWER.items():
        if fields.get(name, only) not in (only, None):
            raise fail_malformed(f"{name}: only {only!r} is served")
    reserved = ENGINE_FIELDS.intersection(fields)
    if reserved:
        raise fail_malformed(f"{min(reserved)}: callers can't set this field")
    parameters = {
        name: value
        for name, value in fields.items()
        if name not in OWN_FIELDS and name not in SINGLE_ANSWER
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
        raise fail_malformed(f"{name}: expected text")
    return value


def _read_max_tokens(value: Any) -> int:
    whole = isinstance(value, int) and not isinstance(value, bool)
    if not whole or not 1 <= value <= MAX_TOKENS_LIMIT:
        raise fail_malformed(
            f"max_tokens: expected a whole number from 1 to {MAX_TOKENS_LIMIT}"
        )
    return int(value)


def _read_stream(value: Any) -> bool:
    if not isinstance(value, bool):
        raise fail_malformed("stream: expected true or false")
    return value
