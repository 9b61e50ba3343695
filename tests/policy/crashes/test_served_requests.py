"""Tests of the recently served requests."""

from mangoway.models.crash import RequestIdentity
from mangoway.policy.crashes.const import SERVED_RETENTION_S
from mangoway.policy.crashes.served_requests import ServedRequests

SERVED = RequestIdentity("c", "v")


class TestServedRequests:
    """Which requests are kept, and for how long."""

    def test_request_is_kept_for_limited_time(self) -> None:
        served_requests = ServedRequests()
        assert not served_requests.contains(SERVED, 5.0)
        served_requests.add(SERVED, 5.0)
        assert served_requests.contains(SERVED, 5.0 + SERVED_RETENTION_S - 1)
        assert not served_requests.contains(SERVED, 5.0 + SERVED_RETENTION_S)

    def test_content_is_kept_for_all_variants(self) -> None:
        served_requests = ServedRequests()
        served_requests.add(SERVED, 5.0)
        assert served_requests.contains_content("c", 6.0)
        assert not served_requests.contains(RequestIdentity("c", "w"), 6.0)

    def test_oldest_are_dropped_first(self) -> None:
        served_requests = ServedRequests(max_entries=10)
        for number in range(50):
            served_requests.add(SERVED, float(number))
            served_requests.add(RequestIdentity(f"c{number}", "v"), float(number))
        assert len(served_requests) == 10
        assert served_requests.contains(SERVED, 50.0)
        assert not served_requests.contains(RequestIdentity("c3", "v"), 50.0)
