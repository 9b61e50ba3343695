"""Gives waiting requests to runners that have room for them.

Answers the load of clumped arrivals: a runner reads prompts one after the other beside
its streams, and each prompt that waits in it delays all of them. So a runner gets the
next prompt when the one before has shown its first event, and what waits does so here,
where a runner that is free first can take it.

An event looks at what it changes: a request at the runners with its model, a runner at
the requests for the models that it holds. A runner that will have room, or be ready, at
a time that is known is looked at then.
"""

from typing import Final

from attrs import define, field

from .const import (
    OTHER_ZONE_S,
    PRESSED_UNREAD_LIMIT_S,
    PRESSED_WAITING,
    RUNNING_S,
    STALL_COST_S,
    STALL_LIMIT_S,
    STALL_RISK_S,
    UNREAD_LIMIT_S,
)
from .events import Grant
from .queue import ArtifactQueue, ServiceQueue
from .requests import Running, Waiting
from .runners import RunnerState
from .state import SchedulingState

MAX_CHOICES: Final = 24
"""Runners with room that are compared for one request. The best of as many is as good
as the best of hundreds, and a model that is asked for by all may have as many."""

MAX_LOOKS: Final = 16
"""Requests of one queue that are tried at a runner: the first ones may have failed
there, or need more memory than it has left."""


@define(eq=False)
class Dispatcher:
    """Grants runners to the requests of one service at one moment."""

    state: SchedulingState
    service: str
    now: float
    _queue: ServiceQueue = field(init=False)
    _avoided: frozenset[str] = field(init=False)
    _limit_s: float = field(init=False)
    """Reading time of unread prompts that a runner may have."""

    def __attrs_post_init__(self) -> None:
        self._queue = self.state.get_queue(self.service)
        self._queue.settle(self.now)
        self._avoided = self.state.find_avoided(self.service, self.now)
        usable = self.state.count_runners(self.service) - len(self._avoided)
        self._limit_s = limit_unread(measure_pressure(len(self._queue), usable))

    def serve_request(self, waiting: Waiting) -> list[Grant]:
        """Grant the best runner that has room for a request, if there is one."""
        best, others = self._choose(waiting)
        if best is not None:
            return [self._grant(waiting, best)]
        for runner in others:
            self._wake(runner)
        return []

    def serve_runner(self, runner: RunnerState) -> list[Grant]:
        """Grant the requests that a runner can serve now, first ones first.

        Each goes to the best runner with room, which may be another one.
        """
        grants: list[Grant] = []
        if not len(self._queue) or runner.runner_id in self._avoided:
            return grants
        while self._has_room(runner):
            waiting = self._pick(runner)
            if waiting is None:
                break
            best, _ = self._choose(waiting)
            grants.append(self._grant(waiting, best or runner))
        self._wake(runner)
        return grants

    def _choose(self, waiting: Waiting) -> tuple[RunnerState | None, list[RunnerState]]:
        """Return the best runner for a request, and those that can't take it now."""
        best: RunnerState | None = None
        best_cost = 0.0
        choices = 0
        others = []
        pace = self.state.pace.get(self.service)
        s_per_token = pace.estimate(waiting.grant_request.model, 1)
        for runner in self._turn(self._list_holders(waiting.grant_request.model)):
            if not (self._has_room(runner) and self._can_take(waiting, runner)):
                others.append(runner)
                continue
            reading_s = s_per_token * count_unread(waiting, runner)
            cost = self._rate(waiting, runner, reading_s)
            if best is None or cost < best_cost:
                best, best_cost = runner, cost
            choices += 1
            if choices == MAX_CHOICES:
                break
        return best, others

    def _turn(self, holders: list[RunnerState]) -> list[RunnerState]:
        """Return the holders from another one on, where not all are looked at."""
        if len(holders) <= MAX_CHOICES:
            return holders
        begin = self.state.random.randrange(len(holders))
        return holders[begin:] + holders[:begin]

    def serve_all(self) -> list[Grant]:
        """Grant runners to all requests that can go out now."""
        roomy = {
            model
            for model in self._queue.list_models()
            if any(self._has_room(each) for each in self._list_holders(model))
        }
        grants: list[Grant] = []
        if not roomy:
            return grants
        for waiting in self._queue.list_sorted():
            if waiting.grant_request.model in roomy:
                grants += self.serve_request(waiting)
        return grants

    def _list_holders(self, model: str) -> list[RunnerState]:
        return self.state.list_holders(self.service, model, self._avoided)

    def _has_room(self, runner: RunnerState) -> bool:
        if not runner.has_room(self.state.limit_scale, self._limit_s, self.now):
            return False
        return self.state.measure_limit_wait(runner, self.now) == 0

    def _can_take(self, waiting: Waiting, runner: RunnerState) -> bool:
        grant_request = waiting.grant_request
        return (
            runner.is_ready(grant_request.model, grant_request.adapter, self.now)
            and self.state.allows(grant_request, runner, self.now)
            and runner.has_memory(waiting.kv_tokens)
        )

    def _pick(self, runner: RunnerState) -> Waiting | None:
        """Return the first request that a runner with room can serve."""
        best: Waiting | None = None
        for model, held in runner.held.items():
            for adapter, queue in self._list_queues(model, held.adapters):
                if not runner.is_ready(model, adapter, self.now):
                    continue
                first = self._find_first(queue, runner)
                if first is not None and (best is None or first.rank < best.rank):
                    best = first
        return best

    def _find_first(self, queue: ArtifactQueue, runner: RunnerState) -> Waiting | None:
        for looks, waiting in enumerate(queue):
            if looks == MAX_LOOKS:
                return None
            if not self.state.allows(waiting.grant_request, runner, self.now):
                continue
            if runner.has_memory(waiting.kv_tokens):
                return waiting
        return None

    def _list_queues(
        self, model: str, adapters: dict[str, float]
    ) -> list[tuple[str, ArtifactQueue]]:
        """Return the queues of a model that need nothing, or one of some adapters."""
        artifacts = self._queue.get_artifacts(model)
        if not artifacts:
            return []
        names = ["", *adapters]
        return [(name, artifacts[name]) for name in names if name in artifacts]

    def _wake(self, runner: RunnerState) -> None:
        """Look at a runner again when it will have room or something will be ready."""
        times = [
            runner.reading.until - self._limit_s * self.state.limit_scale,
            self.now + self.state.measure_limit_wait(runner, self.now),
        ]
        for model, held in runner.held.items():
            for adapter, _ in self._list_queues(model, held.adapters):
                times.append(held.ready_at)
                times.append(held.adapters.get(adapter, held.ready_at))
                pause = runner.pauses.get(f"{model}/{adapter}")
                if pause is not None:
                    times.append(pause.until)
        coming = [each for each in times if each > self.now]
        if coming:
            self.state.wakes.set(runner.runner_id, min(coming))

    def _rate(self, waiting: Waiting, runner: RunnerState, reading_s: float) -> float:
        """Return the wait and reading here, and what they cost others, in seconds.

        A long prompt is read in pieces between the steps of the streams beside it, and
        stalls all of them; a stream that was stalled for too long before has no more
        to lose. So long prompts go where few streams run, and streams where few long
        prompts were sent lately.
        """
        state, now = self.state, self.now
        cost = runner.reading.measure(now) + reading_s
        cost += RUNNING_S * len(runner.running)
        place = state.edge_data_centres.get(waiting.grant_request.edge)
        if place is not None and place != runner.entry.data_centre:
            cost += OTHER_ZONE_S
        if runner.measure_stall(reading_s, now) > STALL_LIMIT_S:
            cost += STALL_COST_S * runner.count_smooth()
        return cost + STALL_RISK_S * runner.stalls.decay(now)

    def _grant(self, waiting: Waiting, runner: RunnerState) -> Grant:
        """Move a waiting request to a runner."""
        grant_request = waiting.grant_request
        place(self.state, waiting, runner, self.now)
        entry = runner.entry
        self.state.limits.record_request(entry.runner_id, entry.started_ms, self.now)
        self._queue.remove(waiting.key)
        self.state.health.record_attempt(runner.runner_id, self.now)
        return Grant(
            edge=grant_request.edge,
            request_id=grant_request.request_id,
            runner_id=runner.runner_id,
        )


