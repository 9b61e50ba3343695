"""Input events of the scheduling core and the actions that it returns."""

from enum import Enum

from attrs import frozen

from ...models.prompt import Prompt
from ...models.routing import RoutingTable
from ...models.runner import RunnerEntry, RunnerReport
from ..customers.spending import SpendingEntry
from ..limits.cooldowns import CooldownReport
from ..limits.tracker import LimitReport


class EndKind(Enum):
    """Result of an attempt at a runner."""

    SERVED = "served"
    PAUSED = "paused"
    """The request was served, but a pause in its stream made it late."""

    NOT_RUN = "not_run"
    """The runner rejected the request or was not reached."""

    NOT_HELD = "not_held"
    """The runner doesn't hold the model or adapter."""

    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection to the runner could be established."""

    LEFT = "left"
    """The caller left, or the request's time was over."""

    @property
    def was_served(self) -> bool:
        """Return whether the caller received the whole answer."""
        return self in (EndKind.SERVED, EndKind.PAUSED)


@frozen(kw_only=True)
class GrantRequest:
    """Request of an edge for a grant at a runner."""

    request_id: str
    edge: str
    """Incarnation of the edge that received the request."""

    service: str
    model: str
    adapter: str
    prompt: Prompt
    priority: int
    """Rank of the customer, or of the route if customers have no ranks; 0 is served
    first."""

    objective_left_s: float
    """Time until the first event is late; negative if it is late already."""

    patience_left_s: float
    """Time until the caller leaves without a first event."""

    excluded: tuple[str, ...]
    """Runners that failed this request."""

    only: tuple[str, ...]
    """The only runners that may be granted, since the request was sent to the allowed
    number of runners; empty if any may."""

    repeat: bool
    """Whether the request was sent to a runner before."""

    customer: str = ""
    """Customer of the request; empty if unknown."""

    cost: float = 0.0
    """Amount of the customer's quota that it consumes; 0 if it was consumed already."""

    route_priority: int = 0
    """Rank of the route among requests of customers of equal rank."""

    streaming: bool = False
    """Whether the response is a stream."""

    resumable: bool = False
    """Whether the stream may be resumed at another runner after its last event."""

    interrupted: bool = False
    """Whether the caller has received a part of the stream, which goes on."""

    software_version: str = ""
    """The only software version whose runners may be granted, since it wrote the first
    event of the stream; empty if any may."""

    @property
    def caller_request_id(self) -> str:
        """Return the ID of the caller's request, which each grant request extends."""
        return self.request_id.rpartition("/")[0] or self.request_id


@frozen(kw_only=True)
class RequestAdopted:
    """A request runs at a runner that another scheduler, or the edge itself, chose."""

    grant_request: GrantRequest
    runner_id: str
    prefilling: bool
    """Whether it has received no event yet."""


@frozen(kw_only=True)
class FirstEventSeen:
    """The first event of a granted request arrived, so its prefill is over."""

    edge: str
    request_id: str


@frozen(kw_only=True)
class RequestEnded:
    """A granted request has ended at its runner, or a waiting one was withdrawn."""

    edge: str
    request_id: str
    kind: EndKind
    events: int = 0
    """Events of its stream; 0 if unknown."""

    event_s: float = 0.0
    """Median seconds between two events of its stream; 0 if unknown."""


@frozen(kw_only=True)
class StreamMoved:
    """A granted stream now runs elsewhere, after a transfer or from a backup."""

    edge: str
    request_id: str
    runner_id: str


@frozen(kw_only=True)
class TransferFailed:
    """A stream was not transferred: it goes on where it is, or it has ended."""

    edge: str
    request_id: str
    target_runner_id: str


@frozen(kw_only=True)
class QuotaSpent:
    """An edge admitted a customer's request itself, or refunds one that was not run."""

    customer: str
    amount: float
    """Amount consumed; negative for a refund."""


@frozen(kw_only=True)
class SpendingReported:
    """Spending of an edge's customers before this process granted its requests."""

    rows: tuple[SpendingEntry, ...]


@frozen(kw_only=True)
class PermitRequest:
    """Request for a permit to send a plain request to a rate-limited runner."""

    request_id: str
    edge: str
    runner_id: str
    started_ms: int
    """Incarnation of the runner, by its start time."""


@frozen(kw_only=True)
class EdgeDisconnected:
    """The connection to an edge is lost; its requests are treated as ended."""

    edge: str


@frozen(kw_only=True)
class FleetUpdated:
    """Current configuration and runners."""

    table: RoutingTable
    runners: tuple[RunnerEntry, ...]
    leaving: tuple[RunnerEntry, ...] = ()
    """Runners that leave: they receive no requests, but still run some."""


@frozen(kw_only=True)
class ReportReceived:
    """The report of a runner was received."""

    runner_id: str
    report: RunnerReport
    requested_at: float
    """When the report was requested; later orders may not show in it."""


@frozen(kw_only=True)
class OrdersAllowed:
    """Change of whether this process may send orders."""

    allowed: bool
    may_load_from_store: bool = True
    """Whether these may be loads from the weight store in its first window."""


class OrderOutcome(Enum):
    """Result of an order."""

    STARTED = "started"
    ALREADY_HOLDS = "already_holds"
    NOT_NOW = "not_now"
    """Rejected: the runner is busy, or the order was computed from an old state."""

    IN_DOUBT = "in_doubt"
    """No response; the order may still be executed if its precondition holds."""

    REJECTED = "refused"


@frozen(kw_only=True)
class OrderEnded:
    """The response to an order arrived, or waiting for it timed out."""

    runner_id: str
    outcome: OrderOutcome
    started_ms: int = 0
    """Incarnation of the runner that received the order."""


@frozen(kw_only=True)
class Tick:
    """Periodic event without content."""


Event = (
    GrantRequest
    | RequestAdopted
    | FirstEventSeen
    | RequestEnded
    | StreamMoved
    | TransferFailed
    | QuotaSpent
    | SpendingReported
    | LimitReport
    | CooldownReport
    | PermitRequest
    | EdgeDisconnected
    | FleetUpdated
    | ReportReceived
    | OrdersAllowed
    | OrderEnded
    | Tick
)


@frozen(kw_only=True)
class Grant:
    """The request may be sent to the runner now."""

    edge: str
    request_id: str
    runner_id: str
    backup_runner_id: str = ""
    """Runner that receives a copy of the stream's KV memory; empty for none."""


class TransferReason(Enum):
    """Why a running stream is transferred to another runner."""

    LEAVING = "leaving"
    """Its runner ends before the stream would."""

    YIELDING = "yielding"
    """A more urgent request needs its slot."""


@frozen(kw_only=True)
class TransferStream:
    """A running stream is to go on at another runner, where room is reserved."""

    edge: str
    request_id: str
    source_runner_id: str
    target_runner_id: str
    reason: TransferReason


@frozen(kw_only=True)
class Reject:
    """The request can't be served in its time."""

    edge: str
    request_id: str
    retry_after_s: float
    reason: str
    over_quota: bool = False
    """Whether the reason is that the customer has exceeded its quota."""


@frozen(kw_only=True)
class SendOrder:
    """An order to send to a runner."""

    runner_id: str
    load: bool
    model: str
    adapter: str
    order_count: int
    """Orders accepted by the runner in the state that this order was computed from."""

    reason: str
    waiting: int
    """Requests that wait for the model."""

    started_ms: int = 0
    """Incarnation of the runner that the order is for."""


Action = Grant | Reject | TransferStream | SendOrder
