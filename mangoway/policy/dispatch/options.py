"""Options of the dispatch core."""

from attrs import frozen

from ...models.identifiers import DataCentreId
from .const import CHOICE_CANDIDATES


@frozen(kw_only=True)
class DispatchOptions:
    """Place and clock of the process, and switches that take out mechanisms."""

    data_centre: DataCentreId | None = None
    """Own data centre; upstreams elsewhere cost a little more."""

    clock_offset_s: float = 0.0
    """Unix time at which the clock of the core reads zero, for issue times in keys."""

    candidates: int = CHOICE_CANDIDATES
    """Random upstreams that are compared for each attempt."""

    prefix_affinity: bool = True
    windows: bool = True
    retry_budget: bool = True
    breakers: bool = True
    fair_share: bool = True
    patient_reserve: bool = True
    patient_headroom: bool = True
    """Leave part of each upstream open for urgent work while patient work has slack."""

    early_refusal: bool = True
    preemption: bool = False
    """Cancel patient streams, and resume them later, to let urgent work in."""
