"""The HTTP application for callers."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from typing import Any, Protocol

import orjson
from attrs import frozen
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
from .gate import Exchange, Gate, make_internal
from .messages import IncomingRequest, OutgoingAnswer
from .problems import make_problem

STATUS_OK = 200
HANDLED_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")

Handler = Callable[[Request], Awaitable[Response]]


class GatewayView(Protocol):
    """What the gateway shows of itself."""

    def list_addresses(self) -> AddressAnswer:
        """Return the gateways that callers should use."""
        ...

    def check_ready(self) -> None:
        """Raise `MangowayError` (NOT_READY or LEAVING) unless it serves."""
        ...

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    def read_status(self) -> Mapping[str, Any]:
        """Return a snapshot that can be written as JSON."""
        ...

    def explain(self, request_id: RequestId) -> list[Mapping[str, Any]]:
        """Return the kept decisions about a request, oldest first."""
        ...


@frozen(kw_only=True)
class ApplicationParts:
    """What the application is made of."""

    gate: Gate
    view: GatewayView
    max_body_bytes: int
    body_timeout_s: float = BODY_TIMEOUT_S


def make_application(parts: ApplicationParts) -> Application:
    """Return the application; start and stop it through its lifespan."""
    app = Application(router=Router())
    pages = _Pages(parts)
    requests = _Requests(parts)
    _add_route(app, "GET", PATH_ADDRESSES, pages.async_list_addresses)
    _add_route(app, "GET", PATH_STATUS, pages.async_read_status)
    _add_route(app, "GET", PATH_EXPLAIN + "{request_id}", pages.async_explain)
    _add_route(app, "GET", PATH_HEALTH, pages.async_check_health)
    _add_route(app, "GET", PATH_READY, pages.async_check_ready)
    _add_route(app, "GET", PATH_METRICS, pages.async_read_metrics)
    _add_route(app, "POST", PATH_COMPLETIONS, requests.async_handle)
    _add_route(app, "POST", PATH_SERVICES + "{service}/{call}", requests.async_handle)
    app.router.fallback = _async_refuse_path
    return app


def _add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    # The wrapper has the signature that the library passes a request to as it is.
    async def async_handle(request: Request) -> Response:
        return await _async_guard(handler, request)

    app.router.add(method, path, async_handle)
    for other in HANDLED_METHODS:
        if other != method:
            app.router.add(other, path, _async_refuse_method)


async def _async_guard(handler: Handler, request: Request) -> Response:
    try:
        return await handler(request)
    except MangowayError as error:
        return _make_response(make_problem(error.failure, None))
    except Exception as error:
        # Callers get a problem document for unexpected errors as well.
        log_event(TaskFailed(task="callers", error=repr(error)))
        return _make_response(make_problem(make_internal(error), None))


async def _async_refuse_method(request: Request) -> Response:
    error = MangowayError(
        ErrorCode.METHOD_NOT_ALLOWED, f"{request.path} does not take {request.method}"
    )
    return _make_response(make_problem(error.failure, None))


async def _async_refuse_path(request: Request) -> Response:
    error = MangowayError(ErrorCode.NOT_FOUND, f"no such path: {request.path}")
    return _make_response(make_problem(error.failure, None))


class _Pages:
    """Answers that the gateway gives from its own knowledge."""

    def __init__(self, parts: ApplicationParts) -> None:
        self._parts = parts

    async def async_list_addresses(self, _: Request) -> Response:
        """Answer which gateways to use."""
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
        """Answer with a snapshot."""
        return _make_json(self._parts.view.read_status())

    async def async_explain(self, request: Request) -> Response:
        """Answer why a request was decided as it was."""
        request_id = RequestId((request.route_values or {})["request_id"] or "")
        decisions = self._parts.view.explain(request_id)
        if not decisions:
            raise MangowayError(
                ErrorCode.NOT_FOUND, f"no decision about {request_id} is kept here"
            )
        return _make_json({"request_id": request_id, "decisions": decisions})

    async def async_check_health(self, _: Request) -> Response:
        """Answer that the process runs."""
        return _make_json({"status": "ok"})

    async def async_check_ready(self, _: Request) -> Response:
        """Answer whether it takes new requests."""
        self._parts.view.check_ready()
        return _make_json({"status": "ready"})

    async def async_read_metrics(self, _: Request) -> Response:
        """Answer with the metrics."""
        content = Content(CONTENT_TYPE.encode(), self._parts.view.render_metrics())
        return Response(STATUS_OK, content=content)


class _Requests:
    """Completions and service calls."""

    def __init__(self, parts: ApplicationParts) -> None:
        self._parts = parts

    async def async_handle(self, request: Request) -> Response:
        """Answer one request, whole or streamed."""
        gate = self._parts.gate
        try:
            body = await async_read_body(
                request, self._parts.max_body_bytes, self._parts.body_timeout_s
            )
        except MangowayError as error:
            refused = gate.refuse(_make_incoming(request, b""), error.failure)
            return _make_response(make_problem(error.failure, refused))
        exchange = gate.open(_make_incoming(request, body))
        watch = asyncio.get_running_loop().create_task(
            _async_watch_connection(request, exchange)
        )
        keep_open = False
        try:
            response, keep_open = await _async_respond(exchange, watch)
            return response
        finally:
            if not keep_open:
                watch.cancel()
                exchange.close()


async def _async_respond(
    exchange: Exchange, watch: "asyncio.Task[None]"
) -> tuple[Response, bool]:
    """Return the response, and whether its body still streams."""
    try:
        outgoing = await exchange.async_answer()
    except MangowayError as error:
        return _make_response(make_problem(error.failure, exchange.id)), False
    except Exception as error:
        log_event(TaskFailed(task="callers", error=repr(error)))
        failure = make_internal(error)
        exchange.note_failure(failure)
        return _make_response(make_problem(failure, exchange.id)), False
    if outgoing is None:
        gone = MangowayError(ErrorCode.CANCELLED, "the caller hung up")
        return _make_response(make_problem(gone.failure, exchange.id)), False
    if isinstance(outgoing.body, bytes):
        return _make_response(outgoing), False
    return _make_stream(outgoing, outgoing.body, exchange, watch), True


def _make_stream(
    outgoing: OutgoingAnswer,
    parts: AsyncGenerator[bytes, None],
    exchange: Exchange,
    watch: "asyncio.Task[None]",
) -> Response:
    async def async_send() -> AsyncGenerator[bytes, None]:
        try:
            async for part in parts:
                yield part
        finally:
            await parts.aclose()
            watch.cancel()
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


def _make_response(outgoing: OutgoingAnswer) -> Response:
    assert isinstance(outgoing.body, bytes)
    content_type = dict(outgoing.headers)[HEADER_CONTENT_TYPE].encode()
    content = Content(content_type, outgoing.body)
    return Response(outgoing.status, _encode_headers(outgoing), content)


def _encode_headers(outgoing: OutgoingAnswer) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode(), value.encode("latin-1", "replace"))
        for name, value in outgoing.headers
        if name != HEADER_CONTENT_TYPE
    ]


def _make_json(fields: Mapping[str, Any]) -> Response:
    return Response(
        STATUS_OK, content=Content(CONTENT_TYPE_JSON.encode(), orjson.dumps(fields))
    )
