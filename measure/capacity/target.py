"""The size that the system must carry, and today's."""

import math
from typing import Final

from attrs import frozen


@frozen(kw_only=True)
class Deployment:
    """Size and demand of a deployment; rates are per second."""

    name: str
    nodes: int
    runners: int
    services: int
    data_centres: int
    cells: int
    """Groups of data centres with a controller each."""

    controllers_per_cell: int
    models: int
    artifacts: int
    """Models, versions and adapters that are offered."""

    requests_per_second: float
    tokens_per_second: float
    changes_per_day: float
    moves_per_second: float
    """Loads and unloads that a busy hour needs."""

    @property
    def nodes_per_cell(self) -> int:
        """Return the nodes of one cell, rounded up."""
        return math.ceil(self.nodes / self.cells)

    @property
    def runners_per_cell(self) -> int:
        """Return the runners of one cell, rounded up."""
        return math.ceil(self.runners / self.cells)

    @property
    def changes_per_second(self) -> float:
        """Return the configuration changes a second."""
        return self.changes_per_day / DAY_S

    @property
    def requests_per_node(self) -> float:
        """Return the requests that a node serves a second."""
        return self.requests_per_second / self.nodes

    @property
    def tokens_per_node(self) -> float:
        """Return the tokens that a node passes on a second."""
        return self.tokens_per_second / self.nodes


@frozen(kw_only=True)
class ControlBudget:
    """What control may cost on a node."""

    core_share: float
    memory_mb: float
    bytes_per_second: float


DAY_S: Final = 86_400.0
HOUR_S: Final = 3600.0

BUDGET: Final = ControlBudget(core_share=0.03, memory_mb=32.0, bytes_per_second=3000.0)

STORE_WRITES_PER_S: Final = 300.0
"""Writes a second of the key-value service; "several hundred" is taken as this."""

STORE_READS_PER_S: Final = 2000.0

CONFIGURATION_LIMIT_S: Final = 8.0
"""Time in which a change must be in force everywhere."""

REGIONS: Final = 11
HOSTS_FAILED_A_DAY: Final = 200
HOSTS_REPLACED_A_DAY: Final = 1500
RACK_HOSTS: Final = 40

TODAY: Final = Deployment(
    name="today",
    nodes=9,
    runners=6,
    services=3,
    data_centres=3,
    cells=1,
    controllers_per_cell=2,
    models=20,
    artifacts=95,
    requests_per_second=40.0,
    tokens_per_second=3000.0,
    changes_per_day=50.0,
    moves_per_second=0.1,
)
TARGET: Final = Deployment(
    name="target",
    nodes=2400,
    runners=12_000,
    services=0,
    data_centres=39,
    cells=39,
    controllers_per_cell=3,
    models=1400,
    artifacts=1400,
    requests_per_second=110_000.0,
    tokens_per_second=24_000_000.0,
    changes_per_day=36_000.0,
    moves_per_second=39 * 0.5,
)
