"""Replies to operators' queries, shared by gateways and controllers."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion, HostId, RequestId, UpstreamId
from ..models.member import Member, ProcessRole
from ..observability.journal import Journal, JournalEntry, JournalQuery
from . import peers_pb2 as pb
from .const import MAX_EXPLANATIONS
from .member_codec import encode_role

if TYPE_CHECKING:
    # For types only: controllers record no spans, and the tracing library takes memory.
    from ..observability.tracing import SpanRecord, Tracing

KIND_TRACE: Final = "trace"


def encode_host(member: Member) -> pb.HostStatus:
    """Return the status message of one process."""
    return pb.HostStatus(
        host=member.host,
        role=encode_role(member.role),
        incarnation=member.incarnation,
        data_centre=member.data_centre,
        peer_address=member.peer_address,
        caller_address=member.caller_address or "",
        state=member.state.value,
        ready=member.ready,
        config_version=member.config_version,
    )


def name_role(number: int) -> str:
    """Return the name of a role by its protocol number."""
    is_gateway = number == pb.ROLE_GATEWAY
    role = ProcessRole.GATEWAY if is_gateway else ProcessRole.CONTROLLER
    return role.value


def explain(
    journal: Journal,
    request: pb.ExplainRequest,
    host: HostId,
    tracing: "Tracing | None" = None,
) -> pb.ExplainReply:
    """Return the journal entries, or the spans, that match an operator's query.

    Raises:
        MangowayError: MALFORMED_REQUEST if the kind of query is unknown.
    """
    if request.kind == KIND_TRACE:
        spans = tracing.list_spans(request.id) if tracing else ()
        return pb.ExplainReply(entries=[_encode_span(span, host) for span in spans])
    entries = journal.find(make_query(request.kind, request.id))
    return pb.ExplainReply(entries=[_encode_entry(entry, host) for entry in entries])


def make_query(kind: str, identifier: str) -> JournalQuery:
    """Return the journal query for an operator's query.

    Raises:
        MangowayError: MALFORMED_REQUEST if the kind is unknown.
    """
    match kind:
        case "request":
            return JournalQuery(request=RequestId(identifier), limit=MAX_EXPLANATIONS)
        case "model":
            return JournalQuery(model=identifier, limit=MAX_EXPLANATIONS)
        case "runner":
            return JournalQuery(upstream=UpstreamId(identifier), limit=MAX_EXPLANATIONS)
        case "version" if identifier.isdecimal():
            version = ConfigVersion(int(identifier))
            return JournalQuery(config_version=version, limit=MAX_EXPLANATIONS)
        case "version":
            detail = f"version: expected a whole number, not {identifier!r}"
        case _:
            detail = (
                f"kind: expected request, model, runner, version or trace, not {kind!r}"
            )
    raise MangowayError(ErrorCode.MALFORMED_REQUEST, detail)


def _encode_span(span: "SpanRecord", host: HostId) -> pb.ExplainEntry:
    fields = {
        "name": span.name,
        "seconds": f"{span.duration_s:.6f}",
        "failure": span.failure,
        "span": span.span_id,
        "parent": span.parent_id,
    }
    return pb.ExplainEntry(
        time=span.started_at,
        host=host,
        name=f"span.{span.hop}",
        fields=_encode_fields(fields),
    )


def _encode_fields(fields: Mapping[str, object]) -> list[pb.Header]:
    return [
        pb.Header(name=name, value=str(value))
        for name, value in fields.items()
        if value not in (None, "")
    ]


def _encode_entry(entry: JournalEntry, host: HostId) -> pb.ExplainEntry:
    fields = {
        "detail": entry.detail,
        "request": entry.request,
        "artifact": entry.artifact,
        "upstream": entry.upstream,
        "config_version": entry.config_version,
        "trace": entry.trace_id,
    }
    return pb.ExplainEntry(
        time=entry.at,
        host=host,
        name=f"{entry.kind.value}.{entry.reason}",
        fields=_encode_fields(fields),
    )
