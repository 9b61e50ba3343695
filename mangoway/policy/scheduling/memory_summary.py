"""Summary of the KV memory that runners have planned and use."""

from collections.abc import Iterable

from .runners import RunnerState


def summarize_memory(runners: Iterable[RunnerState]) -> dict[str, float]:
    """Return the tokens of all runners together, by kind.

    The kinds are `expected`, `margin` (planned beyond the expected) and `used_margin`
    (in use beyond the expected, by the runners' reports).
    """
    expected = margin = used = 0.0
    for runner in runners:
        plan = runner.memory_plan
        expected += plan.mean
        margin += plan.plan_tokens() - plan.mean
        used += max(0.0, runner.reported_kv_tokens - plan.mean)
    return {
        "expected": round(expected),
        "margin": round(margin),
        "used_margin": round(used),
    }
