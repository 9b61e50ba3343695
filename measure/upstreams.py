"""Simulated engines and plain services behind the network."""

import math
from random import Random
from typing import Protocol

from attrs import define, frozen

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    AttemptId,
    DataCentreId,
    IncarnationId,
    UpstreamId,
)
from mangoway.models.request import ServiceCall
from tests.fakes.engine import AttemptFinished, EngineModel, SubmitOutcome

from .clock import Clock
from .const import (
    BROWN_OUT_ERROR_SHARE,
    BROWN_OUT_HANG_S,
    BROWN_OUT_HANG_SHARE,
    CONNECT_TIMEOUT_S,
    INTER_DATA_CENTRE_LATENCY_S,
    INTRA_DATA_CENTRE_LATENCY_S,
    PROGRESS_PERIOD_S,
)
from .demand import Arrival

_SERVICE_TIME_S = (0.02, 0.08)
_SERVICE_CONCURRENCY = 8


class AttemptClient(Protocol):
    """Receiver of the results of attempts, implemented by the gateway."""

    data_centre: DataCentreId

    def receive_progress(self, attempt_id: AttemptId, tokens: int) -> None:
        """Handle the number of tokens received so far."""
        ...

    def receive_success(self, attempt_id: AttemptId) -> None:
        """Handle the end of a response."""
        ...

    def receive_rejection(self, attempt_id: AttemptId) -> None:
        """Handle a rejection or a failed connection; the attempt was not run."""
        ...

    def receive_connection_loss(self, attempt_id: AttemptId) -> None:
        """Handle a lost connection; the attempt may have run."""
        ...

    def receive_cancelled(self, attempt_id: AttemptId, tokens: int) -> None:
        """Handle the end of a cancelled attempt."""
        ...


@frozen(kw_only=True)
class Attempt:
    """One attempt to serve an arrival at one upstream."""

    id: AttemptId
    arrival: Arrival
    priority: int = 0
    resume_from: int = 0


def find_latency(one: DataCentreId, other: DataCentreId) -> float:
    """Return the one-way latency between two data centres in seconds."""
    return INTRA_DATA_CENTRE_LATENCY_S if one == other else INTER_DATA_CENTRE_LATENCY_S


@define(kw_only=True)
class Outage:
    """Period during which an engine is down."""

    start: float
    end: float = math.inf


@define
class _Connection:
    """Client of one attempt at an engine."""

    client: AttemptClient
    progress_sent_at: float = -math.inf


