"""Whether a request is taken in: what it asks for, and whether it can be met."""

from random import Random

from attrs import frozen

from ...models.artifact import Artifact
from ...models.errors import ErrorCode, Failure
from ...models.offer import Configuration
from ...models.request import Request, Target
from ...models.verdict import Verdict
from .const import (
    BACKLOG_SETTLED_S,
    CHOICE_CANDIDATES,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    RETRY_AFTER_NO_UPSTREAM_S,
)
from .entries import Entry
from .estimates import Estimates
from .fleet import Fleet
from .options import DispatchOptions
from .queues import Queues, TargetQueue
from .upstreams import find_resource


def find_fault(request: Request, configuration: Configuration) -> Failure | None:
    """Return why a request asks for something that is not offered."""
    if configuration.callers and request.caller not in configuration.callers:
        return _fault(ErrorCode.UNKNOWN_CALLER, f"no caller {request.caller}")
    classes = configuration.classes
    if classes and request.work_class not in classes:
        detail = f"no class {request.work_class.value}"
        return _fault(ErrorCode.UNKNOWN_CLASS, detail)
    return find_target_fault(request.target, configuration)


def find_target_fault(target: Target, configuration: Configuration) -> Failure | None:
    """Return why a target is not offered."""
    if isinstance(target, Artifact):
        return _find_model_fault(target, configuration)
    service = configuration.services.get(target.service)
    if service is None or target.call not in service.calls:
        return _fault(ErrorCode.UNKNOWN_SERVICE, f"no call {target}")
    return None


def _find_model_fault(
    artifact: Artifact, configuration: Configuration
) -> Failure | None:
    model = configuration.models.get(artifact.model)
    if model is None or artifact.version not in model.versions:
        return _fault(ErrorCode.UNKNOWN_MODEL, f"no model {artifact.base}")
    if artifact.adapter is None:
        return None
    default = artifact.version == model.default_version
    if not default or artifact.adapter not in model.adapters:
        return _fault(ErrorCode.UNKNOWN_MODEL, f"no adapter {artifact}")
    return None


def _fault(code: ErrorCode, detail: str) -> Failure:
    return Failure(code=code, verdict=Verdict.NOT_RUN, detail=detail)


@frozen
class Admission:
    """Judges whether a request can meet its deadline from what is known now."""

    fleet: Fleet
    queues: Queues
    estimates: Estimates
    options: DispatchOptions
    rng: Random

    def find_obstacle(self, entry: Entry, now: float) -> Failure | None:
        """Return why a request can't be met; None if it may wait or start."""
        if entry.latest_start < now:
            detail = "the deadline is too near"
            return self._refuse(ErrorCode.DEADLINE_UNREACHABLE, detail, None)
        resource = find_resource(entry.request.target)
        if not self.fleet.count_ready(resource):
            return self._find_copy_obstacle(entry, now)
        if self.fleet.draw_open(resource, 1, self.rng):
            return None
        if not self.options.early_refusal:
            return None
        wait = self.find_wait_s(entry, now)
        if now + wait <= entry.latest_start:
            return None
        detail = f"the wait is about {wait:.1f} s"
        excess = now + wait - entry.latest_start
        return self._refuse(ErrorCode.DEADLINE_UNREACHABLE, detail, excess)

    def find_wait_s(self, entry: Entry, now: float) -> float:
        """Return the estimated wait in the queue."""
        queue = self.queues.find(entry.request.target)
        if queue is None:
            return 0.0
        ahead = float(queue.urgent.length)
        if entry.urgent:
            ahead = queue.urgent.count_ahead(entry)
        else:
            ahead += queue.patient.count_ahead(entry)
        rate = self._find_rate(entry, queue, now)
        return 0.0 if rate is None else ahead / rate

    def compute_retry_after(self, seconds: float) -> float:
        """Return a time to come back, spread so that not all come at once."""
        bounded = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, seconds))
        return round(bounded * (1.0 + RETRY_AFTER_JITTER * self.rng.random()), 2)

    def find_settled_rate(self, queue: TargetQueue, now: float) -> float | None:
        """Return the measured starts per second of a backlog; None if it is new."""
        measured = self.estimates.get(queue.target).starts.get(now)
        if now - queue.backlog_since < BACKLOG_SETTLED_S or measured <= 0.0:
            return None
        return measured

    def find_capacity_rate(self, target: Target, now: float) -> float | None:
        """Return the starts per second if all copies served one target only."""
        estimate = self.estimates.get(target)
        duration = estimate.duration_s.get(now)
        if not duration:
            return None
        resource = find_resource(target)
        copies = self.fleet.draw_ready(resource, CHOICE_CANDIDATES, self.rng)
        slots = sum(copy.window.compute(self.fleet.gateways) for copy in copies)
        mean = slots / max(1, len(copies))
        capacity = mean * self.fleet.count_ready(resource) / duration
        return max(estimate.starts.get(now), capacity)

    def _find_rate(self, entry: Entry, queue: TargetQueue, now: float) -> float | None:
        # Urgent work that presses on patient work now may be gone long before that
        # is due, so patient work is judged by all that the copies could do.
        settled = self.find_settled_rate(queue, now) if entry.urgent else None
        if settled is not None:
            return settled
        return self.find_capacity_rate(entry.request.target, now)

    def _find_copy_obstacle(self, entry: Entry, now: float) -> Failure | None:
        target = entry.request.target
        if not isinstance(target, Artifact):
            detail = f"no host of {target.service} takes work"
            after = RETRY_AFTER_NO_UPSTREAM_S
            return self._refuse(ErrorCode.NO_UPSTREAM, detail, after)
        wait = self.estimates.find_load_s(target, now)
        if now + wait <= entry.latest_start:
            return None
        detail = f"no copy is ready; a load takes about {wait:.0f} s"
        return self._refuse(ErrorCode.MODEL_LOADING, detail, wait)

    def _refuse(
        self, code: ErrorCode, detail: str, retry_after: float | None
    ) -> Failure:
        after = self.compute_retry_after(retry_after or RETRY_AFTER_MIN_S)
        verdict = Verdict.NOT_RUN
        return Failure(code=code, verdict=verdict, detail=detail, retry_after=after)
