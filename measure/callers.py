"""Callers: they choose a gateway, come back when told to, and keep the score."""

from collections.abc import Callable
from random import Random

from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.verdict import Verdict

from .clock import Clock
from .const import CALLER_TRIES, CONNECT_TIMEOUT_S
from .demand import Arrival
from .gateways import GatewayShell
from .outcomes import Outcome

_CALLER_LATENCY_S = 0.002


class Caller:
    """One request of a caller until its end.

    The caller knows gateways from an address answer that may be some seconds old.
    It comes back after a refusal that certainly did not run, when it was told to,
    and resends a repeatable request whose gateway died.
    """

    def __init__(
        self,
        clock: Clock,
        arrival: Arrival,
        random: Random,
        list_addresses: Callable[[], list[GatewayShell]],
    ) -> None:
        self.arrival = arrival
        self.outcome = Outcome(arrival=arrival)
        self._clock = clock
        self._random = random
        self._list_addresses = list_addresses

    def start(self) -> None:
        """Send the request to one of the gateways that the caller knows."""
        self.outcome.tries += 1
        gateways = self._list_addresses()
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
        """Note the time of the first token, also that of a later try."""
        if self.outcome.first_token_at is None:
            self.outcome.first_token_at = self._clock.now + _CALLER_LATENCY_S

    def receive_end(self) -> None:
        """Note the end of the answer."""
        self.outcome.finished_at = self._clock.now + _CALLER_LATENCY_S

    def receive_failure(self, failure: Failure) -> None:
        """Note the refusal and come back if that makes sense."""
        self.outcome.refusals.append(failure.code)
        may_run_again = self.arrival.idempotent or failure.verdict is Verdict.NOT_RUN
        if failure.retry_after is None or not may_run_again:
            return
        again_at = self._clock.now + failure.retry_after
        if self.outcome.tries <= CALLER_TRIES and again_at < self.arrival.deadline:
            self._clock.call_at(again_at, self.start)

    def receive_disconnect(self) -> None:
        """Resend a repeatable request whose gateway died."""
        self.outcome.refusals.append(ErrorCode.INTERNAL)
        if self.arrival.idempotent and self._clock.now < self.arrival.deadline:
            self._clock.call_later(_CALLER_LATENCY_S, self.start)
