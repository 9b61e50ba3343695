"""Optional parts of the scheduling policy."""

from attrs import frozen


@frozen(kw_only=True)
class Features:
    """Optional parts of the scheduling policy, as the process's settings have them.

    Each also needs what it uses in the configuration.
    """

    fair_shares: bool = True
    stream_transfers: bool = True
    stream_backups: bool = True
    runner_pace: bool = True
    plain_grants: bool = True
    placement_deferral: bool = True
    drain_s: float = 3.0
    """Seconds for which a runner serves after its leaving is known."""
