"""Bring faults about in a running simulation."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mangoway.models.identifiers import HostId, IncarnationId

from .clock import Clock
from .const import HOST_LIST_LAG_S, PEER_SILENCE_S, WARM_UP_S
from .faults import FAULT_TIMES, Fault
from .sites import DATA_CENTRES
from .upstreams import EngineHost

if TYPE_CHECKING:
    from .simulation import Simulation

_LOST_DATA_CENTRE = DATA_CENTRES[1]
_BROWNED_OUT = 2


def schedule_fault(simulation: "Simulation", clock: Clock, fault: Fault) -> None:
    """Schedule the beginning and the end of a fault."""
    if fault not in FAULT_TIMES:
        return
    disruption = _Disruption(simulation, clock)
    begin, end = disruption.find_steps(fault)
    times = FAULT_TIMES[fault]
    clock.call_at(WARM_UP_S + times.start_s, begin)
    clock.call_at(WARM_UP_S + times.end_s, end)


class _Disruption:
    """Each fault's beginning and end."""

    def __init__(self, simulation: "Simulation", clock: Clock) -> None:
        self._simulation = simulation
        self._clock = clock

    def find_steps(self, fault: Fault) -> tuple[Callable[[], None], Callable[[], None]]:
        """Return what begins a fault and what ends it."""
        return {
            Fault.RUNNER_LOST: (self._lose_runner, self._return_runners),
            Fault.ENTRY_HOST_LOST: (self._lose_entry_host, self._return_entry_hosts),
            Fault.DATA_CENTRE_LOST: (self._lose_data_centre, self._return_data_centre),
            Fault.KEY_VALUE_OUT: (self._cut_key_value, self._mend_key_value),
            Fault.CONTROLLER_FROZEN: (self._freeze, self._thaw),
            Fault.REPORTS_STOPPED: (self._stop_reports, self._resume_reports),
            Fault.BROWN_OUT: (self._brown_out, self._end_brown_out),
        }[fault]

    def _lose_runner(self) -> None:
        """Lose the runner that holds a copy of the news model."""
        self._lose_engine(self._list_engines()[0], silent=False)

    def _list_engines(self) -> list[EngineHost]:
        """Return the engines, first those with a copy of the news model."""
        simulation = self._simulation
        artifact = simulation.demand.surges[0].artifacts[0]
        return sorted(
            simulation.engines.values(),
            key=lambda host: (not host.model.is_ready(artifact), host.id),
        )

    def _brown_out(self) -> None:
        for host in self._list_engines()[:_BROWNED_OUT]:
            host.is_browned_out = True

    def _end_brown_out(self) -> None:
        for host in self._simulation.engines.values():
            host.is_browned_out = False

    def _lose_engine(self, host: EngineHost, silent: bool) -> None:
        host.crash(silent)
        self._clock.call_later(PEER_SILENCE_S, self._note_silence, host)
        self._clock.call_later(HOST_LIST_LAG_S, self._simulation.note_upstreams)

    def _note_silence(self, host: EngineHost) -> None:
        if host.model.is_down:
            self._simulation.note_silence(host.id)

    def _return_runners(self) -> None:
        simulation = self._simulation
        for host in simulation.engines.values():
            if host.model.is_down:
                host.restart(IncarnationId(f"{host.id}-1"))
                self._clock.call_later(PEER_SILENCE_S, self._list_and_meet, host)

    def _list_and_meet(self, host: EngineHost) -> None:
        self._simulation.note_upstreams()
        self._simulation.meet_engine(host)

    def _lose_entry_host(self) -> None:
        self._lose_gateway(sorted(self._simulation.gateways)[0])

    def _lose_gateway(self, name: HostId) -> None:
        gateway = self._simulation.gateways[name]
        callers = gateway.crash()
        for host in self._simulation.engines.values():
            host.drop_client(gateway)
        for caller in callers:
            caller.receive_disconnect()
        self._clock.call_later(PEER_SILENCE_S, self._simulation.note_gateways)

    def _return_entry_hosts(self) -> None:
        simulation = self._simulation
        for name, gateway in list(simulation.gateways.items()):
            if gateway.is_down:
                simulation.restart_gateway(name, life=1)
        self._clock.call_later(PEER_SILENCE_S, simulation.note_gateways)

    def _lose_data_centre(self) -> None:
        simulation = self._simulation
        for host in simulation.engines.values():
            if host.data_centre == _LOST_DATA_CENTRE:
                self._lose_engine(host, silent=True)
        for service in simulation.services.values():
            if service.data_centre == _LOST_DATA_CENTRE:
                service.is_down = True
        for name, gateway in simulation.gateways.items():
            if gateway.data_centre == _LOST_DATA_CENTRE:
                self._lose_gateway(name)

    def _return_data_centre(self) -> None:
        for service in self._simulation.services.values():
            service.is_down = False
        self._return_runners()
        self._return_entry_hosts()

    def _cut_key_value(self) -> None:
        self._simulation.ledgers.is_down = True

    def _mend_key_value(self) -> None:
        self._simulation.ledgers.is_down = False

    def _freeze(self) -> None:
        for controller in self._simulation.controllers:
            if controller.holds_lease:
                controller.freeze()

    def _thaw(self) -> None:
        for controller in self._simulation.controllers:
            controller.thaw()

    def _stop_reports(self) -> None:
        self._simulation.reports_stopped = True

    def _resume_reports(self) -> None:
        self._simulation.reports_stopped = False
