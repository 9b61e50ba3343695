"""Decides how a silent runner is left for another one."""

from collections.abc import Iterable, Set

from ...models.routing import Route, RouteKind, ServiceProfile


def keeps_silent_runner(route: Route, service: ServiceProfile, events: int) -> bool:
    """Return whether a silent runner is kept until another one accepts its request.

    The other runner may reject the request, without credit or time for a further one.
    A caller that has a part of the stream would then lose it, although its first runner
    may go on. Without events a failure has a status, and the silent runner is left at
    once to free its room. Runners without an engine send whole responses.

    Args:
        route: Route of the request.
        service: Service of the runner.
        events: Events that the caller has.
    """
    is_stream = route.kind is RouteKind.STREAMING and service.engine is not None
    return is_stream and events > 0


def list_searches(
    tried: Set[str], rejecting: Iterable[str], max_attempts: int
) -> list[set[str]]:
    """Return the runners that each search for a silent one's request excludes.

    Runners without the request are searched first, if it may be sent to a further one.
    If there is none, it may be sent again to those that rejected it, which can have
    room by now.

    Args:
        tried: Runners that the request was sent to, including the silent one.
        rejecting: Runners that rejected the request without running it.
        max_attempts: Largest number of runners that the request is sent to.
    """
    not_rejecting = set(tried) - set(rejecting)
    if len(tried) >= max_attempts or not_rejecting == tried:
        return [not_rejecting]
    return [set(tried), not_rejecting]
