"""Customers: who may ask, by which keys, how urgently, and how much."""

import secrets
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from attrs import define, field, frozen

DIGEST_BYTES: Final = 16
_SECRET: Final = secrets.token_bytes(32)
"""Secret of this process. Digests of another process tell nothing about ours."""


@frozen(kw_only=True)
class Quota:
    """How much a customer may ask for, over all hosts together."""

    rate_per_s: float
    burst: float
    """What it may ask for at once on top."""


@frozen(kw_only=True)
class Customer:
    """Somebody whose requests are told apart by their keys."""

    name: str
    priority: int | None
    """Rank of its requests, 0 first; None leaves that of the route."""

    quota: Quota | None
    """None without a limit."""

    counts_tokens: bool = False
    """Whether the quota is in tokens; otherwise it is in requests."""

    plain_tokens: int = 0
    """Tokens that a request counts for which doesn't say how many it takes."""

    def compute_cost(self, tokens: int | None) -> float:
        """Return what a request takes of the quota.

        Args:
            tokens: Tokens of its prompt and answer; None if it doesn't say.
        """
        if not self.counts_tokens:
            return 1.0
        return float(self.plain_tokens if tokens is None else tokens)


@frozen(eq=False)
class Credential:
    """A caller's key as it is kept: nobody reads the key from it."""

    digest: bytes


def make_credential(key: str) -> Credential:
    """Return a key as it is kept."""
    hasher = blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SECRET)
    return Credential(hasher.digest())


@define(eq=False)
class CustomerRegistry:
    """The customers of one version of the configuration, by name and by key.

    Keys are kept as digests under a secret, so that the time of a look-up tells a
    caller nothing about the keys that there are.
    """

    _by_name: dict[str, Customer] = field(factory=dict, init=False)
    _by_digest: dict[bytes, Customer] = field(factory=dict, init=False)

    def add(self, customer: Customer, keys: Iterable[str]) -> None:
        """Add a customer with its keys.

        Raises:
            ValueError: If its name or one of the keys is another customer's.
        """
        if customer.name in self._by_name:
            raise ValueError(f"two customers are called {customer.name}")
        self._by_name[customer.name] = customer
        for key in keys:
            owner = self._by_digest.setdefault(make_credential(key).digest, customer)
            if owner is not customer:
                raise ValueError(f"{owner.name} and {customer.name} share a key")

    def find_by_name(self, name: str) -> Customer | None:
        """Return the customer with a name."""
        return self._by_name.get(name)

    def find_by_credential(self, credential: Credential) -> Customer | None:
        """Return the customer whose key it is."""
        return self._by_digest.get(credential.digest)

    def list_customers(self) -> list[Customer]:
        """Return all customers."""
        return list(self._by_name.values())
