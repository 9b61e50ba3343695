"""Tests of how a silent runner is left for another one."""

import pytest

from mangoway.models.routing import RouteKind, ServiceProfile
from mangoway.policy.edge.silence import keeps_silent_runner, list_searches

from ...fakes.fleet import make_engine, make_route

LLM = ServiceProfile(
    name="llm", health_path="", max_connections=0, engine=make_engine(["a"])
)
PLAIN = ServiceProfile(name="plain", health_path="", max_connections=0)


class TestKeepsSilentRunner:
    """Silent runners that are kept until another one has accepted."""

    def test_stream_that_has_begun_is_kept(self) -> None:
        assert keeps_silent_runner(make_route(), LLM, events=1)

    @pytest.mark.parametrize(
        ("kind", "service", "events"),
        [
            (RouteKind.STREAMING, LLM, 0),
            (RouteKind.STREAMING, PLAIN, 1),
            (RouteKind.SAFE, LLM, 1),
        ],
    )
    def test_other_requests_free_their_runner_at_once(
        self, kind: RouteKind, service: ServiceProfile, events: int
    ) -> None:
        assert not keeps_silent_runner(make_route(kind), service, events)


class TestListSearches:
    """Runners that are not searched for a silent one's request."""

    def test_rejecting_runner_gets_it_again_only_after_the_others(self) -> None:
        searches = list_searches({"i-1", "i-2"}, {"i-2"}, 3)
        assert searches == [{"i-1", "i-2"}, {"i-1"}]

    def test_rejecting_runner_gets_it_again_at_the_limit(self) -> None:
        assert list_searches({"i-1", "i-2"}, {"i-2"}, 2) == [{"i-1"}]

    @pytest.mark.parametrize("max_attempts", [2, 3])
    def test_runner_that_did_not_get_it_is_none_of_the_tried(
        self, max_attempts: int
    ) -> None:
        searches = list_searches({"i-1", "i-2"}, {"i-3"}, max_attempts)
        assert searches == [{"i-1", "i-2"}]
