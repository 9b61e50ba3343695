"""Short soaks for CI, and those that failed once."""

from pathlib import Path

import pytest

from .soak import async_soak

SHORT_S = 4.0
SEEDS = (3, 4)
"""Planned work alone, and all faults."""

FAILED_ONCE = {
    126094347: "checks: a scheduler that still started ended by SIGTERM; streams that "
    "lasted for their route's timeout on a busy machine counted as lost",
    116518305: "checks: the same timeout",
}
"""Seeds that failed, with their causes."""


@pytest.mark.process
class TestSoak:
    """The real programs under faults from outside."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_promises_hold(self, seed: int, tmp_path: Path) -> None:
        result = await async_soak(seed, tmp_path, SHORT_S)
        assert result.broken == []
        assert result.served > 0

    @pytest.mark.parametrize("seed", FAILED_ONCE)
    async def test_seed_that_failed_once_holds(self, seed: int, tmp_path: Path) -> None:
        result = await async_soak(seed, tmp_path, SHORT_S)
        assert result.broken == []
