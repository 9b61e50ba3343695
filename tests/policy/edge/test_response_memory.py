"""Tests of the decisions about the bytes that a host holds, in virtual time."""

from hypothesis import given
from hypothesis import strategies as st

from mangoway.policy.edge.response_memory import Holding, MemoryLedger, MemoryLimits

LIMITS = MemoryLimits(read_on_bytes=1000, max_bytes=2000, unread_s=4.0)


def hold(
    ledger: MemoryLedger, unsent: int, now: float, holding: Holding | None = None
) -> Holding:
    """Record unsent bytes of a response of which the caller has read nothing."""
    holding = holding or Holding()
    ledger.update(holding, held=unsent, unsent=unsent, taken=0, now=now)
    return holding


class TestUnread:
    """Tests that only callers who do not read lose their responses."""

    def test_blocked_response_without_progress_is_unread(self) -> None:
        ledger = MemoryLedger(LIMITS)
        holding = hold(ledger, 100, 0.0)
        holding.blocked_at = 1.0
        assert ledger.list_unread(4.9) == []
        assert ledger.list_unread(5.0) == [holding]

    def test_progress_starts_the_time_anew(self) -> None:
        ledger = MemoryLedger(LIMITS)
        holding = hold(ledger, 100, 0.0)
        holding.blocked_at = 0.0
        for second in range(1, 30):
            ledger.update(holding, held=100, unsent=100, taken=second, now=second)
            assert ledger.list_unread(second + 3.9) == []

    def test_idle_time_before_the_response_does_not_count(self) -> None:
        ledger = MemoryLedger(LIMITS)
        holding = hold(ledger, 0, 0.0)
        holding.blocked_at = 0.0
        hold(ledger, 100, 100.0, holding)
        assert ledger.list_unread(103.9) == []

    def test_complete_answer_is_kept_while_memory_suffices(self) -> None:
        ledger = MemoryLedger(LIMITS)
        holding = hold(ledger, 900, 0.0)
        assert ledger.list_unread(1000.0) == []
        hold(ledger, 200, 999.0)
        assert ledger.list_unread(1000.0) == [holding]


class TestShortMemory:
    """Tests which responses are read on while memory is short."""

    def test_responses_are_read_on_up_to_an_equal_share(self) -> None:
        ledger = MemoryLedger(LIMITS)
        stalled, reading = hold(ledger, 1200, 0.0), hold(ledger, 500, 0.0)
        assert not ledger.may_read(stalled)
        assert ledger.may_read(reading)
        hold(ledger, 501, 0.0, reading)
        assert not ledger.may_read(reading)

    def test_first_response_that_is_collected_goes_on(self) -> None:
        """Guards against responses that all wait for the memory of each other."""
        ledger = MemoryLedger(LIMITS)
        both = [Holding(collecting=True), Holding(collecting=True)]
        for each in both:
            ledger.update(each, held=600, unsent=0, taken=0, now=0.0)
        assert [ledger.may_read(each) for each in both] == [True, False]
        ledger.remove(both[0])
        assert ledger.may_read(both[1])

    def test_requests_are_not_broken_off(self) -> None:
        ledger = MemoryLedger(LIMITS)
        ledger.update(Holding(), held=3000, unsent=0, taken=0, now=0.0)
        assert ledger.list_excess(10.0) == []

    @given(
        st.lists(
            st.tuples(st.integers(0, 900), st.floats(0.0, 50.0)),
            min_size=1,
            max_size=20,
        )
    )
    def test_excess_is_chosen_by_unread_time(
        self, rows: list[tuple[int, float]]
    ) -> None:
        ledger = MemoryLedger(LIMITS)
        for size, at in rows:
            hold(ledger, size, at)
        assert ledger.total == sum(size for size, _ in rows)
        chosen = ledger.list_excess(60.0)
        kept = [each for each in ledger.holdings if each not in chosen]
        for one in chosen:
            for other in kept:
                assert one.taken_at <= other.taken_at
        last_bytes = chosen[-1].held_bytes if chosen else 0
        for each in chosen:
            ledger.remove(each)
        assert ledger.total <= LIMITS.max_bytes
        assert not chosen or ledger.total + last_bytes > LIMITS.max_bytes


class TestInputs:
    """Tests which unfinished requests are rejected."""

    def receive(self, ledger: MemoryLedger, size: int) -> Holding:
        holding = Holding()
        ledger.update(holding, held=size, received=size, unsent=0, taken=0, now=0.0)
        return holding

    def test_the_largest_are_rejected_until_the_limit_is_kept(self) -> None:
        ledger = MemoryLedger(MemoryLimits(input_bytes=1000))
        small, large, middle = (self.receive(ledger, each) for each in (50, 900, 300))
        assert ledger.is_exceeded()
        assert ledger.list_large_inputs() == [large]
        ledger.remove(large)
        assert ledger.list_large_inputs() == []
        assert ledger.input_total == 350
        assert list(ledger.holdings) == [small, middle]

    def test_unfinished_requests_do_not_make_memory_short(self) -> None:
        ledger = MemoryLedger(MemoryLimits(read_on_bytes=100, max_bytes=2000))
        self.receive(ledger, 900)
        assert not ledger.is_short()

    def test_they_make_room_for_responses(self) -> None:
        ledger = MemoryLedger(MemoryLimits(max_bytes=1000))
        request = self.receive(ledger, 500)
        ledger.update(Holding(), held=600, unsent=0, taken=0, now=0.0)
        assert ledger.list_excess(0.0) == []
        assert ledger.list_large_inputs() == [request]

    def test_handled_request_counts_no_more_as_unfinished(self) -> None:
        ledger = MemoryLedger(MemoryLimits(input_bytes=100))
        holding = self.receive(ledger, 500)
        ledger.update(holding, held=500, received=0, unsent=0, taken=0, now=0.0)
        assert (ledger.total, ledger.input_total) == (500, 0)
        assert ledger.list_large_inputs() == []
