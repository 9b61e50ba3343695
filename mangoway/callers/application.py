"""HTTP application for callers."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from typing import Any, Protocol

import orjson
from attrs import field, frozen
from blacksheep import Application, Content, Response, StreamedContent
from blacksheep.messages import Request
from blacksheep.server.routing import Router

from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import RequestId
from ..models.member import AddressAnswer
from ..observability.event_log import log_event
from ..observability.events import TaskFailed
from ..observability.metrics import CONTENT_TYPE
from .body import async_read_body
from .const import (
    BODY_TIMEOUT_S,
    CONTENT_TYPE_JSON,
    HEADER_CONTENT_TYPE,
    PATH_ADDRESSES,
    PATH_COMPLETIONS,
    PATH_EXPLAIN,
    PATH_HEALTH,
    PATH_METRICS,
    PATH_READY,
    PATH_SERVICES,
    PATH_STATUS,
)
from .gate import Exchange, Gate, make_internal_failure
from .input_budget import InputBudget
from .messages import IncomingRequest, OutgoingResponse
from .problems import make_problem

STATUS_OK = 200
HANDLED_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")

Handler = Callable[[Request], Awaitable[Response]]


class GatewayView(Protocol):
    """Interface to the state of the gateway to which the application belongs."""

    def list_addresses(self) -> AddressAnswer:
        """Return the addresses of the gateways that callers should use."""
        ...

    def check_ready(self) -> None:
        """Raise `MangowayError` (NOT_READY or LEAVING) unless requests are accepted."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    def read_status(self) -> Mapping[str, Any]:
        """Return a snapshot of the gateway's status that can be encoded as JSON."""
        ...

    def explain(self, request_id: RequestId) -> list[Mapping[str, Any]]:
        """Return the recorded decisions about a request, oldest first."""
        ...


@frozen(kw_only=True)
class ApplicationParts:
    """Components and limits of the application."""

    gate: Gate
    view: GatewayView
    max_body_bytes: int
    body_timeout_s: float = BODY_TIMEOUT_S
    input_budget: InputBudget = field(factory=InputBudget)


def make_application(parts: ApplicationParts) -> Application:
    """Return the application, which is started and stopped through its lifespan."""
    app = Application(router=Router())
    status = _StatusHandlers(parts)
    requests = _RequestHandlers(parts)
    _add_route(app, "GET", PATH_ADDRESSES, status.async_list_addresses)
    _add_route(app, "GET", PATH_STATUS, status.async_read_status)
    _add_route(app, "GET", PATH_EXPLAIN + "{request_id}", status.async_explain)
    _add_route(app, "GET", PATH_HEALTH, status.async_check_health)
    _add_route(app, "GET", PATH_READY, status.async_check_ready)
    _add_route(app, "GET", PATH_METRICS, status.async_read_metrics)
    _add_route(app, "POST", PATH_COMPLETIONS, requests.async_handle)
    _add_route(app, "POST", PATH_SERVICES + "{service}/{call}", requests.async_handle)
    app.router.fallback = _async_reject_path
    return app


def _add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    # BlackSheep passes the request unchanged to a handler with this signature.
    async def async_handle(request: Request) -> Response:
        return await _async_call_handler(handler, request)

    app.router.add(method, path, async_handle)
    for other in HANDLED_METHODS:
        if other != method:
            app.router.add(other, path, _async_reject_method)


async def _async_call_handler(handler: Handler, request: Request) -> Response:
    """Return the response of a handler, or a problem document if it raises."""
    try:
        return await handler(request)
    except MangowayError as error:
        return _make_response(make_problem(error.failure, None))
    except Exception as error:
        log_event(TaskFailed(task="callers", error=repr(error)))
        return _make_response(make_problem(make_internal_failure(error), None))


async def _async_reject_method(request: Request) -> Response:
    error = MangowayError(
        ErrorCode.METHOD_NOT_ALLOWED, f"{request.path} does not accept {request.method}"
    )
    return _make_response(make_problem(error.failure, None))


async def _async_reject_path(request: Request) -> Response:
    error = MangowayError(ErrorCode.NOT_FOUND, f"no such path: {request.path}")
    return _make_response(make_problem(error.failure, None))


