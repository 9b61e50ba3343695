"""Limits of the requests that one gateway has at an upstream at once."""

from attrs import define

from .const import WINDOW_DECREASE, WINDOW_INCREASE, WINDOW_MIN_SCALE


@define(eq=False)
class Window:
    """The window of one gateway on one upstream.

    Every gateway has an even share of the upstream's running slots. It may also
    borrow an even share of the slots that were free at the last report, so that
    gateways that act on the same old report can't overload the upstream together.
    A rejection as busy shrinks the window; each success lets it grow a little.
    """

    size: int
    """Number of requests that the upstream runs at once."""

    shared: bool = True
    """Whether gateways share the size; hosts of plain services report no capacity,
    so each gateway finds its own limit there."""

    scale: float = 1.0
    """Factor on the size after rejections as busy."""

    dither: float = 0.0
    """Random value in [0, 1) that is added before rounding down.

    Without it each gateway would leave up to one slot unused."""

    reported_own: int = 0
    reported_free: int = 0
    """Requests of this gateway and free slots at the last report."""

    def compute(self, gateway_count: int) -> int:
        """Return the size of the window in requests, at least 1."""
        share = self.size / gateway_count if self.shared else float(self.size)
        borrowed = self.reported_own + self.reported_free / gateway_count
        window = min(float(self.size), max(share, borrowed)) * self.scale
        return max(1, int(window + self.dither))

    def apply_report(self, load: int, own: int) -> None:
        """Apply a load report, which includes `own` requests of this gateway."""
        self.reported_own = own
        self.reported_free = max(0, self.size - load)

    def clear_report(self) -> None:
        """Discard the last report and fall back to the even share."""
        self.reported_own = 0
        self.reported_free = 0

    def decrease(self) -> None:
        """Shrink the window after a rejection as busy."""
        self.scale = max(WINDOW_MIN_SCALE, self.scale * WINDOW_DECREASE)

    def increase(self) -> None:
        """Grow the window after a success."""
        if self.scale < 1.0:
            self.scale = min(1.0, self.scale + WINDOW_INCREASE)
