"""Grants waiting requests to runners that have room for them.

A runner prefills prompts one after the other beside its streams, and each prompt that
waits at the runner delays all of them. When requests arrive in clusters, a runner
therefore receives the next prompt only when the one before has shown its first event.
The others wait here, where the first free runner can serve them.

Each event evaluates only what it changes: a request is matched with the runners that
hold its model, a runner with the requests for its models. A wakeup is scheduled for a
runner that will have room, or a model that will be ready, at a known time.
"""

from typing import Any, Final

from attrs import define, field

from .backups import back_up
from .const import (
    BACKLOG_LIMIT_S,
    OTHER_DATA_CENTRE_COST_S,
    PRESSURE_BACKLOG_LIMIT_S,
    PRESSURE_WAITING_PER_RUNNER,
    RUNNING_REQUEST_COST_S,
    STALL_COST_S,
    STALL_LIMIT_S,
    STALL_RATE_COST_S,
)
from .events import Grant
from .pace import ServicePaces
from .queue import ArtifactQueue, ServiceQueue, fits_version
from .requests import RunningRequest, WaitingRequest
from .reserves import leaves_reserve
from .runners import RunnerState
from .shared_queue import SharedQueue
from .sharing import charge_grant
from .stalls import (
    MIN_BETTER_S,
    PromptCost,
    estimate_own_pause_cost_s,
    find_clear_time,
    find_stalled,
    fits_alone,
    get_pace,
    may_prefer_another,
    must_wait,
)
from .state import SchedulingState

MAX_COMPARED_RUNNERS: Final = 24
"""Runners with room that are compared for one request. The best of this number is as
good as the best of hundreds, and a popular model may have that many."""

MAX_PREFERRED_RUNNERS: Final = 8
"""Runners that are compared for a request that may wait for a better one."""

MAX_EXAMINED_REQUESTS: Final = 16
"""Requests of one queue that are examined for a runner: the first ones may have failed
there, or need more memory than is left."""


