"""Index of the runners that hold each model, or have its weights locally.

The runners' states keep it up to date, so that a decision about a few runners need not
examine all of them.
"""

from typing import Final

from attrs import define, field

NO_RUNNERS: Final[dict[str, None]] = {}
"""Locations of a model that no runner has."""


@define(eq=False)
class ModelLocations:
    """Ids of the runners that have each model, in the order in which they got it."""

    _runners: dict[str, dict[str, None]] = field(factory=dict, init=False)

    def add(self, model: str, runner_id: str) -> None:
        """Add a runner that has a model."""
        self._runners.setdefault(model, {})[runner_id] = None

    def remove(self, model: str, runner_id: str) -> None:
        """Remove a runner that no longer has a model."""
        runners = self._runners.get(model)
        if runners is None:
            return
        runners.pop(runner_id, None)
        if not runners:
            del self._runners[model]

    def replace(
        self, before: frozenset[str], after: frozenset[str], runner_id: str
    ) -> None:
        """Replace the models of a runner, given the ones that it had before."""
        for model in before - after:
            self.remove(model, runner_id)
        for model in sorted(after - before):
            self.add(model, runner_id)

    def get(self, model: str) -> dict[str, None]:
        """Return the ids of the runners that have a model; must not be modified."""
        return self._runners.get(model, NO_RUNNERS)


@define(eq=False)
class CopyIndex:
    """Copies of the models of one service."""

    loaded: ModelLocations = field(factory=ModelLocations, init=False)
    """Runners that hold a model or are loading it."""

    in_host_memory: ModelLocations = field(factory=ModelLocations, init=False)
    on_disk: ModelLocations = field(factory=ModelLocations, init=False)
