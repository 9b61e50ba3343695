"""Short soaks for CI, with fixed seeds and seeds that failed once."""

from pathlib import Path

import pytest

from .soak import FAULT_S, async_soak

SHORT_S = 4.0
SEEDS = (3, 4)
"""One seed with planned work only, and one with all faults."""

FAILED_ONCE = {
    126094347: "the checks reported a scheduler that SIGTERM ended during its start, "
    "and streams that lasted for their route's timeout on a busy host",
    366942911: "a runner that sent an unframed body without end crashed, which ended "
    "it as if it were whole",
    116518305: "the checks reported streams that lasted for their route's timeout",
}
"""Seeds that failed once, with the causes, which were errors in the checks."""


VERSIONS_SEED = 3
"""A seed whose runners and edges are replaced and restarted, and nothing else."""

EXTRAS_SEED = 10
"""A seed with all faults."""

PROMISES_SEED = 7
"""A seed with all faults."""

CHANGES_SEED = 12
"""A seed with planned work only, beside the changes."""

RESTORED_SEED = 17_798_720
"""A seed that failed once: a host that had read a restored store rejected keys for good
that the store had lost together with their configuration."""


@pytest.mark.process
class TestSoak:
    """The real programs under external faults."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_guarantees_hold(self, seed: int, tmp_path: Path) -> None:
        result = await async_soak(seed, tmp_path, SHORT_S)
        assert result.violations == []
        assert result.served > 0

    @pytest.mark.parametrize("seed", FAILED_ONCE)
    async def test_seed_that_failed_once_passes(
        self, seed: int, tmp_path: Path
    ) -> None:
        result = await async_soak(seed, tmp_path, SHORT_S)
        assert result.violations == []

    async def test_guarantees_hold_when_the_store_is_restored(
        self, tmp_path: Path
    ) -> None:
        result = await async_soak(RESTORED_SEED, tmp_path, FAULT_S, restoring=True)
        assert result.violations == []
        assert result.restores > 0

    async def test_guarantees_hold_with_two_software_versions(
        self, tmp_path: Path
    ) -> None:
        result = await async_soak(VERSIONS_SEED, tmp_path, FAULT_S, versions=True)
        assert result.violations == []
        assert result.went_on > 0

    async def test_guarantees_hold_beside_extra_responses(self, tmp_path: Path) -> None:
        result = await async_soak(EXTRAS_SEED, tmp_path, FAULT_S, extras=True)
        assert result.violations == []
        assert result.extras > 0

    async def test_guarantees_hold_beside_false_promises(self, tmp_path: Path) -> None:
        result = await async_soak(PROMISES_SEED, tmp_path, FAULT_S, promises=True)
        assert result.violations == []
        assert result.own_failures > 0
        assert result.kept_ids > 0

    async def test_guarantees_hold_beside_changes(self, tmp_path: Path) -> None:
        result = await async_soak(CHANGES_SEED, tmp_path, FAULT_S, changing=True)
        assert result.violations == []
        assert result.changes > 0
