"""Serves the metrics of a process over HTTP, with few imports."""

import asyncio
from collections.abc import Callable, Iterable

import h11
from attrs import define, field

from ..observability.metrics import CONTENT_TYPE
from ..policy.connections import MAX_METRICS, ConnectionTable
from ..util.address import get_peer_address
from ..util.listener import ACCEPTED_PER_TURN, BACKLOG, open_listener

PATH_METRICS = b"/metrics"
READ_TIMEOUT_S = 5.0
READ_BYTES = 65_536


@define(eq=False)
class MetricsServer:
    """Answers `GET /metrics`, one request per connection.

    A connection is reset if its response was not taken within `READ_TIMEOUT_S`, or to
    make room for a new one.
    """

    render: Callable[[], bytes]
    """Returns the metrics in the Prometheus text format."""

    max_connections: int = MAX_METRICS
    on_displaced: Callable[[int, str, str], None] = lambda limit, state, peer: None
    """Called with the limit, the state and the client of a connection that was closed
    to make room for a new one."""

    _table: ConnectionTable[asyncio.StreamWriter] = field(init=False)
    _server: asyncio.Server | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._table = ConnectionTable(self.max_connections)

    async def async_start(self, host: str, port: int) -> None:
        """Listen on an address.

        Raises:
            OSError: If the address can't be listened on.
        """
        listener = open_listener(host, port)
        self._server = await asyncio.start_server(
            self._async_serve, sock=listener, backlog=ACCEPTED_PER_TURN
        )
        listener.listen(BACKLOG)

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
        self._make_room(writer)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                request = await _async_read(http, reader)
                for event in self._make_response(request):
                    writer.write(http.send(event) or b"")
                writer.write_eof()
                await _async_wait_sent(writer)
        except (TimeoutError, OSError, h11.RemoteProtocolError):
            return
        finally:
            self._table.remove(writer)
            # What is still unsent has had its time.
            writer.transport.abort()

    def _make_room(self, writer: asyncio.StreamWriter) -> None:
        """Reset the oldest connection if there are too many."""
        closed = self._table.add(writer)
        if closed is None:
            return
        transport = closed[0].transport
        peer = get_peer_address(transport)
        self.on_displaced(self._table.limit, closed[1].value, peer)
        transport.abort()

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


async def _async_wait_sent(writer: asyncio.StreamWriter) -> None:
    """Wait until the kernel has all bytes of a response."""
    writer.transport.set_write_buffer_limits(high=0)
    await writer.drain()


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
