"""Callers that choose a gateway, retry, and record the outcome."""

from collections.abc import Callable
from random import Random

from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.verdict import Verdict

from .clock import Clock
from .const import CALLER_RETRIES, CONNECT_TIMEOUT_S
from .demand import Arrival
from .gateways import GatewayShell
from .outcomes import Outcome

_CALLER_LATENCY_S = 0.002


class Caller:
    """One request of a caller, with its retries.

    The caller's list of gateways may be some seconds old. The caller retries a rejected
    request after the returned delay if the request is idempotent or was not run, and
    resends an idempotent request after its gateway has failed.
    """

    def __init__(
        self,
        clock: Clock,
        arrival: Arrival,
        random: Random,
        list_gateways: Callable[[], list[GatewayShell]],
    ) -> None:
        self.arrival = arrival
        self.outcome = Outcome(arrival=arrival)
        self._clock = clock
        self._random = random
        self._list_gateways = list_gateways

    def start(self) -> None:
        """Send the request to one of the listed gateways."""
        self.outcome.attempts += 1
        gateways = self._list_gateways()
        if gateways:
            self._connect(self._random.sample(gateways, len(gateways)))

    def _connect(self, gateways: list[GatewayShell]) -> None:
        gateway = gateways[0]
        if not gateway.is_down:
            self._clock.call_later(_CALLER_LATENCY_S, self._send, gateway, gateways[1:])
        elif len(gateways) > 1:
            self._clock.call_later(CONNECT_TIMEOUT_S / 2, self._connect, gateways[1:])

    def _send(self, gateway: GatewayShell, others: list[GatewayShell]) -> None:
        if not gateway.is_down:
            gateway.accept(self)
        elif others:
            self._connect(others)

    def receive_first_token(self) -> None:
        """Record the time of the first token, unless an earlier attempt had one."""
        if self.outcome.first_token_at is None:
            self.outcome.first_token_at = self._clock.now + _CALLER_LATENCY_S

    def receive_end(self) -> None:
        """Record the end of the response."""
        self.outcome.finished_at = self._clock.now + _CALLER_LATENCY_S

    def receive_failure(self, failure: Failure) -> None:
        """Record the rejection, and schedule a retry if one is allowed."""
        self.outcome.rejections.append(failure.code)
        may_retry = self.arrival.idempotent or failure.verdict is Verdict.NOT_RUN
        if failure.retry_after is None or not may_retry:
            return
        retry_at = self._clock.now + failure.retry_after
        if self.outcome.attempts <= CALLER_RETRIES and retry_at < self.arrival.deadline:
            self._clock.call_at(retry_at, self.start)

    def receive_disconnect(self) -> None:
        """Record the failure of the gateway, and resend an idempotent request."""
        self.outcome.rejections.append(ErrorCode.INTERNAL)
        if self.arrival.idempotent and self._clock.now < self.arrival.deadline:
            self._clock.call_later(_CALLER_LATENCY_S, self.start)
