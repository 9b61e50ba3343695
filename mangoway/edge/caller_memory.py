"""Events and metrics of the bytes that an edge holds for its callers."""

from ..http1.response_memory import BrokenResponse, ResponseMemory
from ..observability import memory_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.edge.response_memory import MemoryLimits


def make_response_memory(
    metrics: Metrics, limits: MemoryLimits | None = None
) -> ResponseMemory:
    """Return the bound of an edge's memory, which logs what it does.

    Args:
        metrics: Metrics of the process.
        limits: The limits; None for those of an edge.
    """

    def record_break(broken: BrokenResponse) -> None:
        metrics.edge_broken_responses.add(broken.cause.value)
        log_event(
            log.ResponseBrokenOff(
                cause=broken.cause.value,
                held_bytes=broken.held_bytes,
                unread_s=broken.unread_s,
                total_bytes=broken.total_bytes,
            )
        )

    def record_drop(size: int, total: int) -> None:
        metrics.edge_dropped_inputs.add()
        log_event(log.UnfinishedRequestsDropped(dropped_bytes=size, total_bytes=total))

    return ResponseMemory(
        limits=limits or MemoryLimits(),
        on_break=record_break,
        on_drop=record_drop,
        on_change=lambda total: metrics.edge_held_bytes.set(level=total),
        on_short=lambda total: log_event(log.CallerMemoryShort(total_bytes=total)),
    )
