"""Tests of the watch of the event loop."""

import asyncio
import io
import json
import time

from mangoway.observability.event_log import LogLevel, start_log
from mangoway.observability.metrics import Metrics
from mangoway.util.loop_watch import LOG_FROM_S, PERIOD_S, async_watch_loop


class TestWatchLoop:
    """A process that was paused."""

    async def test_pause_is_logged(self) -> None:
        stream = io.StringIO()
        stop = start_log(LogLevel.INFO, host="h", role="gateway", stream=stream)
        task = asyncio.ensure_future(async_watch_loop(Metrics()))
        await asyncio.sleep(0)
        time.sleep(PERIOD_S + LOG_FROM_S)  # noqa: ASYNC251 - the pause itself
        await asyncio.sleep(0.01)
        task.cancel()
        stop()
        lines = map(json.loads, stream.getvalue().splitlines())
        assert [line["event"] for line in lines] == [106]
