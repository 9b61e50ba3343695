"""Admission checks: whether a target is offered and a deadline can be met."""

from random import Random

from attrs import frozen

from ...models.artifact import Artifact
from ...models.errors import ErrorCode, Failure
from ...models.offer import Configuration
from ...models.request import Request, Target
from ...models.verdict import Verdict
from .const import (
    BACKLOG_SETTLING_S,
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


def check_request_offered(
    request: Request, configuration: Configuration
) -> Failure | None:
    """Return the failure of a request whose caller, class or target is not offered."""
    if configuration.callers and request.caller not in configuration.callers:
        return _make_failure(
            ErrorCode.UNKNOWN_CALLER, f"caller {request.caller} is unknown"
        )
    classes = configuration.classes
    if classes and request.work_class not in classes:
        detail = f"work class {request.work_class.value} is unknown"
        return _make_failure(ErrorCode.UNKNOWN_CLASS, detail)
    return check_target_offered(request.target, configuration)


def check_target_offered(
    target: Target, configuration: Configuration
) -> Failure | None:
    """Return the failure of a target that is not offered; None if it is offered."""
    if isinstance(target, Artifact):
        return _check_model_offered(target, configuration)
    service = configuration.services.get(target.service)
    if service is None or target.call not in service.calls:
        return _make_failure(ErrorCode.UNKNOWN_SERVICE, f"call {target} is not offered")
    return None


def _check_model_offered(
    artifact: Artifact, configuration: Configuration
) -> Failure | None:
    model = configuration.models.get(artifact.model)
    if model is None or artifact.version not in model.versions:
        return _make_failure(
            ErrorCode.UNKNOWN_MODEL, f"model {artifact.base} is not offered"
        )
    if artifact.adapter is None:
        return None
    default = artifact.version == model.default_version
    if not default or artifact.adapter not in model.adapters:
        return _make_failure(
            ErrorCode.UNKNOWN_MODEL, f"adapter {artifact} is not offered"
        )
    return None


def _make_failure(code: ErrorCode, detail: str) -> Failure:
    return Failure(code=code, verdict=Verdict.NOT_RUN, detail=detail)


@frozen
class Admission:
    """Checks whether a request can meet its deadline, by current estimates."""

    fleet: Fleet
    queues: Queues
    estimates: Estimates
    options: DispatchOptions
    rng: Random

    def check(self, entry: Entry, now: float) -> Failure | None:
        """Return why a request can't meet its deadline; None if it is admitted."""
        if entry.latest_start < now:
            detail = "the deadline cannot be met"
            return self._reject(ErrorCode.DEADLINE_UNREACHABLE, detail, None)
        resource = find_resource(entry.request.target)
        if not self.fleet.count_ready(resource):
            return self._check_load_wait(entry, now)
        if self.fleet.sample_available(resource, 1, self.rng):
            return None
        if not self.options.early_rejection:
            return None
        wait = self.estimate_wait_s(entry, now)
        if now + wait <= entry.latest_start:
            return None
        detail = f"the estimated wait in the queue is {wait:.1f} s"
        excess = now + wait - entry.latest_start
        return self._reject(ErrorCode.DEADLINE_UNREACHABLE, detail, excess)

    def estimate_wait_s(self, entry: Entry, now: float) -> float:
        """Return the estimated wait in the queue."""
        queue = self.queues.find(entry.request.target)
        if queue is None:
            return 0.0
        ahead = float(queue.urgent.length)
        if entry.urgent:
            ahead = queue.urgent.count_ahead(entry)
        else:
            ahead += queue.patient.count_ahead(entry)
        rate = self._estimate_rate(entry, queue, now)
        return 0.0 if rate is None else ahead / rate

    def compute_retry_after(self, seconds: float) -> float:
        """Return the `Retry-After` seconds, with jitter to spread retries."""
        bounded = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, seconds))
        return round(bounded * (1.0 + RETRY_AFTER_JITTER * self.rng.random()), 2)

    def measure_drain_rate(self, queue: TargetQueue, now: float) -> float | None:
        """Return the measured starts per second.

        None if the backlog is new or no start was measured.
        """
        measured = self.estimates.get(queue.target).starts.get(now)
        if now - queue.backlog_since < BACKLOG_SETTLING_S or measured <= 0.0:
            return None
        return measured

    def estimate_capacity_rate(self, target: Target, now: float) -> float | None:
        """Return the estimated starts per second if all copies served the target."""
        estimate = self.estimates.get(target)
        duration = estimate.duration_s.get(now)
        if not duration:
            return None
        resource = find_resource(target)
        copies = self.fleet.sample_ready(resource, CHOICE_CANDIDATES, self.rng)
        slots = sum(copy.window.compute(self.fleet.gateway_count) for copy in copies)
        mean = slots / max(1, len(copies))
        capacity = mean * self.fleet.count_ready(resource) / duration
        return max(estimate.starts.get(now), capacity)

    def _estimate_rate(
        self, entry: Entry, queue: TargetQueue, now: float
    ) -> float | None:
        # A burst of urgent requests may end long before the deadline of a patient
        # request, so its wait is estimated from the full capacity of the copies.
        drain_rate = self.measure_drain_rate(queue, now) if entry.urgent else None
        if drain_rate is not None:
            return drain_rate
        return self.estimate_capacity_rate(entry.request.target, now)

    def _check_load_wait(self, entry: Entry, now: float) -> Failure | None:
        target = entry.request.target
        if not isinstance(target, Artifact):
            detail = f"no host of service {target.service} accepts requests"
            after = RETRY_AFTER_NO_UPSTREAM_S
            return self._reject(ErrorCode.NO_UPSTREAM, detail, after)
        wait = self.estimates.estimate_load_s(target, now)
        if now + wait <= entry.latest_start:
            return None
        detail = f"no copy is ready; loading the model takes about {wait:.0f} s"
        return self._reject(ErrorCode.MODEL_LOADING, detail, wait)

    def _reject(
        self, code: ErrorCode, detail: str, retry_after: float | None
    ) -> Failure:
        after = self.compute_retry_after(retry_after or RETRY_AFTER_MIN_S)
        verdict = Verdict.NOT_RUN
        return Failure(code=code, verdict=verdict, detail=detail, retry_after=after)
