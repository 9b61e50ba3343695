"""Validation of requests against the configuration in force."""

from collections.abc import Mapping
from typing import Any

import orjson
from attrs import frozen
from xxhash import xxh64_intdigest

from ..models.artifact import Artifact
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import (
    CallerId,
    CallName,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    ServiceName,
)
from ..models.offer import CallOffer, Configuration
from ..models.request import Request, ServiceCall, Target, WorkClass
from .completions import CompletionBody, parse_completion
from .const import CHARACTERS_PER_TOKEN, PATH_COMPLETIONS, PATH_SERVICES
from .fields import RequestFields, make_malformed_error, read_fields
from .keys import find_home
from .messages import IncomingRequest, Submission
from .names import resolve_model
from .prefixes import hash_prefixes

METHOD_POST = "POST"


@frozen(kw_only=True)
class Arrival:
    """Id, arrival time and configuration with which a request is parsed."""

    id: RequestId
    now: float
    configuration: Configuration


def parse_request(incoming: IncomingRequest, arrival: Arrival) -> Submission:
    """Return the validated request.

    Raises:
        MangowayError: If the request is invalid; it did not run.
    """
    if incoming.path == PATH_COMPLETIONS:
        _require_post(incoming)
        return _parse_completion(incoming, arrival)
    service, separator, call = incoming.path.removeprefix(PATH_SERVICES).partition("/")
    if not incoming.path.startswith(PATH_SERVICES) or not separator:
        raise MangowayError(ErrorCode.NOT_FOUND, f"no such path: {incoming.path}")
    _require_post(incoming)
    target = ServiceCall(ServiceName(service), CallName(call))
    return _parse_service_call(incoming, arrival, target)


def read_key_home(incoming: IncomingRequest) -> IncarnationId | None:
    """Return the home in a request's idempotency key; None if there is none.

    Raises:
        MangowayError: If the request is invalid; it did not run.
    """
    is_completion = incoming.path == PATH_COMPLETIONS
    body = _load_object(incoming.body) if is_completion else {}
    return _find_home(read_fields(incoming.headers, body).key)


def _require_post(incoming: IncomingRequest) -> None:
    if incoming.method != METHOD_POST:
        raise MangowayError(
            ErrorCode.METHOD_NOT_ALLOWED, f"{incoming.path} accepts {METHOD_POST} only"
        )


def _parse_completion(incoming: IncomingRequest, arrival: Arrival) -> Submission:
    body = parse_completion(_load_object(incoming.body))
    fields = read_fields(incoming.headers, body.fields)
    _check_caller(fields, arrival.configuration)
    artifact = resolve_model(body.model, arrival.configuration)
    work_class = fields.work_class or WorkClass.URGENT
    offer = arrival.configuration.classes.get(work_class)
    if offer is None:
        detail = f"{work_class.value}: the configuration does not offer this class"
        raise MangowayError(ErrorCode.UNKNOWN_CLASS, detail)
    first_token_s = offer.first_token_s
    request = _make_request(
        fields,
        arrival,
        target=artifact,
        work_class=work_class,
        deadline_s=incoming.deadline_s or fields.deadline_s or offer.deadline_s,
        first_token_deadline=None
        if first_token_s is None
        else arrival.now + first_token_s,
        idempotent=fields.idempotent is not False,
        fingerprint=_hash_completion(fields, artifact, body),
        prompt_tokens=len(body.prompt) // CHARACTERS_PER_TOKEN + 1,
        max_tokens=body.max_tokens,
        prefix_hashes=hash_prefixes(str(artifact), body.prompt),
        streamed=body.stream,
    )
    return Submission(
        request=request,
        incoming=incoming,
        prompt=body.prompt,
        parameters=body.parameters,
        model_name=body.model,
    )


def _parse_service_call(
    incoming: IncomingRequest, arrival: Arrival, target: ServiceCall
) -> Submission:
    fields = read_fields(incoming.headers, {})
    _check_caller(fields, arrival.configuration)
    offer = _find_call(target, arrival.configuration)
    _load_json(incoming.body)  # Only to reject a body that is not JSON.
    request = _make_request(
        fields,
        arrival,
        target=target,
        work_class=fields.work_class or offer.work_class,
        deadline_s=incoming.deadline_s or fields.deadline_s or offer.timeout_s,
        # A caller may forbid retries of a call, but cannot allow them.
        idempotent=offer.idempotent and fields.idempotent is not False,
        fingerprint=_hash_call(fields, target, incoming.body),
    )
    return Submission(request=request, incoming=incoming)


def _make_request(
    fields: RequestFields,
    arrival: Arrival,
    *,
    target: Target,
    work_class: WorkClass,
    deadline_s: float,
    idempotent: bool,
    fingerprint: int,
    **details: Any,
) -> Request:
    return Request(
        id=arrival.id,
        caller=CallerId(fields.caller or ""),
        work_class=work_class,
        target=target,
        arrived_at=arrival.now,
        deadline=arrival.now + deadline_s,
        idempotent=idempotent,
        key=None if fields.key is None else IdempotencyKey(fields.key),
        key_home=_find_home(fields.key),
        fingerprint=fingerprint,
        **details,
    )


def _find_home(key: str | None) -> IncarnationId | None:
    return None if key is None else find_home(key)


def _check_caller(fields: RequestFields, configuration: Configuration) -> None:
    if fields.caller is None:
        raise MangowayError(
            ErrorCode.UNKNOWN_CALLER,
            "X-Caller: this header, or the field caller of a completion, is missing",
        )
    if CallerId(fields.caller) not in configuration.callers:
        raise MangowayError(
            ErrorCode.UNKNOWN_CALLER, f"X-Caller: unknown caller {fields.caller!r}"
        )


def _find_call(target: ServiceCall, configuration: Configuration) -> CallOffer:
    service = configuration.services.get(target.service)
    offer = None if service is None else service.calls.get(target.call)
    if offer is None:
        raise MangowayError(ErrorCode.UNKNOWN_SERVICE, f"call {target} is not offered")
    return offer


def _load_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise make_malformed_error(f"the body is not JSON: {error}") from error


def _load_object(body: bytes) -> Mapping[str, Any]:
    fields = _load_json(body)
    if not isinstance(fields, dict):
        raise make_malformed_error("the body is not a JSON object")
    return fields


def _hash_completion(
    fields: RequestFields, artifact: Artifact, body: CompletionBody
) -> int:
    content = (body.prompt, body.max_tokens, dict(body.parameters))
    return _make_fingerprint(
        fields, artifact, orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    )


def _hash_call(fields: RequestFields, target: ServiceCall, body: bytes) -> int:
    return _make_fingerprint(fields, target, body)


def _make_fingerprint(fields: RequestFields, target: Target, content: bytes) -> int:
    """Return a hash by which the reuse of a key for another request is detected."""
    parts = orjson.dumps((fields.caller, str(target)))
    return xxh64_intdigest(parts + content)
