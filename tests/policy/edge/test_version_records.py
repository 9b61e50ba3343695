"""Tests of when software versions are recorded in the store, and by whom."""

import math
from collections.abc import Iterable
from itertools import pairwise

import pytest

from mangoway.models.routing import RouteKind
from mangoway.policy.edge.software_versions import ServiceVersion
from mangoway.policy.edge.version_records import (
    DEFAULT_RETENTION_S,
    EDGE_DELAY_S,
    LATE_REWRITE_S,
    MAX_EDGE_WRITERS,
    MAX_LEASE_S,
    MAX_RECORDS,
    MIRROR_DELAY_S,
    RecordSchedule,
    choose_edge_delay_s,
    choose_lease_s,
    choose_rewrite_s,
    get_retention_s,
    list_streaming_services,
)

from ...fakes.fleet import make_route, make_table

V1 = ("llm", "v1")
V2 = ("llm", "v2")
REWRITE_S = 10.0


class TestTimes:
    """Times of the records."""

    def test_retention_follows_the_longest_stream(self) -> None:
        routes = (
            make_route(timeout_s=4.0),
            make_route(timeout_s=7.0, prefix="/long/"),
            make_route(RouteKind.SAFE, timeout_s=90.0, service="plain", prefix="/p/"),
        )
        table = make_table(routes=routes)
        assert get_retention_s(table) == 14.0
        assert list_streaming_services(table) == {"llm"}
        assert get_retention_s(None) == DEFAULT_RETENTION_S
        assert get_retention_s(make_table()) == 0.0

    @pytest.mark.parametrize("retention_s", [1.0, 6.0, 20.0, 60.0, 240.0, 500.0])
    def test_record_outlives_each_stream_that_began_at_its_version(
        self, retention_s: float
    ) -> None:
        lease_s = choose_lease_s(retention_s)
        latest_s = choose_rewrite_s(retention_s) + MAX_EDGE_WRITERS * EDGE_DELAY_S
        assert lease_s >= retention_s + latest_s
        assert lease_s <= MAX_LEASE_S

    def test_lease_is_one_that_the_platform_grants(self) -> None:
        assert choose_lease_s(5000.0) == MAX_LEASE_S
        assert choose_rewrite_s(5000.0) + LATE_REWRITE_S < MAX_LEASE_S


class TestEdgeDelays:
    """Which edges write if nobody else does."""

    @pytest.mark.parametrize("size", [1, 9, 2400])
    def test_few_edges_write_and_one_after_the_other(self, size: int) -> None:
        edges = [f"mangoway/members/edge/host-{number}" for number in range(size)]
        delays_s = sorted(choose_edge_delay_s(each, edges) for each in edges)
        writers = [each for each in delays_s if each < math.inf]
        assert len(writers) == min(size, MAX_EDGE_WRITERS)
        assert writers[0] >= EDGE_DELAY_S
        assert all(
            after - before >= EDGE_DELAY_S for before, after in pairwise(writers)
        )


class World:
    """A store with records, and one process that may write them."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.schedule = RecordSchedule()
        self.delay_s = delay_s
        self.written: dict[ServiceVersion, int] = {}
        self.revision = 0
        self.now = 0.0

    def write(self, *versions: ServiceVersion) -> None:
        self.revision += 1
        self.written |= dict.fromkeys(versions, self.revision)

    def list_due(
        self, present: Iterable[ServiceVersion], recent: Iterable[ServiceVersion] = ()
    ) -> list[ServiceVersion]:
        return self.schedule.list_due(
            now=self.now,
            rewrite_s=REWRITE_S,
            choose_delay_s=lambda: self.delay_s,
            present=set(present),
            recent={*present, *recent},
            written=self.written,
        )


class TestSchedule:
    """What a process writes."""

    def test_leader_writes_a_new_version_at_once(self) -> None:
        world = World()
        assert world.list_due([V1]) == [V1]
        world.write(V1)
        assert world.list_due([V1, V2]) == [V2]

    def test_records_of_versions_with_runners_are_rewritten_together(self) -> None:
        world = World()
        world.list_due([])
        world.write(V1)
        assert world.list_due([V1]) == []
        world.now = 6.0
        world.write(V2)
        assert world.list_due([V1, V2]) == []
        world.now = REWRITE_S
        assert world.list_due([V1, V2]) == [V1, V2]
        world.write(V1, V2)
        world.now = 2 * REWRITE_S - 0.1
        assert world.list_due([V1, V2]) == []

    def test_record_of_a_version_that_has_gone_is_left_to_expire(self) -> None:
        world = World()
        world.list_due([])
        world.write(V1, V2)
        world.list_due([V1, V2])
        world.now = REWRITE_S
        assert world.list_due([V2], recent=[V1]) == [V2]

    def test_record_that_the_store_has_lost_is_written_again(self) -> None:
        world = World()
        world.write(V2)
        assert V1 in world.list_due([V2], recent=[V1])

    def test_record_of_unknown_age_counts_as_due(self) -> None:
        world = World()
        world.write(V1)
        assert world.list_due([V1]) == [V1]

    @pytest.mark.parametrize("delay_s", [3.0, math.inf])
    def test_writes_are_left_to_others_for_a_while(self, delay_s: float) -> None:
        world = World(delay_s)
        assert world.list_due([V1]) == []
        world.now = 2.9
        assert world.list_due([V1]) == []
        world.now = 3.0
        assert world.list_due([V1]) == ([V1] if delay_s == 3.0 else [])

    def test_rewrite_of_another_process_is_noticed(self) -> None:
        world = World(3.0)
        world.list_due([])
        world.write(V1)
        world.list_due([V1])
        world.now = REWRITE_S + 2.9
        assert world.list_due([V1]) == []
        world.write(V1)
        world.now = REWRITE_S + 3.1
        assert world.list_due([V1]) == []

    def test_own_write_is_not_repeated_before_the_mirror_shows_it(self) -> None:
        world = World()
        assert world.list_due([V1]) == [V1]
        world.schedule.record_written([V1], world.now)
        world.now = MIRROR_DELAY_S - 0.1
        assert world.list_due([V1]) == []
        world.now = MIRROR_DELAY_S
        assert world.list_due([V1]) == [V1]

    def test_edges_are_not_iterated_over_while_nothing_is_due(self) -> None:
        world = World()
        world.list_due([])
        world.write(V1)
        world.delay_s = math.nan
        world.now = REWRITE_S - 0.1
        world.schedule.list_due(
            now=world.now,
            rewrite_s=REWRITE_S,
            choose_delay_s=lambda: pytest.fail("called"),
            present={V1},
            recent={V1},
            written={V1: 1},
        )

    def test_number_of_records_is_bounded(self) -> None:
        world = World()
        present = {("llm", f"v{number}") for number in range(10)}
        recent = {("llm", f"w{number}") for number in range(2 * MAX_RECORDS)}
        due = world.list_due(present, recent)
        assert len(due) == MAX_RECORDS
        assert present <= set(due)
