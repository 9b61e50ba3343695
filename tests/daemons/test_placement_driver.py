"""Tests of the controller's placement with fake engines and store, in virtual time."""

import asyncio

import pytest

from mangoway.daemons.engine_poller import EnginePoller
from mangoway.daemons.ledger_codec import decode_ledger
from mangoway.key_value.store import CallRank, Put
from mangoway.models.identifiers import HostId, IncarnationId, Revision
from mangoway.observability.journal import JournalQuery
from mangoway.peers.demand import encode_demand

from .world import Cell, async_stop, make_configuration

pytestmark = pytest.mark.looptime

LEDGER_PREFIX = "/mangoway/cells/c1/ledgers/"


async def _async_read_free_mb(cell: Cell) -> list[int]:
    stored = await cell.store.async_list(LEDGER_PREFIX, CallRank.SAFETY)
    ledgers = [decode_ledger(each.value) for each in stored if each.value]
    return [ledger.free_mb for ledger in ledgers]


class TestPlacement:
    """Loading of offered models."""

    async def test_offered_models_are_loaded_and_accounted_for(self) -> None:
        cell = Cell()
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat", "draft"))
        driver.async_start_planning()
        await asyncio.sleep(60)
        assert cell.count_ready("chat") == 1
        assert cell.count_ready("draft") == 1
        assert sum(await _async_read_free_mb(cell)) > 0
        cell.assert_no_overcommit()
        await async_stop(driver)

    async def test_placement_is_explained_in_the_journal(self) -> None:
        cell = Cell()
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat"))
        driver.async_start_planning()
        await asyncio.sleep(60)
        assert driver.journal.find(JournalQuery(model="chat"))
        await async_stop(driver)

    async def test_standby_sends_no_orders(self) -> None:
        cell = Cell()
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat"))
        await asyncio.sleep(60)
        assert cell.engines.orders == []
        assert cell.store.writes == 0
        await async_stop(driver)

    async def test_unresponsive_runner_does_not_delay_the_others(self) -> None:
        cell = Cell(runners=3)
        cell.engines.unresponsive.add(cell.addresses[0].address)
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat", "draft"))
        driver.async_start_planning()
        await asyncio.sleep(60)
        assert cell.count_ready("chat") == 1
        assert cell.count_ready("draft") == 1
        assert driver.poller.is_silent(cell.addresses[0].id)
        await async_stop(driver)

    async def test_demand_reply_reports_whether_the_controller_is_active(self) -> None:
        cell = Cell()
        driver = cell.start_controller("a")
        report = encode_demand(HostId("g1"), IncarnationId("g1.1"), 2.0, ())
        assert not driver.async_receive_demand(report).active
        driver.async_start_planning()
        assert driver.async_receive_demand(report).active
        await async_stop(driver)


class TestFaults:
    """Memory is never overcommitted, even if messages are lost."""

    async def test_unreadable_ledger_excludes_only_its_runner(self) -> None:
        cell = Cell()
        put = Put(
            key=f"{LEDGER_PREFIX}r0", value=b'{"format": 99}', expected=Revision(0)
        )
        await cell.store.async_commit((put,), CallRank.SAFETY)
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat"))
        driver.async_start_planning()
        await asyncio.sleep(60)
        assert {order.upstream for order in cell.engines.orders} == {"r1"}
        assert cell.count_ready("chat") == 1
        cell.assert_no_overcommit()
        await async_stop(driver)

    async def test_placement_recovers_from_lost_answers_of_ledger_writes(self) -> None:
        cell = Cell()
        cell.store.lost_answers = 2
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat", "draft"))
        driver.async_start_planning()
        await asyncio.sleep(120)
        assert cell.count_ready("chat") >= 1
        assert cell.count_ready("draft") >= 1
        cell.assert_no_overcommit()
        await async_stop(driver)

    async def test_orders_wait_for_the_end_of_a_store_outage(self) -> None:
        cell = Cell()
        cell.store.down = True
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat"))
        driver.async_start_planning()
        await asyncio.sleep(60)
        assert cell.engines.orders == []
        cell.store.down = False
        await asyncio.sleep(60)
        assert cell.count_ready("chat") == 1
        await async_stop(driver)

    async def test_lost_answers_of_orders_do_not_overcommit(self) -> None:
        cell = Cell(runners=1, memory_mb=70_000)
        cell.engines.lost_answers = 3
        driver = cell.start_controller("a")
        driver.async_apply_configuration(make_configuration("chat", "draft"))
        driver.async_start_planning()
        await asyncio.sleep(200)
        assert cell.count_ready("chat") == 1
        assert cell.count_ready("draft") == 1
        cell.assert_no_overcommit()
        await async_stop(driver)

    async def test_two_controllers_that_both_plan_do_not_overcommit(self) -> None:
        cell = Cell(runners=2, memory_mb=70_000)
        first, second = cell.start_controller("a"), cell.start_controller("b")
        for driver in (first, second):
            driver.async_apply_configuration(make_configuration("chat", "draft"))
            driver.async_start_planning()
        await asyncio.sleep(30)
        names = ("chat", "draft", "audit")
        for driver in (first, second):
            driver.async_apply_configuration(make_configuration(*names, version=2))
        await asyncio.sleep(120)
        assert [cell.count_ready(name) >= 1 for name in names] == [True] * 3
        cell.assert_no_overcommit()
        await async_stop(first)
        await async_stop(second)


class TestPoller:
    """Polls of the engines."""

    async def test_standby_polls_rarely_and_all_engines_when_it_takes_over(
        self,
    ) -> None:
        cell = Cell(runners=3)
        driver = cell.start_controller("a")
        await asyncio.sleep(1)
        before = cell.engines.reports
        await asyncio.sleep(10)
        assert cell.engines.reports == before
        driver.async_start_planning()
        await asyncio.sleep(0.1)
        assert cell.engines.reports == before + 3
        await asyncio.sleep(10)
        assert cell.engines.reports >= before + 3 * 5
        await async_stop(driver)

    async def test_engine_polled_often_has_only_one_scheduled_poll(self) -> None:
        cell = Cell(runners=1)
        driver = cell.start_controller("a")
        await asyncio.sleep(1)
        for _ in range(20):
            driver.poller.async_poll_often(cell.addresses[0].id, 0.1)
        await asyncio.sleep(0.5)
        scheduled_before = len(_list_scheduled(driver.poller))
        await asyncio.sleep(10)
        assert len(_list_scheduled(driver.poller)) == scheduled_before == 1
        await async_stop(driver)


def _list_scheduled(poller: EnginePoller) -> list[float]:
    """Return the due times of the only engine's scheduled polls.

    Polls that were scheduled anew stay in the heap and are left out here.
    """
    return [
        due
        for due, _ in poller._scheduled_polls
        if due > 0 and poller.engines[0].due == due
    ]
