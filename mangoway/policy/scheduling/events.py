"""What happens to the scheduling core, and what it decides."""

from enum import Enum

from attrs import frozen

from ...models.prompt import Prompt
from ...models.routing import RoutingTable
from ...models.runner import RunnerEntry, RunnerReport
from ..customers.spending import SpendingEntry
from ..limits.cooldowns import CooldownReport
from ..limits.tracker import LimitReport


class EndKind(Enum):
    """How a try at a runner ended."""

    SERVED = "served"
    PAUSED = "paused"
    """It was served, with a pause in its stream that made it late."""

    NOT_RUN = "not_run"
    """The runner refused it, or was not reached."""

    NOT_HELD = "not_held"
    """The runner doesn't hold the model or adapter."""

    FAILED = "failed"
    UNREACHABLE = "unreachable"
    """No connection to the runner could be made."""

    LEFT = "left"
    """The caller left, or the time was over."""

    @property
    def was_served(self) -> bool:
        """Return whether the caller got the whole answer."""
        return self in (EndKind.SERVED, EndKind.PAUSED)


@frozen(kw_only=True)
class GrantRequest:
    """A request waits for a runner."""

    request_id: str
    edge: str
    """Incarnation of the edge that has the caller."""

    service: str
    model: str
    adapter: str
    prompt: Prompt
    priority: int
    """Rank of the customer, or of the route where customers have none; 0 goes first."""

    objective_left_s: float
    """Time until the first event is late; negative if it is already."""

    patience_left_s: float
    """Time until the caller leaves if nothing comes."""

    excluded: tuple[str, ...]
    """Runners that failed this request."""

    only: tuple[str, ...]
    """Runners that alone may get it, since it was sent to as many as it may; empty if
    any may."""

    repeat: bool
    """Whether the request was sent to a runner before."""

    customer: str = ""
    """Who asks; empty if that isn't known."""

    cost: float = 0.0
    """What it takes of the customer's quota; 0 if that was taken already."""

    route_priority: int = 0
    """Rank of the route among requests of customers of one rank."""


@frozen(kw_only=True)
class RequestAdopted:
    """A request runs at a runner that another scheduler, or the edge itself, chose."""

    grant_request: GrantRequest
    runner_id: str
    prefilling: bool
    """Whether it has got no event yet."""


@frozen(kw_only=True)
class FirstEventSeen:
    """A granted request has got its first event: its prompt was read."""

    edge: str
    request_id: str


@frozen(kw_only=True)
class RequestEnded:
    """A granted request is over at its runner, or a waiting one was withdrawn."""

    edge: str
    request_id: str
    kind: EndKind


@frozen(kw_only=True)
class QuotaSpent:
    """An edge let a customer's request in by itself, or gives back what was not run."""

    customer: str
    amount: float
    """Negative if it is given back."""


@frozen(kw_only=True)
class SpendingReported:
    """What an edge's customers spent before this process granted its requests."""

    rows: tuple[SpendingEntry, ...]


@frozen(kw_only=True)
class PermitRequest:
    """A request for a plain service waits to be sent to a limited runner."""

    request_id: str
    edge: str
    runner_id: str
    started_ms: int
    """Life of the runner."""


@frozen(kw_only=True)
class EdgeDisconnected:
    """The connection to an edge is lost; its requests are taken as ended."""

    edge: str


@frozen(kw_only=True)
class FleetUpdated:
    """Configuration or runners as they are now."""

    table: RoutingTable
    runners: tuple[RunnerEntry, ...]


@frozen(kw_only=True)
class ReportReceived:
    """A runner's report was read."""

    runner_id: str
    report: RunnerReport
    requested_at: float
    """When the report was asked for: what was ordered since may not show."""


@frozen(kw_only=True)
class OrdersAllowed:
    """Whether this process may give orders."""

    allowed: bool


class OrderOutcome(Enum):
    """What became of an order."""

    STARTED = "started"
    ALREADY_HOLDS = "already_holds"
    NOT_NOW = "not_now"
    """Refused: the runner is busy, or the state that it was computed from is old."""

    IN_DOUBT = "in_doubt"
    """Not answered; it may be carried out later if its precondition still holds."""

    REFUSED = "refused"


@frozen(kw_only=True)
class OrderEnded:
    """An order was answered, or its answer was given up."""

    runner_id: str
    outcome: OrderOutcome
    started_ms: int = 0
    """Life of the runner that was ordered."""


@frozen(kw_only=True)
class Tick:
    """Time has passed."""


Event = (
    GrantRequest
    | RequestAdopted
    | FirstEventSeen
    | RequestEnded
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
    """The request may go to the runner now."""

    edge: str
    request_id: str
    runner_id: str


@frozen(kw_only=True)
class Refuse:
    """The request can't be served in its time."""

    edge: str
    request_id: str
    retry_after_s: float
    reason: str
    over_quota: bool = False
    """Whether it is refused since its customer has asked for too much."""


@frozen(kw_only=True)
class SendOrder:
    """Send an order to a runner."""

    runner_id: str
    load: bool
    model: str
    adapter: str
    order_count: int
    """Orders that the runner has accepted in the state that this rests on."""

    reason: str
    waiting: int
    """Requests that wait for the model."""

    started_ms: int = 0
    """Life of the runner that it is for."""


Action = Grant | Refuse | SendOrder
