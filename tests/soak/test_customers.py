"""Tests of the checks of customers in a soak."""

import time
from pathlib import Path
from random import Random

from .customers import KEY_ACCEPT_S, REVOKE_S, UNKNOWN_KEY, Customers, Key

NOW = 100.0


def make_customers() -> tuple[Customers, Key]:
    customers = Customers(Random(1))
    customers.record_accepted(NOW)
    return customers, customers.keys[0]


class TestChecks:
    """Faults in the handling of a request."""

    def test_request_with_a_current_key_may_run(self) -> None:
        customers, key = make_customers()
        assert customers.check(key.text, NOW + 10, 200, ran=True) == ""

    def test_request_with_an_unknown_key_must_not_run(self) -> None:
        customers, _ = make_customers()
        assert customers.check(UNKNOWN_KEY, NOW, 401, ran=False) == ""
        assert customers.check(UNKNOWN_KEY, NOW, 200, ran=True)

    def test_removed_key_is_rejected_in_time(self) -> None:
        customers, key = make_customers()
        key.removed_at = NOW
        assert customers.check(key.text, NOW + REVOKE_S, 200, ran=True) == ""
        assert customers.check(key.text, NOW + REVOKE_S + 0.1, 200, ran=True)
        assert customers.check(key.text, NOW + REVOKE_S + 0.1, 401, ran=False) == ""

    def test_current_key_is_not_rejected(self) -> None:
        customers, key = make_customers()
        assert customers.check(key.text, NOW + KEY_ACCEPT_S, 401, ran=False) == ""
        assert customers.check(key.text, NOW + KEY_ACCEPT_S + 0.1, 401, ran=False)


class TestKeys:
    """Added, replaced and logged keys."""

    def test_changed_key_is_replaced(self) -> None:
        customers, _ = make_customers()
        before = {each.text for each in customers.keys}
        customers.change_key(NOW + 1)
        customers.record_accepted(NOW + 1)
        removed = [each for each in customers.keys if each.removed_at is not None]
        assert len(removed) == 1
        listed = {
            text for each in customers.make_document() for text in each["api_keys"]
        }
        assert len(listed) == 2
        assert removed[0].text in before - listed

    def test_new_key_is_used_once_all_hosts_accept_it(self) -> None:
        customers, _ = make_customers()
        for each in customers.keys:
            each.accepted_at = time.monotonic() - KEY_ACCEPT_S - 1
        known = {each.text for each in customers.keys}
        customers.change_key(time.monotonic())
        customers.record_accepted(time.monotonic())
        for _ in range(20):
            assert customers.choose(Random(2), valid=True) in known

    def test_key_in_a_log_is_reported(self, tmp_path: Path) -> None:
        customers, key = make_customers()
        (tmp_path / "a.log").write_text("nothing")
        assert customers.find_in_logs(tmp_path) == []
        (tmp_path / "b.log").write_text(f"key {key.text}")
        assert customers.find_in_logs(tmp_path) == ["key: b.log contains a key"]
