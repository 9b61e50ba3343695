"""Serves the metrics of a process over HTTP, with few imports."""

import asyncio
from collections.abc import Callable, Iterable

import h11
from attrs import define, field

from ..observability.metrics import CONTENT_TYPE

PATH_METRICS = b"/metrics"
READ_TIMEOUT_S = 5.0
READ_BYTES = 65_536


@define(eq=False)
class MetricsServer:
    """Answers `GET /metrics`, one request per connection."""

    render: Callable[[], bytes]
    """Returns the metrics in the Prometheus text format."""

    _server: asyncio.Server | None = field(default=None, init=False)

    async def async_start(self, host: str, port: int) -> None:
        """Listen on an address.

        Raises:
            OSError: If the address can't be listened on.
        """
        self._server = await asyncio.start_server(self._async_serve, host, port)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        if self._server is None:
            raise RuntimeError("the metrics server is not started")
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                request = await _async_read(http, reader)
                for event in self._make_response(request):
                    writer.write(http.send(event) or b"")
                await writer.drain()
        except (TimeoutError, OSError, h11.RemoteProtocolError):
            return
        finally:
            writer.close()

    def _make_response(self, request: h11.Request) -> Iterable[h11.Event]:
        found = request.target == PATH_METRICS and request.method == b"GET"
        body = self.render() if found else b""
        headers = [
            ("Content-Type", CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        status = 200 if found else 404
        yield h11.Response(status_code=status, headers=headers)
        yield h11.Data(data=body)
        yield h11.EndOfMessage()


async def _async_read(
    http: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request:
    request: h11.Request | None = None
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return request
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise h11.RemoteProtocolError("the connection closed without a request")
