"""Placement core: handles events, keeps the state and returns actions."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from ...models.identifiers import IncarnationId, UpstreamId
from ...models.upstream import UpstreamAddress, UpstreamKind
from . import events
from .actions import Explain, PlacementAction, WakeAt
from .const import MAX_PLAN_PERIOD_S, MAX_REASONS, MIN_PLAN_PERIOD_S
from .options import PlacementOptions
from .planner import Planner
from .registry import register_placement
from .reservations import Reservations
from .runners import Runner
from .state import PlacementState
from .status import PlacementStatus, Reason, build_status, make_reason


class PlacementCore:
    """Decides for one controller which artifacts are loaded on which runners of a cell.

    Several controllers may be active at once: safety relies on compare-and-swap
    writes of the ledgers. The lease only determines which controller should plan.
    """

    def __init__(
        self,
        incarnation: IncarnationId,
        options: PlacementOptions | None = None,
        rng: Random | None = None,
    ) -> None:
        """Create the core of one controller incarnation.

        Args:
            incarnation: Unique prefix of this controller's order identifiers.
            options: Mechanisms to disable; all are enabled by default.
            rng: Random source; unused by this policy.
        """
        self.state = PlacementState(options or PlacementOptions())
        self.reservations = Reservations(self.state, incarnation)
        self._planner = Planner(self.state, self.reservations)
        self._reasons: deque[Reason] = deque(maxlen=MAX_REASONS)
        self._next_plan_at = 0.0
        self._wakeup_at: float | None = None
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            events.LeaseGained: self._handle_lease_gained,
            events.LeaseLost: self._handle_lease_lost,
            events.LedgerRead: self.reservations.handle_read,
            events.LedgerWritten: self.reservations.handle_written,
            events.LedgerConflicted: self.reservations.handle_conflict,
            events.LedgerUnavailable: self.reservations.handle_unavailable,
            events.OrderAnswered: self.reservations.order_sender.handle_answer,
            events.OrderFailed: self.reservations.order_sender.handle_failure,
            events.RunnersListed: self._handle_runners,
            events.EngineDescribed: self._handle_description,
            events.EngineReported: self._handle_report,
            events.EngineSilent: self._handle_silence,
            events.DemandReported: self._handle_demand,
            events.ConfigurationChanged: self._handle_configuration,
            events.Ticked: self._handle_tick,
        }

    def handle(self, event: events.PlacementEvent, now: float) -> list[PlacementAction]:
        """Handle an event at time `now` and return the resulting actions."""
        self._handlers[type(event)](event, now)
        if now >= self._next_plan_at:
            self._next_plan_at = now + MIN_PLAN_PERIOD_S
            self._planner.plan(now)
        self._schedule_wakeup(now)
        actions = list(self.reservations.outbox.actions)
        self.reservations.outbox.actions.clear()
        self._reasons.extend(
            make_reason(action, now)
            for action in actions
            if isinstance(action, Explain)
        )
        return actions

    def build_status(self, now: float) -> PlacementStatus:
        """Return a snapshot for operators without changing any state."""
        is_active = self.reservations.ledger_access.is_active
        return build_status(self.state, is_active, self._reasons, now)

    def _schedule_wakeup(self, now: float) -> None:
        is_due = bool(
            self.reservations.outbox.dirty_runners
            or self.reservations.outbox.changed_artifacts
        )
        wakeup_at = self._next_plan_at if is_due else now + MAX_PLAN_PERIOD_S
        if self.state.claims or len(self.state.queue):
            wakeup_at = self._next_plan_at
        current = self._wakeup_at
        if current is None or current <= now or wakeup_at < current:
            self._wakeup_at = wakeup_at
            self.reservations.outbox.actions.append(WakeAt(time=wakeup_at))

    def _handle_tick(self, event: events.Ticked, now: float) -> None:
        self._wakeup_at = None

    def _handle_lease_gained(self, event: events.LeaseGained, now: float) -> None:
        if not self.reservations.ledger_access.is_active:
            self.reservations.activate(now)

    def _handle_lease_lost(self, event: events.LeaseLost, now: float) -> None:
        self.reservations.deactivate()
        self.state.claims.clear()

    def _handle_runners(self, event: events.RunnersListed, now: float) -> None:
        listed = {
            address.id: address
            for address in event.runners
            if address.kind is UpstreamKind.ENGINE
        }
        for upstream_id, address in listed.items():
            self._add_runner(upstream_id, address)
        for runner in list(self.state.runners.values()):
            if runner.id not in listed:
                self._remove_runner(runner)
        self.reservations.ledger_access.request_unknown_ledgers(now)

    def _add_runner(self, upstream_id: UpstreamId, address: UpstreamAddress) -> None:
        runner = self.state.runners.get(upstream_id)
        if runner is None:
            runner = Runner(id=upstream_id, data_centre=address.data_centre)
            self.state.runners[upstream_id] = runner
        runner.listed = True
        runner.leaving = address.leaving
        self._update_leaving(runner)
        runner.data_centre = address.data_centre
        self.reservations.outbox.dirty_runners.add(upstream_id)

    def _remove_runner(self, runner: Runner) -> None:
        """Stop using a runner; keep its record until all orders have ended."""
        runner.listed = False
        self.reservations.outbox.changed_artifacts |= self.state.copies.remove(
            runner.id
        )
        self.state.claims.pop(runner.id, None)
        if (
            runner.sent_orders
            or runner.pending_write is not None
            or runner.pending_reads
        ):
            return
        del self.state.runners[runner.id]

    def _update_leaving(self, runner: Runner) -> None:
        if self.state.copies.is_leaving(runner.id) == runner.is_leaving:
            return
        self.state.copies.set_leaving(runner.id, runner.is_leaving)
        self.reservations.outbox.changed_artifacts |= set(
            self.state.copies.list_on_runner(runner.id)
        )
        self.reservations.outbox.dirty_runners.add(runner.id)

    def _handle_description(self, event: events.EngineDescribed, now: float) -> None:
        description = event.description
        runner = self.state.runners.get(description.upstream)
        if runner is None:
            return
        old = runner.description
        if old is not None and old.incarnation != description.incarnation:
            runner.report = None
            runner.load_deadlines.clear()
            runner.retries.clear()
            self.reservations.outbox.explain(None, runner, "engine_restarted")
        if old != description or runner.silent:
            self.reservations.outbox.dirty_runners.add(runner.id)
        runner.description = description
        runner.silent = False
        self._update_leaving(runner)

    def _handle_report(self, event: events.EngineReported, now: float) -> None:
        report = event.report
        runner = self.state.runners.get(report.upstream)
        if runner is None or runner.description is None:
            return
        if report.incarnation != runner.description.incarnation:
            return
        old = runner.report
        if old is not None and report.reported_at < old.reported_at:
            return
        is_same = runner.is_steady and not runner.silent and old is not None
        if is_same and old is not None:
            is_same = old.residents == report.residents and old.fence == report.fence
        runner.report = report
        runner.silent = False
        self._update_leaving(runner)
        if not is_same:
            self.reservations.outbox.dirty_runners.add(runner.id)

    def _handle_silence(self, event: events.EngineSilent, now: float) -> None:
        runner = self.state.runners.get(event.upstream_id)
        if runner is None or runner.silent:
            return
        runner.silent = True
        self.reservations.outbox.dirty_runners.add(runner.id)
        self.reservations.outbox.explain(None, runner, "engine_silent")

    def _handle_demand(self, event: events.DemandReported, now: float) -> None:
        self.state.demand.apply_report(event, now)

    def _handle_configuration(
        self, event: events.ConfigurationChanged, now: float
    ) -> None:
        current = self.state.configuration
        if current is not None and event.configuration.version < current.version:
            return
        self.state.configuration = event.configuration
        self.state.offered = {
            artifact: max(1, event.configuration.find_floor(artifact))
            for artifact in event.configuration.list_artifacts()
        }
        for need in self.state.queue.list_all():
            self.state.queue.drop(need.artifact)
        self.reservations.outbox.dirty_runners.update(self.state.runners)
        self._planner.refresh_all_floors()


@register_placement("marginal_gain")
def create_placement(
    incarnation: IncarnationId, options: PlacementOptions, rng: Random
) -> PlacementCore:
    """Create the policy that ranks copies by their marginal gain."""
    return PlacementCore(incarnation, options, rng)
