"""Admission of callers by their API keys.

A revoked key must become invalid on every host within a bounded time, even on a host
that is cut off from the store. A host that has received nothing from the store for too
long, directly or through others, therefore rejects requests that need a key, because
the key may have been revoked.
"""

from collections.abc import Callable

from attrs import define, frozen

from ..coordination.view import FleetView
from ..http1.messages import Request
from ..models.customer import Credential, Customer, CustomerRegistry, make_credential
from ..models.routing import Route
from ..platform.requests import RequestFields, read_key
from .const import MAX_CERTAIN_AGE_S, MAX_STATE_AGE_SHARE, RETRY_AFTER_OUTDATED_STATE_S
from .responses import STATUS_NOT_RUN, STATUS_UNKNOWN_CALLER


@frozen(kw_only=True)
class Caller:
    """The caller of a request, as identified by the request."""

    customer: Customer | None = None
    """None if no keys are configured, or on a public route without a known key."""

    credential: Credential | None = None
    """The credential by which the customer was found."""

    forwards_credentials: bool = False
    """Whether the caller's credentials are forwarded to runners; this is the case if no
    keys are configured."""

    @property
    def name(self) -> str | None:
        """Return the customer's name, if known."""
        return None if self.customer is None else self.customer.name

    def measure_cost(self, fields: RequestFields) -> float:
        """Return what a request costs of the customer's quota; 0 without a quota."""
        if self.customer is None or self.customer.quota is None:
            return 0.0
        prompt = fields.prompt
        tokens = prompt.tokens + prompt.max_output_tokens if fields.has_usage else None
        return self.customer.compute_cost(tokens)

    def choose_priority(self, route: Route) -> int:
        """Return the priority of the caller's requests on a route."""
        customer = self.customer
        if customer is None or customer.priority is None:
            return route.priority
        return customer.priority


@frozen(kw_only=True)
class Rejection:
    """The reason for rejecting a request before any part of it has run."""

    status: int
    reason: str
    retry_after_s: float | None


UNKNOWN_KEY = Rejection(
    status=STATUS_UNKNOWN_CALLER,
    reason="the key is not known",
    retry_after_s=None,
)
OUTDATED_STATE = Rejection(
    status=STATUS_NOT_RUN,
    reason="this host has not heard for too long which keys are in force",
    retry_after_s=RETRY_AFTER_OUTDATED_STATE_S,
)
UNCERTAIN_KEY = Rejection(
    status=STATUS_NOT_RUN,
    reason="the key is not known to a host that may lack the newest configuration",
    retry_after_s=RETRY_AFTER_OUTDATED_STATE_S,
)


@define(eq=False)
class Admission:
    """Identifies callers, and checks the age of the customer registry."""

    view: FleetView
    measure_age: Callable[[], float]
    """Returns the age of this host's state in seconds: changes that are more recent may
    be missing here. The clock behind it also runs while the host is suspended."""

    revoke_s: float | None
    """Time after which a revoked key must be rejected everywhere. If None, hosts that
    are cut off from the store continue to serve."""

    may_lack_writes: Callable[[], bool] = lambda: False
    """Returns whether the store may lack writes that it has acknowledged."""

    def is_current(self) -> bool:
        """Return whether requests that need a key can be served."""
        return self._registry is None or not self._is_state_outdated()

    def check(self, request: Request, route: Route) -> Caller | Rejection:
        """Return the caller of a request, or why the request is rejected."""
        registry = self._registry
        if registry is None:
            return Caller(forwards_credentials=True)
        if not route.public and self._is_state_outdated():
            return OUTDATED_STATE
        key = read_key(request)
        credential = None if key is None else make_credential(key)
        customer = (
            None if credential is None else registry.find_by_credential(credential)
        )
        if customer is None and not route.public:
            return self._reject_unknown_key()
        return Caller(customer=customer, credential=credential)

    def recheck(self, caller: Caller, route: Route) -> Rejection | None:
        """Return why a request is rejected after it has waited; None if it isn't."""
        registry = self._registry
        if registry is None or route.public or caller.credential is None:
            return None
        if self._is_state_outdated():
            return OUTDATED_STATE
        customer = registry.find_by_credential(caller.credential)
        return None if customer is not None else self._reject_unknown_key()

    def _reject_unknown_key(self) -> Rejection:
        """Return the rejection of a key that may be in a newer configuration."""
        is_uncertain = self.measure_age() > MAX_CERTAIN_AGE_S
        if is_uncertain or self.may_lack_writes():
            return UNCERTAIN_KEY
        return UNKNOWN_KEY

    @property
    def _registry(self) -> CustomerRegistry | None:
        table = self.view.table
        return None if table is None else table.customers

    def _is_state_outdated(self) -> bool:
        if self.revoke_s is None:
            return False
        return self.measure_age() > MAX_STATE_AGE_SHARE * self.revoke_s
