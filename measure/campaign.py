"""All runs of the policy measurement, distributed over worker processes."""

import gc
from collections.abc import Iterable, Iterator
from functools import lru_cache
from multiprocessing import get_context

from attrs import frozen

from .bound import find_bound
from .const import FAULT_TRAFFIC_S, REDUCED_SEEDS, SEEDS, TRAFFIC_S
from .demand import Demand, build_demand
from .faults import Fault
from .policies import (
    BASELINES,
    BROWN_OUT_ABLATIONS,
    DAY_ABLATIONS,
    FLOOD_ABLATIONS,
    OURS,
    PREEMPTION,
    Policy,
)
from .score import RunScore, Score, merge_runs, score_run
from .simulation import Simulation
from .sites import Site, build_cascadia, build_khangai

MAIN_POLICIES = (*BASELINES, OURS)
"""Policies that are measured without faults over all seeds."""

_FAULT_POLICIES = (BASELINES[-1], OURS, PREEMPTION)
POLICIES: dict[Fault, tuple[Policy, ...]] = {
    Fault.NONE: (*MAIN_POLICIES, *DAY_ABLATIONS),
    **{fault: _FAULT_POLICIES for fault in Fault if fault is not Fault.NONE},
    Fault.BROWN_OUT: (*_FAULT_POLICIES, *BROWN_OUT_ABLATIONS),
    Fault.FLOOD: (*_FAULT_POLICIES, *FLOOD_ABLATIONS),
}
"""Policies that are measured with each fault."""

_POLICIES_BY_NAME = {
    policy.name: policy for found in POLICIES.values() for policy in found
}

_COLLECTION_THRESHOLD = 200_000
"""Number of new objects that triggers a garbage collection."""


@frozen(kw_only=True)
class Case:
    """Combination of a site, a policy and a fault."""

    site: str
    policy: str
    fault: Fault


@frozen(kw_only=True)
class Job:
    """One run of a case with a seed."""

    case: Case
    seed: int


@lru_cache
def find_site(name: str) -> Site:
    """Return the site with a name."""
    return {"khangai": build_khangai, "cascadia": build_cascadia}[name]()


def list_cases(sites: Iterable[str], with_faults: bool) -> list[Case]:
    """Return all cases, those with the longest runs first."""
    return [
        Case(site=site, policy=policy.name, fault=fault)
        for fault, policies in POLICIES.items()
        for site in sites
        for policy in reversed(policies)
        if with_faults or fault is Fault.NONE
    ]


def list_seeds(case: Case) -> tuple[int, ...]:
    """Return the seeds of the runs of a case."""
    is_main = case.policy in {policy.name for policy in MAIN_POLICIES}
    return SEEDS if is_main and case.fault is Fault.NONE else REDUCED_SEEDS


def list_jobs(cases: list[Case], max_seeds: int = len(SEEDS)) -> list[Job]:
    """Return all runs of the cases, with at most `max_seeds` seeds each."""
    return [
        Job(case=case, seed=seed)
        for case in cases
        for seed in list_seeds(case)[:max_seeds]
    ]


def run_jobs(jobs: list[Job], processes: int) -> Iterator[tuple[Job, RunScore]]:
    """Run all jobs in worker processes; yield the score of each run as it ends."""
    with get_context("fork").Pool(processes, _raise_collection_threshold) as pool:
        yield from pool.imap_unordered(_run_job, jobs)


def merge_cases(runs: Iterable[tuple[Job, RunScore]]) -> dict[Case, Score]:
    """Merge the runs of each case."""
    by_case: dict[Case, list[tuple[int, RunScore]]] = {}
    for job, score in runs:
        by_case.setdefault(job.case, []).append((job.seed, score))
    return {
        case: merge_runs([score for _, score in sorted(found, key=lambda f: f[0])])
        for case, found in by_case.items()
    }


@lru_cache(maxsize=4)
def _find_demand(site: str, seed: int, fault: Fault) -> Demand:
    length_s = TRAFFIC_S if fault is Fault.NONE else FAULT_TRAFFIC_S
    return build_demand(find_site(site), seed, length_s, fault is Fault.FLOOD)


def _raise_collection_threshold() -> None:
    """Collect garbage less often, as a run keeps most of its objects."""
    gc.set_threshold(_COLLECTION_THRESHOLD)


def _run_job(job: Job) -> tuple[Job, RunScore]:
    case = job.case
    site = find_site(case.site)
    demand = _find_demand(case.site, job.seed, case.fault)
    policy = _POLICIES_BY_NAME[case.policy]
    result = Simulation(site, demand, policy, case.fault, job.seed).run()
    return job, score_run(result, find_bound(demand.arrivals, result.capacity))
