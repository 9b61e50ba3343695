"""Tests of the memory of requests that ended well."""

from mangoway.models.crash import RequestIdentity
from mangoway.policy.crashes.const import REMEMBERED_S
from mangoway.policy.crashes.served_requests import ServedRequests

SERVED = RequestIdentity("c", "v")


class TestMemory:
    """What is known of earlier runs."""

    def test_request_is_known_for_a_while(self) -> None:
        memory = ServedRequests()
        assert not memory.contains(SERVED, 5.0)
        memory.add(SERVED, 5.0)
        assert memory.contains(SERVED, 5.0 + REMEMBERED_S - 1)
        assert not memory.contains(SERVED, 5.0 + REMEMBERED_S)

    def test_content_is_known_whoever_sent_it(self) -> None:
        memory = ServedRequests()
        memory.add(SERVED, 5.0)
        assert memory.contains_content("c", 6.0)
        assert not memory.contains(RequestIdentity("c", "w"), 6.0)

    def test_oldest_are_forgotten_first(self) -> None:
        memory = ServedRequests(most=10)
        for number in range(50):
            memory.add(SERVED, float(number))
            memory.add(RequestIdentity(f"c{number}", "v"), float(number))
        assert len(memory) == 10
        assert memory.contains(SERVED, 50.0)
        assert not memory.contains(RequestIdentity("c3", "v"), 50.0)
