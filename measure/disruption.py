"""Injection of faults into a running simulation."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mangoway.models.identifiers import HostId, IncarnationId

from .clock import Clock
from .const import FAILURE_DETECTION_S, HOST_LIST_DELAY_S, WARM_UP_S
from .faults import FAULT_TIMES, Fault
from .sites import DATA_CENTRES
from .upstreams import EngineHost

if TYPE_CHECKING:
    from .simulation import Simulation

_FAILED_DATA_CENTRE = DATA_CENTRES[1]
_BROWNED_OUT_ENGINES = 2


def schedule_fault(simulation: "Simulation", clock: Clock, fault: Fault) -> None:
    """Schedule the start and the end of a fault."""
    if fault not in FAULT_TIMES:
        return
    disruption = _Disruption(simulation, clock)
    begin, end = disruption.find_actions(fault)
    times = FAULT_TIMES[fault]
    clock.call_at(WARM_UP_S + times.start_s, begin)
    clock.call_at(WARM_UP_S + times.end_s, end)


class _Disruption:
    """Functions that start and end each fault."""

    def __init__(self, simulation: "Simulation", clock: Clock) -> None:
        self._simulation = simulation
        self._clock = clock

    def find_actions(
        self, fault: Fault
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        """Return the functions that start and end a fault."""
        return {
            Fault.RUNNER_LOST: (self._stop_runner, self._restart_runners),
            Fault.ENTRY_HOST_LOST: (self._stop_entry_host, self._restart_entry_hosts),
            Fault.DATA_CENTRE_LOST: (self._stop_data_centre, self._restart_data_centre),
            Fault.KEY_VALUE_OUT: (self._stop_key_value, self._restore_key_value),
            Fault.CONTROLLER_FROZEN: (
                self._freeze_controller,
                self._resume_controllers,
            ),
            Fault.REPORTS_STOPPED: (self._stop_reports, self._resume_reports),
            Fault.BROWN_OUT: (self._start_brown_out, self._end_brown_out),
        }[fault]

    def _stop_runner(self) -> None:
        """Crash a runner that holds a copy of the news model."""
        self._stop_engine(self._list_engines()[0], silent=False)

    def _list_engines(self) -> list[EngineHost]:
        """Return the engines, those with a copy of the news model first."""
        simulation = self._simulation
        artifact = simulation.demand.surges[0].artifacts[0]
        return sorted(
            simulation.engines.values(),
            key=lambda host: (not host.model.is_ready(artifact), host.id),
        )

    def _start_brown_out(self) -> None:
        for host in self._list_engines()[:_BROWNED_OUT_ENGINES]:
            host.is_browned_out = True

    def _end_brown_out(self) -> None:
        for host in self._simulation.engines.values():
            host.is_browned_out = False

    def _stop_engine(self, host: EngineHost, silent: bool) -> None:
        host.crash(silent)
        self._clock.call_later(FAILURE_DETECTION_S, self._report_silence, host)
        self._clock.call_later(HOST_LIST_DELAY_S, self._simulation.update_host_list)

    def _report_silence(self, host: EngineHost) -> None:
        if host.model.is_down:
            self._simulation.report_silence(host.id)

    def _restart_runners(self) -> None:
        simulation = self._simulation
        for host in simulation.engines.values():
            if host.model.is_down:
                host.restart(IncarnationId(f"{host.id}-1"))
                self._clock.call_later(FAILURE_DETECTION_S, self._announce_engine, host)

    def _announce_engine(self, host: EngineHost) -> None:
        self._simulation.update_host_list()
        self._simulation.send_engine_description(host)

    def _stop_entry_host(self) -> None:
        self._stop_gateway(sorted(self._simulation.gateways)[0])

    def _stop_gateway(self, name: HostId) -> None:
        gateway = self._simulation.gateways[name]
        callers = gateway.crash()
        for host in self._simulation.engines.values():
            host.drop_client(gateway)
        for caller in callers:
            caller.receive_disconnect()
        self._clock.call_later(FAILURE_DETECTION_S, self._simulation.update_gateways)

    def _restart_entry_hosts(self) -> None:
        simulation = self._simulation
        for name, gateway in list(simulation.gateways.items()):
            if gateway.is_down:
                simulation.restart_gateway(name, incarnation_number=1)
        self._clock.call_later(FAILURE_DETECTION_S, simulation.update_gateways)

    def _stop_data_centre(self) -> None:
        simulation = self._simulation
        for host in simulation.engines.values():
            if host.data_centre == _FAILED_DATA_CENTRE:
                self._stop_engine(host, silent=True)
        for service in simulation.services.values():
            if service.data_centre == _FAILED_DATA_CENTRE:
                service.is_down = True
        for name, gateway in simulation.gateways.items():
            if gateway.data_centre == _FAILED_DATA_CENTRE:
                self._stop_gateway(name)

    def _restart_data_centre(self) -> None:
        for service in self._simulation.services.values():
            service.is_down = False
        self._restart_runners()
        self._restart_entry_hosts()

    def _stop_key_value(self) -> None:
        self._simulation.ledgers.is_down = True

    def _restore_key_value(self) -> None:
        self._simulation.ledgers.is_down = False

    def _freeze_controller(self) -> None:
        for controller in self._simulation.controllers:
            if controller.holds_lease:
                controller.freeze()

    def _resume_controllers(self) -> None:
        for controller in self._simulation.controllers:
            controller.resume()

    def _stop_reports(self) -> None:
        self._simulation.reports_stopped = True

    def _resume_reports(self) -> None:
        self._simulation.reports_stopped = False
