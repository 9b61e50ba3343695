"""Client of the control API of runners: reports and orders."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, Final

from attrs import define, field, frozen

from ..http1.json_client import CallFailedError, JsonClient
from ..models.runner import RunnerReport
from ..models.signals import RunnerSignals
from . import headers as names
from .documents import DECODE_ERRORS, decode_models, read_started_ms
from .fields import (
    MAX_NAME_CHARACTERS,
    DocumentError,
    check_name,
    check_text,
    read_count,
    read_integer,
    read_list,
    read_object,
)
from .signals import decode_signals

REPORT_TIMEOUT_S: Final = 0.5
"""A report needs no slot and normally arrives within a few milliseconds."""

ORDER_TIMEOUT_S: Final = 0.8
"""Runners accept or reject an order within a few milliseconds, or never respond."""


class RunnerUnreachableError(Exception):
    """A runner sent no valid response; an order may still be executed."""


class OrderAnswer(Enum):
    """Response of a runner to an order."""

    STARTED = "started"
    ALREADY_HOLDS = "already_holds"
    BUSY_OR_STALE = "busy_or_stale"
    """Another order is being executed, or the expected order count is wrong."""

    FENCED = "fenced"
    REJECTED = "refused"
    OTHER_RUNNER = "other_runner"


ANSWERS_BY_STATUS: Final = {
    202: OrderAnswer.STARTED,
    200: OrderAnswer.ALREADY_HOLDS,
    409: OrderAnswer.BUSY_OR_STALE,
    412: OrderAnswer.FENCED,
    400: OrderAnswer.REJECTED,
    421: OrderAnswer.OTHER_RUNNER,
}


@frozen(kw_only=True)
class RunnerOrder:
    """An order to load or unload a model or one of its adapters."""

    load: bool
    model: str
    adapter: str
    """Empty for the model itself."""

    expected_order_count: int
    """The runner rejects the order if it has accepted another number of orders."""

    holder: str
    fence: int


@define(eq=False)
class RunnerControl:
    """Requests reports of runners and sends orders to them."""

    client: JsonClient = field(factory=JsonClient)
    on_signals: Callable[[str, RunnerSignals], None] = lambda runner_id, signals: None
    """Called with the signals in each response of a runner."""

    async def async_read_report(
        self, address: str, runner_id: str, *, fresh: bool = False
    ) -> RunnerReport:
        """Request a runner's report.

        Args:
            address: Address of the runner.
            runner_id: ID of the runner.
            fresh: Whether to use a new connection, on which no extra copy of an earlier
                report can arrive.

        Raises:
            RunnerUnreachableError: If there is no valid response.
        """
        try:
            reply = await self.client.async_call(
                address,
                "GET",
                "/v1/report",
                timeout_s=REPORT_TIMEOUT_S,
                fresh=fresh,
            )
            signals = decode_signals(reply.headers, reply.status)
            self.on_signals(runner_id, signals)
            if reply.status != 200:
                raise RunnerUnreachableError(f"{runner_id}: status {reply.status}")
            return decode_report(reply.body)
        except (CallFailedError, DocumentError) as error:
            raise RunnerUnreachableError(f"{runner_id}: {error}") from error

    async def async_send_order(
        self, address: str, runner_id: str, order: RunnerOrder
    ) -> OrderAnswer:
        """Send an order to a runner; a runner with another ID rejects it.

        Raises:
            RunnerUnreachableError: If there is no valid response; the order may still
                be executed.
        """
        body = {
            "operation": "model_load" if order.load else "model_unload",
            "model": order.model,
            "precondition": order.expected_order_count,
            "holder": order.holder,
            "fence": order.fence,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        try:
            reply = await self.client.async_call(
                address,
                "POST",
                "/v1/order",
                body=body,
                headers=((names.EXPECTED_INSTANCE.title(), runner_id.encode()),),
                timeout_s=ORDER_TIMEOUT_S,
            )
        except CallFailedError as error:
            raise RunnerUnreachableError(f"{runner_id}: {error}") from error
        self.on_signals(runner_id, decode_signals(reply.headers, reply.status))
        answer = ANSWERS_BY_STATUS.get(reply.status)
        if answer is None:
            raise RunnerUnreachableError(f"{runner_id}: status {reply.status}")
        return answer


def decode_report(value: Any) -> RunnerReport:
    """Decode a runner's report.

    Raises:
        DocumentError: If the report is invalid.
    """
    try:
        fields = read_object(value, "the report")
        available = read_object(fields.get("available") or {}, "available")
        return RunnerReport(
            models=decode_models(fields["models"]),
            # Entries of `pending` have the form model/adapter@version.
            pending_adapters=frozenset(
                check_name(each, "pending").partition("@")[0]
                for each in read_list(fields.get("pending"), "pending")
            ),
            busy=bool(fields["busy"]),
            order_count=read_integer(fields, "seq"),
            queued=read_count(fields, "queued"),
            active=read_count(fields, "active"),
            kv_used_tokens=read_count(fields, "kv_used"),
            kv_capacity_tokens=read_count(fields, "kv_total"),
            in_host_memory=_read_names(available, "in_memory"),
            on_disk=_read_names(available, "on_disk"),
            started_ms=read_started_ms(fields),
            run_ids=_decode_run_ids(fields.get("runs")),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(f"invalid report: {error!r}") from error


def _read_names(fields: Mapping[str, Any], name: str) -> frozenset[str]:
    """Return a list of names; empty if it is missing."""
    return frozenset(
        check_name(each, name) for each in read_list(fields.get(name), name)
    )


def _decode_run_ids(value: Any) -> frozenset[str] | None:
    """Return the request IDs of the rows of a report's runs."""
    if value is None:
        return None
    rows = (read_list(each, "a run") for each in read_list(value, "runs"))
    return frozenset(check_text(row[0], "a run", MAX_NAME_CHARACTERS) for row in rows)
