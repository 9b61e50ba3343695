"""Verdicts on whether a failed request has run at an upstream."""

from enum import Enum


class Verdict(Enum):
    """Knowledge about the execution of a request without a response."""

    NOT_RUN = "not_run"
    """It certainly did not run and will not run later."""

    MAY_HAVE_RUN = "may_have_run"
    """It may have run, partly or completely."""

    RAN = "ran"
    """It certainly ran, but its response could not be delivered."""

    def merge(self, other: "Verdict") -> "Verdict":
        """Return the verdict of a request with attempts of both verdicts."""
        if Verdict.RAN in (self, other):
            return Verdict.RAN
        if Verdict.MAY_HAVE_RUN in (self, other):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
