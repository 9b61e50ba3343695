"""Tests that no window exceeds a quota when all processes of a role restart at once.

The spending of a process that was killed is reported by nobody. A scheduler that starts
must not take what the remaining hosts report for all of it.
"""

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from mangoway.policy.customers.spending import SpendingHistory

from .test_quota import ALLOWED, BURST
from .test_quota_machine import HOSTS, Host, QuotaMachine, make_tracker

ROLLING_S = 0.9
"""Time between two restarts of a release."""


@define(eq=False)
class RestartedHost(Host):
    """A host that was killed, with neither its spending nor a scheduler."""

    scheduler: int | None = None
    spending: SpendingHistory = field(factory=SpendingHistory)


class RestartMachine(QuotaMachine):
    """The same fleet, of which all processes of a role may be killed at once."""

    def restart_hosts(self, first: int, count: int) -> None:
        for index in range(first, first + count):
            self.hosts[index] = RestartedHost(
                make_tracker(self.now, disconnected=True), disconnected_since=self.now
            )
        self.update_shares()

    def replace_schedulers(self) -> None:
        """Kill both schedulers; the hosts that they served are disconnected."""
        for host in self.hosts:
            self.connect(host, None)
        self.schedulers = [make_tracker(self.now, disconnected=False) for _ in range(2)]
        self.update_shares()

    @rule(count=st.integers(1, HOSTS), connected=st.booleans())
    @precondition(lambda self: self.now > 110.0)
    def kill_hosts(self, count: int, connected: bool) -> None:
        """Kill some or all hosts; they connect to the scheduler again, or later."""
        self.restart_hosts(0, count)
        if connected:
            self.connect_all(0)

    @rule(count=st.integers(1, HOSTS), connected=st.booleans())
    @precondition(lambda self: self.now > 110.0)
    def kill_hosts_and_schedulers(self, count: int, connected: bool) -> None:
        """Kill the schedulers and some or all hosts at once."""
        self.replace_schedulers()
        self.restart_hosts(0, count)
        if connected:
            self.connect_all(0)

    @rule(seconds=st.floats(0.1, 0.9))
    @precondition(lambda self: self.now > 110.0)
    def restart_hosts_in_turn(self, seconds: float) -> None:
        """Restart a host each so often, as a release does."""
        for index in range(HOSTS):
            self.restart_hosts(index, 1)
            self.connect(self.hosts[index], 0)
            self.send_requests(seconds, [1500.0, 400.0])


TestRestartMachine = RestartMachine.TestCase
TestRestartMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)


def start_fleet() -> RestartMachine:
    """Return a fleet that has used its whole quota for a window."""
    fleet = RestartMachine()
    fleet.start()
    for _ in range(5):
        fleet.send_requests(2.0, [1500.0, 400.0])
    return fleet


def send_for_a_window(fleet: RestartMachine) -> None:
    for _ in range(8):
        fleet.send_requests(1.0, [1500.0, 400.0])
        fleet.no_window_exceeds_limit()


class TestRestarts:
    """Cases that the state machine seldom reaches."""

    def test_report_of_one_surviving_host_restores_no_burst(self) -> None:
        fleet = start_fleet()
        fleet.replace_schedulers()
        fleet.restart_hosts(0, HOSTS - 1)
        fleet.connect_all(0)
        account_before = fleet.schedulers[0].get_balance("acme", fleet.now)
        assert account_before is not None
        assert account_before < 0.5 * BURST
        send_for_a_window(fleet)

    def test_all_restart_twice_within_a_window(self) -> None:
        fleet = start_fleet()
        for _ in range(2):
            fleet.replace_schedulers()
            fleet.restart_hosts(0, HOSTS)
            fleet.send_requests(1.5, [1500.0, 400.0])
            fleet.connect_all(0)
            fleet.send_requests(1.0, [1500.0, 400.0])
            fleet.no_window_exceeds_limit()
        send_for_a_window(fleet)

    def test_schedulers_restart_in_turn_with_all_hosts(self) -> None:
        fleet = start_fleet()
        for _ in range(4):
            fleet.replace_schedulers()
            fleet.restart_hosts(1, HOSTS - 1)
            fleet.connect_all(0)
            fleet.send_requests(ROLLING_S, [1500.0, 400.0])
            fleet.no_window_exceeds_limit()
        total = sum(amount for _, amount in fleet.arrivals)
        assert 0 < total <= ALLOWED
