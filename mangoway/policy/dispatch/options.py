"""Options of the dispatch core."""

from attrs import frozen

from ...models.identifiers import DataCentreId
from .const import CHOICE_CANDIDATES


@frozen(kw_only=True)
class DispatchOptions:
    """Location and clock of the process, and switches for single mechanisms."""

    data_centre: DataCentreId | None = None
    """Data centre of this gateway; upstreams elsewhere get a higher cost."""

    clock_offset_s: float = 0.0
    """Unix time at which the core's clock is zero, for issue times of keys."""

    candidates: int = CHOICE_CANDIDATES
    """Number of random upstreams that are compared for each attempt."""

    prefix_affinity: bool = True
    windows: bool = True
    retry_budget: bool = True
    breakers: bool = True
    fair_share: bool = True
    patient_reserve: bool = True
    patient_headroom: bool = True
    """Keep part of each upstream free of patient requests that have slack."""

    early_rejection: bool = True
    """Reject requests whose estimated wait is too long, before they expire."""

    preemption: bool = False
    """Cancel patient requests, and resume them later, to start urgent ones."""
