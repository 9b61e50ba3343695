"""Calls of the key-value service by kind, today and at the target size."""

from collections.abc import Sequence

from attrs import fields_dict, frozen

from mangoway.daemons.const import LEASE_RENEWALS
from mangoway.key_value.const import WATCH_PROGRESS_S
from mangoway.policy.configuration.const import OTHER_READ_S, RELAY_READ_S, RELAYS
from mangoway.settings.process import ControllerSettings

from .figures import Figures
from .roles import KEYED_SHARE
from .target import HOUR_S, Deployment

PLAIN_SHARE = 0.0
"""Part of the keyed requests whose key names no home; 0 as callers are told."""


@frozen(kw_only=True)
class CallRate:
    """Calls of one kind a second."""

    kind: str
    mechanism: str
    reads: float = 0.0
    writes: float = 0.0

    @property
    def per_hour(self) -> float:
        """Return the calls an hour."""
        return (self.reads + self.writes) * HOUR_S


def find_lease_s() -> float:
    """Return the time for which a controller takes the lease by default."""
    default = fields_dict(ControllerSettings)["lease_s"].default
    assert isinstance(default, float)
    return default


def list_calls(figures: Figures, deployment: Deployment) -> Sequence[CallRate]:
    """Return the calls of a deployment by kind."""
    nodes_per_dc = deployment.nodes / deployment.data_centres
    relays = min(RELAYS, nodes_per_dc) * deployment.data_centres
    others = max(0.0, deployment.nodes - relays)
    edits = deployment.changes_per_second
    reads_per_edit = figures.predict("edit_reads", nodes_per_dc)
    lease = deployment.cells * LEASE_RENEWALS / find_lease_s()
    keyed = deployment.requests_per_second * KEYED_SHARE
    per_move = figures.repairs[1].writes / figures.repairs[1].orders
    return (
        CallRate(
            kind="leases renewed",
            mechanism="daemons/lease",
            writes=lease,
        ),
        CallRate(
            kind="leases tried by standby controllers",
            mechanism="daemons/lease, key_value/etcd_lease",
            reads=lease * (deployment.controllers_per_cell - 1),
        ),
        CallRate(
            kind="watches of the head: questions for progress",
            mechanism="key_value/etcd_watch, policy/configuration/relays",
            reads=relays / WATCH_PROGRESS_S,
        ),
        CallRate(
            kind="head read by relays",
            mechanism="policy/configuration/core",
            reads=relays / RELAY_READ_S,
        ),
        CallRate(
            kind="head read by all others",
            mechanism="policy/configuration/core",
            reads=others / OTHER_READ_S,
        ),
        CallRate(
            kind="edits read by relays",
            mechanism="operators/follower",
            reads=edits * reads_per_edit * deployment.data_centres,
        ),
        CallRate(
            kind="edits committed",
            mechanism="operators/repository",
            reads=edits,
            writes=edits,
        ),
        CallRate(
            kind=f"ledgers: {per_move:.0f} writes a move,"
            f" {deployment.moves_per_second:g} moves a second",
            mechanism="daemons/ledger_store, policy/placement/reservations",
            writes=deployment.moves_per_second * per_move,
        ),
        CallRate(
            kind="claims of plain keys (keys with a home need none)",
            mechanism="daemons/claims, policy/dispatch/keys",
            writes=keyed * PLAIN_SHARE,
        ),
    )
