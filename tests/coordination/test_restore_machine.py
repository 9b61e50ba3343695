"""State machine of a fleet whose store comes back from copies at any moment.

What a running process believes is never older than what it once knew, and once the
faults have ended it is what the store holds.
"""

import asyncio
import math
from typing import Any

import looptime
import orjson
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mangoway.coordination.removed_entries import HOLD_S
from mangoway.models.fleet import Role
from mangoway.platform.documents import CONFIGURATION_KEY, RUNNER_PREFIX

from ..fakes.coordination_store import FakeCoordinationStore, StoreCopy
from ..fakes.process import FakeProcess, FakeRelay

SCHEDULERS = ("s1", "s2")
EDGES = ("e1", "e2", "e3")
SETTLE_S = HOLD_S + 10.0
"""Time without faults within which all processes know the state of the store."""

MAX_AGE_S = 2.0
OBSERVE_S = 0.1
"""Time between two observations of the processes."""

STEP_S = st.sampled_from([0.01, 0.1, 0.4, 1.1, 3.5])


class RestoreMachine(RuleBasedStateMachine):
    """Processes, the operator and the runners around one store."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.store = FakeCoordinationStore()
        self.processes: dict[str, FakeProcess] = {}
        self.incarnations = 0
        self.written: dict[str, bytes] = {}
        """What the operator and the runners wrote, by key."""

        self.removed: set[str] = set()
        """Keys that runners removed."""

        self.copies: list[StoreCopy] = []
        self.version = 0
        self.runners = 0
        self.seen_versions: dict[int, int] = {}
        """Highest version that each process has applied, by its incarnation."""

        self.seen_draining: dict[int, set[str]] = {}
        """Draining runners that each process has seen, by its incarnation."""

        self.fence_holders: dict[int, str] = {}

    def run(self, seconds: float) -> None:
        """Let the processes run for some time."""
        steps = math.ceil(seconds / OBSERVE_S)
        for _ in range(steps):
            self.loop.run_until_complete(asyncio.sleep(seconds / steps))
            self.observe()

    def observe(self) -> None:
        """Check each process against what it once knew."""
        for name, process in self.processes.items():
            identity = id(process)
            table = process.view.table
            version = 0 if table is None else table.version
            assert version >= self.seen_versions.get(identity, 0), name
            self.seen_versions[identity] = version
            draining = self.seen_draining.setdefault(identity, set())
            for runner_id, entry in process.view.runners.items():
                if entry.draining:
                    draining.add(runner_id)
            for runner_id in draining:
                assert process.view.find_open_runner(runner_id) is None, name
            fence = process.leadership.fence
            if process.leadership.may_order and fence is not None:
                assert self.fence_holders.setdefault(fence, name) == name

    def start(self, name: str) -> None:
        """Start a process, unless it runs."""
        if name in self.processes:
            return

        async def async_start() -> FakeProcess:
            role = Role.SCHEDULER if name in SCHEDULERS else Role.EDGE
            self.incarnations += 1
            return FakeProcess(self.store, name, role, self.incarnations)

        self.processes[name] = self.loop.run_until_complete(async_start())

    def connect_all(self) -> None:
        """Let all edges follow the leader."""
        leader = self.find_leader()
        for name in EDGES:
            process = self.processes.get(name)
            if process is not None and leader is not None:
                self.disconnect(process)
                self.get_relay(leader).connect(leader, process)

    def disconnect(self, process: FakeProcess) -> None:
        for name in SCHEDULERS:
            if name in self.processes:
                self.get_relay(self.processes[name]).disconnect(process)
        process.mirror.feed = None

    def find_leader(self) -> FakeProcess | None:
        for name in SCHEDULERS:
            process = self.processes.get(name)
            if process is not None and process.leadership.fence is not None:
                return process
        return None

    @staticmethod
    def get_relay(scheduler: FakeProcess) -> FakeRelay:
        assert isinstance(scheduler.mirror.follower, FakeRelay)
        return scheduler.mirror.follower

    def write(self, key: str, fields: dict[str, Any]) -> None:
        self.written[key] = orjson.dumps(fields)
        self.removed.discard(key)
        self.store.put(key, self.written[key])

    def write_runner(self, number: int, *, draining: bool) -> None:
        fields = {
            "service": "llm",
            "address": f"10.0.0.{number}:1",
            "zone": "dc1",
            "slots": 8,
            "state": "draining" if draining else "ready",
            "seq": self.store.revision,
        }
        self.write(f"{RUNNER_PREFIX}r{number}", fields)

    @initialize()
    def begin(self) -> None:
        self.change_configuration()
        for name in (*SCHEDULERS, *EDGES):
            self.start(name)
        self.run(3.0)
        self.connect_all()
        self.take_copy()

    @rule(seconds=STEP_S)
    def wait(self, seconds: float) -> None:
        self.run(seconds)

    @rule()
    def take_copy(self) -> None:
        self.copies = [*self.copies[-2:], self.store.copy()]

    @precondition(lambda self: self.copies)
    @rule(number=st.integers(0, 2), away_s=STEP_S, rewritten=st.booleans())
    def restore(self, number: int, away_s: float, rewritten: bool) -> None:
        self.store.down = True
        self.run(away_s)
        self.store.restore(self.copies[number % len(self.copies)])
        self.store.down = False
        if rewritten:
            self.write_again()

    @rule()
    def write_again(self) -> None:
        """Write again what the operator and the runners wrote."""
        for key, value in self.written.items():
            item = self.store.items.get(key)
            if item is None or item.value != value:
                self.store.put(key, value)
        for key in self.removed & set(self.store.items):
            self.store.remove(key)

    @rule()
    def change_configuration(self) -> None:
        self.version += 1
        fields = {"version": self.version, "routes": [], "services": []}
        self.write(CONFIGURATION_KEY, fields)

    @rule()
    def add_runner(self) -> None:
        self.runners += 1
        self.write_runner(self.runners, draining=False)

    @precondition(lambda self: self.runners)
    @rule(number=st.integers(1, 20))
    def drain_runner(self, number: int) -> None:
        number = 1 + number % self.runners
        if f"{RUNNER_PREFIX}r{number}" in self.written:
            self.write_runner(number, draining=True)

    @precondition(lambda self: self.runners)
    @rule(number=st.integers(1, 20))
    def remove_runner(self, number: int) -> None:
        key = f"{RUNNER_PREFIX}r{1 + number % self.runners}"
        if self.written.pop(key, None) is not None:
            self.removed.add(key)
            if key in self.store.items:
                self.store.remove(key)

    @rule(name=st.sampled_from((*SCHEDULERS, *EDGES)))
    def kill_process(self, name: str) -> None:
        process = self.processes.pop(name, None)
        if process is not None:
            self.disconnect(process)
            process.kill()

    @rule(name=st.sampled_from((*SCHEDULERS, *EDGES)))
    def start_process(self, name: str) -> None:
        self.start(name)

    @rule(name=st.sampled_from((*SCHEDULERS, *EDGES)))
    def cut_from_store(self, name: str) -> None:
        if name in self.processes:
            self.processes[name].client.cut_off = True

    @rule(name=st.sampled_from((*SCHEDULERS, *EDGES)))
    def heal(self, name: str) -> None:
        if name in self.processes:
            self.processes[name].client.cut_off = False

    @rule(name=st.sampled_from(EDGES))
    def disconnect_edge(self, name: str) -> None:
        if name in self.processes:
            self.disconnect(self.processes[name])

    @rule()
    def connect_edges(self) -> None:
        self.connect_all()

    @rule()
    def settle(self) -> None:
        """End all faults, and check each process against the store."""
        for name in (*SCHEDULERS, *EDGES):
            self.start(name)
            self.processes[name].client.cut_off = False
        self.write_again()
        self.run(SETTLE_S / 2)
        self.connect_all()
        self.run(SETTLE_S / 2)
        leaders = [
            each for each in self.processes.values() if each.leadership.may_order
        ]
        assert len(leaders) == 1
        for name, process in self.processes.items():
            self.check_settled(name, process)

    def check_settled(self, name: str, process: FakeProcess) -> None:
        view = process.view
        assert view.table is not None
        assert view.table.version == self.version, name
        open_runners = {each.runner_id for each in view.list_open_runners()}
        assert open_runners == {
            key.removeprefix(RUNNER_PREFIX)
            for key, value in self.written.items()
            if key.startswith(RUNNER_PREFIX) and b'"ready"' in value
        }, name
        assert set(view.members) == {each.key for each in self.processes.values()}, name
        assert process.mirror.era == self.store.current_era, name
        assert process.mirror.items == {
            key: self.store.items[key] for key in self.store.items
        }, name
        assert process.mirror.measure_age() < MAX_AGE_S, name
        assert process.presence.is_valid(), name
        announced = self.store.items[process.key]
        assert announced.lease_id == process.presence.lease_id, name
        assert process.leadership.view.leader is not None

    @invariant()
    def every_lease_belongs_to_one_process(self) -> None:
        valid = [
            each.presence.lease_id
            for each in self.processes.values()
            if each.presence.is_valid() and each.client.era == self.store.current_era
        ]
        assert len(valid) == len(set(valid))

    def teardown(self) -> None:
        """Check the settled state at the end of each example."""
        try:
            if self.processes:
                self.settle()
        finally:
            for process in self.processes.values():
                process.kill()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()


TestRestoreMachine = RestoreMachine.TestCase
TestRestoreMachine.settings = settings(
    max_examples=settings().max_examples // 5,
    stateful_step_count=20,
    phases=(Phase.generate,),
)
