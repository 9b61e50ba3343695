"""HTTP client of plain services."""

import aiohttp

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..upstreams.const import (
    BODYLESS_STATUSES,
    BUSY_STATUSES,
    HEADER_REQUEST_ID,
    HEADER_VERDICT,
    VERDICT_NOT_RUN,
)
from ..upstreams.session import (
    UpstreamCall,
    UpstreamSession,
    async_read_body,
    make_status_error,
)
from .const import CONTENT_TYPE_JSON, HEADER_CONTENT_TYPE
from .messages import ServiceAttempt, ServiceResponse


class ServiceClient:
    """Calls hosts of plain services by address (`a.b.c.d:port`)."""

    def __init__(self, session: UpstreamSession) -> None:
        self._session = session

    async def async_call(
        self, address: str, attempt: ServiceAttempt
    ) -> ServiceResponse:
        """Send a call and return the response; a rejection raises an error.

        A call that must not be retried uses a new connection, since on a dead pooled
        connection it would be unknown whether the call ran.

        Raises:
            MangowayError: With verdict NOT_RUN only if the call certainly did not run.
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
            not_run = response.headers.get(HEADER_VERDICT) == VERDICT_NOT_RUN
            if not_run or response.status in BUSY_STATUSES:
                raise make_status_error(response)
            _check_framing(response)
            _check_request_id(response.headers.get(HEADER_REQUEST_ID), attempt)
            return ServiceResponse(
                status=response.status,
                content_type=response.headers.get(
                    HEADER_CONTENT_TYPE, CONTENT_TYPE_JSON
                ),
                body=await async_read_body(response),
            )


def _check_framing(response: aiohttp.ClientResponse) -> None:
    """Check that the end of a response differs from a lost connection.

    A body without a length or chunks ends with its connection, as does the connection
    of a process that is killed.
    """
    framing = ("Content-Length", "Transfer-Encoding")
    has_end = any(each in response.headers for each in framing)
    if not has_end and response.status not in BODYLESS_STATUSES:
        raise MangowayError(
            ErrorCode.UPSTREAM_FAILED,
            "the response has neither a length nor chunks, so that it may be cut off",
            Verdict.MAY_HAVE_RUN,
        )


def _check_request_id(echoed: str | None, attempt: ServiceAttempt) -> None:
    if echoed is not None and echoed != attempt.id:
        raise MangowayError(
            ErrorCode.UPSTREAM_FAILED,
            f"response to attempt {echoed}, on the connection of attempt {attempt.id}",
            Verdict.MAY_HAVE_RUN,
        )
