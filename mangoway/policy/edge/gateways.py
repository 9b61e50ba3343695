"""Chooses the gateways that a caller is told to use."""

from collections.abc import Sequence
from random import Random

from ...models.fleet import Member
from .const import MAX_NAMED, MIN_SAME_ZONE


def choose_gateways(
    members: Sequence[Member], data_centre: str, random: Random
) -> list[Member]:
    """Return the gateways to name to a caller in a data centre.

    Those of its own data centre are named if there are enough of them, since traffic
    between data centres costs; else all are.
    """
    same = [each for each in members if each.data_centre == data_centre]
    named = same if len(same) >= MIN_SAME_ZONE else list(members)
    if len(named) > MAX_NAMED:
        named = random.sample(named, MAX_NAMED)
    return named
