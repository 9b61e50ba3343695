"""Customers of a soak, their API keys and the checks of requests that use them."""

import time
from pathlib import Path
from random import Random
from typing import Any

from attrs import define, field

REVOKE_S = 5.0
"""Time after which every host rejects a removed key."""

KEY_ACCEPT_S = 2.0
"""Time after which every host accepts a new key."""

INVALID_KEY_SHARE = 0.05
"""Share of the requests with a removed key or a key that never existed."""

NAMES = ("acme", "borealis")
UNKNOWN_KEY = "stranger-0f3d9a51c7"
"""A key that never was in any configuration."""


@define(eq=False)
class Key:
    """API key of a customer.

    The times are those at which the store accepted it, and at which it was removed.
    """

    text: str
    customer: str
    accepted_at: float | None = None
    removed_at: float | None = None


@define(eq=False)
class Customers:
    """All current and removed keys."""

    random: Random
    keys: list[Key] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        for name in NAMES:
            self._add(name)

    def make_document(self) -> list[dict[str, Any]]:
        """Return the customers as they stand in the configuration."""
        return [
            {
                "name": name,
                "api_keys": [each.text for each in self.list_keys(name)],
                "priority": number,
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 10_000_000,
                "burst": 10_000_000,
            }
            for number, name in enumerate(NAMES)
        ]

    def record_accepted(self, now: float) -> None:
        """Record that the store accepted the current keys."""
        for each in self.keys:
            if each.accepted_at is None:
                each.accepted_at = now

    def change_key(self, now: float) -> None:
        """Replace the keys of a random customer by a new one."""
        name = self.random.choice(NAMES)
        for each in self.list_keys(name):
            each.removed_at = now
        self._add(name)

    def list_keys(self, customer: str) -> list[Key]:
        """Return the current keys of a customer."""
        return [
            each
            for each in self.keys
            if each.customer == customer and each.removed_at is None
        ]

    def choose(self, random: Random, *, valid: bool) -> str:
        """Return a key for a request.

        Args:
            random: Source of the choice.
            valid: Whether it must be a valid key; otherwise a few are invalid.
        """
        now = time.monotonic()
        if not valid and random.random() < INVALID_KEY_SHARE:
            old = [each.text for each in self.keys if each.removed_at is not None]
            return random.choice([UNKNOWN_KEY, *old])
        known = [
            each.text
            for each in self.keys
            if each.removed_at is None
            and each.accepted_at is not None
            and now - each.accepted_at > KEY_ACCEPT_S
        ]
        return random.choice(known) if known else self.keys[0].text

    def get_first_key(self) -> str:
        """Return the first current key, for callers that keep using one key."""
        return next(each.text for each in self.keys if each.removed_at is None)

    def check(self, key: str, sent_at: float, status: int | None, ran: bool) -> str:
        """Return the fault in the handling of a request; empty if there is none."""
        if not key:
            return ""
        found = next((each for each in self.keys if each.text == key), None)
        if found is None:
            return "a request with an unknown key ran" if ran else ""
        removed_at = found.removed_at
        if removed_at is not None:
            late = sent_at > removed_at + REVOKE_S
            return "it ran with a removed key" if ran and late else ""
        accepted_at = found.accepted_at
        is_old = accepted_at is not None and sent_at - accepted_at > KEY_ACCEPT_S
        return "its valid key was rejected" if status == 401 and is_old else ""

    def find_owner(self, key: str) -> str:
        """Return the customer that a key belongs to; empty for an unknown key."""
        return next((each.customer for each in self.keys if each.text == key), "")

    def find_in_logs(self, folder: Path) -> list[str]:
        """Return a violation for each log file in a folder that contains a key."""
        texts = [UNKNOWN_KEY, *(each.text for each in self.keys)]
        return [
            f"key: {path.name} contains a key"
            for path in sorted(folder.rglob("*"))
            if path.is_file()
            and any(each in path.read_text(errors="replace") for each in texts)
        ]

    def _add(self, name: str) -> None:
        text = f"{name}-{self.random.randbytes(8).hex()}"
        self.keys.append(Key(text, name))
