"""Services that the routes for streams have had recently."""

from collections.abc import Iterable

from attrs import define, field

from ...models.routing import Route, RouteKind

RouteKey = tuple[str, str]
"""Host and path prefix of a route."""


@define(eq=False)
class RouteServices:
    """The services of each route, and when a configuration last named them.

    A stream that began before its route was moved doesn't go on at the new service.
    """

    _named_at: dict[RouteKey, dict[str, float]] = field(factory=dict, init=False)

    def update(self, routes: Iterable[Route], now: float) -> None:
        """Record the services of the current routes.

        Args:
            routes: All routes.
            now: Time in seconds.
        """
        for route in routes:
            if route.kind is RouteKind.STREAMING:
                named_at = self._named_at.setdefault((route.host, route.prefix), {})
                named_at |= {each.service: now for each in route.shares}

    def list_recent(self, route: Route, since: float) -> tuple[str, ...]:
        """Return the services of a route, the current ones first.

        Args:
            route: The route as it is now.
            since: Time from which earlier services count as well.
        """
        current = tuple(each.service for each in route.shares)
        named_at = self._named_at.get((route.host, route.prefix), {})
        earlier = (
            each for each, at in named_at.items() if at >= since and each not in current
        )
        return (*current, *sorted(earlier))

    def list_moved(self) -> frozenset[str]:
        """Return the services of routes that have had several."""
        several = (each for each in self._named_at.values() if len(each) > 1)
        return frozenset(service for named_at in several for service in named_at)

    def forget(self, before: float) -> None:
        """Remove the services that were not named since a time."""
        self._named_at = {
            key: kept
            for key, named_at in self._named_at.items()
            if (kept := {each: at for each, at in named_at.items() if at >= before})
        }
