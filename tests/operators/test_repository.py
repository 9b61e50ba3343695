"""Tests of atomic edits in the key-value service."""

import asyncio
import random

import pytest

from mangoway.key_value.store import CallRank
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.verdict import Verdict
from mangoway.operators.bundle import BASE, name_overlay
from mangoway.operators.const import HISTORY_PREFIX, MAX_HISTORY_ENTRIES
from mangoway.operators.repository import ConfigurationRepository, Edit
from tests.fakes.key_value import FakeKeyValueStore

from .conftest import make_base, make_edit

EAST = name_overlay("east")
FLOOR_OVERLAY = "[models.chat]\nfloor_data_centres = 2\n"

pytestmark = pytest.mark.looptime


class TestRepository:
    """Tests that edits are accepted once, in one order, and only if jointly valid."""

    async def test_edit_is_read_back(self, repository: ConfigurationRepository) -> None:
        await repository.async_apply(make_edit(make_base(), "a"), "anna")
        record = await repository.async_apply(make_edit("", "b", EAST), "bo")
        bundle = await repository.async_read_bundle("east")
        assert (record.version, bundle.version) == (2, 2)
        assert bundle.find_text(BASE) == make_base()
        snapshot = await repository.async_read_snapshot()
        assert [edit.author for edit in snapshot.history] == ["anna", "bo"]
        assert snapshot.head.parts == {BASE: 1, EAST: 2}

    async def test_only_one_of_concurrent_edits_is_accepted(
        self, store: FakeKeyValueStore, repository: ConfigurationRepository
    ) -> None:
        await repository.async_apply(make_edit(make_base(), "a"), "anna")
        store.delay_s = 0.01
        edits = [
            make_edit(make_base(floor=1, memory_mb=6), "b"),
            make_edit("[site]\nmove_price = 2", "c", EAST),
        ]
        results = await asyncio.gather(
            *(repository.async_apply(edit, "x") for edit in edits),
            return_exceptions=True,
        )
        (loser,) = [found for found in results if isinstance(found, MangowayError)]
        assert loser.code is ErrorCode.CONFIG_CONFLICT
        assert "version 2" in str(loser) and "version 1" in str(loser)
        assert (await repository.async_read_head()).version == 2

    async def test_edit_that_is_only_invalid_with_another_is_rejected(
        self, repository: ConfigurationRepository
    ) -> None:
        await repository.async_apply(make_edit(make_base(floor=2), "a"), "anna")
        await repository.async_apply(make_edit(FLOOR_OVERLAY, "b", EAST), "bo")
        with pytest.raises(MangowayError) as caught:
            await repository.async_apply(make_edit(make_base(floor=1), "c"), "anna")
        assert caught.value.code is ErrorCode.CONFIG_INVALID
        assert "overlay/east: models.chat.floor_data_centres" in str(caught.value)

    async def test_base_may_not_drop_a_model_of_an_overlay(
        self, repository: ConfigurationRepository
    ) -> None:
        await repository.async_apply(make_edit(make_base(floor=2), "a"), "anna")
        await repository.async_apply(make_edit(FLOOR_OVERLAY, "b", EAST), "bo")
        with pytest.raises(MangowayError, match=r"overlay/east: models\.chat"):
            await repository.async_apply(make_edit("", "c"), "anna")

    async def test_outdated_edit_is_rejected_with_both_versions(
        self, repository: ConfigurationRepository
    ) -> None:
        await repository.async_apply(make_edit(make_base(), "a"), "anna")
        await repository.async_apply(make_edit(make_base(2), "b", based_on=1), "bo")
        with pytest.raises(MangowayError, match=r"at version 2.* on version 1"):
            await repository.async_apply(make_edit(make_base(3), "c", based_on=1), "x")

    @pytest.mark.parametrize("switch", ["lost_answers", "failed_commits"])
    async def test_outcome_of_a_lost_response_is_determined(
        self,
        switch: str,
        store: FakeKeyValueStore,
        repository: ConfigurationRepository,
    ) -> None:
        setattr(store, switch, 1)
        record = await repository.async_apply(make_edit(make_base(), "a"), "anna")
        assert record.version == 1
        assert (await repository.async_read_head()).version == 1

    async def test_edit_with_unknown_outcome_may_have_run_and_retry_applies_it_once(
        self, store: FakeKeyValueStore, repository: ConfigurationRepository
    ) -> None:
        edit = make_edit(make_base(), "a")
        store.lost_answers = 1
        task = asyncio.create_task(repository.async_apply(edit, "anna"))
        await asyncio.sleep(0.05)
        store.down = True
        with pytest.raises(MangowayError) as caught:
            await task
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN
        store.down = False
        record = await repository.async_apply(edit, "anna")
        assert (record.version, store.writes) == (1, 1)

    async def test_outage_is_not_run(
        self, store: FakeKeyValueStore, repository: ConfigurationRepository
    ) -> None:
        store.down = True
        with pytest.raises(MangowayError) as caught:
            await repository.async_apply(make_edit(make_base(), "a"), "anna")
        assert caught.value.failure.verdict is Verdict.NOT_RUN

    async def test_history_is_bounded(
        self, store: FakeKeyValueStore, repository: ConfigurationRepository
    ) -> None:
        edits = MAX_HISTORY_ENTRIES + 3
        for number in range(edits):
            text = f"[site]\nmove_price = {number}"
            await repository.async_apply(make_edit(text, f"n{number}"), "anna")
        kept = await store.async_list(HISTORY_PREFIX, CallRank.BACKGROUND)
        assert len(kept) == MAX_HISTORY_ENTRIES

    async def test_edit_takes_one_read_and_one_write(
        self, store: FakeKeyValueStore, repository: ConfigurationRepository
    ) -> None:
        await repository.async_apply(make_edit(make_base(), "a"), "anna")
        assert (store.calls, store.writes) == (2, 1)

    @pytest.mark.parametrize("seed", range(20))
    async def test_concurrent_edits_with_lost_responses(self, seed: int) -> None:
        chance = random.Random(seed)
        store = FakeKeyValueStore(delay_s=0.01)
        accepted: dict[int, Edit] = {}

        async def async_edit(number: int) -> None:
            await asyncio.sleep(chance.random())
            store.lost_answers += chance.random() < 0.3
            store.failed_commits += chance.random() < 0.3
            part = chance.choice([BASE, EAST, name_overlay("west")])
            edit = make_edit(f"[site]\nmove_price = {number}", f"n{number}", part)
            try:
                record = await ConfigurationRepository(store).async_apply(edit, "x")
            except MangowayError as error:
                assert error.code is ErrorCode.CONFIG_CONFLICT
            else:
                assert record.version not in accepted
                accepted[record.version] = edit

        await asyncio.gather(*(async_edit(number) for number in range(40)))
        snapshot = await ConfigurationRepository(store).async_read_snapshot()
        assert sorted(accepted) == list(range(1, snapshot.head.version + 1))
        assert [record.nonce for record in snapshot.history] == [
            accepted[version].nonce for version in sorted(accepted)
        ]
        for part, version in snapshot.head.parts.items():
            assert snapshot.bundle.find_text(part) == accepted[version].text
