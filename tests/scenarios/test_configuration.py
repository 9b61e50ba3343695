"""Steps of the scenarios on the configuration."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

import looptime
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import ConfigVersion, HostId
from mangoway.operators.bundle import BASE, name_overlay
from mangoway.operators.merger import load_configuration
from mangoway.operators.repository import ConfigurationRepository, Edit
from tests.fakes.key_value import FakeKeyValueStore
from tests.operators.conftest import make_base, make_edit
from tests.policy.configuration.fleet import Fleet

SETTLE_S = 10.0
SITE = "east"
SPREAD = "[models.chat]\nfloor_data_centres = 2\n"

scenarios("configuration.feature")


@define
class Operators:
    """Operators whose pending edits are applied concurrently, and the results."""

    store: FakeKeyValueStore
    edits: list[Edit] = field(factory=list)
    results: list[Any] = field(factory=list)

    @property
    def repository(self) -> ConfigurationRepository:
        return ConfigurationRepository(self.store)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            return runner.run(work)

    def apply_all(self) -> None:
        """Apply all pending edits concurrently."""

        async def async_apply() -> None:
            self.store.delay_s = 0.01
            applying = (self.repository.async_apply(e, e.nonce) for e in self.edits)
            self.results = await asyncio.gather(*applying, return_exceptions=True)

        if self.edits:
            self.run(async_apply())
            self.edits = []


def find_hosts(fleet: Fleet) -> list[HostId]:
    return list(fleet.data_centres)


@given(
    parsers.parse(
        "{count:d} hosts in {centres:d} data centres that follow the configuration"
    ),
    target_fixture="fleet",
)
def start_fleet(count: int, centres: int) -> Fleet:
    hosts = {HostId(f"host-{number}"): number % centres for number in range(count)}
    fleet = Fleet(hosts, Random(1))
    fleet.run(SETTLE_S)
    check_newest(fleet)
    return fleet


@when("an operator's change is accepted")
def accept_change(fleet: Fleet) -> None:
    fleet.edit()


@when(parsers.parse("{count:d} changes are accepted, one every {seconds:d} seconds"))
def accept_changes(fleet: Fleet, count: int, seconds: int) -> None:
    for _ in range(count):
        fleet.edit()
        fleet.run(seconds)


@when("the watches stall")
def stall_watches(fleet: Fleet) -> None:
    fleet.watch_stalled = True


@when("the key-value service is down")
def stop_service(fleet: Fleet) -> None:
    fleet.service_down = True


@when("messages are lost and delayed")
def break_network(fleet: Fleet) -> None:
    fleet.loss = 0.3
    fleet.lateness_s = 4.0


@when("the network recovers")
def restore_network(fleet: Fleet) -> None:
    fleet.end_faults()


@when(parsers.parse("host {number:d} is paused"))
def pause(fleet: Fleet, number: int) -> None:
    fleet.processes[find_hosts(fleet)[number]].frozen = True


@when(parsers.parse("host {number:d} is resumed"))
def resume(fleet: Fleet, number: int) -> None:
    fleet.resume(find_hosts(fleet)[number])


@when(parsers.parse("host {number:d} is killed"))
def kill(fleet: Fleet, number: int) -> None:
    fleet.stop(find_hosts(fleet)[number])


@when(parsers.parse("host {number:d} is restarted"))
def restart(fleet: Fleet, number: int) -> None:
    host = find_hosts(fleet)[number]
    fleet.stop(host)
    fleet.start(host)


@when(parsers.parse("{seconds:d} seconds pass"))
def run(fleet: Fleet, seconds: int) -> None:
    fleet.run(float(seconds))


@then("every host has the newest version")
def check_newest(fleet: Fleet) -> None:
    live = [process for process in fleet.processes.values() if process.alive]
    assert {process.core.version for process in live} == {fleet.head}


@then("no host ever reverted to an older version")
def check_no_revert(fleet: Fleet) -> None:
    for process in fleet.processes.values():
        assert process.applied == sorted(set(process.applied))


@given(
    parsers.parse("a base file that offers {floor:d} floor copies"),
    target_fixture="operators",
)
def start_operators(floor: int) -> Operators:
    operators = Operators(FakeKeyValueStore())
    operators.edits.append(make_edit(make_base(floor=floor), "first"))
    operators.apply_all()
    return operators


@when("the next response of the key-value service is lost")
def lose_response(operators: Operators) -> None:
    operators.store.lost_answers = 1


@when(parsers.parse("one operator spreads them over 2 data centres in an overlay"))
def edit_overlay(operators: Operators) -> None:
    operators.edits.append(make_edit(SPREAD, "anna", name_overlay(SITE)))


@when(parsers.parse("another lowers them to 1 in the base file at the same time"))
def edit_base(operators: Operators) -> None:
    operators.edits.append(make_edit(make_base(floor=1), "bo"))


@then("one edit is accepted and one rejected")
def check_one_accepted(operators: Operators) -> None:
    operators.apply_all()
    (error,) = [r for r in operators.results if isinstance(r, MangowayError)]
    assert error.code in (ErrorCode.CONFIG_CONFLICT, ErrorCode.CONFIG_INVALID)
    assert operators.run(operators.repository.async_read_head()).version == 2


@then("the base file and the overlay are valid together")
def check_valid(operators: Operators) -> None:
    bundle = operators.run(operators.repository.async_read_bundle(SITE))
    base, overlay = bundle.find_text(BASE), bundle.find_text(name_overlay(SITE))
    load_configuration(base, overlay, ConfigVersion(bundle.version))


@then("the edit is accepted once")
def check_accepted_once(operators: Operators) -> None:
    operators.apply_all()
    (record,) = operators.results
    assert record.version == 2
    assert operators.run(operators.repository.async_read_head()).version == 2
    assert operators.store.writes == 2
