"""Plays fleets with many models, few places, and urgent and patient work together.

Streams keep some 0.5 of the slots and reading some 0.2 of the runners' time, so that an
ideal scheduler that knows which model comes next serves all in time: the bound is 1.
What is lost below it are loads of four seconds for models that nobody asked for before.
"""

import pytest

from .drawn import DrawnWorld
from .mixed import (
    CHAT,
    KINDS,
    SIMULATION_S,
    SUMMARY,
    MixedWorkload,
    RequestKind,
    add_mixed_requests,
    compute_share,
    make_mixed,
)

SEEDS = range(4)

TARGET_SHARE = 0.80
"""Share of the worth that users ask for on days with trouble."""

MAX_DEFICIT = 0.15
"""By how much a kind may earn less of its worth than one that is less urgent."""

Simulation = tuple[DrawnWorld, dict[str, RequestKind]]
simulations: dict[int, Simulation] = {}


def simulate(seed: int) -> Simulation:
    """Return a day that was played; each is played once."""
    if seed not in simulations:
        workload = MixedWorkload(seed=seed)
        world = make_mixed(workload)
        kinds = add_mixed_requests(world, workload)
        world.run(SIMULATION_S)
        simulations[seed] = world, kinds
    return simulations[seed]


class TestMixedWork:
    """What the callers of each kind and rank get."""

    def test_callers_get_what_is_aimed_at(self) -> None:
        shares = [
            compute_share(*simulate(seed), lambda grant_request, kind: True)
            for seed in SEEDS
        ]
        assert sum(shares) / len(shares) >= TARGET_SHARE

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_kind_is_far_behind_a_less_urgent_one(self, seed: int) -> None:
        """Long prompts go first by their route, whoever their customers are."""
        shares = {
            each.name: compute_share(
                *simulate(seed), lambda grant_request, kind, one=each: kind is one
            )
            for each in KINDS
        }
        assert shares[SUMMARY.name] >= max(shares.values()) - MAX_DEFICIT
        assert shares[CHAT.name] >= shares["patient"] - MAX_DEFICIT

    def test_urgent_customers_get_more(self) -> None:
        shares = [
            sum(
                compute_share(
                    *simulate(seed),
                    lambda grant_request, kind, rank=rank: (
                        grant_request.priority == rank
                    ),
                )
                for seed in SEEDS
            )
            for rank in (0, 2)
        ]
        assert shares[0] > shares[1]
