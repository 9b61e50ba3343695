"""Mechanisms of placement that can be taken out."""

from attrs import frozen


@frozen(kw_only=True)
class PlacementOptions:
    """Switches for measurements; every mechanism is on by default."""

    hysteresis: bool = True
    """Ask for a larger gain, and a minimum residence, before an eviction."""

    demand_copies: bool = True
    """Load copies above the floors where demand pays for them."""

    make_room: bool = True
    """Evict copies above the floors to make room."""

    move_price: bool = True
    """Charge each move with the price of the site."""