def measure_pressure(waiting: int, runners: int) -> float:
    """Return 0 where nothing waits, and 1 where much waits for all runners."""
    return min(1.0, waiting / (PRESSED_WAITING * max(1, runners)))


def limit_unread(pressure: float) -> float:
    """Return the reading time of unread prompts that a runner may have."""
    return UNREAD_LIMIT_S + pressure * (PRESSED_UNREAD_LIMIT_S - UNREAD_LIMIT_S)


def count_unread(waiting: Waiting, runner: RunnerState) -> int:
    """Return the prompt tokens that a runner would have to read."""
    kept = runner.prefixes.count_kept(waiting.parts)
    return max(1, waiting.grant_request.prompt.tokens - kept)


def place(
    state: SchedulingState, waiting: Waiting, runner: RunnerState, now: float
) -> Running:
    """Count a request as running at a runner."""
    grant_request = waiting.grant_request
    unread = count_unread(waiting, runner)
    pace = state.pace.get(grant_request.service)
    running = Running(
        grant_request=grant_request,
        runner_id=runner.runner_id,
        granted_at=now,
        unread_s=pace.estimate(grant_request.model, unread),
        unread_tokens=unread,
        first_event_s=pace.first_event_s,
        kv_tokens=waiting.kv_tokens,
    )
    runner.add(waiting.key, running, now)
    runner.prefixes.note_read(waiting.parts)
    held = runner.held.get(grant_request.model)
    if held is not None and grant_request.adapter:
        held.used_at[grant_request.adapter] = now
    state.granted[waiting.key] = runner.runner_id
    return running
