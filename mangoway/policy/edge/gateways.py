"""Selection of the edges that a caller may use as its gateways."""

from collections.abc import Sequence
from random import Random

from ...models.fleet import Member
from .const import MAX_GATEWAYS, MIN_LOCAL_GATEWAYS


def choose_gateways(
    members: Sequence[Member], data_centre: str, random: Random
) -> list[Member]:
    """Return the edges for a caller in a data centre.

    Only those of its own data centre are returned if there are enough of them, since
    traffic between data centres costs money; otherwise those of all data centres.
    """
    local = [each for each in members if each.data_centre == data_centre]
    gateways = local if len(local) >= MIN_LOCAL_GATEWAYS else list(members)
    if len(gateways) > MAX_GATEWAYS:
        gateways = random.sample(gateways, MAX_GATEWAYS)
    return gateways
