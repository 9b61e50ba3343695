"""Tests of the history of software versions."""

from mangoway.policy.edge.software_versions import MAX_VERSIONS, VersionHistory

from ...fakes.fleet import make_runner

OLD = make_runner("r1", software_version="v1")
NEW = make_runner("r2", software_version="v2")
PLAIN = make_runner("r3", service="plain")


class TestHistory:
    """Versions that were seen within a time."""

    def test_version_of_a_removed_runner_is_kept(self) -> None:
        history = VersionHistory()
        history.update([OLD], 10.0, is_gapless=True)
        history.update([NEW], 12.0, is_gapless=True)
        assert history.list_recent(["llm"], 10.0) == {("llm", "v1"), ("llm", "v2")}
        assert history.list_recent(["llm"], 11.0) == {("llm", "v2")}

    def test_versions_of_other_services_are_left_out(self) -> None:
        history = VersionHistory()
        history.update([OLD, PLAIN], 10.0, is_gapless=True)
        assert history.list_recent(["plain"], 0.0) == {("plain", "")}
        assert history.count_versions(0.0) == {"llm": 1, "plain": 1}

    def test_runner_without_a_version_has_one_of_its_own(self) -> None:
        history = VersionHistory()
        unstated = make_runner("r4")
        history.update([OLD, unstated], 10.0, is_gapless=True)
        assert history.count_versions(0.0) == {"llm": 2}

    def test_forgotten_versions_are_gone(self) -> None:
        history = VersionHistory()
        history.update([OLD], 10.0, is_gapless=True)
        history.update([NEW], 12.0, is_gapless=True)
        history.forget(11.0)
        assert history.list_recent(["llm"], 0.0) == {("llm", "v2")}


class TestCoverage:
    """Times of which all versions are known."""

    def test_nothing_is_known_before_the_first_runners(self) -> None:
        history = VersionHistory()
        assert not history.covers(100.0)
        history.update([OLD], 10.0, is_gapless=True)
        assert not history.covers(9.0)
        assert history.covers(10.0)

    def test_gap_begins_a_new_history(self) -> None:
        history = VersionHistory()
        history.update([OLD], 10.0, is_gapless=True)
        history.update([OLD], 30.0, is_gapless=False)
        assert not history.covers(29.0)
        assert history.covers(30.0)

    def test_history_with_a_gap_still_reaches_back(self) -> None:
        history = VersionHistory()
        assert not history.reaches(100.0)
        history.update([OLD], 10.0, is_gapless=True)
        history.update([OLD], 30.0, is_gapless=False)
        assert history.reaches(10.0)
        assert not history.reaches(9.0)


class TestToldVersions:
    """Versions that a host has not seen itself."""

    def test_told_version_counts_from_the_time_at_which_it_was_seen(self) -> None:
        history = VersionHistory()
        history.update([NEW], 10.0, is_gapless=True)
        history.learn(("llm", "v1"), 7.0)
        assert history.list_recent(["llm"], 7.0) == {("llm", "v1"), ("llm", "v2")}
        assert history.list_recent(["llm"], 8.0) == {("llm", "v2")}
        ages_s = history.measure_ages([("llm", "v1"), ("llm", "v3")], 12.0)
        assert ages_s == {("llm", "v1"): 5.0}

    def test_earlier_sighting_changes_nothing(self) -> None:
        history = VersionHistory()
        history.learn(("llm", "v1"), 7.0)
        history.learn(("llm", "v1"), 3.0)
        assert history.list_recent(["llm"], 7.0) == {("llm", "v1")}

    def test_recorded_versions_count(self) -> None:
        history = VersionHistory()
        history.update([NEW], 10.0, is_gapless=True)
        recorded = [("llm", "v1"), ("llm", "v2")]
        assert history.count_versions(0.0, recorded) == {"llm": 2}

    def test_oldest_of_too_many_is_dropped(self) -> None:
        history = VersionHistory()
        for number in range(MAX_VERSIONS + 1):
            history.learn(("llm", f"v{number}"), float(number))
        known = history.list_recent(["llm"], 0.0)
        assert len(known) == MAX_VERSIONS
        assert ("llm", "v0") not in known
