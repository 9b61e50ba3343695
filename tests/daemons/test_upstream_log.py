"""Tests of the log of upstreams."""

from collections.abc import Iterator
from typing import Any

import pytest
from attrs import evolve

from mangoway.daemons import upstream_log
from mangoway.daemons.upstream_log import UpstreamLog
from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import DataCentreId, IncarnationId, UpstreamId
from mangoway.models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
    UpstreamAddress,
    UpstreamKind,
)

ENGINE = UpstreamId("e1")
INCARNATION = IncarnationId("e1.1")
DESCRIPTION = EngineDescription(
    upstream=ENGINE,
    incarnation=INCARNATION,
    memory_mb=100,
    accelerators=1,
    checks_fences=True,
    max_running=1,
    tokens_per_second=1.0,
)
RESIDENT = ResidentArtifact(
    artifact=Artifact.parse("chat@1"), memory_mb=90, state=Residency.READY
)
REPORT = EngineReport(
    upstream=ENGINE,
    incarnation=INCARNATION,
    reported_at=0.0,
    running=0,
    waiting=0,
    residents=(RESIDENT,),
)
ADDRESS = UpstreamAddress(
    id=ENGINE,
    kind=UpstreamKind.ENGINE,
    address="127.0.0.1:1",
    data_centre=DataCentreId("dc1"),
)


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[Any]]:
    events: list[Any] = []
    monkeypatch.setattr(upstream_log, "log_event", events.append)
    yield events


def list_event_names(events: list[Any]) -> list[str]:
    return [type(event).__name__ for event in events]


class TestUpstreamLog:
    """Each change is logged once."""

    def test_leaving_is_logged_once_for_all_sources(self, logged: list[Any]) -> None:
        log = UpstreamLog()
        log.record_report(evolve(REPORT, leaving=True))
        log.record_listed([evolve(ADDRESS, leaving=True)])
        assert list_event_names(logged) == ["UpstreamLeaving"]
        assert logged[0].source == "upstream"

    def test_upstream_that_is_listed_again_is_new(self, logged: list[Any]) -> None:
        log = UpstreamLog()
        log.record_listed([evolve(ADDRESS, leaving=True)])
        log.record_listed([])
        log.record_listed([evolve(ADDRESS, leaving=True)])
        assert list_event_names(logged) == ["UpstreamLeaving"] * 2

    def test_restart_is_logged_with_a_new_description(self, logged: list[Any]) -> None:
        log = UpstreamLog()
        log.record_description(DESCRIPTION)
        log.record_description(evolve(DESCRIPTION, incarnation=IncarnationId("e1.2")))
        assert list_event_names(logged) == [
            "UpstreamMet",
            "UpstreamRestarted",
            "UpstreamMet",
        ]

    def test_memory_over_the_size_is_logged_once(self, logged: list[Any]) -> None:
        log = UpstreamLog()
        log.record_description(DESCRIPTION)
        log.record_report(evolve(REPORT, kv_cache_used_mb=10))
        over = evolve(REPORT, kv_cache_used_mb=11)
        log.record_report(over)
        log.record_report(over)
        assert list_event_names(logged) == ["UpstreamMet", "MemoryExceeded"]
        assert (logged[1].used_mb, logged[1].size_mb) == (101, 100)
