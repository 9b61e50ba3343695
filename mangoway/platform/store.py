"""Client of the platform's store; implements `CoordinationStore`."""

import base64
import re
from typing import Any, Final

from attrs import define, field

from ..coordination.store import (
    NO_REVISION,
    Change,
    Changes,
    CommitResult,
    HistoryLostError,
    Item,
    LeaseEndedError,
    OutdatedResponseError,
    Precondition,
    Snapshot,
    StoreRevision,
    StoreUnavailableError,
    Write,
)
from ..http1.json_client import CallFailedError, JsonClient, JsonReply
from ..http1.messages import Headers
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from .fields import (
    DocumentError,
    check_integer,
    check_text,
    read_integer,
    read_list,
    read_object,
    read_text,
)
from .headers import STORE_ERA

MAX_STORE_REPLY_BYTES: Final = 32 << 20
"""Largest response of the store. A page has about 1 MB, but a watch reports all changes
since its revision."""

CALL_TIMEOUT_S: Final = 1.2
"""The store responds within 4 ms, or within 0.25 s if it is slower by a factor of 60,
which the platform documents; after more than a second it counts as unavailable."""

WATCH_MARGIN_S: Final = 0.6
"""Delay of a watch response after which the store counts as unavailable: more than
twice the response time of a slow store."""

MAX_VALUE: Final = MAX_STORE_REPLY_BYTES
"""Longest encoded value; the size of a response limits it anyway."""

MAX_LEASE_ID: Final = 2**63 - 1
MS_PER_S: Final = 1000
MAX_ERA: Final = 8191
"""Highest valid era. Fence numbers combine it with the revision number, and JSON
readers keep only whole numbers below 2**53 exactly."""

ERA_FORMAT: Final = re.compile(rb"[0-9]{1,9}")


@define(eq=False)
class PlatformStore:
    """Client of the store at one address."""

    address: str
    metrics: Metrics
    client: JsonClient = field(factory=lambda: JsonClient(expects_extras=False))
    era: int = field(default=0, init=False)
    """Highest known era; 0 if none is known."""

    async def async_read(self, key: str) -> Item | None:
        """Read one key."""
        reply = await self._async_call("GET", "/v1/kv-key", query={"key": key})
        if reply.status == 404:
            return None
        _require_ok(reply)
        return _decode_item(reply.body, self.era)

    async def async_list(self, prefix: str, *, exact: bool = True) -> Snapshot:
        """Read all keys with a prefix.

        The pages together are not a consistent snapshot. The returned revision is that
        of the first page, so that a watch from it repeats changes made between two
        pages.

        Args:
            prefix: Prefix of the keys.
            exact: Whether the result must include all writes before the call.
        """
        items: list[Item] = []
        revision: StoreRevision | None = None
        after = ""
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            if not exact:
                query["serializable"] = "1"
            reply = await self._async_call("GET", "/v1/kv-range", query=query)
            _require_ok(reply)
            if revision is None:
                revision = self._read_revision(reply, "current_rev")
            if revision.era != self.era:
                raise OutdatedResponseError(revision.era, self.era)
            rows = _read_rows(reply, "items")
            items += [_decode_item(each, self.era) for each in rows]
            if not reply.body.get("more_pages") or not items:
                return Snapshot(items=tuple(items), revision=revision)
            after = items[-1].key

    async def async_watch(
        self, prefix: str, revision: StoreRevision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision."""
        reply = await self._async_call(
            "GET",
            "/v1/kv-watch",
            query={
                "prefix": prefix,
                "after": revision.number,
                "wait_ms": int(wait_s * MS_PER_S),
            },
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        if reply.status == 410:
            raise HistoryLostError(revision)
        _require_ok(reply)
        return Changes(
            changes=tuple(
                _decode_change(each, self.era) for each in _read_rows(reply, "events")
            ),
            revision=self._read_revision(reply, "current_rev"),
        )

    async def async_commit(
        self,
        preconditions: tuple[Precondition, ...],
        writes: tuple[Write, ...],
        deletes: tuple[str, ...] = (),
    ) -> CommitResult:
        """Write and delete keys if all preconditions hold.

        A precondition with a revision of an earlier era does not hold: the number may
        have been given out again.
        """
        if any(self._is_outdated(each) for each in preconditions):
            return CommitResult(committed=False, revision=NO_REVISION)
        body = {
            "precondition": [
                {"key": each.key, "revision": each.revision.number}
                for each in preconditions
            ],
            "set_keys": [_encode_write(each) for each in writes],
            "delete_keys": list(deletes),
        }
        reply = await self._async_call("POST", "/v1/kv-txn", body=body)
        if reply.status == 412:
            return CommitResult(committed=False, revision=NO_REVISION)
        if reply.status == 404:
            raise LeaseEndedError(writes[0].lease_id if writes else 0)
        _require_ok(reply)
        revision = self._read_revision(reply, "revision")
        return CommitResult(committed=True, revision=revision)

    async def async_grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its ID."""
        body = {"ttl_ms": int(ttl_s * MS_PER_S)}
        reply = await self._async_call("POST", "/v1/kv-lease", body=body)
        _require_ok(reply)
        return int(reply.body["lease"])

    async def async_renew_lease(self, lease_id: int) -> None:
        """Renew a lease."""
        reply = await self._async_call("POST", f"/v1/kv-keep/{lease_id}")
        if reply.status == 404:
            raise LeaseEndedError(lease_id)
        _require_ok(reply)

    async def async_end_lease(self, lease_id: int) -> None:
        """End a lease; it is not an error if it has ended already."""
        reply = await self._async_call("DELETE", f"/v1/kv-lease-end/{lease_id}")
        if reply.status != 404:
            _require_ok(reply)

    def learn_era(self, era: int) -> None:
        """Learn of an era, from a response or from another process.

        An era above the valid range is ignored.
        """
        if self.era < era <= MAX_ERA:
            log_event(log.StoreEraSeen(era=era, previous_era=self.era))
            self.era = era
            self.metrics.store_era.set(level=era)

    def close(self) -> None:
        """Close the connections."""
        self.client.pool.close()

    async def _async_call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, Any] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> JsonReply:
        call = path.split("/")[2]
        try:
            reply = await self.client.async_call(
                self.address,
                method,
                path,
                query=query,
                body=body,
                timeout_s=timeout_s,
                max_bytes=MAX_STORE_REPLY_BYTES,
            )
        except CallFailedError as error:
            self.metrics.store_calls.add(call, "no_answer")
            raise StoreUnavailableError(f"{path}: {error}") from error
        self.metrics.store_calls.add(call, str(reply.status))
        self._record_era(decode_era(reply.headers, default=self.era))
        return reply

    def _is_outdated(self, precondition: Precondition) -> bool:
        revision = precondition.revision
        return revision != NO_REVISION and revision.era < self.era

    def _read_revision(self, reply: JsonReply, name: str) -> StoreRevision:
        revision = _decode_revision(reply.body, name, self.era)
        self.metrics.store_revision.set(level=revision.number)
        return revision

    def _record_era(self, era: int) -> None:
        """Record the era of a response.

        Raises:
            OutdatedResponseError: If it is earlier than a known one.
        """
        if era < self.era:
            raise OutdatedResponseError(era, self.era)
        self.learn_era(era)


