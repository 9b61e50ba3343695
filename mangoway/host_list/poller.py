"""Periodic reads of the host list."""

import asyncio
import random
from collections.abc import Callable

from ..models.errors import MangowayError
from ..observability.event_log import log_event
from ..observability.events import (
    HostEntrySkipped,
    HostListChanged,
    HostListUnavailable,
    TaskFailed,
)
from ..observability.metrics import Metrics
from .const import PERIOD_JITTER
from .listing import HostList, HostListing


class HostListPoller:
    """Polls the host list and keeps the last good listing during outages.

    An empty list after a non-empty one counts as an outage, since it is less likely
    that all hosts are gone at once than that the list lost its data.
    """

    def __init__(
        self,
        host_list: HostList,
        *,
        period_s: float,
        metrics: Metrics,
        on_change: Callable[[HostListing], None],
        random_source: random.Random | None = None,
    ) -> None:
        self.listing = HostListing()
        """Last good listing; empty before the first successful read."""

        self._host_list = host_list
        self._period_s = period_s
        self._metrics = metrics
        self._on_change = on_change
        self._random = random_source or random.SystemRandom()
        self._last_read_at = asyncio.get_running_loop().time()

    async def async_run(self) -> None:
        """Read the list periodically until cancelled; errors do not end the polling."""
        while True:
            try:
                await self.async_poll()
            except Exception as error:
                log_event(TaskFailed(task="host list", error=repr(error)))
            jitter = self._random.uniform(-PERIOD_JITTER, PERIOD_JITTER)
            await asyncio.sleep(self._period_s * (1 + jitter))

    async def async_poll(self) -> None:
        """Read the list once; `on_change` is called if it changed."""
        now = asyncio.get_running_loop().time()
        try:
            listing = await self._host_list.async_read()
        except MangowayError as error:
            self._report_unavailable(str(error), now)
            return
        if listing.is_empty and not self.listing.is_empty:
            self._report_unavailable("the list is empty", now)
            return
        self._last_read_at = now
        self._metrics.host_list_age.set(level=0.0)
        if listing != self.listing:
            self._apply(listing)

    def _report_unavailable(self, error: str, now: float) -> None:
        age_s = now - self._last_read_at
        self._metrics.host_list_age.set(level=age_s)
        log_event(HostListUnavailable(error=error, age_s=age_s))

    def _apply(self, listing: HostListing) -> None:
        self.listing = listing
        hosts = len(listing.upstreams) + len(listing.processes)
        log_event(HostListChanged(hosts=hosts, leaving=listing.count_leaving()))
        for reason in listing.skipped:
            log_event(HostEntrySkipped(reason=reason))
        self._on_change(listing)
