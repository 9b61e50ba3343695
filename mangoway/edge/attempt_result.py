"""Results of attempts."""

from attrs import frozen

from ..http1.messages import Headers, ResponseHead
from ..models.verdict import Verdict
from ..policy.edge.response_end import ResponseEnd


@frozen(kw_only=True)
class BufferedResponse:
    """A response that was read completely."""

    head: ResponseHead
    headers: Headers
    body: bytes


@frozen(kw_only=True)
class AttemptResult:
    """The result of an attempt."""

    verdict: Verdict
    delivered: bool = False
    """Whether the caller has received the complete response."""

    status: int = 0
    """Status of the response that was delivered."""

    succeeded: bool = False
    """Whether the runner ran the request to a complete response, without a crash."""

    was_sent: bool = True
    reason: str = ""
    is_model_missing: bool = False
    """Whether the runner lacks the model, or isn't the runner that was addressed."""

    error: BufferedResponse | None = None
    """The error response of the runner, if it sent one after it may have run the
    request."""

    rejection: BufferedResponse | None = None
    """The response that states that the request has not run, if there is one."""

    end: ResponseEnd = ResponseEnd.FRAMED
    """What is known about the end of a complete response."""

    connection_lost: bool = False
    """Whether the connection was closed by the runner, which may have crashed."""

    is_suspended: bool = False
    """Whether the connection to a silent runner is kept, so that the attempt can be
    resumed."""
