"""Which runners of a service hold each model, and which have its weights near.

Kept up to date by the runners themselves, so that no decision has to look through all
runners for the few that it is about.
"""

from typing import Final

from attrs import define, field

NO_RUNNERS: Final[dict[str, None]] = {}
"""The runners with a model that none has."""


@define(eq=False)
class ModelLocations:
    """Ids of the runners that have each model, in the order in which they got it."""

    _runners: dict[str, dict[str, None]] = field(factory=dict, init=False)

    def add(self, model: str, runner_id: str) -> None:
        """Note that a runner has a model."""
        self._runners.setdefault(model, {})[runner_id] = None

    def remove(self, model: str, runner_id: str) -> None:
        """Note that a runner no longer has a model."""
        runners = self._runners.get(model)
        if runners is None:
            return
        runners.pop(runner_id, None)
        if not runners:
            del self._runners[model]

    def replace(
        self, before: frozenset[str], after: frozenset[str], runner_id: str
    ) -> None:
        """Note which models a runner has now, given those that it had."""
        for model in before - after:
            self.remove(model, runner_id)
        for model in sorted(after - before):
            self.add(model, runner_id)

    def get(self, model: str) -> dict[str, None]:
        """Return the ids of the runners that have a model; not to be changed."""
        return self._runners.get(model, NO_RUNNERS)


@define(eq=False)
class CopyIndex:
    """The copies of one service's models."""

    loaded: ModelLocations = field(factory=ModelLocations, init=False)
    """Runners that hold a model, or are loading it."""

    in_host_memory: ModelLocations = field(factory=ModelLocations, init=False)
    on_disk: ModelLocations = field(factory=ModelLocations, init=False)