@define(eq=False)
class Dispatcher:
    """Grants the requests of one service to its runners at one moment."""

    state: SchedulingState
    service: str
    now: float
    _queue: ServiceQueue = field(init=False)
    _avoided: frozenset[str] = field(init=False)
    _limit_s: float = field(init=False)
    """Prefill backlog up to which a runner may receive a prompt."""

    _paces: ServicePaces | None = field(init=False)
    """None where the streams of the service aren't protected."""

    _may_hold: bool = field(init=False)
    """Whether prompts may wait for the sake of streams: runners must not idle while
    many requests wait."""

    def __attrs_post_init__(self) -> None:
        self._queue = self.state.get_queue(self.service)
        self._queue.update_late(self.now)
        self._paces = self.state.paces.get(self.service)
        self._avoided = self.state.find_avoided(self.service, self.now)
        usable = self.state.count_runners(self.service) - len(self._avoided)
        pressure = measure_pressure(len(self._queue), usable)
        self._limit_s = get_backlog_limit_s(pressure)
        self._may_hold = pressure < 1

    def serve_request(self, waiting: WaitingRequest) -> list[Grant]:
        """Grant a request to the best runner with room, if there is one."""
        best, others = self._choose_runner(waiting)
        if best is not None:
            return [self._grant(waiting, best)]
        for runner in others:
            self._schedule_wakeup(runner)
        return []

    def serve_runner(self, runner: RunnerState) -> list[Grant]:
        """Grant the requests that a runner can serve now, in order of service.

        Each is granted to the best runner with room, which may be another one.
        """
        grants: list[Grant] = []
        if not len(self._queue) or runner.runner_id in self._avoided:
            return grants
        while self._has_room(runner):
            waiting = self._find_request(runner)
            if waiting is None:
                break
            best, _ = self._choose_runner(waiting)
            grants.append(self._grant(waiting, best or runner))
        self._schedule_wakeup(runner)
        return grants

    def _choose_runner(
        self, waiting: WaitingRequest
    ) -> tuple[RunnerState | None, list[RunnerState]]:
        """Return the best runner for a request, and those that can't serve it now."""
        best: RunnerState | None = None
        best_cost = 0.0
        choices = 0
        others = []
        estimator = self.state.prefill_estimators.get(self.service)
        s_per_token = estimator.estimate(waiting.grant_request.model, 1)
        for runner in self._rotate(self._list_holders(waiting.grant_request.model)):
            if not (self._has_room(runner) and self._can_serve(waiting, runner)):
                others.append(runner)
                continue
            prefill_s = s_per_token * count_prefill_tokens(waiting, runner)
            prefill_s *= get_pace(runner, self.now)
            cost = self._estimate_cost(waiting, runner, prefill_s)
            if best is None or cost < best_cost:
                best, best_cost = runner, cost
            choices += 1
            if choices == MAX_COMPARED_RUNNERS:
                break
        if best is not None and self._is_held(waiting, best):
            return None, [*others, best]
        return best, others

    def _is_held(self, waiting: WaitingRequest, runner: RunnerState) -> bool:
        """Return whether a request waits for the sake of a runner's streams."""
        if self._paces is None or not self._may_hold:
            return False
        estimator = self.state.prefill_estimators.get(self.service)
        model = waiting.grant_request.model
        prompt = PromptCost(
            prefill_s=estimator.estimate(model, count_prefill_tokens(waiting, runner)),
            overhead_s=estimator.first_event_overhead_s,
        )
        pauses = runner.pauses
        if (
            pauses is not None
            and pauses.paused_any
            and self._prefers_another(waiting, runner, prompt)
        ):
            return True
        if not must_wait(self._paces, runner, waiting, prompt, self.now):
            return False
        for each in self._list_holders(model):
            if self.state.allows(waiting.grant_request, each, self.now) and fits_alone(
                self._paces, each, prompt.prefill_s, self.now
            ):
                self._paces.held_prompts += not waiting.held
                waiting.held = True
                self._schedule_clear(runner)
                return True
        return False

    def _prefers_another(
        self, waiting: WaitingRequest, runner: RunnerState, prompt: PromptCost
    ) -> bool:
        """Return whether a stream rather waits for a runner that prefills a prompt.

        Only runners whose streams often pause are compared with others.
        """
        if not may_prefer_another(runner, waiting, prompt.overhead_s, self.now):
            return False
        cost = self._estimate_prompt_cost(waiting, runner)
        holders = self._rotate(self._list_holders(waiting.grant_request.model))
        for each in holders[:MAX_PREFERRED_RUNNERS]:
            if each is runner or each.count_free_slots(self.state.limit_scale) < 1:
                continue
            if not self._can_serve(waiting, each):
                continue
            if self._estimate_prompt_cost(waiting, each) + MIN_BETTER_S < cost:
                self._schedule_wakeup(each)
                return True
        return False

    def _estimate_prompt_cost(
        self, waiting: WaitingRequest, runner: RunnerState
    ) -> float:
        estimator = self.state.prefill_estimators.get(self.service)
        tokens = count_prefill_tokens(waiting, runner)
        prefill_s = estimator.estimate(waiting.grant_request.model, tokens)
        prefill_s *= get_pace(runner, self.now)
        return self._estimate_cost(waiting, runner, prefill_s)

    def _schedule_clear(self, runner: RunnerState) -> None:
        """Schedule a wakeup for when a held prompt delays no stream."""
        if self._paces is not None:
            clear_at = find_clear_time(self._paces, runner, self.now)
            if clear_at > self.now:
                self.state.wakeups.schedule(runner.runner_id, clear_at)

    def _rotate(self, holders: list[RunnerState]) -> list[RunnerState]:
        """Rotate the holders at random if only some of them are compared."""
        if len(holders) <= MAX_COMPARED_RUNNERS:
            return holders
        begin = self.state.random.randrange(len(holders))
        return holders[begin:] + holders[:begin]

    def serve_all(self) -> list[Grant]:
        """Grant all requests that a runner can serve now."""
        with_room = {
            model
            for model in self._queue.list_models()
            if any(self._has_room(each) for each in self._list_holders(model))
        }
        grants: list[Grant] = []
        if not with_room:
            return grants
        shared = self.state.get_shares(self.service) is not None
        held_back: set[tuple[str, str]] = set()
        for waiting in self._queue.list_sorted():
            grant_request = waiting.grant_request
            model, customer = grant_request.model, grant_request.customer
            if model not in with_room or (model, customer) in held_back:
                continue
            granted = self.serve_request(waiting)
            grants += granted
            # One comparison of the holders is enough for all requests of a customer
            # that has to leave the free slots to others.
            if shared and not granted and not self._has_room_for(customer, model):
                held_back.add((model, customer))
        return grants

    def _has_room_for(self, customer: str, model: str) -> bool:
        """Return whether a holder of a model has room for requests of a customer."""
        return any(
            self._has_room(each)
            and leaves_reserve(self.state, customer, each, self.now)
            for each in self._list_holders(model)
        )

    def _list_holders(self, model: str) -> list[RunnerState]:
        return self.state.list_holders(self.service, model, self._avoided)

    def _has_room(self, runner: RunnerState) -> bool:
        if not runner.has_room(self.state.limit_scale, self._limit_s, self.now):
            return False
        return self.state.measure_limit_wait_s(runner, self.now) == 0

    def _can_serve(self, waiting: WaitingRequest, runner: RunnerState) -> bool:
        grant_request = waiting.grant_request
        return (
            runner.is_ready(grant_request.model, grant_request.adapter, self.now)
            and self.state.allows(grant_request, runner, self.now)
            and runner.has_memory(waiting.kv_tokens, waiting.memory)
            and (
                not self.state.shares
                or leaves_reserve(self.state, grant_request.customer, runner, self.now)
            )
        )

    def _find_request(self, runner: RunnerState) -> WaitingRequest | None:
        """Return the first request that a runner with room can serve."""
        best: WaitingRequest | None = None
        best_rank: tuple[Any, ...] = ()
        for model, loaded in runner.models.items():
            for adapter, queue in self._list_queues(model, loaded.adapters):
                if not runner.is_ready(model, adapter, self.now):
                    continue
                first = self._find_first(queue, runner)
                if first is None:
                    continue
                rank = self._queue.get_rank(first)
                if best is None or rank < best_rank:
                    best, best_rank = first, rank
        return best

    def _find_first(
        self, queue: ArtifactQueue | SharedQueue, runner: RunnerState
    ) -> WaitingRequest | None:
        requests = (
            queue.iterate(
                lambda customer: leaves_reserve(self.state, customer, runner, self.now)
            )
            if isinstance(queue, SharedQueue)
            else iter(queue)
        )
        examined = 0
        for waiting in requests:
            # Many streams may wait for the few runners of an earlier version.
            if not fits_version(waiting.grant_request, runner.entry):
                continue
            if examined == MAX_EXAMINED_REQUESTS:
                return None
            examined += 1
            if not self.state.allows(waiting.grant_request, runner, self.now):
                continue
            if not runner.has_memory(waiting.kv_tokens, waiting.memory):
                continue
            if not self._is_held(waiting, runner):
                return waiting
        return None

    def _list_queues(
        self, model: str, adapters: dict[str, float]
    ) -> list[tuple[str, ArtifactQueue | SharedQueue]]:
        """Return the queues of a model without an adapter and with given adapters."""
        artifacts = self._queue.get_artifacts(model)
        if not artifacts:
            return []
        names = ["", *adapters]
        return [(name, artifacts[name]) for name in names if name in artifacts]

    def _schedule_wakeup(self, runner: RunnerState) -> None:
        """Schedule a wakeup for when a runner has room or a model is ready."""
        times = [
            runner.prefill_backlog.ends_at - self._limit_s * self.state.limit_scale,
            self.now + self.state.measure_limit_wait_s(runner, self.now),
        ]
        for model, loaded in runner.models.items():
            for adapter, _ in self._list_queues(model, loaded.adapters):
                times.append(loaded.ready_at)
                times.append(loaded.adapters.get(adapter, loaded.ready_at))
                backoff = runner.backoffs.get(f"{model}/{adapter}")
                if backoff is not None:
                    times.append(backoff.until)
        coming = [each for each in times if each > self.now]
        if coming:
            self.state.wakeups.schedule(runner.runner_id, min(coming))

    def _estimate_cost(
        self, waiting: WaitingRequest, runner: RunnerState, prefill_s: float
    ) -> float:
        """Return the expected wait and prefill time, with the cost for other requests.

        A long prompt is prefilled in chunks between the steps of the streams beside it
        and stalls all of them; a stream that was stalled too long before loses nothing
        more. Long prompts are therefore sent to runners with few streams, and streams
        to runners that received few long prompts recently.
        """
        state, now = self.state, self.now
        cost = runner.prefill_backlog.estimate_remaining_s(now) + prefill_s
        cost += RUNNING_REQUEST_COST_S * len(runner.running)
        data_centre = state.edge_data_centres.get(waiting.grant_request.edge)
        if data_centre is not None and data_centre != runner.entry.data_centre:
            cost += OTHER_DATA_CENTRE_COST_S
        if self._paces is not None:
            stalled = find_stalled(self._paces, runner, prefill_s, now)
            cost += STALL_COST_S * len(stalled)
            if runner.pauses is not None and runner.pauses.paused_any:
                cost += estimate_own_pause_cost_s(runner, waiting, now)
        elif runner.measure_window_prefill_s(prefill_s, now) > STALL_LIMIT_S:
            cost += STALL_COST_S * runner.count_unstalled()
        return cost + STALL_RATE_COST_S * runner.stalls.get_rate(now)

    def _grant(self, waiting: WaitingRequest, runner: RunnerState) -> Grant:
        """Move a waiting request to a runner."""
        grant_request = waiting.grant_request
        running = assign_request(self.state, waiting, runner, self.now)
        charge_grant(self.state, waiting.key, running, self.now)
        entry = runner.entry
        self.state.limits.record_request(entry.runner_id, entry.started_ms, self.now)
        self._queue.remove(waiting.key)
        self.state.health.record_attempt(runner.runner_id, self.now)
        return Grant(
            edge=grant_request.edge,
            request_id=grant_request.request_id,
            runner_id=runner.runner_id,
            backup_runner_id=(
                back_up(self.state, running, self.now) if self.state.backing_up else ""
            ),
        )


