"""The tables of docs/CAPACITY.md."""

from collections.abc import Iterable, Sequence

from .calls import CallRate, list_calls
from .failures import list_failures
from .figures import Figures
from .registry import Series
from .roles import KEYED_SHARE, list_roles
from .rows import Role, Row
from .target import (
    STORE_READS_PER_S,
    STORE_WRITES_PER_S,
    TARGET,
    TODAY,
    Deployment,
)

PERCENT = 100


def build_page(figures: Figures) -> str:
    """Return the measured part of the page as Markdown."""
    parts = ["### Roles at the target size"]
    parts += [_build_role(role) for role in list_roles(figures)]
    parts.append("### Key-value service")
    parts.append(_build_calls(figures))
    parts.append("### Failures")
    parts.append(_build_failures(figures))
    parts.append("### Slopes")
    parts.append(_build_series(figures.series.values()))
    return "\n\n".join(parts)


def judge(role: Role) -> str:
    """Return whether a role fits its budget, and by how much not."""
    total = role.total
    if not role.is_control:
        cores = total.core_share
        verdict = "fits one process" if cores <= 1.0 else "does not fit one process"
        return f"{cores:.2f} cores and {total.memory_mb:.0f} MB a node: {verdict}."
    parts = (
        ("processor time", total.core_share, role.budget.core_share),
        ("memory", total.memory_mb, role.budget.memory_mb),
        ("bytes sent", total.sent, role.budget.bytes_per_second),
        ("bytes received", total.received, role.budget.bytes_per_second),
    )
    return "; ".join(_judge_part(*part) for part in parts) + "."


def _judge_part(name: str, used: float, budget: float) -> str:
    if used <= budget:
        return f"{name} fits ({used / budget:.0%} of the budget)"
    return f"{name} does **not** fit, {used / budget:.1f} times the budget"


def _build_role(role: Role) -> str:
    columns = (
        "what",
        "carried by",
        "messages/s",
        "sent B/s",
        "received B/s",
        "core",
        "memory MB",
    )
    rows = [_format_row(row) for row in (*role.rows, role.total)]
    lines = [f"**{role.name}.** {judge(role)}", _format_table(columns, rows)]
    if role.remedies:
        lines.append("\n".join(f"- {remedy}" for remedy in role.remedies))
    return "\n\n".join(lines)


def _format_row(row: Row) -> list[str]:
    return [
        row.what,
        row.mechanism,
        _format(row.messages),
        _format(row.sent),
        _format(row.received),
        f"{row.core_share * PERCENT:.2f}%" if row.core_share else "",
        f"{row.memory_mb:.1f}" if row.memory_mb else "",
    ]


def _build_calls(figures: Figures) -> str:
    deployments = (TODAY, TARGET)
    calls = [list_calls(figures, deployment) for deployment in deployments]
    columns = (
        "kind",
        "carried by",
        *(
            f"{deployment.name}: {unit}"
            for deployment in deployments
            for unit in ("calls/h", "reads/s", "writes/s")
        ),
    )
    rows = [
        [now.kind, now.mechanism, *_format_rate(now), *_format_rate(then)]
        for now, then in zip(*calls, strict=True)
    ]
    totals = [_sum_calls(found) for found in calls]
    rows.append(["all", "", *_format_rate(totals[0]), *_format_rate(totals[1])])
    verdicts = [
        _judge_store(deployment, total)
        for deployment, total in zip(deployments, totals, strict=True)
    ]
    keyed = TARGET.requests_per_second * KEYED_SHARE
    plain = _judge_part("writes", keyed, STORE_WRITES_PER_S)
    verdicts.append(
        f"If the {KEYED_SHARE:.0%} of the requests that are taken to be keyed all had"
        f" keys without a home, each would be a write, {keyed:,.0f} a second: {plain}."
        " Keys with a home are what fits."
    )
    return _format_table(columns, rows) + "\n\n" + " ".join(verdicts)


def _sum_calls(calls: Sequence[CallRate]) -> CallRate:
    return CallRate(
        kind="all",
        mechanism="",
        reads=sum(call.reads for call in calls),
        writes=sum(call.writes for call in calls),
    )


def _judge_store(deployment: Deployment, total: CallRate) -> str:
    reads = _judge_part("reads", total.reads, STORE_READS_PER_S)
    writes = _judge_part("writes", total.writes, STORE_WRITES_PER_S)
    return f"{deployment.name.capitalize()}: {reads}, {writes}."


def _format_rate(call: CallRate) -> list[str]:
    return [_format(call.per_hour), _format(call.reads), _format(call.writes)]


def _build_failures(figures: Figures) -> str:
    columns = ("failure", "how often", "messages", "recovery", "carried by")
    rows = [
        [row.failure, row.how_often, row.messages, row.recovery, row.mechanism]
        for row in list_failures(figures)
    ]
    return _format_table(columns, rows)


def _build_series(series: Iterable[Series]) -> str:
    columns = ("cost", "by", "unit", "measured points", "line", "exponent", "off by")
    return _format_table(columns, [_format_series(one) for one in series])


def _format_series(series: Series) -> list[str]:
    points = ", ".join(
        f"{point.size:g}: {_format(point.value) or '0'}" for point in series.points
    )
    fit = series.fit
    return [
        series.title,
        series.size_name,
        series.unit,
        points,
        f"{fit.constant:.3g} + {fit.slope:.3g} n",
        f"{fit.exponent:.2f}",
        f"{fit.worst:.0%}",
    ]


def _format(value: float) -> str:
    """Return a figure with three digits or so; empty for nothing."""
    if not value:
        return ""
    if abs(value) >= PERCENT:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _format_table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
