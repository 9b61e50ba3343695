"""The final response to a request that was not served."""

from attrs import define, field

from ..platform.signals import parse_decimal
from ..policy.edge.const import RETRY_AFTER_UNREACHABLE_S
from .attempt import deliver_buffered
from .attempt_result import BufferedResponse
from .const import UNREACHABLE_REASON
from .delivery import Delivery
from .relay import make_unreachable_headers
from .request_log import RequestLog
from .responses import PROMISES, STATUS_FAILED, STATUS_NOT_RUN, make_response
from .runner_finder import RunnerFinder

PEER_REASON = "the peer has not served it"


@define(eq=False)
class FinalResponse:
    """Rejects or fails a request, depending on whether it may have run."""

    log: RequestLog
    delivery: Delivery
    finder: RunnerFinder
    is_relayed: bool
    """Whether another edge sent the request."""

    error: BufferedResponse | None = field(default=None, init=False)
    """The last error response of a runner, or of a peer."""

    runner_id: str | None = field(default=None, init=False)
    """The runner that the request was sent to last."""

    @property
    def must_fail(self) -> bool:
        """Return whether a response must not say that the request has not run."""
        return self.delivery.history.may_have_run or self.delivery.started

    def reject(
        self, reason: str, retry_after_s: float | None, status: int = STATUS_NOT_RUN
    ) -> None:
        """Respond that the request has not run, or with a failure if it may have."""
        if self.must_fail:
            self.fail(STATUS_FAILED, reason)
            return
        self.finder.refund_quota()
        self.log.log_rejected(status, reason, retry_after_s)
        self.delivery.send_response(status, *make_response(reason, retry_after_s))

    def reject_unreachable(self) -> None:
        """Respond that no runner can be reached; a peer then tries another edge."""
        if self.must_fail:
            self.fail(STATUS_FAILED, UNREACHABLE_REASON)
            return
        retry_after_s = RETRY_AFTER_UNREACHABLE_S
        self.finder.refund_quota()
        self.log.log_rejected(STATUS_NOT_RUN, UNREACHABLE_REASON, retry_after_s)
        headers, body = make_response(UNREACHABLE_REASON, retry_after_s)
        if self.is_relayed:
            headers = (*headers, *make_unreachable_headers())
        self.delivery.send_response(STATUS_NOT_RUN, headers, body)

    def forward_rejection(self, response: BufferedResponse) -> None:
        """Respond with the rejection of a peer, unless an earlier attempt may have run.

        Args:
            response: The peer's own response, not one of a runner.
        """
        if self.must_fail:
            self.fail(STATUS_FAILED, PEER_REASON)
            return
        status = response.head.status
        retry_after = response.head.find(b"retry-after")
        retry_after_s = retry_after and parse_decimal(retry_after.encode("latin-1"))
        self.finder.refund_quota()
        self.log.log_rejected(status, PEER_REASON, retry_after_s or None)
        deliver_buffered(self.delivery, response)

    def fail(self, status: int, reason: str) -> None:
        """Respond with a failure, which is the runner's own if it sent one.

        A runner may fail a request that it ran with a status that promises the
        opposite. The caller then gets a failure of this host, without the runner's
        signature, which belongs to its own status.
        """
        error, is_cut_off = self.error, self.delivery.started
        if error is not None and error.head.status in PROMISES:
            error = None
        response_status = (
            None if is_cut_off else (error.head.status if error else status)
        )
        self.log.log_failed(response_status, reason, self.runner_id)
        if is_cut_off:
            self.delivery.exchange.abort()
        elif error is not None:
            deliver_buffered(self.delivery, error)
        else:
            self.delivery.send_response(status, *make_response(reason))
