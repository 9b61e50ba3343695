"""Tests of what is concluded about the origin of a stream."""

import pytest

from mangoway.models.streams import StreamOrigin
from mangoway.policy.edge.origin_search import (
    FoundOrigin,
    OriginAnswer,
    OriginBasis,
    OriginSearch,
    UnknownOrigin,
)
from mangoway.policy.edge.software_versions import VersionEvidence

V1 = StreamOrigin(service="llm", software_version="v1", runner_id="")


def make_evidence(*versions: str, is_certain: bool = True) -> VersionEvidence:
    return VersionEvidence(
        versions=frozenset(("llm", each) for each in versions), is_certain=is_certain
    )


def make_search(
    *versions: str,
    is_certain: bool = True,
    is_current: bool = True,
    backing: OriginBasis | None = None,
    peers: str = "",
) -> OriginSearch:
    own = make_evidence(*versions, is_certain=is_certain)
    search = OriginSearch(own, is_current=is_current, backing=backing)
    search.ask(peers)
    return search


def answer(
    search: OriginSearch,
    peer: str,
    *versions: str,
    is_certain: bool = True,
    origin: StreamOrigin | None = None,
) -> FoundOrigin | UnknownOrigin | None:
    evidence = make_evidence(*versions, is_certain=is_certain)
    search.handle_answer(peer, OriginAnswer(origin=origin, evidence=evidence))
    return search.get_result()


def make_only(basis: OriginBasis) -> FoundOrigin:
    return FoundOrigin(origin=V1, told_by="", basis=basis)


def make_unknown(*versions: str, unanswered: int = 0) -> UnknownOrigin:
    known = tuple(("llm", each) for each in versions)
    return UnknownOrigin(unanswered=unanswered, versions=known)


BACKINGS = [OriginBasis.STORE_RECORDS, OriginBasis.GAPPED_HISTORY]


class TestOneVersion:
    """Streams that only one version can have begun."""

    def test_certain_host_asks_nobody(self) -> None:
        result = make_search("v1", peers="ab").get_result()
        assert result == make_only(OriginBasis.OWN_HISTORY)

    def test_one_certain_peer_is_enough(self) -> None:
        search = make_search("v1", is_certain=False, peers="ab")
        assert search.get_result() is None
        assert answer(search, "b", "v1", is_certain=False) is None
        assert answer(search, "a", "v1") == make_only(OriginBasis.PEER_HISTORY)

    def test_host_that_has_just_started_takes_the_version_of_its_peers(self) -> None:
        search = make_search(is_certain=False, peers="a")
        assert answer(search, "a", "v1") == make_only(OriginBasis.PEER_HISTORY)

    @pytest.mark.parametrize(
        ("is_current", "answered", "is_found"),
        [(True, "", True), (False, "a", True), (False, "", False)],
    )
    @pytest.mark.parametrize("backing", BACKINGS)
    def test_without_certainty_somebody_must_be_current_or_agree(
        self, backing: OriginBasis, is_current: bool, answered: str, is_found: bool
    ) -> None:
        search = make_search(
            "v1",
            is_certain=False,
            is_current=is_current,
            backing=backing,
            peers="abc",
        )
        for peer in answered:
            assert answer(search, peer, "v1", is_certain=False) is None
        unknown = make_unknown("v1", unanswered=3)
        assert search.end() == (make_only(backing) if is_found else unknown)

    @pytest.mark.parametrize("is_current", [True, False])
    @pytest.mark.parametrize("peers", ["", "abc"])
    def test_version_isnt_the_only_one_because_young_hosts_know_no_other(
        self, is_current: bool, peers: str
    ) -> None:
        search = make_search("v2", is_certain=False, is_current=is_current, peers=peers)
        for peer in peers:
            answer(search, peer, "v2", is_certain=False)
        assert search.get_result() == make_unknown("v2")

    @pytest.mark.parametrize("backing", BACKINGS)
    def test_host_alone_trusts_what_it_knows_with_a_backing(
        self, backing: OriginBasis
    ) -> None:
        search = make_search("v1", is_certain=False, is_current=False, backing=backing)
        assert search.get_result() == make_only(backing)

    def test_peers_are_asked_though_the_store_lists_one_version(self) -> None:
        search = make_search(
            "v2", is_certain=False, backing=OriginBasis.STORE_RECORDS, peers="ab"
        )
        assert search.get_result() is None
        assert answer(search, "a", "v1", "v2") is None
        assert answer(search, "b", "v2") == make_unknown("v1", "v2")


class TestSeveralVersions:
    """Streams that several versions may have begun."""

    def test_record_is_needed(self) -> None:
        search = make_search("v1", "v2", peers="ab")
        assert answer(search, "a", "v1", "v2") is None
        assert answer(search, "b", "v1", "v2") == make_unknown("v1", "v2")

    def test_record_of_any_peer_ends_the_search(self) -> None:
        search = make_search("v1", "v2", peers="abc")
        expected = FoundOrigin(origin=V1, told_by="b", basis=OriginBasis.PEER_RECORD)
        assert answer(search, "b", "v1", "v2", origin=V1) == expected
        assert search.end() == expected

    def test_version_that_only_a_peer_has_seen_counts(self) -> None:
        search = make_search("v2", is_certain=False, peers="ab")
        assert answer(search, "a", "v1", "v2") is None
        assert answer(search, "b", "v2") == make_unknown("v1", "v2")

    def test_missing_answers_are_counted(self) -> None:
        search = make_search("v1", "v2", peers="abc")
        answer(search, "a", "v1")
        assert search.end() == make_unknown("v1", "v2", unanswered=2)

    def test_nothing_is_known_without_runners(self) -> None:
        assert make_search().get_result() == make_unknown()

    def test_answer_that_nobody_asked_for_is_ignored(self) -> None:
        search = make_search("v1", "v2", peers="a")
        assert answer(search, "x", "v1", origin=V1) is None


class TestRetries:
    """Whether asking again soon is of use."""

    @pytest.mark.parametrize(
        ("versions", "unanswered", "is_final"),
        [((), 0, True), (("v1",), 0, False), (("v1", "v2"), 0, True)]
        + [((), 1, False), (("v1", "v2"), 1, False)],
    )
    def test_origin_may_be_known_soon_if_the_store_or_a_peer_may_state_it(
        self, versions: tuple[str, ...], unanswered: int, is_final: bool
    ) -> None:
        assert make_unknown(*versions, unanswered=unanswered).is_final == is_final
