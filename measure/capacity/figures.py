"""All measured figures of one run."""

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any, TypeVar

from attrs import define, field, frozen

from . import measures  # noqa: F401  (fills the registry)
from .cell import CellCost
from .fit import Point
from .heartbeats import CELL_SIZES, make_cell_series, measure_cell
from .meter import US_PER_S
from .path_costs import RestCost, async_measure_rest
from .placement import (
    FIXED_RUNNERS,
    MODEL_SIZES,
    RUNNER_SIZES,
    SMALL_MODELS,
    PlanCost,
    RepairCost,
    measure_plans,
    measure_repair,
)
from .registry import Series, iterate_measures

CostT = TypeVar("CostT")
REPAIR_SIZES = (1, 4, 16, 40)
PROCESSES = 3
PATH_MEASURE = "data path"


@frozen(kw_only=True)
class Figures:
    """Series by name, and what has no slope."""

    series: dict[str, Series]
    rest: RestCost
    cell: CellCost
    """Heartbeats of one whole cell of the target size."""

    plan: PlanCost
    """Plans of one whole cell of the target size."""

    repairs: dict[int, RepairCost]
    """Repairs by the number of runners lost at once."""

    def predict(self, name: str, size: float) -> float:
        """Return the cost of a series at a size."""
        return self.series[name].predict(size)

    def find_slope(self, name: str) -> float:
        """Return what one more entry costs."""
        return self.series[name].fit.slope


@define
class Progress:
    """Says what was measured."""

    say: Callable[[str], None]
    _done: int = field(default=0, init=False)

    def note(self, name: str) -> None:
        """Count one measurement."""
        self._done += 1
        self.say(f"{self._done}: {name}")


def take_figures(say: Callable[[str], None]) -> Figures:
    """Take all measurements, in a few processes at once.

    The data path is measured alone at the end of the others, since it consists of
    several processes itself.
    """
    progress = Progress(say)
    context = get_context("spawn")
    with ProcessPoolExecutor(PROCESSES, mp_context=context) as pool:
        cells = [pool.submit(measure_cell, *size) for size in reversed(CELL_SIZES)]
        others = [
            pool.submit(_run_measure, name)
            for name, _ in iterate_measures()
            if name != PATH_MEASURE
        ]
        plans = [pool.submit(measure_plans, *size) for size in _list_plan_sizes()]
        repairs = [pool.submit(measure_repair, size) for size in REPAIR_SIZES]
        for futures in (cells, others, plans, repairs):
            _watch(futures, progress)
        series = [one for future in others for one in future.result()]
        cell_costs = _read_cells(cells)
        plan_costs = dict(zip(_list_plan_sizes(), _results(plans), strict=True))
        repair_costs = dict(zip(REPAIR_SIZES, _results(repairs), strict=True))
    series += make_cell_series(cell_costs)
    series += _make_plan_series(plan_costs)
    series += _run_measure(PATH_MEASURE)
    progress.note(PATH_MEASURE)
    return Figures(
        series={one.name: one for one in series},
        rest=asyncio.run(async_measure_rest()),
        cell=cell_costs[-1][1],
        plan=plan_costs[FIXED_RUNNERS, MODEL_SIZES[-1]],
        repairs=repair_costs,
    )


def _run_measure(name: str) -> list[Series]:
    return list(dict(iterate_measures())[name]())


def _watch(futures: Iterable["Future[Any]"], progress: Progress) -> None:
    for future in futures:
        future.add_done_callback(lambda _: progress.note("measured"))


def _results(futures: Iterable["Future[CostT]"]) -> list[CostT]:
    return [future.result() for future in futures]


def _read_cells(futures: list["Future[CellCost]"]) -> list[tuple[int, CellCost]]:
    costs = reversed(_results(futures))
    return [(nodes, cost) for (nodes, _), cost in zip(CELL_SIZES, costs, strict=True)]


def _list_plan_sizes() -> list[tuple[int, int]]:
    by_runners = [(size, SMALL_MODELS) for size in RUNNER_SIZES]
    by_models = [(FIXED_RUNNERS, size) for size in MODEL_SIZES]
    return list(dict.fromkeys([*by_runners, *by_models]))


def _make_plan_series(costs: dict[tuple[int, int], PlanCost]) -> tuple[Series, ...]:
    by_runners = [(size, costs[size, SMALL_MODELS]) for size in RUNNER_SIZES]
    by_models = [(size, costs[FIXED_RUNNERS, size]) for size in MODEL_SIZES]
    rows = (
        (
            "plan_runners",
            f"plan that is due, {SMALL_MODELS} models",
            "runners",
            by_runners,
        ),
        (
            "plan_models",
            f"plan that is due, {FIXED_RUNNERS} runners",
            "models",
            by_models,
        ),
    )
    plans = [
        Series(
            name=name,
            title=title,
            size_name=size_name,
            unit="µs",
            points=tuple(Point(size, cost.plan_us) for size, cost in found),
        )
        for name, title, size_name, found in rows
    ]
    share = Series(
        name="placement_us",
        title=f"placement core with reports and demand, {FIXED_RUNNERS} runners",
        size_name="models",
        unit="µs/s",
        points=tuple(
            Point(size, cost.core_share * US_PER_S) for size, cost in by_models
        ),
    )
    return (*plans, share)
