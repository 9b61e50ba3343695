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
    PLAY_S,
    SUMMARY,
    Kind,
    MixedDay,
    ask_mixed,
    make_mixed,
    rate,
)

SEEDS = range(4)

AIM = 0.80
"""Share of the worth that users ask for on days with trouble."""

MOST_BEHIND = 0.15
"""By how much a kind may earn less of its worth than one that is less urgent."""

Played = tuple[DrawnWorld, dict[str, Kind]]
played: dict[int, Played] = {}


def play(seed: int) -> Played:
    """Return a day that was played; each is played once."""
    if seed not in played:
        day = MixedDay(seed=seed)
        world = make_mixed(day)
        kinds = ask_mixed(world, day)
        world.run(PLAY_S)
        played[seed] = world, kinds
    return played[seed]


class TestMixedWork:
    """What the callers of each kind and rank get."""

    def test_callers_get_what_is_aimed_at(self) -> None:
        shares = [rate(*play(seed), lambda grant_request, kind: True) for seed in SEEDS]
        assert sum(shares) / len(shares) >= AIM

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_kind_is_far_behind_a_less_urgent_one(self, seed: int) -> None:
        """Long prompts go first by their route, whoever their customers are."""
        shares = {
            each.name: rate(
                *play(seed), lambda grant_request, kind, one=each: kind is one
            )
            for each in KINDS
        }
        assert shares[SUMMARY.name] >= max(shares.values()) - MOST_BEHIND
        assert shares[CHAT.name] >= shares["patient"] - MOST_BEHIND

    def test_urgent_customers_get_more(self) -> None:
        shares = [
            sum(
                rate(
                    *play(seed),
                    lambda grant_request, kind, rank=rank: (
                        grant_request.priority == rank
                    ),
                )
                for seed in SEEDS
            )
            for rank in (0, 2)
        ]
        assert shares[0] > shares[1]
