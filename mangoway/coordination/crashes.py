"""What processes tell each other, through the store, of crashes and requests.

An edge writes what it had at a runner that crashed, and which requests have ended well
in spite of such charges. Each process reads all of it with the other keys of the store,
so that it holds with a leader, with a standby and without any scheduler. These keys
have no lease: what a request did outlives the edge that saw it.
"""

from collections.abc import Iterable
from typing import Any, Final

import orjson
from attrs import frozen

from ..models.crash import Charge, Clearance, RequestIdentity, RunStage
from ..policy.crashes.tracker import CrashTracker

CRASH_KEYS: Final = "crashes/"
CLEARANCE_KEYS: Final = "cleared/"
BLOCK_KEYS: Final = "held/"
STATEMENT_KEYS: Final = (CRASH_KEYS, CLEARANCE_KEYS, BLOCK_KEYS)


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

    def apply_to(self, tracker: CrashTracker) -> None:
        """Enter it in a book."""
        tracker.add_crash(self.key, self.charges)


@frozen(kw_only=True)
class ClearanceStatement:
    """A request has ended well, so it has not caused some crashes."""

    clearance: Clearance

    @property
    def key(self) -> str:
        """Return its key, without the prefix of the system's keys."""
        return CLEARANCE_KEYS + self.clearance.identity.text

    def apply_to(self, tracker: CrashTracker) -> None:
        """Enter it in a book."""
        tracker.add_clearance(self.key, self.clearance)


@frozen(kw_only=True)
class BlockStatement:
    """A request is held back, and for which crashes."""

    content: str
    charges: tuple[Charge, ...]

    @property
    def key(self) -> str:
        """Return its key, without the prefix of the system's keys."""
        return BLOCK_KEYS + self.content

    def apply_to(self, tracker: CrashTracker) -> None:
        """Enter it in a book."""
        tracker.add_block(self.key, self.charges)


Statement = CrashStatement | ClearanceStatement | BlockStatement


def encode_statement(statement: Statement) -> bytes:
    """Encode a statement for the store."""
    if isinstance(statement, ClearanceStatement):
        return orjson.dumps(sorted(statement.clearance.lives))
    if isinstance(statement, CrashStatement):
        return orjson.dumps(_list_rows(statement.charges))
    lives = sorted({each.life for each in statement.charges})
    return orjson.dumps(
        {
            life: _list_rows(each for each in statement.charges if each.life == life)
            for life in lives
        }
    )


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
        if key.startswith(CLEARANCE_KEYS):
            identity = _read_identity(key.removeprefix(CLEARANCE_KEYS))
            lives = frozenset(str(each) for each in document)
            return ClearanceStatement(
                clearance=Clearance(identity=identity, lives=lives)
            )
        if key.startswith(BLOCK_KEYS):
            charges = tuple(
                _read_charge(row, life)
                for life, rows in document.items()
                for row in rows
            )
            content = key.removeprefix(BLOCK_KEYS)
            return BlockStatement(content=content, charges=charges)
        life, edge = key.removeprefix(CRASH_KEYS).split("/")
        charges = tuple(_read_charge(row, life) for row in document)
        return CrashStatement(life=life, edge=edge, charges=charges)
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise StatementError(f"{key} can't be read: {error!r}") from error


def _list_rows(charges: Iterable[Charge]) -> list[list[Any]]:
    """Return charges of one life; all hosts read them, so that they are short."""
    rows = [
        [each.identity.text, each.stage.value, int(each.variant_only)]
        for each in charges
    ]
    return sorted(rows)


def _read_charge(row: Any, life: str) -> Charge:
    return Charge(
        _read_identity(row[0]), life, RunStage(row[1]), variant_only=bool(row[2])
    )


def _read_identity(text: str) -> RequestIdentity:
    content, variant = text.split(".")
    return RequestIdentity(content, variant)
