"""Metrics of plain services that are short of room."""

from collections.abc import Mapping
from typing import Final

from attrs import define, field

from ..observability.metrics import Metrics
from ..policy.plain.service import PlainService

GRANTED: Final = "granted"
REJECTED: Final = "rejected"
"""Values of the metric label for the result of a request."""


@define(eq=False)
class PlainMetrics:
    """Counts grants and rejections, and shows the queues and the assumed room."""

    metrics: Metrics
    _rooms: dict[str, set[str]] = field(factory=dict, init=False)
    """Runners of each service whose room is shown."""

    _counted: dict[str, tuple[int, int]] = field(factory=dict, init=False)
    """Grants and rejections of each service that were counted already."""

    def update(self, services: Mapping[str, PlainService]) -> None:
        """Show the queues and the rooms of the services that are short of room."""
        for name, service in services.items():
            self._count(service)
            self.metrics.plain_waiting.set(name, level=len(service.queue))
            known = self._rooms.setdefault(name, set())
            for runner_id in known - set(service.runners):
                self.metrics.plain_room.drop(name, runner_id)
            for runner_id, runner in service.runners.items():
                self.metrics.plain_room.set(name, runner_id, level=runner.room)
            known.clear()
            known.update(service.runners)

    def drop(self, service: PlainService) -> None:
        """Remove a service that has room again."""
        self._count(service)
        self._counted.pop(service.name, None)
        self.metrics.plain_waiting.drop(service.name)
        for runner_id in self._rooms.pop(service.name, set()):
            self.metrics.plain_room.drop(service.name, runner_id)

    def _count(self, service: PlainService) -> None:
        granted, rejected = self._counted.get(service.name, (0, 0))
        self._counted[service.name] = (service.granted, service.rejected)
        add = self.metrics.plain_grants.add
        add(service.name, GRANTED, amount=service.granted - granted)
        add(service.name, REJECTED, amount=service.rejected - rejected)
