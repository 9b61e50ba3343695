"""JSON encoding and decoding of the messages of the engine protocol."""

from typing import Any, TypeVar

import orjson
from cattrs import Converter
from cattrs.errors import BaseValidationError, StructureHandlerNotFoundError

from ..models.artifact import Artifact
from ..models.errors import ErrorCode, MangowayError
from ..models.order import Order
from ..models.upstream import EngineDescription, EngineReport
from ..models.verdict import Verdict
from .messages import CompletionAttempt, OrderAnswer

MessageT = TypeVar("MessageT")

_converter = Converter(detailed_validation=False)
_converter.register_structure_hook(Artifact, lambda text, _: Artifact.parse(text))


def decode_description(body: bytes) -> EngineDescription:
    """Decode a description; a missing `checks_fences` means False."""
    return _structure(_parse(body), EngineDescription)


def decode_report(body: bytes, received_at: float) -> EngineReport:
    """Decode a report; its time is `received_at` minus its age.

    Args:
        body: Encoded report.
        received_at: Time of the receiver's clock, not later than the receipt.
    """
    fields = _parse(body)
    age_s = float(fields.pop("age_s", 0.0))
    return _structure({**fields, "reported_at": received_at - age_s}, EngineReport)


def decode_order_answer(body: bytes) -> OrderAnswer:
    """Decode the answer to an order."""
    return _structure(_parse(body), OrderAnswer)


def encode_order(order: Order) -> bytes:
    """Encode an order."""
    return orjson.dumps(
        {
            "order_id": order.id,
            "incarnation": order.incarnation,
            "fence": order.fence,
            "kind": order.kind.value,
            "artifact": str(order.artifact),
            "memory_mb": order.memory_mb,
            "role": order.role,
        }
    )


def encode_attempt(attempt: CompletionAttempt) -> bytes:
    """Encode a completion attempt; the response is always streamed."""
    return orjson.dumps(
        {
            **attempt.parameters,
            "model": str(attempt.artifact),
            "prompt": attempt.prompt,
            "max_tokens": attempt.max_tokens,
            "stream": True,
            "priority": attempt.priority,
            "request_id": attempt.id,
            "resume_from": attempt.resume_from,
            "resume_text": attempt.resume_text,
            "prefix_hashes": attempt.prefix_hashes,
        }
    )


def make_malformed_error(detail: str) -> MangowayError:
    """Return the error for a response that violates the protocol."""
    return MangowayError(ErrorCode.UPSTREAM_FAILED, detail, Verdict.MAY_HAVE_RUN)


def _parse(body: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise make_malformed_error(f"the response is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise make_malformed_error("the response is not a JSON object")
    return fields


def _structure(fields: dict[str, Any], kind: type[MessageT]) -> MessageT:
    try:
        return _converter.structure(fields, kind)
    except (
        BaseValidationError,
        StructureHandlerNotFoundError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise make_malformed_error(
            f"cannot decode {kind.__name__}: {error!r}"
        ) from error
