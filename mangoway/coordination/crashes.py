"""What processes tell each other, through the store, of crashes and requests.

An edge writes what it had at a runner that crashed, and which requests have ended well
in spite of such charges. Each process reads all of it with the other keys of the store,
so that it holds with a leader, with a standby and without any scheduler. These keys
have no lease: what a request did outlives the edge that saw it.
"""

from typing import Any, Final

import orjson
from attrs import frozen

from ..models.crash import Charge, Clearance, RequestIdentity, RunStage
from ..policy.crashes.book import CrashBook

CRASH_KEYS: Final = "crashes/"
CLEARED_KEYS: Final = "cleared/"
HELD_KEYS: Final = "held/"
STATEMENT_KEYS: Final = (CRASH_KEYS, CLEARED_KEYS, HELD_KEYS)


class StatementError(Exception):
    """A statement can't be read."""


@frozen(kw_only=True)
class CrashStatement:
    """What one edge had at a runner that crashed."""

    life: str
    edge: str
    charges: tuple[Charge, ...]

    @property
    def key(self) -> str:
        """Return its key, without the prefix of the system's keys."""
        return f"{CRASH_KEYS}{self.life}/{self.edge}"

    def take(self, book: CrashBook) -> None:
        """Enter it in a book."""
        book.take_crash(self.key, self.charges)


@frozen(kw_only=True)
class ClearedStatement:
    """A request has ended well, so it has not caused some crashes."""

    clearance: Clearance

    @property
    def key(self) -> str:
        """Return its key, without the prefix of the system's keys."""
        return CLEARED_KEYS + self.clearance.identity.text

    def take(self, book: CrashBook) -> None:
        """Enter it in a book."""
        book.take_clearance(self.key, self.clearance)


@frozen(kw_only=True)
class HeldStatement:
    """A request is held back, and for which crashes."""

    content: str
    charges: tuple[Charge, ...]

    @property
    def key(self) -> str:
        """Return its key, without the prefix of the system's keys."""
        return HELD_KEYS + self.content

    def take(self, book: CrashBook) -> None:
        """Enter it in a book."""
        book.take_held(self.key, self.charges)


Statement = CrashStatement | ClearedStatement | HeldStatement


def encode_statement(statement: Statement) -> bytes:
    """Encode a statement for the store."""
    if isinstance(statement, ClearedStatement):
        return orjson.dumps({"lives": sorted(statement.clearance.lives)})
    rows = [
        [each.identity.text, each.life, each.stage.value, each.alone]
        for each in statement.charges
    ]
    return orjson.dumps({"charges": rows})


def decode_statement(key: str, value: bytes) -> Statement:
    """Decode a statement.

    Args:
        key: Its key, without the prefix of the system's keys.
        value: Its value.

    Raises:
        StatementError: If it can't be read.
    """
    try:
        document = orjson.loads(value)
        if key.startswith(CLEARED_KEYS):
            identity = _read_identity(key.removeprefix(CLEARED_KEYS))
            lives = frozenset(str(each) for each in document["lives"])
            return ClearedStatement(clearance=Clearance(identity=identity, lives=lives))
        charges = tuple(_read_charge(each) for each in document["charges"])
        if key.startswith(HELD_KEYS):
            content = key.removeprefix(HELD_KEYS)
            return HeldStatement(content=content, charges=charges)
        life, edge = key.removeprefix(CRASH_KEYS).split("/")
        return CrashStatement(life=life, edge=edge, charges=charges)
    except (LookupError, TypeError, ValueError) as error:
        raise StatementError(f"{key} can't be read: {error!r}") from error


def _read_charge(row: Any) -> Charge:
    stage = RunStage(row[2])
    return Charge(_read_identity(row[0]), str(row[1]), stage, alone=bool(row[3]))


def _read_identity(text: str) -> RequestIdentity:
    content, variant = text.split(".")
    return RequestIdentity(content, variant)
