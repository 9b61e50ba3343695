"""How many requests one gateway may have at an upstream at once."""

from attrs import define

from .const import WINDOW_DECREASE, WINDOW_INCREASE, WINDOW_MIN_SCALE


@define(eq=False)
class Window:
    """The window of one gateway on one upstream.

    Every gateway has an even share of what the upstream runs at once. What others
    left free at the last report may be borrowed, each gateway an even part of it,
    so that all of them acting on the same old report can't overfill the upstream.
    A busy upstream shrinks the window; each success lets it grow a little.
    """

    size: int
    """Requests that the upstream runs at once."""

    shared: bool = True
    """Whether gateways share it; services say nothing of what they can take, so
    there each gateway finds its own limit."""

    scale: float = 1.0
    dither: float = 0.0
    """Drawn in [0, 1) and added before rounding down.

    Without it the gateways together would leave up to one slot each unused."""

    reported_own: int = 0
    reported_free: int = 0
    """Own requests and free slots at the last report."""

    def compute(self, gateways: int) -> int:
        """Return the window, at least one request."""
        share = self.size / gateways if self.shared else float(self.size)
        borrowed = self.reported_own + self.reported_free / gateways
        window = min(float(self.size), max(share, borrowed)) * self.scale
        return max(1, int(window + self.dither))

    def follow_report(self, load: int, own: int) -> None:
        """Take a load report, `own` requests of which are this gateway's."""
        self.reported_own = own
        self.reported_free = max(0, self.size - load)

    def forget_report(self) -> None:
        """Fall back to the even share."""
        self.reported_own = 0
        self.reported_free = 0

    def decrease(self) -> None:
        """React to a refusal as busy."""
        self.scale = max(WINDOW_MIN_SCALE, self.scale * WINDOW_DECREASE)

    def increase(self) -> None:
        """React to a success."""
        if self.scale < 1.0:
            self.scale = min(1.0, self.scale + WINDOW_INCREASE)