class EngineHost:
    """An engine on the network; advances the engine model at each of its events."""

    def __init__(
        self, clock: Clock, model: EngineModel, data_centre: DataCentreId
    ) -> None:
        self.clock = clock
        self.model = model
        self.data_centre = data_centre
        self.is_silent = False
        """Whether connections to the stopped engine hang instead of failing."""

        self.is_browned_out = False
        """Whether some requests fail or hang while the reports show no fault."""

        self.outages: list[Outage] = []
        self._random = Random(f"{model.settings.upstream}")
        self._hanging: set[AttemptId] = set()
        self._connections: dict[AttemptId, _Connection] = {}
        self._wakeup_at = math.inf
        self._wakeup_number = 0

    @property
    def id(self) -> UpstreamId:
        """Return the identifier of the upstream."""
        return self.model.settings.upstream

    def submit(self, attempt: Attempt, client: AttemptClient) -> None:
        """Accept an attempt that has arrived over the network."""
        if not self.is_browned_out or self.model.is_down:
            self._submit_to_model(attempt, client)
            return
        drawn = self._random.random()
        if drawn < BROWN_OUT_ERROR_SHARE:
            self.clock.call_later(
                self._find_latency(client), client.receive_connection_loss, attempt.id
            )
        elif drawn < BROWN_OUT_ERROR_SHARE + BROWN_OUT_HANG_SHARE:
            self._hanging.add(attempt.id)
            self.clock.call_later(BROWN_OUT_HANG_S, self._end_hang, attempt, client)
        else:
            self._submit_to_model(attempt, client)

    def _end_hang(self, attempt: Attempt, client: AttemptClient) -> None:
        if attempt.id in self._hanging:
            self._hanging.discard(attempt.id)
            self._submit_to_model(attempt, client)

    def _submit_to_model(self, attempt: Attempt, client: AttemptClient) -> None:
        self.advance()
        arrival = attempt.arrival
        assert isinstance(arrival.target, Artifact)
        outcome = self.model.submit(
            self.clock.now,
            attempt.id,
            arrival.target,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.output_tokens,
            priority=attempt.priority,
            prefix_hashes=arrival.prefix_hashes,
            resume_from=attempt.resume_from,
        )
        if outcome is SubmitOutcome.ACCEPTED:
            self._connections[attempt.id] = _Connection(client)
        else:
            delay = CONNECT_TIMEOUT_S if self.is_silent else self._find_latency(client)
            self.clock.call_later(delay, client.receive_rejection, attempt.id)
        self._schedule_wakeup()

    def cancel(self, attempt_id: AttemptId, client: AttemptClient) -> None:
        """Cancel an attempt of a client."""
        self._hanging.discard(attempt_id)
        self.advance()
        connection = self._connections.pop(attempt_id, None)
        if connection is None or self.model.is_down:
            return
        tokens = self.model.cancel(self.clock.now, attempt_id) or 0
        self.clock.call_later(
            self._find_latency(client), client.receive_cancelled, attempt_id, tokens
        )
        self._schedule_wakeup()

    def drop_client(self, client: AttemptClient) -> None:
        """Cancel all attempts of a disconnected client."""
        self.advance()
        for attempt_id, connection in list(self._connections.items()):
            if connection.client is client:
                del self._connections[attempt_id]
                self.model.cancel(self.clock.now, attempt_id)
        self._schedule_wakeup()

    def crash(self, silent: bool) -> None:
        """Crash the engine; connections fail, or hang if `silent`."""
        self.advance()
        self.model.crash(self.clock.now)
        self.is_silent = silent
        self.outages.append(Outage(start=self.clock.now))
        for attempt_id, connection in self._connections.items():
            if not silent:
                client = connection.client
                self.clock.call_later(
                    self._find_latency(client),
                    client.receive_connection_loss,
                    attempt_id,
                )
        self._connections.clear()

    def restart(self, incarnation: IncarnationId) -> None:
        """Restart the engine without loaded models."""
        self.model.restart(self.clock.now, incarnation)
        self.is_silent = False
        self.outages[-1].end = self.clock.now
        self._schedule_wakeup()

    def advance(self) -> None:
        """Advance the engine model to now and send its outputs to the clients."""
        now = self.clock.now
        for output in self.model.advance(now):
            connection = self._connections.get(output.attempt_id)
            if connection is None:
                continue
            client = connection.client
            if isinstance(output, AttemptFinished):
                del self._connections[output.attempt_id]
                self.clock.call_later(
                    self._find_latency(client),
                    client.receive_success,
                    output.attempt_id,
                )
            elif now - connection.progress_sent_at >= PROGRESS_PERIOD_S:
                connection.progress_sent_at = now
                self.clock.call_later(
                    self._find_latency(client),
                    client.receive_progress,
                    output.attempt_id,
                    output.tokens,
                )

    def advance_and_reschedule(self) -> None:
        """Advance the engine model to now and schedule its next event."""
        self.advance()
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        time = self.model.next_event_time()
        if time == self._wakeup_at:
            return
        self._wakeup_at = time
        self._wakeup_number += 1
        if time < math.inf:
            self.clock.call_at(time, self._wake_up, self._wakeup_number)

    def _wake_up(self, number: int) -> None:
        if number == self._wakeup_number:
            self._wakeup_at = math.inf
            self.advance_and_reschedule()

    def _find_latency(self, client: AttemptClient) -> float:
        return find_latency(self.data_centre, client.data_centre)


class ServiceHost:
    """Host of a plain service; counts the runs of each arrival."""

    def __init__(
        self, clock: Clock, upstream: UpstreamId, data_centre: DataCentreId, seed: str
    ) -> None:
        self.id = upstream
        self.data_centre = data_centre
        self.runs: dict[int, int] = {}
        self.is_down = False
        self._clock = clock
        self._random = Random(seed)
        self._free_at = [0.0] * _SERVICE_CONCURRENCY

    def submit(self, attempt: Attempt, client: AttemptClient) -> None:
        """Run a call that has arrived over the network."""
        if self.is_down:
            self._clock.call_later(
                CONNECT_TIMEOUT_S, client.receive_rejection, attempt.id
            )
            return
        assert isinstance(attempt.arrival.target, ServiceCall)
        number = attempt.arrival.number
        self.runs[number] = self.runs.get(number, 0) + 1
        slot = min(range(len(self._free_at)), key=self._free_at.__getitem__)
        begin = max(self._clock.now, self._free_at[slot])
        self._free_at[slot] = begin + self._random.uniform(*_SERVICE_TIME_S)
        self._clock.call_at(
            self._free_at[slot], self._send_response, attempt.id, client
        )

    def _send_response(self, attempt_id: AttemptId, client: AttemptClient) -> None:
        if not self.is_down:
            latency = find_latency(self.data_centre, client.data_centre)
            self._clock.call_later(latency, client.receive_success, attempt_id)
