"""Events of the sharing of capacity between customers."""

from .event_log import LogLevel, numbered


@numbered(463, LogLevel.INFO)
class SharesSummed:
    """Use of a service's runners by customers since the last summary, most first."""

    service: str
    shares: tuple[str, ...]
    """One line per customer: used share / fair share of the runner time, runner
    seconds, waiting requests, and whether it is above or below its fair share."""
