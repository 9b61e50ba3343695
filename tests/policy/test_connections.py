"""Tests of which connection makes room for a new one."""

from hypothesis import given
from hypothesis import strategies as st

from mangoway.policy.connections import (
    MAX_CALLERS,
    MIN_CONNECTIONS,
    ConnectionState,
    ConnectionTable,
    choose_limits,
)

NEW, IDLE, RECEIVING, UNREAD, BUSY = (
    ConnectionState.NEW,
    ConnectionState.IDLE,
    ConnectionState.RECEIVING,
    ConnectionState.UNREAD,
    ConnectionState.BUSY,
)


def fill(*states: ConnectionState) -> ConnectionTable[int]:
    """Return a full table whose connections are numbered from 0."""
    table: ConnectionTable[int] = ConnectionTable(len(states))
    for number, state in enumerate(states):
        assert table.add(number) is None
        table.update_state(number, state)
    return table


class TestConnectionTable:
    """A full table, to which a connection is added."""

    def test_order_of_states(self) -> None:
        table = fill(BUSY, UNREAD, RECEIVING, IDLE, NEW)
        closed = [table.add(number) for number in range(5, 7)]
        assert closed == [(4, NEW), (5, NEW)]
        table.update_state(6, BUSY)
        assert [table.add(7)] == [(3, IDLE)]
        table.update_state(7, BUSY)
        assert [table.add(8)] == [(2, RECEIVING)]
        table.update_state(8, BUSY)
        assert [table.add(9)] == [(1, UNREAD)]

    def test_longest_in_its_state_is_closed(self) -> None:
        table = fill(IDLE, IDLE, IDLE)
        table.update_state(0, BUSY)
        table.update_state(0, IDLE)
        assert table.add(3) == (1, IDLE)

    def test_new_one_is_rejected_if_all_are_busy(self) -> None:
        """A connection with a response under way must not be closed."""
        table = fill(BUSY, BUSY)
        assert table.add(2) == (2, NEW)
        assert len(table) == 2

    def test_response_that_is_still_read_is_kept(self) -> None:
        table = fill(UNREAD, UNREAD)
        table.may_cut = lambda number: number == 1
        assert table.add(2) == (1, UNREAD)
        table.update_state(2, BUSY)
        assert table.add(3) == (3, NEW)

    def test_closed_connection_has_no_state(self) -> None:
        table = fill(IDLE)
        assert table.add(1) == (0, IDLE)
        table.update_state(0, BUSY)
        table.remove(0)
        assert len(table) == 1

    @given(
        st.lists(
            st.tuples(st.integers(0, 12), st.sampled_from([*ConnectionState, None])),
            max_size=80,
        )
    )
    def test_limit_is_kept(
        self, steps: list[tuple[int, ConnectionState | None]]
    ) -> None:
        table: ConnectionTable[int] = ConnectionTable(4)
        states: dict[int, ConnectionState] = {}
        for number, state in steps:
            if state is None:
                table.remove(number)
                states.pop(number, None)
            elif number in states:
                table.update_state(number, state)
                states[number] = state
            else:
                closed = table.add(number)
                states[number] = NEW
                if closed is not None:
                    assert states.pop(closed[0]) is closed[1]
                    assert closed[1] is not BUSY
            assert len(table) == len(states) <= 4


class TestLimits:
    """Limits by the descriptors of a process."""

    @given(st.integers(64, 2_000_000))
    def test_half_of_the_descriptors_is_left(self, descriptors: int) -> None:
        limits = choose_limits(descriptors)
        shares = (limits.callers, limits.directory, limits.ready, limits.metrics)
        assert sum(shares) <= descriptors / 2
        assert min(shares) >= MIN_CONNECTIONS
        assert limits.callers <= MAX_CALLERS

    def test_smallest_host(self) -> None:
        limits = choose_limits(1638)
        assert (limits.callers, limits.directory, limits.ready) == (491, 98, 49)
