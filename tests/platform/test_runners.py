"""Tests of the control API of runners, some of which send extra responses."""

from mangoway.platform.runners import OrderAnswer, RunnerControl, RunnerOrder

from ..upstreams.raw_server import RawServer, answer, make_response, repeat_before

REPORT = make_response(
    200,
    b'{"phase": "colocated", "models": [], "busy": false, "seq": 1, "queued": 0,'
    b' "active": 0, "kv_used": 0, "kv_total": 9}',
)
ACCEPTED = make_response(202)
STALE = make_response(409)

UNLOAD = RunnerOrder(
    load=False, model="a", adapter="a1", expected_order_count=1, holder="h", fence=1
)


class TestExtraResponses:
    """Extra responses where the one to an order is due."""

    async def test_order_after_a_report(self) -> None:
        """An extra report passed for an unload that needs no wait."""
        async with RawServer(repeat_before(REPORT, ACCEPTED)) as server:
            control = RunnerControl()
            await control.async_read_report(server.address, "i-1")
            result = await control.async_send_order(server.address, "i-1", UNLOAD)
        assert result is OrderAnswer.STARTED

    async def test_order_after_an_order(self) -> None:
        """An extra response passed for that to the next order."""
        async with RawServer(repeat_before(ACCEPTED, STALE)) as server:
            control = RunnerControl()
            results = [
                await control.async_send_order(server.address, "i-1", UNLOAD)
                for _ in range(2)
            ]
        assert results == [OrderAnswer.STARTED, OrderAnswer.BUSY_OR_STALE]

    async def test_report_after_an_order(self) -> None:
        async with RawServer(repeat_before(ACCEPTED, REPORT)) as server:
            control = RunnerControl()
            await control.async_send_order(server.address, "i-1", UNLOAD)
            report = await control.async_read_report(server.address, "i-1")
        assert report.order_count == 1

    async def test_reports_share_a_connection(self) -> None:
        """New connections have a price, and take a slot of the runner for a moment."""
        async with RawServer(answer(REPORT)) as server:
            control = RunnerControl()
            for _ in range(2):
                await control.async_read_report(server.address, "i-1")
        assert server.connections == 1