def measure_pressure(waiting: int, runners: int) -> float:
    """Return 0 if nothing waits, up to 1 if many requests wait for all runners."""
    return min(1.0, waiting / (PRESSURE_WAITING_PER_RUNNER * max(1, runners)))


def get_backlog_limit_s(pressure: float) -> float:
    """Return the prefill backlog up to which a runner may receive a prompt."""
    return BACKLOG_LIMIT_S + pressure * (PRESSURE_BACKLOG_LIMIT_S - BACKLOG_LIMIT_S)


def count_prefill_tokens(waiting: WaitingRequest, runner: RunnerState) -> int:
    """Return the prompt tokens that a runner would have to prefill."""
    cached = runner.prefixes.count_cached_tokens(waiting.parts)
    return max(1, waiting.grant_request.prompt.tokens - cached)


def assign_request(
    state: SchedulingState, waiting: WaitingRequest, runner: RunnerState, now: float
) -> RunningRequest:
    """Record a request as running at a runner."""
    grant_request = waiting.grant_request
    prefill_tokens = count_prefill_tokens(waiting, runner)
    paces = state.paces.get(grant_request.service)
    estimator = state.prefill_estimators.get(grant_request.service)
    running = RunningRequest(
        grant_request=grant_request,
        runner_id=runner.runner_id,
        granted_at=now,
        prefill_s=estimator.estimate(grant_request.model, prefill_tokens)
        * get_pace(runner, now),
        prefill_tokens=prefill_tokens,
        first_event_overhead_s=estimator.first_event_overhead_s,
        kv_tokens=waiting.kv_tokens,
        memory=waiting.memory,
    )
    if paces is not None:
        runner.mark_stalled(find_stalled(paces, runner, running.prefill_s, now), now)
    runner.add(waiting.key, running, now)
    runner.prefixes.add(waiting.parts)
    loaded = runner.models.get(grant_request.model)
    if loaded is not None and grant_request.adapter:
        loaded.used_at[grant_request.adapter] = now
    state.granted[waiting.key] = runner.runner_id
    return running
