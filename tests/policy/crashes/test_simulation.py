"""Simulated fleets with repeated crashes: most harmless requests must be served.

Without blocking, edges and callers send a request that crashes runners again and again,
until hardly any runner is up.

Number of harmless requests that were served, in ten random fleets of 6 hosts and 6
runners, one minute each:

| simulation | without blocking | with blocking | blocked though harmless |
|---|---|---|---|
| two requests that crash runners | 2,245 of 27,148 | 24,377 of 26,893 | 1 |
| four of them, callers with five attempts | 264 of 26,856 | 22,704 of 26,827 | 10 |
| one kill every two seconds | 26,049 of 26,864 | 25,991 of 26,825 | 0 |
| one kill per second, half of the requests equal | 25,689 of 26,967 | the same | 0 |
| one kill per second and four such requests | 434 of 27,123 | 17,586 of 26,998 | 128 |

Two fleets of 195 hosts and 59 runners for 20 s, with six such requests and one kill
every two seconds: 1,517 of 4,049 without blocking, 3,705 of 4,026 with it, none blocked
though harmless.
"""

from typing import Any

import pytest

from .simulation import CrashSimulation

SEEDS = range(3)
MAX_LATE_RUNS = 3
"""Runs of a crashing request that operators allow once all processes may have the
statements."""

MAX_BLOCKED_SHARE = 0.005
"""Share of the harmless requests that may be blocked while one of six runners is killed
every two seconds; one in twenty is lost then for lack of runners."""

SIMULATIONS: dict[str, dict[str, Any]] = {
    "two": {"crashing": 2},
    "four": {"crashing": 4, "crashing_each_s": 0.7, "retries": 4},
    "kills": {"crashing": 0, "kills_each_s": 2.0, "retries": 4},
    "kills_and_four": {"crashing": 4, "kills_each_s": 1.0, "retries": 4},
    "large": {
        "edges": 195,
        "runners": 59,
        "rate": 100.0,
        "crashing": 6,
        "kills_each_s": 2.0,
        "until_s": 20.0,
    },
}


PART_SIMULATIONS: dict[str, dict[str, Any]] = {
    "part": {"crashing_part_each_s": 0.2},
    "part_and_kills": {"crashing_part_each_s": 0.2, "kills_each_s": 2.0},
    "kills": {"kills_each_s": 2.0},
}


@pytest.mark.parametrize("seed", SEEDS)
class TestPartSimulations:
    """Fleets in which a part of prompts crashes runners, and harmless ones are shared.

    Without blocking, 336 of 10,783 harmless requests are served in four such fleets.
    """

    @pytest.mark.parametrize("parts", [0, 100, 2000])
    @pytest.mark.parametrize("simulation", PART_SIMULATIONS)
    def test_crashing_part_is_blocked_in_time(
        self, simulation: str, parts: int, seed: int
    ) -> None:
        fields = PART_SIMULATIONS[simulation]
        results = CrashSimulation(seed=seed, parts=parts, crashing=0, **fields).run()
        assert all(each <= MAX_LATE_RUNS for each in results.late_runs.values())
        assert results.blocked_unserved <= MAX_BLOCKED_SHARE * results.requests
        assert results.served > 0.8 * results.requests

    def test_harmless_parts_stay_free_from_the_start(self, seed: int) -> None:
        """Edges that have just started have not seen which parts are harmless."""
        simulation = CrashSimulation(
            seed=seed,
            parts=100,
            crashing=0,
            crashing_part_each_s=0.2,
            crashing_part_from_s=1.0,
        )
        results = simulation.run()
        assert results.blocked_unserved <= MAX_BLOCKED_SHARE * results.requests


@pytest.mark.parametrize("seed", SEEDS)
class TestSimulations:
    """Fleets of 6 and of 195 hosts with crashing runners."""

    @pytest.mark.parametrize("simulation", SIMULATIONS)
    def test_crashing_requests_are_blocked_in_time(
        self, simulation: str, seed: int
    ) -> None:
        results = CrashSimulation(seed=seed, **SIMULATIONS[simulation]).run()
        assert all(each <= MAX_LATE_RUNS for each in results.late_runs.values())

    @pytest.mark.parametrize("simulation", SIMULATIONS)
    def test_only_requests_with_three_crashes_are_blocked(
        self, simulation: str, seed: int
    ) -> None:
        results = CrashSimulation(seed=seed, **SIMULATIONS[simulation]).run()
        assert results.blocked_early == 0

    def test_equal_requests_that_are_served_are_never_blocked(self, seed: int) -> None:
        simulation = CrashSimulation(
            seed=seed,
            crashing=0,
            kills_each_s=1.0,
            retries=4,
            equal_share=0.5,
            work_s=0.1,
        )
        assert simulation.run().blocked == 0

    def test_kills_alone_block_few_harmless_requests(self, seed: int) -> None:
        """Each was interrupted by three or more kills; callers make five attempts."""
        results = CrashSimulation(seed=seed, **SIMULATIONS["kills"]).run()
        assert results.blocked_unserved <= MAX_BLOCKED_SHARE * results.requests

    @pytest.mark.parametrize("simulation", ["two", "four"])
    def test_blocking_serves_most_where_few_were_served(
        self, simulation: str, seed: int
    ) -> None:
        with_blocking = CrashSimulation(seed=seed, **SIMULATIONS[simulation]).run()
        without_blocking = CrashSimulation(
            seed=seed, blocking=False, **SIMULATIONS[simulation]
        ).run()
        assert without_blocking.served < 0.5 * without_blocking.requests
        assert with_blocking.served > 0.7 * with_blocking.requests
