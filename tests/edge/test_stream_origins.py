"""Tests of what edges tell each other about the origins of streams."""

import asyncio
import tracemalloc

import pytest
from attrs import evolve

from mangoway.edge.identity import identify_stream
from mangoway.models.routing import Route, TrafficShare
from mangoway.models.streams import StreamOrigin
from mangoway.policy.edge.const import ORIGIN_QUERY_TIMEOUT_S, RECORDS_INTERVAL_S
from mangoway.policy.edge.origin_search import FoundOrigin
from mangoway.policy.edge.stream_records import (
    MAX_RECORDS,
    StreamRecords,
    choose_holders,
)

from ..fakes.fleet import make_runner, make_table
from .origin_fleet import (
    RETENTION_S,
    ROUTE,
    V1,
    V2,
    OriginEdge,
    OriginFleet,
    get_time,
    make_member,
)

pytestmark = pytest.mark.looptime

MAX_BYTES_PER_S = 3000
"""Traffic for control that a host may cause, as the target size states it."""

MAX_MEMORY_BYTES = 32_000_000
STREAMS_PER_S = 46
"""Streams that begin at each host at the target size."""


class TestLostEdges:
    """Streams whose edge was lost, while two versions serve."""

    async def test_stream_is_found_by_every_other_edge(self) -> None:
        fleet = OriginFleet(6)
        fleet.begin_stream(fleet.edges[0], "s", V2)
        await fleet.async_pass(2 * RECORDS_INTERVAL_S)
        fleet.kill(fleet.edges[0])
        for edge in fleet.edges[1:]:
            assert await fleet.async_find(edge, "s") == V2

    async def test_stream_is_found_after_one_holder_was_lost_too(self) -> None:
        fleet = OriginFleet(6)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        await fleet.async_pass(2 * RECORDS_INTERVAL_S)
        holders = [
            each
            for each in fleet.edges[1:]
            if each.origins.records.find(identify_stream(None, "s"))
        ]
        assert len(holders) == 2
        assert len({each.member.data_centre for each in holders}) == 2
        fleet.kill(holders[0])
        fleet.kill(fleet.edges[0])
        others = [each for each in fleet.edges[1:] if each.is_running]
        for edge in others:
            assert await fleet.async_find(edge, "s") == V1

    async def test_new_holder_is_told_of_all_streams(self) -> None:
        fleet = OriginFleet(6)
        origin, others = fleet.edges[0], fleet.edges[1:]
        fleet.begin_stream(origin, "s", V1)
        await fleet.async_pass(2 * RECORDS_INTERVAL_S)
        digest = identify_stream(None, "s")
        for each in others:
            if each.origins.records.find(digest):
                fleet.kill(each, is_known=True)
        await fleet.async_pass(1.0)
        fleet.kill(origin)
        remaining = [each for each in others if each.is_running]
        assert await fleet.async_find(remaining[0], "s") == V1

    async def test_holders_are_told_before_the_first_event_is_delivered(self) -> None:
        fleet = OriginFleet(6)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        fleet.kill(fleet.edges[0])
        assert await fleet.async_find(fleet.edges[1], "s") == V1

    async def test_stream_without_any_record_is_unknown(self) -> None:
        fleet = OriginFleet(6)
        fleet.begin_stream(fleet.edges[0], "first", V1)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        fleet.kill(fleet.edges[0])
        await fleet.async_pass(1.0)
        assert await fleet.async_find(fleet.edges[1], "s") is None

    async def test_most_streams_are_found_though_datagrams_are_lost(self) -> None:
        fleet = OriginFleet(9, loss=0.2)
        for number in range(100):
            fleet.begin_stream(fleet.edges[0], f"s{number}", V1)
            await fleet.async_pass(0.02)
        await fleet.async_pass(2 * RECORDS_INTERVAL_S)
        fleet.kill(fleet.edges[0])
        names = [f"s{number}" for number in range(100)]
        found = [await fleet.async_find(fleet.edges[1], each) for each in names]
        assert found.count(V1) >= 90
        assert set(found) <= {V1, None}


