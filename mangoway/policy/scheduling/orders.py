"""Orders to runners, one at a time and each computed from a known order count.

An order carries the number of orders that the runner had accepted in the state from
which the order was computed, and the runner rejects it at any other number. An order
that arrives late, twice or from a replaced scheduler therefore can't overfill the
runner's memory.
"""

from .const import ADAPTER_LOAD_S, LOAD_MARGIN_FACTOR, LOAD_MARGIN_S, UNLOAD_S
from .events import OrderOutcome, SendOrder
from .runners import LoadedModel, RunnerState


def can_order(runner: RunnerState, now: float) -> bool:
    """Return whether an order can be sent to a runner now."""
    return (
        runner.open_order is None
        and runner.order_count is not None
        and runner.is_state_known
        and now >= runner.changing_until
    )


def create_order(
    runner: RunnerState,
    *,
    load: bool,
    model: str,
    adapter: str = "",
    reason: str,
    waiting: int,
    now: float,
) -> SendOrder:
    """Record and return an order; an unloaded artifact can't be used from now on."""
    if runner.order_count is None:
        raise ValueError(f"the order count of runner {runner.runner_id} is unknown")
    if runner.open_order is not None:
        raise ValueError(f"runner {runner.runner_id} already has an open order")
    order = SendOrder(
        runner_id=runner.runner_id,
        load=load,
        model=model,
        adapter=adapter,
        order_count=runner.order_count,
        reason=reason,
        waiting=waiting,
        started_ms=runner.entry.started_ms,
    )
    runner.open_order = order
    runner.ordered_at = now
    loaded = runner.models.get(model)
    if adapter and loaded is not None:
        if load:
            loaded.adapters[adapter] = now + 2 * ADAPTER_LOAD_S
            loaded.used_at[adapter] = now
        else:
            loaded.adapters.pop(adapter, None)
    elif not load:
        runner.pending_unload = runner.remove_model(model)
    return order


def apply_outcome(
    runner: RunnerState, outcome: OrderOutcome, duration_s: float, now: float
) -> None:
    """Apply the response to the open order.

    Args:
        runner: The runner that received the order.
        outcome: Its response.
        duration_s: Estimated time of the load of a whole model.
        now: Time in seconds.
    """
    order, runner.open_order = runner.open_order, None
    if order is None:
        return
    pending_unload, runner.pending_unload = runner.pending_unload, None
    runner.ordered_at = now
    # The unload of an adapter takes effect at once and is answered with "already
    # holds", but the runner counts the order.
    unloaded = order.adapter and not order.load
    if outcome is OrderOutcome.STARTED or (
        unloaded and outcome is OrderOutcome.ALREADY_HOLDS
    ):
        runner.order_count = order.order_count + 1
    if outcome in (OrderOutcome.STARTED, OrderOutcome.ALREADY_HOLDS):
        _apply(runner, order, outcome, duration_s, now)
        return
    # The runner's state differs from the recorded one, or may come to differ.
    runner.is_state_known = False
    _revert(runner, order, pending_unload)


def _apply(
    runner: RunnerState,
    order: SendOrder,
    outcome: OrderOutcome,
    duration_s: float,
    now: float,
) -> None:
    if order.adapter:
        loaded = runner.models.get(order.model)
        if loaded is not None and order.load:
            loaded.adapters[order.adapter] = now + ADAPTER_LOAD_S
        elif loaded is not None and outcome is OrderOutcome.STARTED:
            # It waits for runs, of which this process may not know.
            loaded.unloading[order.adapter] = now
        return
    if order.load:
        ready_at = now + LOAD_MARGIN_FACTOR * duration_s + LOAD_MARGIN_S
        runner.add_model(
            order.model, LoadedModel(ready_at=ready_at, loaded_at=ready_at)
        )
        runner.changing_until = ready_at
        runner.target_model = ""
    else:
        runner.prefixes.remove_model(order.model)
        runner.changing_until = now + UNLOAD_S
        if runner.may_be_in_use(order.model):
            # The runner unloads the model when its runs have ended; only a report
            # shows when that is.
            runner.is_state_known = False


def _revert(
    runner: RunnerState, order: SendOrder, pending_unload: LoadedModel | None
) -> None:
    loaded = runner.models.get(order.model)
    if order.adapter and order.load and loaded is not None:
        loaded.adapters.pop(order.adapter, None)
    if pending_unload is not None:
        runner.add_model(order.model, pending_unload)
