"""Events about plain services that are short of room."""

from .event_log import LogLevel, numbered


@numbered(475, LogLevel.WARNING)
class PlainShortageBegan:
    """A plain service is short of room; the scheduler grants its requests."""

    service: str
    runners: int
    slots: int
    """Slots of all its runners."""


@numbered(476, LogLevel.INFO)
class PlainShortageEnded:
    """A plain service has room again; edges choose its runners on their own."""

    service: str
    granted: int
    rejected: int
    seconds: float


@numbered(477, LogLevel.WARNING)
class PlainGrantUnanswered:
    """The scheduler did not answer in time, so the edge chose a plain runner itself."""

    service: str
    request_id: str
