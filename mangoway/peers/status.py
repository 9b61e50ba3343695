"""Answers to operators that gateways and controllers share."""

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion, HostId, RequestId, UpstreamId
from ..models.member import Member, ProcessRole
from ..observability.journal import Journal, JournalEntry, JournalQuery
from . import peers_pb2 as pb
from .const import MAX_EXPLANATIONS
from .member_codec import encode_role


def encode_host(member: Member) -> pb.HostStatus:
    """Return the message of one process."""
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
    """Return the name of a role's number."""
    is_gateway = number == pb.ROLE_GATEWAY
    role = ProcessRole.GATEWAY if is_gateway else ProcessRole.CONTROLLER
    return role.value


def explain(
    journal: Journal, request: pb.ExplainRequest, host: HostId
) -> pb.ExplainReply:
    """Return the entries of a journal that answer a question.

    Raises:
        MangowayError: MALFORMED_REQUEST if the kind of question is not known.
    """
    entries = journal.find(make_query(request.kind, request.id))
    return pb.ExplainReply(entries=[_encode_entry(entry, host) for entry in entries])


def make_query(kind: str, identifier: str) -> JournalQuery:
    """Return the query of a question.

    Raises:
        MangowayError: MALFORMED_REQUEST if the kind is not known.
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
    detail = f"nothing is known by {kind} {identifier!r}"
    raise MangowayError(ErrorCode.MALFORMED_REQUEST, detail)


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
        fields=[
            pb.Header(name=name, value=str(value))
            for name, value in fields.items()
            if value not in (None, "")
        ],
    )
