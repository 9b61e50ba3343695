"""Crash statements that processes exchange through the store.

An edge writes a charge for each request that it had in progress at a runner that
crashed, and a clearance for a charged request that has succeeded. The leader writes
which requests are blocked. All edges write the clearances of a request under one key,
each with what it knows of earlier ones; if two edges write at once, the leader writes
the merged clearance, or these edges without a leader. Each process reads all statements
along with the other keys of the store, so that they apply with a leader, with a standby
and without any scheduler. The keys have no lease: a statement stays valid after the
edge that wrote it has stopped.
"""

from collections.abc import Iterable
from typing import Any, Final

import orjson
from attrs import frozen

from ..models.crash import Charge, Clearance, RequestIdentity, RunStage
from ..platform.fields import (
    DocumentError,
    check_integer,
    check_name,
    read_list,
    read_object,
)
from ..policy.crashes.tracker import CrashTracker

CRASH_KEYS: Final = "crashes/"
CLEARANCE_KEYS: Final = "cleared/"
BLOCK_KEYS: Final = "held/"
STATEMENT_KEYS: Final = (CRASH_KEYS, CLEARANCE_KEYS, BLOCK_KEYS)

MAX_CHARGE_FIELDS: Final = 16
"""More than the fields of a charge; later versions may append some."""


class StatementError(Exception):
    """A crash statement can't be decoded."""


@frozen(kw_only=True)
class CrashStatement:
    """Requests that one edge had in progress at a runner that crashed."""

    incarnation: str
    """The incarnation of the runner, as text."""

    edge: str
    charges: tuple[Charge, ...]

    @property
    def key(self) -> str:
        """Return the key, without the prefix of the system's own keys."""
        return f"{CRASH_KEYS}{self.incarnation}/{self.edge}"

    def apply_to(self, tracker: CrashTracker) -> None:
        """Add the statement to a tracker."""
        tracker.add_crash(self.key, self.charges)


@frozen(kw_only=True)
class ClearanceStatement:
    """A request has succeeded, so it did not cause the crashes that are listed."""

    clearance: Clearance

    def merge_known(self, tracker: CrashTracker) -> "ClearanceStatement":
        """Return the statement with what a tracker has under its key, once applied."""
        known = tracker.find_clearance(self.key)
        return self if known is None else ClearanceStatement(clearance=known)

    @property
    def key(self) -> str:
        """Return the key, without the prefix of the system's own keys."""
        return CLEARANCE_KEYS + self.clearance.identity.text

    def apply_to(self, tracker: CrashTracker) -> None:
        """Add the statement to a tracker."""
        tracker.add_clearance(self.key, self.clearance)


@frozen(kw_only=True)
class BlockStatement:
    """A request is blocked, with the charges that led to it."""

    content: str
    """Digest of the request's content."""

    charges: tuple[Charge, ...]

    @property
    def key(self) -> str:
        """Return the key, without the prefix of the system's own keys."""
        return BLOCK_KEYS + self.content

    def apply_to(self, tracker: CrashTracker) -> None:
        """Add the statement to a tracker."""
        tracker.add_block(self.key, self.charges)


Statement = CrashStatement | ClearanceStatement | BlockStatement


def encode_statement(statement: Statement) -> bytes:
    """Encode a statement for the store."""
    if isinstance(statement, ClearanceStatement):
        return orjson.dumps(sorted(statement.clearance.incarnations))
    if isinstance(statement, CrashStatement):
        return orjson.dumps(_encode_charges(statement.charges))
    incarnations = sorted({each.incarnation for each in statement.charges})
    return orjson.dumps(
        {
            incarnation: _encode_charges(
                each for each in statement.charges if each.incarnation == incarnation
            )
            for incarnation in incarnations
        }
    )


def decode_statement(key: str, value: bytes) -> Statement:
    """Decode a statement.

    Args:
        key: Key of the statement, without the prefix of the system's own keys.
        value: Encoded statement.

    Raises:
        StatementError: If it can't be decoded.
    """
    try:
        document = orjson.loads(value)
        if key.startswith(CLEARANCE_KEYS):
            request = check_name(key.removeprefix(CLEARANCE_KEYS), "a request")
            identity = _decode_identity(request)
            incarnations = frozenset(
                check_name(each, "an incarnation")
                for each in read_list(document, "the clearance")
            )
            return ClearanceStatement(
                clearance=Clearance(identity=identity, incarnations=incarnations)
            )
        if key.startswith(BLOCK_KEYS):
            charges = tuple(
                _decode_charge(row, incarnation)
                for incarnation, rows in read_object(document, "the block").items()
                for row in read_list(rows, "the charges")
            )
            content = check_name(key.removeprefix(BLOCK_KEYS), "the content")
            return BlockStatement(content=content, charges=charges)
        incarnation, edge = key.removeprefix(CRASH_KEYS).split("/")
        charges = tuple(
            _decode_charge(row, incarnation)
            for row in read_list(document, "the charges")
        )
        return CrashStatement(incarnation=incarnation, edge=edge, charges=charges)
    except (DocumentError, LookupError, ValueError) as error:
        raise StatementError(f"cannot decode statement {key!r}: {error}") from error


def _encode_charges(charges: Iterable[Charge]) -> list[list[Any]]:
    """Return the rows of charges with the same runner incarnation.

    Rows are compact, because all hosts read them.
    """
    rows = [
        [each.identity.text, each.stage.value, int(each.variant_only)]
        for each in charges
    ]
    return sorted(rows)


def _decode_charge(row: Any, incarnation: str) -> Charge:
    fields = read_list(row, "a charge", MAX_CHARGE_FIELDS)
    return Charge(
        _decode_identity(check_name(fields[0], "a request")),
        check_name(incarnation, "an incarnation"),
        RunStage(check_integer(fields[1], "a stage")),
        variant_only=bool(check_integer(fields[2], "a mark", maximum=1)),
    )


def _decode_identity(text: str) -> RequestIdentity:
    content, variant = text.split(".")
    return RequestIdentity(content, variant)
