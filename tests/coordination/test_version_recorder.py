"""Tests of who writes the records of software versions, and how long they last."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest
from attrs import define, field

from mangoway.coordination.store import Write
from mangoway.coordination.version_recorder import CHECK_S, VersionRecorder
from mangoway.coordination.version_records import MAX_NAME_CHARACTERS
from mangoway.models.fleet import Role
from mangoway.platform.documents import CONFIGURATION_KEY, OWN_PREFIX, RUNNER_PREFIX
from mangoway.policy.edge.software_versions import ServiceVersion
from mangoway.policy.edge.version_records import (
    MAX_EDGE_WRITERS,
    MIRROR_DELAY_S,
    choose_edge_delay_s,
    choose_lease_s,
    choose_rewrite_s,
)

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.process import FakeProcess
from ..fakes.version_records import make_record_key, make_record_value

pytestmark = pytest.mark.looptime

TIMEOUT_S = 10.0
RETENTION_S = 20.0
LEASE_S = choose_lease_s(RETENTION_S)
REWRITE_S = choose_rewrite_s(RETENTION_S)
SETTLE_S = 1.5
"""Time within which a leader has read a change and written its record."""

EDGE_SETTLE_S = SETTLE_S + MAX_EDGE_WRITERS
V1 = ("llm", "v1")
V2 = ("llm", "v2")


def put_configuration(
    store: FakeCoordinationStore, version: int = 1, timeout_s: float = TIMEOUT_S
) -> None:
    route = {
        "name": "chat",
        "host": "example.test",
        "prefix": "/chat/",
        "kind": "streaming",
        "timeout_ms": int(timeout_s * 1000),
        "target_latency_ms": 300,
        "priority": 0,
        "service": "llm",
        "max_attempts": 2,
        "resumable": True,
        "gap_target_ms": 300,
    }
    service = {"name": "llm", "health_path": "/health", "max_conns": 100}
    document = {"version": version, "routes": [route], "services": [service]}
    store.put(CONFIGURATION_KEY, orjson.dumps(document))


def put_runner(
    store: FakeCoordinationStore, version: ServiceVersion, name: str = ""
) -> None:
    service, software_version = version
    fields: dict[str, Any] = {
        "service": service,
        "address": "10.0.0.1:1",
        "zone": "dc1",
        "slots": 8,
        "state": "ready",
        "seq": 1,
        "version": software_version,
    }
    runner_id = name or f"{service}-{software_version:.20}"
    store.put(RUNNER_PREFIX + runner_id, orjson.dumps(fields))


def remove_runner(store: FakeCoordinationStore, version: ServiceVersion) -> None:
    store.remove(f"{RUNNER_PREFIX}{version[0]}-{version[1]}")


def make_store(*versions: ServiceVersion) -> FakeCoordinationStore:
    store = FakeCoordinationStore()
    put_configuration(store)
    for each in versions:
        put_runner(store, each)
    return store


def list_recorded(store: FakeCoordinationStore) -> set[ServiceVersion]:
    """Return the versions that the store lists now."""
    store._expire()
    return {
        each
        for each in (V1, V2, ("plain", "v1"))
        if make_record_key(each) in store.items
    }


@define(eq=False)
class Recording:
    """A process that writes records."""

    process: FakeProcess
    delay_s: float
    recorder: VersionRecorder = field(init=False)

    def __attrs_post_init__(self) -> None:
        process = self.process
        self.recorder = VersionRecorder(
            store=process.client,
            mirror=process.mirror,
            view=process.view,
            clock=loop_clock(),
            prefix=OWN_PREFIX,
            choose_delay_s=lambda: self.delay_s,
        )
        process.view.on_change.append(self.recorder.handle_view_change)
        loop = asyncio.get_running_loop()
        process.tasks.append(loop.create_task(self.recorder.async_run()))


def start(
    store: FakeCoordinationStore, name: str = "leader", delay_s: float = 0.0
) -> Recording:
    return Recording(FakeProcess(store, name, Role.EDGE), delay_s)


class TestLifeOfRecords:
    """How long the store lists a version."""

    async def test_version_is_listed_once_it_has_a_runner(self) -> None:
        store = make_store(V1)
        start(store)
        await asyncio.sleep(SETTLE_S)
        assert list_recorded(store) == {V1}
        put_runner(store, V2)
        await asyncio.sleep(SETTLE_S)
        assert list_recorded(store) == {V1, V2}

    async def test_version_is_listed_for_the_life_of_a_stream_after_it_has_left(
        self,
    ) -> None:
        store = make_store(V1, V2)
        start(store)
        for _ in range(3):
            await asyncio.sleep(REWRITE_S + 0.7)
            assert list_recorded(store) == {V1, V2}
        remove_runner(store, V1)
        await asyncio.sleep(RETENTION_S)
        assert list_recorded(store) == {V1, V2}
        await asyncio.sleep(LEASE_S - RETENTION_S + 1.0)
        assert list_recorded(store) == {V2}

    async def test_records_outlive_all_processes(self) -> None:
        store = make_store(V1, V2)
        leader = start(store)
        await asyncio.sleep(SETTLE_S)
        remove_runner(store, V1)
        await asyncio.sleep(SETTLE_S)
        leader.process.kill()
        await asyncio.sleep(REWRITE_S)
        late = start(store, "late")
        await asyncio.sleep(SETTLE_S)
        assert late.process.view.list_recorded_versions({"llm"}) == {V1, V2}

    async def test_process_no_longer_knows_of_a_version_that_has_expired(self) -> None:
        store = make_store(V1, V2)
        process = start(store).process
        await asyncio.sleep(SETTLE_S)
        remove_runner(store, V1)
        await asyncio.sleep(LEASE_S + SETTLE_S)
        assert process.view.list_recorded_versions({"llm"}) == {V2}

    async def test_version_that_left_before_it_could_be_written_is_listed(self) -> None:
        store = make_store(V1, V2)
        leader = start(store, delay_s=math.inf)
        await asyncio.sleep(SETTLE_S)
        remove_runner(store, V1)
        await asyncio.sleep(SETTLE_S)
        leader.delay_s = 0.0
        await asyncio.sleep(SETTLE_S)
        assert list_recorded(store) == {V1, V2}

    async def test_other_services_than_those_of_streams_are_not_listed(self) -> None:
        store = make_store(V1, ("plain", "v1"))
        start(store)
        await asyncio.sleep(SETTLE_S)
        assert list_recorded(store) == {V1}

    async def test_version_that_is_too_long_is_not_written(self) -> None:
        store = make_store(V1)
        put_runner(store, ("llm", "v" * (MAX_NAME_CHARACTERS + 1)), "odd")
        start(store)
        await asyncio.sleep(SETTLE_S)
        assert (
            sum(each.startswith(f"{OWN_PREFIX}versions/") for each in store.items) == 1
        )

    async def test_longer_streams_have_the_records_written_for_longer(self) -> None:
        store = make_store(V1)
        start(store)
        await asyncio.sleep(SETTLE_S)
        put_configuration(store, 2, 2 * TIMEOUT_S)
        await asyncio.sleep(MIRROR_DELAY_S + SETTLE_S)
        lease_s = choose_lease_s(2 * RETENTION_S)
        assert store.items[make_record_key(V1)].value == make_record_value(V1, lease_s)

    async def test_processes_of_two_releases_do_not_write_in_turn(self) -> None:
        store = make_store(V1)
        start(store)
        await asyncio.sleep(SETTLE_S)
        store.put(
            make_record_key(V1),
            make_record_value(V1, LEASE_S + 10.0),
            store.grant_lease(LEASE_S + 10.0),
        )
        written = store.calls.count("commit")
        await asyncio.sleep(REWRITE_S - CHECK_S)
        assert store.calls.count("commit") == written


class TestWriters:
    """Which process writes."""

    async def test_edge_writes_if_nobody_else_does(self) -> None:
        store = make_store(V1)
        edges = [start(store, f"edge-{number}", 1.0 + number) for number in range(4)]
        await asyncio.sleep(EDGE_SETTLE_S)
        assert list_recorded(store) == {V1}
        grants = store.calls.count("grant")
        edges[0].process.kill()
        await asyncio.sleep(3 * LEASE_S)
        assert list_recorded(store) == {V1}
        edges[1].process.kill()
        await asyncio.sleep(3 * LEASE_S)
        assert list_recorded(store) == {V1}
        assert grants < 4 + len(edges)

    async def test_new_leader_goes_by_what_it_saw_as_a_standby(self) -> None:
        store = make_store(V1)
        leader, standby = start(store), start(store, "standby", math.inf)
        await asyncio.sleep(SETTLE_S)
        leader.process.kill()
        written = store.items[make_record_key(V1)].revision
        standby.delay_s = 0.0
        await asyncio.sleep(REWRITE_S / 2)
        assert store.items[make_record_key(V1)].revision == written
        await asyncio.sleep(REWRITE_S / 2 + SETTLE_S)
        assert store.items[make_record_key(V1)].revision > written

    @pytest.mark.parametrize("has_leader", [True, False])
    @pytest.mark.parametrize("size", [9, 73, 2400])
    async def test_whole_fleet_makes_few_calls(
        self, size: int, has_leader: bool
    ) -> None:
        store = make_store(V1, V2)
        process = FakeProcess(store, "shared")
        await asyncio.sleep(SETTLE_S)
        edges = [f"{OWN_PREFIX}members/edge/host-{number}" for number in range(size)]

        def make_recorder(choose_delay_s: Callable[[], float]) -> VersionRecorder:
            return VersionRecorder(
                store=process.client,
                mirror=process.mirror,
                view=process.view,
                clock=loop_clock(),
                prefix=OWN_PREFIX,
                choose_delay_s=choose_delay_s,
            )

        delays_s = [choose_edge_delay_s(each, edges) for each in edges]
        recorders = [make_recorder(lambda s=each: s) for each in delays_s]
        if has_leader:
            recorders.insert(0, make_recorder(lambda: 0.0))
        seconds = 4 * REWRITE_S
        calls, revision = len(store.calls), store.revision
        store.calls.clear()
        for _ in range(int(seconds / 0.5)):
            await asyncio.gather(*(each.async_check() for each in recorders))
            await asyncio.sleep(0.5)
        assert calls > 0
        assert list_recorded(store) == {V1, V2}
        made = store.calls.count("grant") + store.calls.count("commit")
        assert 6 <= made <= 2 * (seconds / REWRITE_S + 2)
        changed = store.revision - revision
        item_bytes = len(make_record_key(V1)) + len(make_record_value(V1)) + 100
        assert changed * item_bytes / seconds <= 150


class TestFaults:
    """Stores that don't respond, lose writes or come back from a copy."""

    @pytest.mark.parametrize("failing", ["async_grant_lease", "async_commit"])
    async def test_former_record_stays_while_the_store_fails(
        self, failing: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        store = make_store(V1)
        leader = start(store)
        await asyncio.sleep(SETTLE_S)
        client = leader.process.client
        working = getattr(client, failing)

        async def async_fail(*_: Any) -> Awaitable[Any]:
            store.down = True
            try:
                return await working(*_)
            finally:
                store.down = False

        monkeypatch.setattr(client, failing, async_fail)
        await asyncio.sleep(REWRITE_S + SETTLE_S)
        assert list_recorded(store) == {V1}
        monkeypatch.setattr(client, failing, working)
        revision = store.items[make_record_key(V1)].revision
        await asyncio.sleep(6.0)
        assert store.items[make_record_key(V1)].revision > revision

    async def test_write_whose_response_is_lost_is_repeated(self) -> None:
        store = make_store(V1)
        store.lose_answers = 1
        start(store)
        await asyncio.sleep(SETTLE_S)
        assert list_recorded(store) == {V1}

    async def test_records_are_written_after_an_outage(self) -> None:
        store = make_store(V1)
        start(store)
        await asyncio.sleep(SETTLE_S)
        store.down = True
        await asyncio.sleep(LEASE_S + 5.0)
        store.down = False
        await asyncio.sleep(6.0 + SETTLE_S)
        assert list_recorded(store) == {V1}

    @pytest.mark.parametrize("saw_it", [True, False])
    async def test_version_that_has_left_is_listed_again_after_a_restore(
        self, saw_it: bool
    ) -> None:
        store = make_store(V1, V2)
        copy = store.copy()
        first = start(store)
        await asyncio.sleep(SETTLE_S)
        remove_runner(store, V1)
        del copy.items[RUNNER_PREFIX + "llm-v1"]
        if not saw_it:
            await asyncio.sleep(SETTLE_S)
            first.process.kill()
            start(store, "late")
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        assert list_recorded(store) == set()
        await asyncio.sleep(2 * SETTLE_S)
        assert list_recorded(store) == {V1, V2}

    async def test_versions_that_were_listed_again_expire(self) -> None:
        store = make_store(V1, V2)
        copy = store.copy()
        start(store)
        await asyncio.sleep(SETTLE_S)
        remove_runner(store, V1)
        del copy.items[RUNNER_PREFIX + "llm-v1"]
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(RETENTION_S + LEASE_S + 5.0)
        assert list_recorded(store) == {V2}

    async def test_restore_between_both_calls_does_not_count_as_written(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The ID of the lease may belong to a process whose lease is short."""
        store = make_store(V1)
        copy = store.copy()
        leader = start(store)
        client = leader.process.client
        working = client.async_commit

        async def async_commit(_: Any, writes: tuple[Write, ...]) -> Any:
            if writes[0].key != make_record_key(V1):
                return await working((), writes)
            monkeypatch.setattr(client, "async_commit", working)
            lease_id = writes[0].lease_id
            store.restore(copy)
            store.leases[lease_id] = asyncio.get_running_loop().time() + 10.0
            return await working((), writes)

        monkeypatch.setattr(client, "async_commit", async_commit)
        await asyncio.sleep(SETTLE_S + 1.0)
        assert list_recorded(store) == {V1}
        lease_id = store.items[make_record_key(V1)].lease_id
        left_s = store.leases[lease_id] - asyncio.get_running_loop().time()
        assert left_s > RETENTION_S

    async def test_value_that_cannot_be_read_is_replaced(self) -> None:
        store = make_store(V1)
        store.put(make_record_key(V1), b"\xff")
        process = start(store).process
        await asyncio.sleep(SETTLE_S)
        assert store.items[make_record_key(V1)].value == make_record_value(V1)
        assert process.view.list_recorded_versions({"llm"}) == {V1}

    async def test_unknown_own_keys_are_ignored(self) -> None:
        store = make_store(V1)
        store.put(f"{OWN_PREFIX}of-a-later-release/x", b"\xff")
        process = start(store).process
        await asyncio.sleep(CHECK_S + SETTLE_S)
        assert process.view.recorded_versions == {make_record_key(V1): V1}
