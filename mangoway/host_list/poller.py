"""Reads the host list again and again, and keeps the last good one."""

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
    """Keeps the last good listing through outages of the list.

    An empty list after a filled one counts as an outage: losing every host at once
    is less likely than a list that lost its data.
    """

    def __init__(
        self,
        host_list: HostList,
        *,
        period_s: float,
        metrics: Metrics,
        on_change: Callable[[HostListing], None],
        source: random.Random | None = None,
    ) -> None:
        self.listing = HostListing()
        """Last good listing; empty before the first."""

        self._host_list = host_list
        self._period_s = period_s
        self._metrics = metrics
        self._on_change = on_change
        self._source = source or random.SystemRandom()
        self._read_at = asyncio.get_running_loop().time()

    async def async_run(self) -> None:
        """Read the list until cancelled; what goes wrong once does not end it."""
        while True:
            try:
                await self.async_poll()
            except Exception as error:
                log_event(TaskFailed(task="host list", error=repr(error)))
            jitter = self._source.uniform(-PERIOD_JITTER, PERIOD_JITTER)
            await asyncio.sleep(self._period_s * (1 + jitter))

    async def async_poll(self) -> None:
        """Read the list once; `on_change` is called if it says something else."""
        now = asyncio.get_running_loop().time()
        try:
            listing = await self._host_list.async_read()
        except MangowayError as error:
            self._keep(str(error), now)
            return
        if listing.is_empty and not self.listing.is_empty:
            self._keep("the list is empty", now)
            return
        self._read_at = now
        self._metrics.host_list_age.set(level=0.0)
        if listing != self.listing:
            self._change(listing)

    def _keep(self, error: str, now: float) -> None:
        age_s = now - self._read_at
        self._metrics.host_list_age.set(level=age_s)
        log_event(HostListUnavailable(error=error, age_s=age_s))

    def _change(self, listing: HostListing) -> None:
        self.listing = listing
        hosts = len(listing.upstreams) + len(listing.processes)
        log_event(HostListChanged(hosts=hosts, leaving=listing.count_leaving()))
        for reason in listing.skipped:
            log_event(HostEntrySkipped(reason=reason))
        self._on_change(listing)
