"""Tests of the log of unexpected errors."""

import json
from io import StringIO

from mangoway.observability.event_log import LogLevel, start_log
from mangoway.observability.failures import find_location, log_failure
from mangoway.policy.scheduling.slot_times import SlotTimeEstimator


def catch_error() -> Exception:
    """Return an error that a call in the package raised."""
    try:
        SlotTimeEstimator().add_sample("a", "x")  # type: ignore[arg-type]
    except TypeError as error:
        return error
    raise AssertionError("no error was raised")


class TestLocation:
    """The place of an error, which its type and text do not tell."""

    def test_innermost_call_in_the_package_is_named(self) -> None:
        location = find_location(catch_error().__traceback__)
        module, _, place = location.partition(":")
        assert module.startswith("mangoway.policy.scheduling.")
        assert place.split(" ")[0].isdigit()

    def test_error_from_elsewhere_has_no_location(self) -> None:
        assert find_location(KeyError("a").__traceback__) == ""

    def test_event_contains_the_location(self) -> None:
        stream = StringIO()
        stop = start_log(LogLevel.INFO, host="h1", role="edge", stream=stream)
        error = catch_error()
        log_failure(error)
        stop()
        line = json.loads(stream.getvalue().splitlines()[-1])
        assert line["event"] == 156
        assert line["error"] == repr(error)
        assert line["location"] == find_location(error.__traceback__)
