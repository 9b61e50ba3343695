"""The tables of docs/POLICY.md."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from .campaign import FAULT_POLICIES, Case, Job, find_site
from .faults import Fault
from .milestones import Step
from .policies import ABLATIONS, BASELINES, OURS
from .score import RunScore, Score

BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"
_COLUMNS = (
    "policy",
    "on target",
    "spread",
    "per accelerator",
    "below bound",
    "urgent",
    "patient",
    "calls",
    "first token p95 s",
    "refusals",
    "moves",
    "worst model",
    "worst caller",
    "over size",
    "doubled",
)


def write_section(path: Path, text: str) -> None:
    """Replace the measured part of a page.

    Raises:
        ValueError: If the page has no markers.
    """
    page = path.read_text()
    head, found_begin, rest = page.partition(BEGIN)
    _, found_end, tail = rest.partition(END)
    if not found_begin or not found_end:
        raise ValueError(f"no markers in {path}")
    path.write_text(f"{head}{BEGIN}\n\n{text.strip()}\n\n{END}{tail}")


def build_tables(
    scores: dict[Case, Score], runs: Sequence[tuple[Job, RunScore]]
) -> str:
    """Return all tables as Markdown."""
    parts: list[str] = []
    for site in sorted({case.site for case in scores}, reverse=True):
        parts.append(f"### {site.capitalize()}\n")
        names = [p.name for p in (*BASELINES, OURS, *ABLATIONS)]
        cases = [Case(site=site, policy=name, fault=Fault.NONE) for name in names]
        parts.append(_build_table(scores, cases))
        parts.append("\nReaction to the surges, seconds from their first sign.\n")
        parts.append(_build_steps(runs, site))
        for fault in Fault:
            cases = [
                Case(site=site, policy=policy.name, fault=fault)
                for policy in FAULT_POLICIES
            ]
            if fault is not Fault.NONE and cases[0] in scores:
                parts.append(f"\n{fault.value.capitalize()}:\n")
                parts.append(_build_table(scores, cases))
    return "\n".join(parts)


def _build_table(scores: dict[Case, Score], cases: Iterable[Case]) -> str:
    rows = [_format_row(case, scores[case]) for case in cases if case in scores]
    return _format_table(_COLUMNS, rows)


def _format_table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _format_row(case: Case, score: Score) -> list[str]:
    accelerators = find_site(case.site).accelerators
    below = 1.0 - score.attainment / score.bound
    return [
        case.policy,
        f"{score.attainment:.3f}",
        f"{score.spread:.3f}",
        f"{score.attainment / accelerators:.4f}",
        f"{below:.1%}",
        f"{score.urgent:.3f}",
        f"{score.patient:.3f}",
        f"{score.calls:.3f}",
        f"{score.first_token_p95_s:.2f}",
        f"{score.refusals:.0f}",
        f"{score.moves:.0f}",
        f"{score.worst_model:.3f}",
        f"{score.worst_caller:.3f}",
        str(score.over_size),
        str(score.doubled_runs),
    ]


def _build_steps(runs: Sequence[tuple[Job, RunScore]], site: str) -> str:
    """Return the median and the worst time of each step over the seeds."""
    case = Case(site=site, policy=OURS.name, fault=Fault.NONE)
    found = [score.steps for job, score in runs if job.case == case]
    surges = list(found[0]) if found else []
    rows = []
    for surge in surges:
        row = [surge]
        for step in Step:
            times = [steps[surge].get(step) for steps in found]
            row.append(_format_times(times))
        rows.append(row)
    return _format_table(["surge", *(step.value for step in Step)], rows)


def _format_times(times: Sequence[float | None]) -> str:
    seen = sorted(time for time in times if time is not None)
    if not seen:
        return "none"
    text = f"{seen[len(seen) // 2]:.1f} (worst {seen[-1]:.1f})"
    missing = len(times) - len(seen)
    return f"{text}, {missing} without" if missing else text