class TestSearch:
    """Searches and how long they take."""

    async def test_edge_that_began_the_stream_is_asked(self) -> None:
        """The caller may have left an edge that still runs."""
        fleet = OriginFleet(3)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        assert await fleet.async_find(fleet.edges[1], "s") == V1

    async def test_unknown_stream_is_rejected_once_all_have_answered(self) -> None:
        fleet = OriginFleet(6)
        began = get_time()
        assert await fleet.async_find(fleet.edges[0], "unknown") is None
        assert get_time() - began < 0.05

    async def test_edge_that_does_not_answer_is_waited_for_briefly(self) -> None:
        fleet = OriginFleet(6)
        fleet.kill(fleet.edges[3])
        began = get_time()
        assert await fleet.async_find(fleet.edges[0], "unknown") is None
        assert get_time() - began <= ORIGIN_QUERY_TIMEOUT_S + 0.01

    async def test_found_stream_is_kept_by_the_edge_that_asked(self) -> None:
        fleet = OriginFleet(3)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        await fleet.async_find(fleet.edges[1], "s")
        for each in (fleet.edges[0], fleet.edges[2]):
            fleet.kill(each)
        assert await fleet.async_find(fleet.edges[1], "s") == V1

    async def test_peers_of_the_previous_release_are_not_asked(self) -> None:
        fleet = OriginFleet(2)
        view = fleet.edges[0].origins.view
        for key, member in view.members.items():
            view.members[key] = evolve(member, peer_address="")
        assert await fleet.async_find(fleet.edges[0], "unknown") is None
        assert fleet.edges[0].datagrams == 0


