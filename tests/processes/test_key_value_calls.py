"""Tests of the number of calls to the key-value service; pytest -s prints them."""

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from attrs import define, field

from tests.stand_ins.caller import Ending, make_id
from tests.stand_ins.fleet import SERVICE, Fleet, async_wait_for

from .conftest import BASE_FILE, async_make_caller
from .test_gateways import CALL, DEADLINE_S
from .test_outage import async_submit_plain

pytestmark = pytest.mark.process

IDLE_S = 10.0
CALLS = 20
WRITES = ("txn", "lease_grant", "lease_keep_alive", "lease_revoke")
MAX_PROCESSES = 12
"""Nine gateways and three controllers, the most that one site has."""

WRITES_PER_SECOND = 300.0
READS_PER_SECOND = 2000.0
"""Rates of the key-value service, of which one site may use a tenth."""

MODELS = 4
EXTRA_MODELS = "".join(
    f"""
[models.extra-{number}]
default_version = "1"
versions.1 = {{ memory_mb = 2000 }}
"""
    for number in range(MODELS)
)


async def async_wait_extra(fleet: Fleet, count: int) -> None:
    """Wait until the engines have loaded `count` of the extra models."""

    async def async_is_loaded() -> bool:
        truths = await fleet.async_get_truths(fleet.engines)
        loaded = [name for truth in truths for name in truth["loaded"]]
        return sum(name.startswith("extra") for name in loaded) == count

    await async_wait_for(f"{count} extra models are loaded", async_is_loaded)


@define
class Meter:
    """Counts the calls to the key-value service since the last reading."""

    fleet: Fleet
    _last_calls: Counter[str] = field(factory=Counter)

    async def async_read(self, what: str) -> Counter[str]:
        """Print and return the calls since the last reading."""
        (truth,) = await self.fleet.async_get_truths([self.fleet.key_value])
        now = Counter(truth["calls"])
        new_calls = now - self._last_calls
        self._last_calls = now
        print(f"{what}: {dict(sorted(new_calls.items()))}")
        return new_calls


class TestKeyValueCalls:
    """Frequent operations cause no calls; others stay within the service's rates."""

    async def test_by_cause(self, fleet: Fleet, tmp_path: Path) -> None:
        meter = Meter(fleet)
        await asyncio.sleep(IDLE_S)
        await meter.async_read("start, load, one configuration and 10 s idle")
        await asyncio.sleep(IDLE_S)
        idle = await meter.async_read(f"{IDLE_S:g} s idle, 4 processes")
        assert idle["txn"] == idle["lease_grant"] == 0

        caller = await async_make_caller(fleet, *fleet.gateways)
        calls = (
            caller.async_call(SERVICE, CALL, make_id(), DEADLINE_S)
            for _ in range(CALLS)
        )
        assert {each.ending for each in await asyncio.gather(*calls)} == {
            Ending.ANSWERED
        }
        homed = await meter.async_read(f"{CALLS} calls with homed keys")
        assert homed["txn"] == homed["lease_grant"] == 0

        for _ in range(CALLS):
            assert (await async_submit_plain(fleet, make_id()))["run"] == 1
        plain = await meter.async_read(f"{CALLS} calls with plain keys")
        assert plain["txn"] == CALLS
        assert plain["lease_grant"] <= 1

        await fleet.async_apply_base(BASE_FILE)
        change = await meter.async_read("one change, applied on 4 processes")
        assert change["txn"] == 1

        extended = tmp_path / "base.toml"
        extended.write_text(BASE_FILE.read_text() + EXTRA_MODELS)
        # An unload at an engine that ignores fences needs a third write: its entry
        # blocks a new load until delayed copies of the order can no longer arrive.
        steps = (("loads", extended, MODELS, 2), ("unloads", BASE_FILE, 0, 3))
        for what, file, count, writes_per_model in steps:
            await fleet.async_apply_base(file)
            await async_wait_extra(fleet, count)
            await asyncio.sleep(IDLE_S)
            moved = await meter.async_read(f"{MODELS} {what}, one change, and 10 s")
            assert MODELS < moved["txn"] <= writes_per_model * MODELS + 1

        writes = sum(idle[kind] for kind in WRITES) / IDLE_S / 4
        reads = (sum(idle.values()) / IDLE_S / 4) - writes
        assert writes * MAX_PROCESSES < WRITES_PER_SECOND / 10
        assert reads * MAX_PROCESSES < READS_PER_SECOND / 10
