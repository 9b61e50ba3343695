"""What the failures of a day cost, and how long they take to mend."""

from collections.abc import Sequence

from attrs import frozen

from mangoway.daemons.const import SILENT_AFTER_S
from mangoway.operators.const import MAX_DELTAS_READ
from mangoway.policy.configuration.const import (
    LONGEST_BACKOFF_S,
    PULL_DELAY_S,
    RELAY_READ_S,
    RELAYS,
)
from mangoway.policy.membership.const import SILENCE_S

from .figures import Figures
from .target import (
    HOSTS_FAILED_A_DAY,
    HOSTS_REPLACED_A_DAY,
    RACK_HOSTS,
    REGIONS,
    TARGET,
)

CUT_S = 300.0
"""Length of a cut between regions."""

MB = 1_000_000
NODE_SHARE = TARGET.nodes / (TARGET.nodes + TARGET.runners)
MEETINGS_PER_S = 2.0
"""Exchanges of a node a second, begun or answered."""


@frozen(kw_only=True)
class FailureRow:
    """One kind of failure."""

    failure: str
    how_often: str
    messages: str
    recovery: str
    mechanism: str


def list_failures(figures: Figures) -> Sequence[FailureRow]:
    """Return the failures of a day with what they cost."""
    return (
        _make_runner_lost(figures),
        _make_node_lost(figures),
        _make_replaced(figures),
        _make_rack(figures),
        _make_data_centre(),
        _make_region(figures),
    )


def _make_runner_lost(figures: Figures) -> FailureRow:
    repair = figures.repairs[1]
    lost = HOSTS_FAILED_A_DAY * (1 - NODE_SHARE)
    return FailureRow(
        failure="a runner fails",
        how_often=f"{lost:.0f} a day, {lost / TARGET.cells:.1f} in a cell",
        messages=f"{repair.orders} orders, {repair.writes} ledger writes",
        recovery=f"{SILENT_AFTER_S:g} s until it counts as silent, then"
        f" {repair.seconds:.1f} s until each model that it alone had is ready elsewhere"
        " (3 s a load); models with another copy wait for nothing",
        mechanism="daemons/engine_poller, policy/placement/floors",
    )


def _make_node_lost(figures: Figures) -> FailureRow:
    lost = HOSTS_FAILED_A_DAY * NODE_SHARE
    return FailureRow(
        failure="a node fails",
        how_often=f"{lost:.0f} a day, {lost / TARGET.cells:.1f} in a cell",
        messages="none beside heartbeats; the others share its runners' reports anew",
        recovery=f"{SILENCE_S:g} s until the others count it as gone; callers go to"
        " another address at once, and within the validity of their answer (5 s)"
        " learn of it; keys that it is the home of are refused, as nobody knows whether"
        " they ran",
        mechanism="policy/membership/table, policy/dispatch/homes",
    )


def _make_replaced(figures: Figures) -> FailureRow:
    nodes, runners = TARGET.nodes_per_cell, TARGET.runners_per_cell
    first = figures.predict("digest_first_bytes", runners)
    nodes_a_day = HOSTS_REPLACED_A_DAY * NODE_SHARE
    per_node = nodes_a_day / TARGET.cells * 2 * first / 86_400
    whole = first * (nodes - 1) / MB
    return FailureRow(
        failure="hosts restarted or replaced",
        how_often=f"{HOSTS_REPLACED_A_DAY} a day, {nodes_a_day:.0f} of them nodes,"
        f" {nodes_a_day / TARGET.cells:.1f} in a cell",
        messages=f"{first / 1000:.0f} KB to each of {nodes - 1} peers at the first"
        f" meeting, {whole:.1f} MB in all: {first * MEETINGS_PER_S / 1000:.0f} KB/s for"
        " the first minute or so of a node, above its 3 KB/s;"
        f" {per_node:.0f} B/s for each node over the day",
        recovery="a planned stop hands its keys over and cuts off nothing; a runner is"
        " emptied as it leaves, copies elsewhere are ready before",
        mechanism="peers/heartbeat, daemons/key_hand_over, policy/placement/planner",
    )


def _make_rack(figures: Figures) -> FailureRow:
    repair = figures.repairs[RACK_HOSTS]
    return FailureRow(
        failure=f"a rack: {RACK_HOSTS} runners of a cell at once",
        how_often="one a week",
        messages=f"{repair.orders} orders, {repair.writes} ledger writes"
        f" ({repair.writes / repair.seconds:.0f} a second)",
        recovery=f"{SILENT_AFTER_S:g} s, then {repair.seconds:.0f} s with 20 loads at"
        f" once; the controller uses {repair.core_share:.0%} of a core meanwhile. At a"
        " weight store's 2 loads a second it takes"
        f" {repair.orders / 2:.0f} s, callers of the lost models wait or are told when"
        " to come back",
        mechanism="policy/placement/load_queue, policy/placement/planner",
    )


def _make_data_centre() -> FailureRow:
    others = TARGET.data_centres - 1
    return FailureRow(
        failure="a data centre is lost",
        how_often="once or twice a year",
        messages="none between cells: each cell has its own lease, ledgers and members",
        recovery=f"callers turn to their other addresses; each of {others} others gets"
        f" {1 / others:.1%} more, if spread evenly. Every cell holds every model, so"
        " nothing has to be loaded to stay reachable; copies for demand follow within"
        " seconds",
        mechanism="policy/membership/addresses, policy/placement/demand",
    )


def _make_region(figures: Figures) -> FailureRow:
    missed = TARGET.changes_per_second * CUT_S
    bundle = figures.predict("bundle_bytes", TARGET.models)
    document = figures.predict("document_bytes", TARGET.models)
    centres = TARGET.data_centres / REGIONS
    slowest = figures.predict("edit_slowest", TARGET.nodes_per_cell)
    whole = RELAY_READ_S + LONGEST_BACKOFF_S + PULL_DELAY_S + slowest
    return FailureRow(
        failure=f"a region is cut off for {CUT_S / 60:.0f} minutes",
        how_often="several times a year",
        messages=f"{missed:.0f} changes missed, more than the {MAX_DELTAS_READ} that"
        f" are read singly: {RELAYS * centres:.0f} relays read {document / 1000:.0f} KB"
        f" each, peers send {bundle / 1000:.1f} KB on to each process",
        recovery="meanwhile no move (ledgers can't be written) and no newer"
        " configuration; callers are served from what is resident. After the cut"
        f" {whole:.1f} s at most until the newest version is in force",
        mechanism="policy/configuration/core, operators/follower",
    )
