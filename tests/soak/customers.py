"""Customers of a soak: their keys, and what must hold of requests that show them."""

import time
from pathlib import Path
from random import Random
from typing import Any

from attrs import define, field

REVOKE_S = 5.0
"""Time after which a key that was taken away lets nobody in, on no host."""

KNOWN_S = 2.0
"""Time after which no host says any more that it doesn't know a key."""

BAD_SHARE = 0.05
"""Part of the requests that show a key that was never in force, or is no more."""

NAMES = ("acme", "borealis")
STRANGER = "stranger-0f3d9a51c7"
"""A key that no configuration ever held."""


@define(eq=False)
class Key:
    """A key of a customer, and when the store took it and its end."""

    text: str
    customer: str
    accepted_at: float | None = None
    removed_at: float | None = None


@define(eq=False)
class Customers:
    """All keys that there were."""

    random: Random
    keys: list[Key] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        for name in NAMES:
            self._add(name)

    def make_document(self) -> list[dict[str, Any]]:
        """Return the customers as the operator writes them."""
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

    def note_accepted(self, now: float) -> None:
        """Note that the store has taken the customers as they are."""
        for each in self.keys:
            if each.accepted_at is None:
                each.accepted_at = now

    def change_key(self, now: float) -> None:
        """Give a customer another key, and take the older ones away."""
        name = self.random.choice(NAMES)
        for each in self.list_keys(name):
            each.removed_at = now
        self._add(name)

    def list_keys(self, customer: str) -> list[Key]:
        """Return the keys of a customer that are in force."""
        return [
            each
            for each in self.keys
            if each.customer == customer and each.removed_at is None
        ]

    def choose(self, random: Random, *, good: bool) -> str:
        """Return a key for a request, in one of some a bad one."""
        now = time.monotonic()
        if not good and random.random() < BAD_SHARE:
            old = [each.text for each in self.keys if each.removed_at is not None]
            return random.choice([STRANGER, *old])
        known = [
            each.text
            for each in self.keys
            if each.removed_at is None
            and each.accepted_at is not None
            and now - each.accepted_at > KNOWN_S
        ]
        return random.choice(known) if known else self.keys[0].text

    def get_first(self) -> str:
        """Return the first key that is in force, for who always shows the same."""
        return next(each.text for each in self.keys if each.removed_at is None)

    def check(self, key: str, sent_at: float, status: int | None, ran: bool) -> str:
        """Return what is wrong with how a request was treated; empty if nothing is."""
        if not key:
            return ""
        found = next((each for each in self.keys if each.text == key), None)
        if found is None:
            return "a stranger's request ran" if ran else ""
        removed_at = found.removed_at
        if removed_at is not None:
            late = sent_at > removed_at + REVOKE_S
            return "it ran with a key that was taken away" if ran and late else ""
        accepted_at = found.accepted_at
        is_old = accepted_at is not None and sent_at - accepted_at > KNOWN_S
        return "its key was said to be unknown" if status == 401 and is_old else ""

    def find_owner(self, key: str) -> str:
        """Return the customer whose key it is or was; empty for a stranger's."""
        return next((each.customer for each in self.keys if each.text == key), "")

    def find_in_logs(self, folder: Path) -> list[str]:
        """Return what the logs of a folder tell of keys."""
        texts = [STRANGER, *(each.text for each in self.keys)]
        return [
            f"key: a key stands in {path.name}"
            for path in sorted(folder.rglob("*"))
            if path.is_file()
            and any(each in path.read_text(errors="replace") for each in texts)
        ]

    def _add(self, name: str) -> None:
        text = f"{name}-{self.random.randbytes(8).hex()}"
        self.keys.append(Key(text, name))