class _StatusHandlers:
    """Handlers of addresses, status, health, readiness and metrics."""

    def __init__(self, parts: ApplicationParts) -> None:
        self._parts = parts

    async def async_list_addresses(self, _: Request) -> Response:
        """Return the gateways that callers should use."""
        answer = self._parts.view.list_addresses()
        gateways = [
            {
                "host": each.host,
                "address": each.address,
                "incarnation": each.incarnation,
                "data_centre": each.data_centre,
            }
            for each in answer.gateways
        ]
        return _make_json({"gateways": gateways, "valid_for_s": answer.valid_for_s})

    async def async_read_status(self, _: Request) -> Response:
        """Return a snapshot of the gateway's status."""
        return _make_json(self._parts.view.read_status())

    async def async_explain(self, request: Request) -> Response:
        """Return the recorded decisions about a request and their reasons."""
        request_id = RequestId((request.route_values or {})["request_id"] or "")
        decisions = self._parts.view.explain(request_id)
        if not decisions:
            raise MangowayError(
                ErrorCode.NOT_FOUND, f"no decision about {request_id} is recorded here"
            )
        return _make_json({"request_id": request_id, "decisions": decisions})

    async def async_check_health(self, _: Request) -> Response:
        """Return status 200, since a process that responds is running."""
        return _make_json({"status": "ok"})

    async def async_check_ready(self, _: Request) -> Response:
        """Return status 200 if new requests are accepted; raise an error otherwise."""
        self._parts.view.check_ready()
        return _make_json({"status": "ready"})

    async def async_read_metrics(self, _: Request) -> Response:
        """Return the metrics."""
        content = Content(CONTENT_TYPE.encode(), self._parts.view.render_metrics())
        return Response(STATUS_OK, content=content)


class _RequestHandlers:
    """Handlers of completions and service calls."""

    def __init__(self, parts: ApplicationParts) -> None:
        self._parts = parts

    async def async_handle(self, request: Request) -> Response:
        """Handle one request; the response is complete or streamed."""
        gate = self._parts.gate
        try:
            body = await async_read_body(
                request,
                self._parts.max_body_bytes,
                self._parts.body_timeout_s,
                self._parts.input_budget,
            )
        except MangowayError as error:
            request_id = gate.reject(_make_incoming(request, b""), error.failure)
            return _make_response(make_problem(error.failure, request_id))
        exchange = gate.open(_make_incoming(request, body))
        disconnect_watch = asyncio.get_running_loop().create_task(
            _async_watch_connection(request, exchange)
        )
        keep_open = False
        try:
            response, keep_open = await _async_respond(exchange, disconnect_watch)
            return response
        finally:
            if not keep_open:
                disconnect_watch.cancel()
                exchange.close()


async def _async_respond(
    exchange: Exchange, disconnect_watch: "asyncio.Task[None]"
) -> tuple[Response, bool]:
    """Return the response, and whether its body will be streamed."""
    try:
        outgoing = await exchange.async_answer()
    except MangowayError as error:
        return _make_response(make_problem(error.failure, exchange.id)), False
    except Exception as error:
        log_event(TaskFailed(task="callers", error=repr(error)))
        failure = make_internal_failure(error)
        exchange.record_failure(failure)
        return _make_response(make_problem(failure, exchange.id)), False
    if outgoing is None:
        gone = MangowayError(ErrorCode.CANCELLED, "the caller closed the connection")
        return _make_response(make_problem(gone.failure, exchange.id)), False
    if isinstance(outgoing.body, bytes):
        return _make_response(outgoing), False
    return _make_stream(outgoing, outgoing.body, exchange, disconnect_watch), True


def _make_stream(
    outgoing: OutgoingResponse,
    parts: AsyncGenerator[bytes, None],
    exchange: Exchange,
    disconnect_watch: "asyncio.Task[None]",
) -> Response:
    async def async_send() -> AsyncGenerator[bytes, None]:
        try:
            async for part in parts:
                yield part
        finally:
            await parts.aclose()
            disconnect_watch.cancel()
            exchange.close()

    content_type = dict(outgoing.headers)[HEADER_CONTENT_TYPE].encode()
    content = StreamedContent(content_type, async_send)
    return Response(outgoing.status, _encode_headers(outgoing), content)


async def _async_watch_connection(request: Request, exchange: Exchange) -> None:
    receive = request.content.receive  # type: ignore[union-attr]
    while (await receive())["type"] != "http.disconnect":
        pass
    exchange.hang_up()


def _make_incoming(request: Request, body: bytes) -> IncomingRequest:
    return IncomingRequest(
        method=request.method,
        path=request.url.path.decode(),
        headers={
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.headers
        },
        body=body,
    )


def _make_response(outgoing: OutgoingResponse) -> Response:
    assert isinstance(outgoing.body, bytes)
    content_type = dict(outgoing.headers)[HEADER_CONTENT_TYPE].encode()
    content = Content(content_type, outgoing.body)
    return Response(outgoing.status, _encode_headers(outgoing), content)


def _encode_headers(outgoing: OutgoingResponse) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode(), value.encode("latin-1", "replace"))
        for name, value in outgoing.headers
        if name != HEADER_CONTENT_TYPE
    ]


def _make_json(fields: Mapping[str, Any]) -> Response:
    return Response(
        STATUS_OK, content=Content(CONTENT_TYPE_JSON.encode(), orjson.dumps(fields))
    )
