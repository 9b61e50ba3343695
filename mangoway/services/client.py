"""Client of the plain services."""

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..upstreams.const import (
    BUSY_STATUSES,
    HEADER_REQUEST_ID,
    HEADER_VERDICT,
    VERDICT_NOT_RUN,
)
from ..upstreams.session import (
    UpstreamCall,
    UpstreamSession,
    async_read_body,
    read_refusal,
)
from .const import CONTENT_TYPE_JSON, HEADER_CONTENT_TYPE
from .messages import ServiceAnswer, ServiceAttempt


class ServiceClient:
    """Talks to hosts of plain services by address (`a.b.c.d:port`)."""

    def __init__(self, session: UpstreamSession) -> None:
        self._session = session

    async def async_call(self, address: str, attempt: ServiceAttempt) -> ServiceAnswer:
        """Make a call; any status that is not a refusal passes through.

        A call that may not be repeated gets a connection of its own, so that a
        dead pooled connection cannot leave open whether it ran.

        Raises:
            MangowayError: The verdict is NOT_RUN only if it certainly did not run.
        """
        call = UpstreamCall(
            method="POST",
            address=address,
            path=f"/{attempt.call}",
            body=attempt.body,
            headers={
                HEADER_CONTENT_TYPE: CONTENT_TYPE_JSON,
                HEADER_REQUEST_ID: attempt.id,
            },
            timeout_s=attempt.timeout_s,
            silence_s=attempt.silence_s,
            fresh=not attempt.idempotent,
        )
        async with self._session.async_open(call) as response:
            refused = response.headers.get(HEADER_VERDICT) == VERDICT_NOT_RUN
            if refused or response.status in BUSY_STATUSES:
                raise read_refusal(response)
            _check_owner(response.headers.get(HEADER_REQUEST_ID), attempt)
            return ServiceAnswer(
                status=response.status,
                content_type=response.headers.get(
                    HEADER_CONTENT_TYPE, CONTENT_TYPE_JSON
                ),
                body=await async_read_body(response),
            )


def _check_owner(echoed: str | None, attempt: ServiceAttempt) -> None:
    if echoed is not None and echoed != attempt.id:
        raise MangowayError(
            ErrorCode.UPSTREAM_FAILED,
            f"answer of attempt {echoed} on the connection of {attempt.id}",
            Verdict.MAY_HAVE_RUN,
        )
