"""Events about the pace of runners."""

from .event_log import LogLevel, numbered


@numbered(470, LogLevel.INFO)
class RunnerPacesSummed:
    """Learned paces of a service's runners, the slowest first, while this one leads."""

    service: str
    event_ms: float
    """Milliseconds between two events of a stream at a runner of pace 1."""

    slow_moments: int
    """Slow moments that first events have shown since the start."""

    held_prompts: int
    """Prompts that waited so as not to delay running streams since the start."""

    runners: tuple[str, ...]
    """Runner, its pace and its relative standard error."""
