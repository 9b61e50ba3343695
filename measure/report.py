"""The tables of docs/POLICY.md."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from .campaign import POLICIES, Case, Job, find_site
from .const import REDUCED_SEEDS
from .faults import Fault
from .milestones import Step
from .policies import OURS
from .score import RunScore, Score, merge_runs

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
_FLOOD_COLUMNS = ("with the flooding caller", "flooding caller alone")


def write_section(path: Path, text: str) -> None:
    """Replace the generated section of a page.

    Raises:
        ValueError: The page has no markers of the generated section.
    """
    page = path.read_text()
    head, found_begin, rest = page.partition(BEGIN)
    _, found_end, tail = rest.partition(END)
    if not found_begin or not found_end:
        raise ValueError(f"markers of the generated section are missing in {path}")
    path.write_text(f"{head}{BEGIN}\n\n{text.strip()}\n\n{END}{tail}")


def build_tables(
    scores: dict[Case, Score], runs: Sequence[tuple[Job, RunScore]]
) -> str:
    """Return all tables as Markdown."""
    parts: list[str] = []
    for site in sorted({case.site for case in scores}, reverse=True):
        parts.append(f"### {site.capitalize()}\n")
        parts.append(_build_table(scores, runs, site, Fault.NONE))
        parts.append("\nReaction to the surges, seconds from their first sign.\n")
        parts.append(_build_steps(runs, site))
        for fault in Fault:
            if fault is not Fault.NONE and any(case.fault is fault for case in scores):
                parts.append(f"\n{fault.value.capitalize()}:\n")
                parts.append(_build_table(scores, runs, site, fault))
    return "\n".join(parts)


def _build_table(
    scores: dict[Case, Score],
    runs: Sequence[tuple[Job, RunScore]],
    site: str,
    fault: Fault,
) -> str:
    rows = []
    for policy in POLICIES[fault]:
        case = Case(site=site, policy=policy.name, fault=fault)
        if case in scores:
            rows.append(_format_row(policy.name, case, scores[case]))
        if case in scores and policy is OURS and fault is Fault.NONE:
            rows.append(_format_reduced_seeds_row(case, runs))
    columns = _COLUMNS if fault is not Fault.FLOOD else (*_COLUMNS, *_FLOOD_COLUMNS)
    return _format_table(columns, rows)


def _format_reduced_seeds_row(
    case: Case, runs: Sequence[tuple[Job, RunScore]]
) -> list[str]:
    """Return the row of this project's policy over the reduced seeds.

    The policies in the rows below it are measured with the reduced seeds only.
    """
    found = [
        score for job, score in runs if job.case == case and job.seed in REDUCED_SEEDS
    ]
    name = f"{case.policy}, first {len(REDUCED_SEEDS)} seeds"
    return _format_row(name, case, merge_runs(found))


def _format_table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _format_row(name: str, case: Case, score: Score) -> list[str]:
    accelerators = find_site(case.site).accelerators
    # The bound covers the requests of the flooding caller as well.
    below_bound = 1.0 - score.with_flooder / score.bound
    row = [
        name,
        f"{score.attainment:.3f}",
        f"{score.spread:.3f}",
        f"{score.attainment / accelerators:.4f}",
        f"{below_bound:.1%}",
        f"{score.urgent:.3f}",
        f"{score.patient:.3f}",
        f"{score.calls:.3f}",
        f"{score.first_token_p95_s:.2f}",
        f"{score.rejections:.0f}",
        f"{score.moves:.0f}",
        f"{score.worst_artifact:.3f}",
        f"{score.worst_caller:.3f}",
        str(score.over_size),
        str(score.doubled_runs),
    ]
    if case.fault is Fault.FLOOD:
        row += [f"{score.with_flooder:.3f}", f"{score.flooder:.3f}"]
    return row


def _build_steps(runs: Sequence[tuple[Job, RunScore]], site: str) -> str:
    """Return a table of the median and worst time of each step over the seeds."""
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
