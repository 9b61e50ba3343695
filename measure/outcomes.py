"""Outcomes of the requests of a run."""

from attrs import define, field

from mangoway.models.errors import ErrorCode
from mangoway.models.request import ServiceCall, WorkClass

from .demand import Arrival


@define(kw_only=True)
class Outcome:
    """Outcome of one arrival as observed by its caller."""

    arrival: Arrival
    first_token_at: float | None = None
    finished_at: float | None = None
    rejections: list[ErrorCode] = field(factory=list)
    """Errors of the attempts that were rejected, or whose gateway failed."""

    attempts: int = 0

    @property
    def is_met(self) -> bool:
        """Return whether the request met its deadline and its first-token target."""
        if self.finished_at is None or self.finished_at > self.arrival.deadline:
            return False
        due = self.arrival.first_token_deadline
        if due is None:
            return True
        return self.first_token_at is not None and self.first_token_at <= due

    @property
    def is_call(self) -> bool:
        """Return whether the request is a call of a plain service."""
        return isinstance(self.arrival.target, ServiceCall)

    @property
    def is_urgent(self) -> bool:
        """Return whether the request has the urgent work class."""
        return self.arrival.work_class is WorkClass.URGENT

    @property
    def first_token_s(self) -> float | None:
        """Return the time to first token; None if no token was received."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.time
