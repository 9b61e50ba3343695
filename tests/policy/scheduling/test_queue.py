"""Tests of the order of waiting requests, compared with sorting all of them."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from mangoway.policy.scheduling.queue import ServiceQueue
from mangoway.policy.scheduling.requests import WaitingRequest

from ...fakes.fleet import make_grant_request

PREFILL_S = 0.03

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "remove", "wait"]),
        st.integers(0, 30),
        st.sampled_from("ab"),
        st.sampled_from(["", "x"]),
        st.tuples(st.integers(0, 2), st.integers(0, 2)),
        st.floats(0.0, 0.5),
    ),
    max_size=60,
)


def make_waiting(
    request_id: str,
    model: str,
    adapter: str,
    ranks: tuple[int, int],
    left_s: float,
    now: float,
) -> WaitingRequest:
    grant_request = make_grant_request(
        request_id, model, adapter=adapter, priority=ranks[0], objective_s=left_s
    )
    grant_request = evolve(grant_request, route_priority=ranks[1])
    return WaitingRequest(
        grant_request=grant_request,
        arrived_at=now,
        objective_at=now + left_s,
        deadline_at=now + 2.0 + left_s,
        late_at=now + left_s - PREFILL_S,
    )


def rank(waiting: WaitingRequest, now: float) -> tuple[bool, int, int, float, int]:
    late = now > waiting.late_at
    bound = waiting.deadline_at if late else waiting.objective_at
    grant_request = waiting.grant_request
    return (
        late,
        grant_request.priority,
        grant_request.route_priority,
        bound,
        waiting.arrival_number,
    )


class TestOrder:
    """On time before late, then by rank of customer and route, then by time limit."""

    @given(STEPS)
    def test_order_matches_a_sort(
        self, steps: list[tuple[str, int, str, str, tuple[int, int], float]]
    ) -> None:
        queue, known, now = ServiceQueue(), dict[str, WaitingRequest](), 0.0
        for kind, number, model, adapter, ranks, seconds in steps:
            request_id = f"q{number}"
            if kind == "add":
                waiting = make_waiting(request_id, model, adapter, ranks, seconds, now)
                queue.add(waiting, now)
                known[request_id] = waiting
            elif kind == "remove":
                assert queue.remove(("e1", request_id)) is known.pop(request_id, None)
            else:
                now += seconds
            queue.update_late(now)
            expected = sorted(known.values(), key=lambda each: rank(each, now))
            assert queue.list_sorted() == expected
            for name in "ab":
                of_model = [
                    each for each in expected if each.grant_request.model == name
                ]
                assert queue.count_model(name) == len(of_model)
                for each in ("", "x"):
                    listed = list(queue.get_artifacts(name).get(each, ()))
                    assert listed == [
                        w for w in of_model if w.grant_request.adapter == each
                    ]

    def test_removed_edge_leaves_no_requests(self) -> None:
        queue = ServiceQueue()
        queue.add(make_waiting("q1", "a", "", (0, 0), 0.4, 0.0), 0.0)
        queue.remove_edge("e1")
        assert len(queue) == 0
        assert queue.list_models() == []
