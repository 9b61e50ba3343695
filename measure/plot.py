"""The plots of docs/POLICY.md."""

from pathlib import Path

import matplotlib
from matplotlib.axes import Axes

from .campaign import Case
from .faults import Fault
from .policies import BASELINES, OURS
from .score import Score

matplotlib.use("Agg")

from matplotlib import pyplot as plt

_DOTS_PER_INCH = 110


def draw_scores(path: Path, scores: dict[Case, Score]) -> None:
    """Plot attainment against moves for each policy, and attainment by fault."""
    sites = sorted({case.site for case in scores}, reverse=True)
    figure, axes = plt.subplots(
        2, len(sites), figsize=(6.5 * len(sites), 8.5), squeeze=False
    )
    for column, site in enumerate(sites):
        _draw_moves(axes[0][column], scores, site)
        _draw_faults(axes[1][column], scores, site)
    figure.tight_layout()
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    plt.close(figure)


def _draw_moves(axis: Axes, scores: dict[Case, Score], site: str) -> None:
    main = {policy.name for policy in (*BASELINES, OURS)}
    bound = 0.0
    for case, score in scores.items():
        if case.site != site or case.fault is not Fault.NONE:
            continue
        bound = score.bound
        is_main = case.policy in main
        axis.plot(
            score.moves,
            score.attainment,
            "o" if is_main else ".",
            color=None if is_main else "0.6",
            label=case.policy if is_main else None,
        )
    axis.axhline(bound, linestyle="--", color="0.4", label="bound")
    axis.set_title(f"{site.capitalize()} without faults")
    axis.set_xlabel("moves in a run (grey: ours with one mechanism changed)")
    axis.set_ylabel("share of requests on target")
    axis.legend(fontsize="small")


def _draw_faults(axis: Axes, scores: dict[Case, Score], site: str) -> None:
    names = [policy.name for policy in (*BASELINES, OURS)]
    width = 0.8 / len(names)
    for number, name in enumerate(names):
        for position, fault in enumerate(Fault):
            score = scores.get(Case(site=site, policy=name, fault=fault))
            if score is not None:
                axis.bar(
                    position + number * width,
                    score.attainment,
                    width,
                    color=f"C{number}",
                    label=name if position == 0 else None,
                )
    axis.set_xticks(range(len(Fault)))
    axis.set_xticklabels(
        [fault.value for fault in Fault], rotation=25, ha="right", fontsize="small"
    )
    axis.set_ylabel("share of requests on target")
    axis.set_ylim(0.0, 1.0)
    axis.legend(fontsize="small", loc="lower right")