def decode_era(headers: Headers, default: int) -> int:
    """Decode the era of a response.

    Args:
        headers: Fields of the response.
        default: Era of a response without the field.

    Raises:
        StoreUnavailableError: If it is not one whole number in the valid range.
    """
    values = {value for name, value in headers if name.lower() == STORE_ERA}
    if not values:
        return default
    if len(values) > 1:
        raise StoreUnavailableError(f"the store sent several eras: {sorted(values)}")
    text = values.pop()
    if not ERA_FORMAT.fullmatch(text) or int(text) > MAX_ERA:
        raise StoreUnavailableError(f"the store sent an invalid era: {text[:20]!r}")
    return int(text)


def _require_ok(reply: JsonReply) -> None:
    if reply.status != 200:
        raise StoreUnavailableError(
            f"the store responded with status {reply.status}: {reply.body!r}"
        )


def _encode_write(write: Write) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    return {"key": write.key, "value": value, "lease": write.lease_id}


def _read_rows(reply: JsonReply, name: str) -> list[Any]:
    try:
        fields = read_object(reply.body, "the response")
        if name not in fields:
            raise DocumentError(f"{name} is missing")
        return read_list(fields[name], name)
    except DocumentError as error:
        raise StoreUnavailableError(
            f"the store sent an invalid response: {error}"
        ) from error


def _decode_revision(fields: Any, name: str, era: int) -> StoreRevision:
    try:
        number = read_integer(read_object(fields, "the response"), name)
        return StoreRevision(era, number)
    except DocumentError as error:
        raise StoreUnavailableError(
            f"the store sent an invalid revision: {error!r}"
        ) from error


def _decode_item(fields: Any, era: int) -> Item:
    try:
        fields = read_object(fields, "the item")
        return Item(
            key=read_text(fields, "key"),
            value=base64.b64decode(check_text(fields["value"], "value", MAX_VALUE))
            if fields["value"] != ""
            else b"",
            revision=StoreRevision(era, read_integer(fields, "revision")),
            lease_id=check_integer(
                fields.get("lease") or 0, "lease", maximum=MAX_LEASE_ID
            ),
        )
    except (DocumentError, KeyError, ValueError) as error:
        raise StoreUnavailableError(
            f"the store sent an invalid item: {error!r}"
        ) from error


def _decode_change(fields: Any, era: int) -> Change:
    if isinstance(fields, dict) and fields.get("removed"):
        revision = _decode_revision(fields, "revision", era)
        try:
            return Change(key=read_text(fields, "key"), revision=revision, item=None)
        except DocumentError as error:
            raise StoreUnavailableError(
                f"the store sent an invalid change: {error}"
            ) from error
    item = _decode_item(fields, era)
    return Change(key=item.key, revision=item.revision, item=item)
