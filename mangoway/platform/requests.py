"""Decodes header fields of callers' requests and encodes requests for runners."""

import re
from typing import Final

from attrs import frozen

from ..http1.messages import Headers, Request, drop_headers, list_end_to_end
from ..models.prompt import Prompt, PromptPart
from . import headers as names

MS_PER_S: Final = 1000.0
KEY_SCHEME: Final = "bearer"

COUNT: Final = re.compile("[0-9]{1,15}")
"""A count of tokens. Messages between processes hold numbers within 64 bits."""


@frozen(kw_only=True)
class RequestFields:
    """Decoded header fields of a request."""

    request_id: str
    time_left_s: float | None
    """Time for which the caller waits; None if the request has no deadline."""

    model: str
    adapter: str
    """Empty for the model without an adapter."""

    prompt: Prompt
    last_event_id: str | None
    resumes: str = ""
    """ID of the request that brought the first event of the stream; empty if the
    request resumes none, or does not state it."""

    has_usage: bool = False
    """Whether the request contains a valid token usage."""

    @property
    def origin_id(self) -> str:
        """Return the ID of the request that brings or brought the first event."""
        return self.resumes if self.last_event_id else self.request_id

    @property
    def artifact(self) -> str:
        """Return the model, or `model/adapter` if there is an adapter."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


def decode_request(request: Request) -> RequestFields:
    """Decode the header fields of a request; malformed ones count as missing."""
    model, _, adapter = (request.find(names.MODEL) or "").partition("/")
    return RequestFields(
        request_id=request.find(names.REQUEST_ID) or "",
        time_left_s=_read_milliseconds(request.find(names.DEADLINE)),
        model=model,
        adapter=adapter,
        prompt=_read_prompt(request),
        last_event_id=request.find(names.LAST_EVENT),
        resumes=request.find(names.RESUMES) or "",
        has_usage=_has_valid_usage(request),
    )


def read_key(request: Request) -> str | None:
    """Return the API key of a request; None if it has none."""
    scheme, _, key = (request.find(names.AUTHORIZATION) or "").partition(" ")
    return key.strip() or None if scheme.lower() == KEY_SCHEME else None


def encode_for_runner(
    request: Request,
    *,
    runner_id: str,
    time_left_s: float,
    priority: int | None,
    last_event_id: str | None,
    customer: str | None = None,
    forwards_credentials: bool = True,
    copy: str = "",
    backup_address: str = "",
) -> Request:
    """Return the request to send to a runner.

    Args:
        request: Request as received from the caller.
        runner_id: ID of the only runner that may execute the request.
        time_left_s: Time after which the runner may abort the request.
        priority: Priority in the runner's queue, 0 is the most urgent; None for the
            runner's default.
        last_event_id: ID of the event after which a stream resumes; None to keep the
            caller's value.
        customer: Name of the customer; None if it is unknown.
        forwards_credentials: Whether the runner receives the caller's credentials.
        copy: Copy of the run's memory from which the runner continues it, as
            `encode_copy` returns it; empty to start a new run.
        backup_address: Address of the runner to which the runner copies the run's
            memory as it grows; empty for none.
    """
    kept = drop_headers(list_end_to_end(request.headers), names.RESERVED)
    if not forwards_credentials:
        kept = drop_headers(kept, {names.AUTHORIZATION})
    if last_event_id is not None:
        kept = drop_headers(kept, {names.LAST_EVENT})
    kept = drop_headers(kept, {b"content-length", b"expect"})
    fields = list(kept)
    if (
        request.body
        or request.find(b"content-length")
        or request.find(b"transfer-encoding")
    ):
        fields.append((b"Content-Length", b"%d" % len(request.body)))
    time_left_ms = max(1, int(time_left_s * MS_PER_S))
    fields.append((b"X-Deadline-Ms", b"%d" % time_left_ms))
    fields.append((b"X-Expect-Instance", runner_id.encode()))
    if priority is not None:
        fields.append((b"X-Request-Priority", b"%d" % priority))
    if last_event_id is not None:
        fields.append((b"Last-Event-Id", last_event_id.encode()))
    if customer is not None:
        fields.append((b"X-Tenant", customer.encode()))
    if copy:
        fields.append((b"Kv-From", copy.encode()))
    if backup_address:
        fields.append((b"X-Kv-Backup", backup_address.encode()))
    return Request(
        method=request.method,
        target=request.target,
        headers=tuple(fields),
        body=request.body,
    )


def encode_for_peer(
    request: Request,
    *,
    time_left_s: float,
    last_event_id: str | None,
    resumes: str,
    mark: tuple[bytes, bytes],
) -> Request:
    """Return the request to send to a peer, which handles it like a caller's.

    Args:
        request: Request as received from the caller.
        time_left_s: Time for which the caller still waits.
        last_event_id: ID of the event after which a stream resumes; None to keep the
            caller's value.
        resumes: ID of the request that brought the first event; empty if there is none.
        mark: Header field by which the peer recognizes it.
    """
    replaced = {names.DEADLINE, b"content-length", b"expect"}
    if last_event_id is not None:
        replaced.add(names.LAST_EVENT)
    if resumes:
        replaced.add(names.RESUMES)
    fields = list(drop_headers(list_end_to_end(request.headers), replaced))
    fields.append((b"Content-Length", b"%d" % len(request.body)))
    time_left_ms = max(1, int(time_left_s * MS_PER_S))
    fields.append((b"X-Deadline-Ms", b"%d" % time_left_ms))
    if last_event_id is not None:
        fields.append((b"Last-Event-Id", last_event_id.encode()))
    if resumes:
        fields.append((b"Resumes", resumes.encode()))
    fields.append(mark)
    return Request(
        method=request.method,
        target=request.target,
        headers=tuple(fields),
        body=request.body,
    )


def list_response_headers(headers: Headers) -> Headers:
    """Return the header fields of a runner's response to forward to the caller."""
    return list_end_to_end(headers)


def _read_milliseconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return max(0.0, value / MS_PER_S)


def _read_prompt(request: Request) -> Prompt:
    usage = (request.find(names.TOKEN_USAGE) or "").split(",")
    hint = _read_int(request.find(names.LENGTH_HINT) or "")
    return Prompt(
        tokens=_read_int(usage[0]),
        max_output_tokens=_read_int(usage[1]) if len(usage) > 1 else 0,
        expected_output_tokens=hint,
        parts=_read_parts(request.find(names.PROMPT_PARTS) or ""),
    )


def _has_valid_usage(request: Request) -> bool:
    """Return whether both token counts are valid.

    A malformed usage must not make a request free of charge.
    """
    usage = [
        each.strip() for each in (request.find(names.TOKEN_USAGE) or "").split(",")
    ]
    return len(usage) == 2 and all(COUNT.fullmatch(each) for each in usage)


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(","):
        part_id, colon, tokens = entry.strip().partition(":")
        if colon:
            parts.append(PromptPart(part_id=part_id, tokens=_read_int(tokens)))
    return tuple(parts)


def _read_int(text: str) -> int:
    text = text.strip()
    return int(text) if COUNT.fullmatch(text) else 0
