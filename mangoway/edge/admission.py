"""Decides who may ask: customers by their keys, and only on what is surely in force.

A key that is taken away must be worth nothing soon after, on each host, whatever that
host hears. So a host that has not heard the store for too long, by itself or through
others, refuses what needs a key: it can't know that the key still stands.
"""

from collections.abc import Callable

from attrs import define, frozen

from ..coordination.view import FleetView
from ..http1.messages import Request
from ..models.customer import Credential, Customer, CustomerRegistry, make_credential
from ..models.routing import Route
from ..platform.requests import RequestFields, read_key
from .const import KNOWLEDGE_SHARE, RETRY_AFTER_STALE_S, SURE_AGE_S
from .responses import STATUS_NOT_RUN, STATUS_UNKNOWN_CALLER


@frozen(kw_only=True)
class Caller:
    """Who asks, as far as the request shows it."""

    customer: Customer | None = None
    """None where no keys are in use, or on a public route."""

    credential: Credential | None = None
    """The key by which the customer was found."""

    forwards_credentials: bool = False
    """Whether what the caller shows goes on to runners: where no keys are in use."""

    @property
    def name(self) -> str | None:
        """Return the customer's name."""
        return None if self.customer is None else self.customer.name

    def measure(self, fields: RequestFields) -> float:
        """Return what a request takes of the customer's quota; 0 without one."""
        if self.customer is None or self.customer.quota is None:
            return 0.0
        prompt = fields.prompt
        tokens = prompt.tokens + prompt.max_output_tokens if fields.has_usage else None
        return self.customer.measure(tokens)

    def choose_priority(self, route: Route) -> int:
        """Return the rank of the caller's requests on a route."""
        customer = self.customer
        if customer is None or customer.priority is None:
            return route.priority
        return customer.priority


@frozen(kw_only=True)
class Denial:
    """Why a request doesn't reach a runner: nothing of it has run."""

    status: int
    reason: str
    retry_after_s: float | None


UNKNOWN = Denial(
    status=STATUS_UNKNOWN_CALLER,
    reason="the key is not known",
    retry_after_s=None,
)
STALE = Denial(
    status=STATUS_NOT_RUN,
    reason="this host has not heard for too long which keys are in force",
    retry_after_s=RETRY_AFTER_STALE_S,
)
UNSURE = Denial(
    status=STATUS_NOT_RUN,
    reason="the key is not known to a host that may lack the newest configuration",
    retry_after_s=RETRY_AFTER_STALE_S,
)


@define(eq=False)
class Admission:
    """Looks callers up, and looks at the age of what it looks them up in."""

    view: FleetView
    measure_age: Callable[[], float]
    """Returns the seconds for which something may have changed that isn't known here;
    the clock behind it also runs while the host is suspended."""

    revoke_s: float | None
    """Time after which a key that was taken away must let nobody in; None: hosts that
    are cut off go on."""

    def is_current(self) -> bool:
        """Return whether requests that need a key can be served."""
        return self._registry is None or not self._is_stale()

    def check(self, request: Request, route: Route) -> Caller | Denial:
        """Return who asks, or why that may not be served."""
        registry = self._registry
        if registry is None:
            return Caller(forwards_credentials=True)
        if not route.public and self._is_stale():
            return STALE
        key = read_key(request)
        credential = None if key is None else make_credential(key)
        customer = (
            None if credential is None else registry.find_by_credential(credential)
        )
        if customer is None and not route.public:
            return UNSURE if self.measure_age() > SURE_AGE_S else UNKNOWN
        return Caller(customer=customer, credential=credential)

    def check_again(self, caller: Caller, route: Route) -> Denial | None:
        """Return why a request may not go to a runner after it has waited."""
        registry = self._registry
        if registry is None or route.public or caller.credential is None:
            return None
        if self._is_stale():
            return STALE
        known = registry.find_by_credential(caller.credential)
        return None if known is not None else UNKNOWN

    @property
    def _registry(self) -> CustomerRegistry | None:
        table = self.view.table
        return None if table is None else table.customers

    def _is_stale(self) -> bool:
        if self.revoke_s is None:
            return False
        return self.measure_age() > KNOWLEDGE_SHARE * self.revoke_s
