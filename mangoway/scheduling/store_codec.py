"""Encoding of the messages about the state of the store."""

import base64
from typing import Any, Final

from ..coordination.store import Change, Changes, Item, StoreRevision
from .codec_registry import decodes, encodes
from .messages import Message, RetainedItems, StoreChanges, StoreSnapshot

BASE64_MARKER: Final = 1
"""Last element of the row of an item whose value is binary."""

TEXT_ROW_LENGTH: Final = 4
"""Length of the row of an item whose value is text."""


@encodes(StoreSnapshot)
def _encode_store_snapshot(message: StoreSnapshot) -> list[Any]:
    items = [_encode_item(each) for each in message.items]
    return [
        "state",
        message.revision.number,
        message.keys,
        items,
        round(message.retention_s, 3),
        message.revision.era,
    ]


@decodes("state")
def _decode_store_snapshot(fields: list[Any], edge: str) -> Message:
    era = get_era(fields, 5)
    return StoreSnapshot(
        revision=StoreRevision(era, fields[1]),
        keys=tuple(fields[2]),
        items=tuple(_decode_item(each, era) for each in fields[3]),
        retention_s=fields[4],
    )


@encodes(StoreChanges)
def _encode_store_changes(message: StoreChanges) -> list[Any]:
    rows = [
        [
            each.key,
            each.revision.number,
            None if each.item is None else _encode_item(each.item),
        ]
        for each in message.changes.changes
    ]
    revision = message.changes.revision
    retention_s = round(message.retention_s, 3)
    return ["changes", revision.number, rows, retention_s, revision.era]


@decodes("changes")
def _decode_store_changes(fields: list[Any], edge: str) -> Message:
    era = get_era(fields, 4)
    changes = tuple(
        Change(
            key=row[0],
            revision=StoreRevision(era, row[1]),
            item=None if row[2] is None else _decode_item(row[2], era),
        )
        for row in fields[2]
    )
    revision = StoreRevision(era, fields[1])
    return StoreChanges(
        changes=Changes(changes=changes, revision=revision), retention_s=fields[3]
    )


@encodes(RetainedItems)
def _encode_retained(message: RetainedItems) -> list[Any]:
    return [
        "retained",
        [[each.revision.era, *_encode_item(each)] for each in message.items],
    ]


@decodes("retained")
def _decode_retained(fields: list[Any], edge: str) -> Message:
    items = tuple(_decode_item(row[1:], row[0]) for row in fields[1])
    return RetainedItems(items=items)


def get_era(fields: list[Any], index: int) -> int:
    """Return the era of a message; 0 if it states none."""
    return int(fields[index]) if len(fields) > index else 0


def _encode_item(item: Item) -> list[Any]:
    try:
        # Most values are text, which compresses to half the size of its base64 form.
        value = item.value.decode()
        return [item.key, item.revision.number, item.lease_id, value]
    except UnicodeDecodeError:
        value = base64.b64encode(item.value).decode()
        number = item.revision.number
        return [item.key, number, item.lease_id, value, BASE64_MARKER]


def _decode_item(row: list[Any], era: int) -> Item:
    in_base64 = len(row) > TEXT_ROW_LENGTH
    value = base64.b64decode(row[3]) if in_base64 else row[3].encode()
    revision = StoreRevision(era, row[1])
    return Item(key=row[0], revision=revision, lease_id=row[2], value=value)
