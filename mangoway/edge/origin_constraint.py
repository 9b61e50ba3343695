"""Which runners may write the rest of a stream."""

from collections.abc import Collection

from attrs import define

from ..coordination.view import FleetView
from ..models.runner import RunnerEntry
from ..models.streams import StreamOrigin


@define(eq=False)
class OriginConstraint:
    """The runners that fit the origin of one stream."""

    view: FleetView
    service: str
    """Service that the request is sent to."""

    origin: StreamOrigin | None = None
    """What wrote the first event; None while there is none, so that any runner fits."""

    @property
    def software_version(self) -> str:
        """Return the only version that fits; empty if it excludes no runner."""
        if self.origin is None:
            return ""
        version = self.origin.software_version
        return version if self.view.has_other_version(self.service, version) else ""

    @property
    def is_satisfiable(self) -> bool:
        """Return whether any runner that accepts requests fits.

        A service without any runner may get some back soon.
        """
        if self.origin is None or self.list_fitting():
            return True
        return not self.view.list_runners(self.service)

    def fits(self, runner: RunnerEntry) -> bool:
        """Return whether a runner may write the rest of the stream."""
        return self.origin is None or self.view.may_continue(self.origin, runner)

    def list_fitting(self, only: Collection[str] = ()) -> tuple[str, ...]:
        """Return the runners of the service that fit and accept requests.

        Args:
            only: The only runners to choose from; empty for all.
        """
        return tuple(
            each.runner_id
            for each in self.view.list_runners(self.service)
            if self.fits(each) and (not only or each.runner_id in only)
        )

    def find_only_runner(self) -> str | None:
        """Return the runner that alone fits, since it states no version; or None."""
        origin = self.origin
        if origin is None or origin.software_version:
            return None
        if not self.view.states_versions(origin.service):
            return None
        return origin.runner_id
