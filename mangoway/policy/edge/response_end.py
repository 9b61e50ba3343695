"""Whether a response is complete whose end looks like that of a lost connection.

A response without a length or chunks ends with its connection. If the process of its
runner is killed, the kernel closes the connection as at a complete end. What can be
told apart is whether the process goes on.

A response counts as complete only if its runner proves to go on. A cut response that
looks complete breaks a guarantee and nobody notices it, while a complete one that
counts as cut costs a retry, or the failure of a request that must not be sent again.
"""

from enum import Enum

from attrs import frozen

from .const import MIN_RESTART_S


class ResponseEnd(Enum):
    """What is known about the end of a response."""

    FRAMED = "framed"
    """It had a length or chunks, so that its end is certain."""

    GOES_ON = "goes_on"
    """Its connection ended it, and the runner that sent it goes on."""

    ENDED = "ended"
    """The process of its runner has ended."""

    REPLACED = "replaced"
    """Another process answers at the address of its runner."""

    UNKNOWN = "unknown"
    """Nothing shows in time whether its runner goes on."""

    @property
    def is_complete(self) -> bool:
        """Return whether the response counts as complete."""
        return self in (ResponseEnd.FRAMED, ResponseEnd.GOES_ON)


class Probed(Enum):
    """What a new connection to the runner has shown."""

    KEPT_OPEN = "kept_open"
    CLOSED = "closed"
    """It was accepted and closed at once, as by a proxy or a runner without room."""

    REFUSED = "refused"
    SILENT = "silent"
    """It was neither accepted nor refused."""


@frozen(kw_only=True)
class EndProbe:
    """A new connection to a runner after the end of its response."""

    probed: Probed
    since_end_s: float
    """Longest time that may have passed from the end to the connection."""

    is_same: bool | None = None
    """Whether the process that answers is the runner; None if it did not say so."""


def judge_probe(probe: EndProbe) -> ResponseEnd | None:
    """Return what a probe shows about the end of a response; None for nothing.

    A refusal counts as the end of the process although a host that is cut off from all
    runners is refused as well: a cut rarely begins with an orderly end of a connection.
    """
    if probe.probed is Probed.REFUSED:
        return ResponseEnd.ENDED
    if probe.probed is not Probed.KEPT_OPEN:
        return None
    if probe.is_same is not None:
        return ResponseEnd.GOES_ON if probe.is_same else ResponseEnd.REPLACED
    return ResponseEnd.GOES_ON if probe.since_end_s < MIN_RESTART_S else None
