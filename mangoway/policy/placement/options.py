"""Mechanisms of placement that can be disabled."""

from attrs import frozen


@frozen(kw_only=True)
class PlacementOptions:
    """Switches for comparisons; every mechanism is enabled by default."""

    hysteresis: bool = True
    """Require a larger gain and a minimum residence time before an eviction."""

    demand_copies: bool = True
    """Load copies above the floors where demand justifies them."""

    make_room: bool = True
    """Evict copies above the floors to make room for copies for demand."""

    move_price: bool = True
    """Subtract the site's price of a move from the gain of each move."""
