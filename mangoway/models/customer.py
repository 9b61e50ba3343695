"""Customers with their API keys, priorities and quotas."""

import secrets
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from attrs import define, field, frozen

DIGEST_BYTES: Final = 16
_SECRET: Final = secrets.token_bytes(32)
"""Random key of this process's digests, so that they cannot be compared to those of
other processes."""


@frozen(kw_only=True)
class Quota:
    """Quota of a customer over all hosts together, in requests or tokens."""

    rate_per_s: float
    burst: float
    """Amount that may be consumed at once above the rate."""


@frozen(kw_only=True)
class Customer:
    """A customer, identified by the API keys of its requests."""

    name: str
    priority: int | None
    """Priority of its requests, 0 is the most urgent; None for that of the route."""

    quota: Quota | None
    """None if there is no limit."""

    counts_tokens: bool = False
    """Whether the quota is in tokens; otherwise it is in requests."""

    plain_tokens: int = 0
    """Tokens counted for a request without a token usage."""

    def compute_cost(self, tokens: int | None) -> float:
        """Return the amount of quota that a request consumes.

        Args:
            tokens: Tokens of its prompt and response; None if unknown.
        """
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@frozen(eq=False)
class Credential:
    """Digest of an API key, from which the key cannot be recovered."""

    digest: bytes


def make_credential(key: str) -> Credential:
    """Return the credential of an API key."""
    hasher = blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SECRET)
    return Credential(hasher.digest())


@define(eq=False)
class CustomerRegistry:
    """The customers of one version of the configuration, by name and by key.

    Keys are stored as keyed digests, so that the duration of a lookup reveals nothing
    about existing keys to a caller.
    """

    _by_name: dict[str, Customer] = field(factory=dict, init=False)
    _by_digest: dict[bytes, Customer] = field(factory=dict, init=False)

    def add(self, customer: Customer, keys: Iterable[str]) -> None:
        """Add a customer with its keys.

        Raises:
            ValueError: If another customer has its name or one of its keys.
        """
        if customer.name in self._by_name:
            raise ValueError(f"two customers have the name {customer.name}")
        self._by_name[customer.name] = customer
        for key in keys:
            owner = self._by_digest.setdefault(make_credential(key).digest, customer)
            if owner is not customer:
                raise ValueError(f"{owner.name} and {customer.name} share a key")

    def find_by_name(self, name: str) -> Customer | None:
        """Return the customer with a name; None if there is none."""
        return self._by_name.get(name)

    def find_by_credential(self, credential: Credential) -> Customer | None:
        """Return the customer with an API key; None if there is none."""
        return self._by_digest.get(credential.digest)

    def list_customers(self) -> list[Customer]:
        """Return all customers."""
        return list(self._by_name.values())
