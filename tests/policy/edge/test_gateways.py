"""Tests of the selection of gateways for a caller and of a runner for a request."""

from random import Random

from mangoway.models.fleet import Member, Role
from mangoway.policy.edge.choice import InFlight, choose_runner
from mangoway.policy.edge.const import MAX_GATEWAYS
from mangoway.policy.edge.gateways import choose_gateways

from ...fakes.fleet import make_runner


def make_member(number: int, data_centre: str) -> Member:
    return Member(
        host=f"h{number}",
        role=Role.EDGE,
        data_centre=data_centre,
        incarnation=f"i{number}",
        peer_address="",
        caller_address=f"10.0.0.{number}:80",
    )


class TestChooseGateways:
    """Gateways of the caller's data centre, unless there are too few."""

    def test_own_data_centre_is_preferred(self) -> None:
        members = [make_member(number, f"dc{number % 2}") for number in range(6)]
        gateways = choose_gateways(members, "dc1", Random(1))
        assert {each.data_centre for each in gateways} == {"dc1"}

    def test_single_local_gateway_is_not_returned_alone(self) -> None:
        members = [make_member(1, "dc1"), make_member(2, "dc2"), make_member(3, "dc2")]
        assert len(choose_gateways(members, "dc1", Random(1))) == 3

    def test_list_is_bounded(self) -> None:
        members = [make_member(number, "dc1") for number in range(200)]
        assert len(choose_gateways(members, "dc1", Random(1))) == MAX_GATEWAYS


class TestChooseRunner:
    """The runner with the least load from this process, preferably a local one."""

    def test_local_runner_is_preferred(self) -> None:
        runners = [
            make_runner("far", data_centre="dc2"),
            make_runner("near", data_centre="dc1"),
        ]
        chosen = choose_runner(runners, InFlight(), "dc1", Random(1))
        assert chosen is not None
        assert chosen.runner_id == "near"

    def test_remote_runner_is_chosen_if_local_one_is_loaded(self) -> None:
        runners = [
            make_runner("far", data_centre="dc2"),
            make_runner("near", data_centre="dc1"),
        ]
        in_flight = InFlight()
        for _ in range(40):
            in_flight.add("near")
        chosen = choose_runner(runners, in_flight, "dc1", Random(1))
        assert chosen is not None
        assert chosen.runner_id == "far"

    def test_no_runner_gives_none(self) -> None:
        assert choose_runner([], InFlight(), "dc1", Random(1)) is None