class TestOneVersion:
    """Services whose runners all have the same version."""

    async def test_nothing_is_sent_after_a_while(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        fleet.kill(fleet.edges[0])
        await fleet.async_pass(1.0)
        assert await fleet.async_find(fleet.edges[1], "s") == V1
        assert await fleet.async_find(fleet.edges[1], "unknown") == V1
        assert sum(each.datagrams for each in fleet.edges) == 0

    async def test_edge_that_has_just_started_asks_the_others(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        edge = fleet.add(6)
        assert await fleet.async_find(edge, "unknown") == V1
        assert edge.datagrams > 0

    async def test_all_edges_have_just_started(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        assert await fleet.async_find(fleet.edges[0], "unknown") == V1

    async def test_others_are_not_asked_for_each_stream(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        assert await fleet.async_find(fleet.edges[0], "one") == V1
        asked = fleet.edges[0].datagrams
        assert await fleet.async_find(fleet.edges[0], "two") == V1
        assert fleet.edges[0].datagrams == asked
        await fleet.async_pass(1.5)
        assert await fleet.async_find(fleet.edges[0], "three") == V1
        assert fleet.edges[0].datagrams > asked

    async def test_others_are_not_asked_for_each_stream_without_the_store(self) -> None:
        """The state of all is old then, and no runner can join unnoticed by one."""
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        for each in fleet.edges:
            each.age_s = 10.0
        assert await fleet.async_find(fleet.edges[0], "one") == V1
        asked = fleet.edges[0].datagrams
        assert await fleet.async_find(fleet.edges[0], "two") == V1
        assert fleet.edges[0].datagrams == asked

    async def test_second_version_ends_an_agreement(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        assert await fleet.async_find(fleet.edges[0], "one") == V1
        fleet.set_versions("v1", "v2")
        assert await fleet.async_find(fleet.edges[0], "two") is None

    async def test_announcement_of_an_earlier_life_is_not_asked(self) -> None:
        fleet = OriginFleet(2)
        edge = fleet.edges[0]
        members = edge.origins.view.members
        members["members/earlier"] = evolve(edge.member, incarnation="earlier")
        fleet.kill(fleet.edges[1], is_known=True)
        assert await fleet.async_find(edge, "unknown") is None
        assert edge.datagrams == 0

    async def test_state_of_all_edges_is_old(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        for each in fleet.edges:
            each.age_s = 10.0
        fleet.kill(fleet.edges[5])
        assert await fleet.async_find(fleet.edges[0], "unknown") == V1


class TestRelease:
    """Versions that change."""

    async def test_running_streams_are_told_when_the_second_version_appears(
        self,
    ) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        fleet.set_versions("v1", "v2")
        await fleet.async_pass(1.0)
        fleet.kill(fleet.edges[0])
        assert await fleet.async_find(fleet.edges[1], "s") == V1
        assert await fleet.async_find(fleet.edges[1], "unknown") is None

    async def test_running_streams_are_told_at_each_release(self) -> None:
        fleet = OriginFleet(6)
        fleet.set_versions("v2")
        await fleet.async_pass(RETENTION_S + 3.0)
        fleet.begin_stream(fleet.edges[0], "s", V2)
        fleet.set_versions("v2", "v3")
        await fleet.async_pass(1.0)
        fleet.kill(fleet.edges[0])
        assert await fleet.async_find(fleet.edges[1], "s") == V2

    async def test_removed_version_counts_for_the_life_of_a_stream(self) -> None:
        fleet = OriginFleet(6)
        fleet.set_versions("v2")
        await fleet.async_pass(RETENTION_S - 1.0)
        assert await fleet.async_find(fleet.edges[0], "unknown") is None
        await fleet.async_pass(3.0)
        assert await fleet.async_find(fleet.edges[0], "unknown") == V2

    async def test_edge_that_starts_after_the_release_knows_of_the_old_version(
        self,
    ) -> None:
        fleet = OriginFleet(6)
        fleet.set_versions("v2")
        await fleet.async_pass(1.0)
        edge = fleet.add(6)
        edge.origins.update()
        assert await fleet.async_find(edge, "unknown") is None

    async def test_edge_with_old_state_knows_of_the_new_version(self) -> None:
        """It was frozen, or is cut off from the store, while the others saw it."""
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        old = fleet.edges.pop()
        fleet.set_versions("v1", "v2")
        fleet.edges.append(old)
        old.age_s = 10.0
        fleet.begin_stream(fleet.edges[0], "s", V2)
        assert await fleet.async_find(old, "s") == V2
        assert await fleet.async_find(old, "unknown") is None


class TestOutOfStep:
    """An edge whose state is about a second old, so that it still counts as current.

    Runners of a new version had joined meanwhile. Streams that had begun there through
    other edges went on at a runner of the only version that this edge knew.
    """

    @staticmethod
    async def make_fleet(age_s: float) -> tuple[OriginFleet, OriginEdge]:
        """Return a fleet with two versions, and an edge that lacks the second one."""
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        late = fleet.edges.pop()
        fleet.set_versions("v1", "v2")
        fleet.edges.append(late)
        late.known_at = get_time() - age_s
        return fleet, late

    @pytest.mark.parametrize("age_s", [0.4, 1.0, 1.4])
    async def test_stream_of_the_new_version_is_found(self, age_s: float) -> None:
        fleet, late = await self.make_fleet(age_s)
        fleet.begin_stream(fleet.edges[0], "s", V2)
        assert await fleet.async_find(late, "s") == V2

    @pytest.mark.parametrize("age_s", [0.4, 1.0, 1.4])
    async def test_stream_of_a_lost_edge_is_not_taken_for_an_old_one(
        self, age_s: float
    ) -> None:
        fleet, late = await self.make_fleet(age_s)
        fleet.begin_stream(fleet.edges[0], "s", V2)
        await asyncio.sleep(0.1)
        fleet.kill(fleet.edges[0])
        # The holders are told once the edge has noticed the second version.
        assert await fleet.async_find(late, "s") in (V2, None)
        assert await fleet.async_find(late, "unknown") is None

    async def test_edge_that_is_cut_off_from_all_finds_none(self) -> None:
        fleet, late = await self.make_fleet(1.0)
        fleet.loss = 1.0
        assert await fleet.async_find(late, "s") is None

    async def test_earlier_agreement_does_not_count(self) -> None:
        fleet, late = await self.make_fleet(0.4)
        for each in fleet.edges:
            each.origins.view.remove_runner("r-v2", get_time())
            each.origins.history.forget(get_time() + 1.0)
            each.origins.update()
        fleet.list_versions("v1")
        assert await fleet.async_find(late, "unknown") == V1
        others = [each for each in fleet.edges if each is not late]
        for each in others:
            entry = make_runner("r-v2", software_version="v2")
            each.origins.view.update_runner(entry)
        fleet.begin_stream(others[0], "s", V2)
        assert await fleet.async_find(late, "s") == V2

    async def test_state_that_catches_up_is_waited_for(self) -> None:
        """Relayed state is some tenths of a second old at all times."""
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        edge = fleet.edges[0]
        edge.age_s = 0.4
        began_at = get_time()
        assert await fleet.async_find(edge, "unknown") == V1
        assert 0.4 <= get_time() - began_at < 0.5
        assert edge.datagrams == 0

    async def test_version_that_appears_meanwhile_counts(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        await fleet.async_pass(RETENTION_S + 1.0)
        edge = fleet.edges[0]
        edge.age_s = 0.4
        finding = asyncio.create_task(fleet.async_find(edge, "unknown"))
        await asyncio.sleep(0.2)
        fleet.set_versions("v1", "v2")
        assert await finding is None

    async def test_first_answer_of_another_late_edge_does_not_decide(self) -> None:
        fleet, late = await self.make_fleet(5.0)
        nearest = fleet.edges[1]
        nearest.origins.view.remove_runner("r-v2", get_time())
        nearest.origins.history.forget(get_time() + 1.0)
        nearest.origins.update()
        fleet.list_versions("v1")
        for each in fleet.edges:
            if each is not nearest:
                each.delay_s = 0.05
        fleet.begin_stream(fleet.edges[0], "s", V2)
        assert await fleet.async_find(late, "s") == V2


class TestCoveredHistory:
    """Edges that have seen all versions within the life of a stream."""

    async def test_record_that_outlasts_the_streams_rejects_none(self) -> None:
        fleet = OriginFleet(6)
        fleet.set_versions("v2")
        fleet.list_versions("v1", "v2")
        await fleet.async_pass(RETENTION_S + 3.0)
        assert await fleet.async_find(fleet.edges[0], "s") == V2


class TestRestarts:
    """Edges that all start, so that no history covers the life of a stream."""

    async def test_version_that_the_store_lists_counts(self) -> None:
        fleet = OriginFleet(6, versions=("v2",))
        fleet.list_versions("v1", "v2")
        for edge in fleet.edges:
            assert await fleet.async_find(edge, "s") is None

    async def test_records_of_streams_are_sent_while_the_store_lists_two_versions(
        self,
    ) -> None:
        fleet = OriginFleet(6, versions=("v2",))
        fleet.list_versions("v1", "v2")
        await fleet.async_pass(0.5)
        fleet.begin_stream(fleet.edges[0], "s", V2)
        fleet.kill(fleet.edges[0])
        assert await fleet.async_find(fleet.edges[1], "s") == V2

    async def test_only_version_is_not_taken_for_granted_without_the_store(
        self,
    ) -> None:
        fleet = OriginFleet(6, versions=("v2",))
        fleet.list_versions()
        for edge in fleet.edges:
            assert await fleet.async_find(edge, "s") is None

    async def test_edge_that_is_alone_needs_the_store(self) -> None:
        fleet = OriginFleet(1, versions=("v2",))
        fleet.list_versions()
        assert await fleet.async_find(fleet.edges[0], "s") is None
        fleet.list_versions("v2")
        assert await fleet.async_find(fleet.edges[0], "s") == V2

    async def test_old_state_of_the_store_is_enough_for_one_version(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        for each in fleet.edges:
            each.age_s = 10.0
        assert await fleet.async_find(fleet.edges[0], "s") == V1

    async def test_long_history_with_a_gap_is_enough_without_the_store(self) -> None:
        fleet = OriginFleet(6, versions=("v1",))
        fleet.list_versions()
        await fleet.async_pass(RETENTION_S + 1.0)
        for each in fleet.edges:
            each.age_s = 10.0
        await fleet.async_pass(1.0)
        assert await fleet.async_find(fleet.edges[0], "s") == V1

    async def test_old_version_is_known_after_edges_restart_in_turn(self) -> None:
        fleet = OriginFleet(4)
        await fleet.async_pass(RETENTION_S + 1.0)
        fleet.set_versions("v2")
        for number, edge in enumerate(list(fleet.edges)):
            fleet.kill(edge, is_known=True)
            fleet.edges.remove(edge)
            started = fleet.add(10 + number)
            await fleet.async_pass(0.5)
            assert await fleet.async_find(started, "s") is None
            await fleet.async_pass(0.5)
        for edge in fleet.edges:
            assert await fleet.async_find(edge, "s") is None

    async def test_edges_do_not_keep_a_version_by_telling_each_other(self) -> None:
        fleet = OriginFleet(4)
        await fleet.async_pass(RETENTION_S + 1.0)
        fleet.set_versions("v2")
        for number in range(4):
            fleet.add(10 + number)
        for _ in range(int(RETENTION_S) + 1):
            for edge in fleet.edges:
                await fleet.async_find(edge, "s")
            await fleet.async_pass(1.0)
        for edge in fleet.edges:
            assert await fleet.async_find(edge, "s") == V2


class TestMovedRoutes:
    """Streams of a route that a configuration moves to another service."""

    async def async_move(self) -> tuple[OriginFleet, Route]:
        """Begin a stream at one service, and move its route to another one."""
        fleet = OriginFleet(2, versions=("v1",))
        other = make_runner("o-v1", service="other", software_version="v1")
        for edge in fleet.edges:
            edge.origins.view.update_runner(other)
        await fleet.async_pass(2 * RETENTION_S)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        await fleet.async_pass(2 * RECORDS_INTERVAL_S)
        shares = (TrafficShare(service="other", weight=1.0),)
        moved = evolve(ROUTE, shares=shares)
        for edge in fleet.edges:
            edge.origins.view.apply_table(make_table(version=2, routes=(moved,)))
            edge.origins.update()
        await fleet.async_pass(2 * RECORDS_INTERVAL_S)
        return fleet, moved

    async def test_stream_does_not_go_on_at_the_new_service(self) -> None:
        """Only the current services of the route were asked for."""
        fleet, moved = await self.async_move()
        fleet.kill(fleet.edges[0])
        origins = fleet.edges[1].origins
        digest = identify_stream(None, "s")
        found = await origins.async_find(digest, origins.list_services(moved))
        assert isinstance(found, FoundOrigin)
        assert found.origin == V1

    async def test_earlier_service_counts_no_longer_than_a_stream_lives(self) -> None:
        fleet, moved = await self.async_move()
        await fleet.async_pass(RETENTION_S + 1.0)
        origins = fleet.edges[1].origins
        assert origins.list_services(moved) == ("other",)
        assert origins.route_services.list_moved() == frozenset()
        found = await origins.async_find("unknown", ("other",))
        assert isinstance(found, FoundOrigin)
        assert found.origin.service == "other"


class TestCost:
    """What the records cost while all streams are of a service with two versions."""

    @pytest.mark.parametrize(("size", "data_centres"), [(9, 3), (73, 3), (2400, 39)])
    async def test_traffic_and_memory_of_a_host(
        self, size: int, data_centres: int
    ) -> None:
        fleet = OriginFleet(0, data_centres=data_centres)
        edge = fleet.add(0)
        for number in range(1, size):
            member = make_member(number, data_centres)
            edge.origins.view.members[f"members/{member.host}"] = member
            fleet.by_address[member.peer_address] = edge
        edge.origins.update()
        seconds = 4
        for number in range(seconds * STREAMS_PER_S):
            fleet.begin_stream(edge, f"s{number}", (V1, V2)[number % 2])
            await asyncio.sleep(1 / STREAMS_PER_S)
        assert edge.sent_bytes / seconds <= MAX_BYTES_PER_S

    def test_no_host_keeps_the_records_of_many(self) -> None:
        members = [make_member(number, 39) for number in range(2400)]
        kept: dict[str, int] = {}
        for own in members[:400]:
            others = [each for each in members if each is not own]
            for each in choose_holders(own.incarnation, own.data_centre, others):
                kept[each.incarnation] = kept.get(each.incarnation, 0) + 1
        assert max(kept.values()) <= 4

    def test_records_stay_within_their_memory(self) -> None:
        tracemalloc.start()
        records = StreamRecords()
        for number in range(MAX_RECORDS + 100):
            origin = StreamOrigin(
                service="llm", software_version=f"v{number % 2}", runner_id=""
            )
            digest = identify_stream(None, str(number))
            records.add(digest, origin, float(number), is_own=True)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(records) == MAX_RECORDS
        assert used < MAX_MEMORY_BYTES / 4
        records.forget(float(MAX_RECORDS))
        assert len(records) == 100


class TestRetention:
    """Records of old streams, and of those that callers have received completely."""

    async def test_old_records_are_dropped(self) -> None:
        fleet = OriginFleet(3)
        fleet.begin_stream(fleet.edges[0], "s", V1)
        await fleet.async_pass(RETENTION_S - 1.0)
        assert len(fleet.edges[0].origins.records) == 1
        await fleet.async_pass(2.0)
        assert [len(each.origins.records) for each in fleet.edges] == [0, 0, 0]

    async def test_ended_stream_is_not_told(self) -> None:
        fleet = OriginFleet(3)
        edge = fleet.edges[0]
        fleet.begin_stream(edge, "first", V1)
        told = edge.datagrams
        fleet.begin_stream(edge, "s", V1)
        edge.origins.end(identify_stream(None, "s"))
        await fleet.async_pass(1.0)
        assert edge.datagrams == told == 2
