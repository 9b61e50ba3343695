"""Scores of a policy over the runs of all seeds."""

from collections.abc import Callable, Hashable, Iterable, Sequence

from attrs import field, frozen

from mangoway.models.artifact import Artifact

from .milestones import Step
from .outcomes import Outcome
from .simulation import RunResult

_P95 = 0.95


@frozen(kw_only=True)
class Tally:
    """Number of requests of one kind, and of those that met their targets."""

    met: int = 0
    total: int = 0

    @property
    def share(self) -> float:
        """Return the share of requests on target; 1 if there are no requests."""
        return self.met / self.total if self.total else 1.0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(met=self.met + other.met, total=self.total + other.total)


@frozen(kw_only=True)
class RunScore:
    """Scores of one run, small enough to pass between processes."""

    overall: Tally
    with_flooder: Tally
    """All requests; all other tallies but `flooder` leave out the flooding caller."""

    flooder: Tally
    urgent: Tally
    patient: Tally
    calls: Tally
    by_artifact: dict[str, Tally]
    by_caller: dict[str, Tally]
    first_tokens_s: tuple[float, ...] = field(repr=False)
    rejections: int
    loads: int
    unloads: int
    over_size: int
    doubled_runs: int
    steps: dict[str, dict[Step, float]]
    bound: float


@frozen(kw_only=True)
class Score:
    """Scores of a policy over several runs."""

    attainment: float
    """Share of the requests that met their targets."""

    spread: float
    """Difference between the highest and lowest attainment of the seeds."""

    with_flooder: float
    """Attainment with the flooding caller; all shares but `flooder` leave it out."""

    flooder: float
    urgent: float
    patient: float
    calls: float
    first_token_p95_s: float
    rejections: float
    moves: float
    worst_artifact: float
    worst_caller: float
    over_size: int
    doubled_runs: int
    bound: float


def score_run(result: RunResult, bound: float) -> RunScore:
    """Return the scores of a run."""
    outcomes = [
        outcome
        for outcome in result.outcomes
        if outcome.arrival.caller != result.flooder
    ]
    flood = [
        outcome
        for outcome in result.outcomes
        if outcome.arrival.caller == result.flooder
    ]
    models = [outcome for outcome in outcomes if not outcome.is_call]
    urgent = [outcome for outcome in models if outcome.is_urgent]
    return RunScore(
        overall=_count_met(outcomes),
        with_flooder=_count_met(result.outcomes),
        flooder=_count_met(flood),
        urgent=_count_met(urgent),
        patient=_count_met(one for one in models if not one.is_urgent),
        calls=_count_met(one for one in outcomes if one.is_call),
        by_artifact=_count_met_by(models, _name_artifact),
        by_caller=_count_met_by(outcomes, lambda outcome: outcome.arrival.caller),
        first_tokens_s=tuple(
            outcome.first_token_s
            for outcome in urgent
            if outcome.first_token_s is not None
        ),
        rejections=sum(len(outcome.rejections) for outcome in result.outcomes),
        loads=result.loads,
        unloads=result.unloads,
        over_size=result.over_size,
        doubled_runs=result.doubled_runs,
        steps=result.steps,
        bound=bound,
    )


def merge_runs(runs: Sequence[RunScore]) -> Score:
    """Merge the scores of all seeds of one policy."""
    shares = [run.overall.share for run in runs]
    tokens = sorted(time for run in runs for time in run.first_tokens_s)
    return Score(
        attainment=_mean(shares),
        spread=max(shares) - min(shares),
        with_flooder=_mean([run.with_flooder.share for run in runs]),
        flooder=_mean([run.flooder.share for run in runs]),
        urgent=_mean([run.urgent.share for run in runs]),
        patient=_mean([run.patient.share for run in runs]),
        calls=_mean([run.calls.share for run in runs]),
        first_token_p95_s=tokens[int(len(tokens) * _P95)] if tokens else 0.0,
        rejections=_mean([run.rejections for run in runs]),
        moves=_mean([run.loads + run.unloads for run in runs]),
        worst_artifact=_find_worst([run.by_artifact for run in runs]),
        worst_caller=_find_worst([run.by_caller for run in runs]),
        over_size=sum(run.over_size for run in runs),
        doubled_runs=sum(run.doubled_runs for run in runs),
        bound=_mean([run.bound for run in runs]),
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _count_met(outcomes: Iterable[Outcome]) -> Tally:
    met = [outcome.is_met for outcome in outcomes]
    return Tally(met=sum(met), total=len(met))


def _name_artifact(outcome: Outcome) -> str:
    target = outcome.arrival.target
    assert isinstance(target, Artifact)
    return str(target)


def _count_met_by(
    outcomes: Iterable[Outcome], find_group: Callable[[Outcome], Hashable]
) -> dict[str, Tally]:
    groups: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(str(find_group(outcome)), []).append(outcome)
    return {name: _count_met(group) for name, group in groups.items()}


def _find_worst(runs: Sequence[dict[str, Tally]]) -> float:
    """Return the lowest share of any name, each summed over all seeds."""
    sums: dict[str, Tally] = {}
    for run in runs:
        for name, tally in run.items():
            sums[name] = sums.get(name, Tally()) + tally
    return min(tally.share for tally in sums.values())
