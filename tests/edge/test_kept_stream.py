"""Tests of a stream whose silent runner is kept."""

import asyncio
from unittest.mock import create_autospec

from mangoway.edge.attempt import Attempt
from mangoway.edge.kept_stream import KeptStream
from mangoway.models.runner import RunnerEntry
from mangoway.policy.edge.const import MAX_KEPT_SILENT_S


class TestTimer:
    """The time for which the runs of two runners may overlap."""

    async def test_second_connection_extends_no_overlap(self) -> None:
        kept = KeptStream(
            runner=create_autospec(RunnerEntry),
            attempt=create_autospec(Attempt),
            sent_at=0.0,
            first_event_at=None,
            may_end_limit=False,
        )
        expired = asyncio.Event()
        kept.start_timer(expired.set)
        await asyncio.sleep(MAX_KEPT_SILENT_S / 2)
        kept.start_timer(expired.set)
        await asyncio.sleep(MAX_KEPT_SILENT_S / 2 + 0.05)
        assert expired.is_set()
