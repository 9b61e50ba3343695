"""A loopback server whose responses are raw bytes written by scripts."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


def make_response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return the bytes of a complete HTTP response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


class RawServer:
    """Counts connections and requests; a script writes each response.

    The connection stays open after the script returns, like a silent connection.
    """

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self.requests: list[bytes] = []
        self.connections = 0
        self.lost = asyncio.Event()
        """Set once a connection is closed."""

        self._tasks: set[asyncio.Task[None]] = set()
        self._silent: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def silence(self) -> None:
        """Stop responding on the connections that are open now."""
        self._silent |= self._tasks

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            while request := await _read_request(reader):
                self.requests.append(request)
                if task in self._silent:
                    continue
                script = self._scripts[min(len(self.requests), len(self._scripts)) - 1]
                await script(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.lost.set()
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head + await reader.readexactly(length)


def answer(*parts: bytes) -> Script:
    """Return a script that writes parts and keeps the connection open."""

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()

    return run


def cut(*parts: bytes) -> Script:
    """Return a script that writes parts and closes the connection."""

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.writelines(parts)
        await writer.drain()
        writer.close()

    return run


def repeat_before(*responses: bytes) -> Script:
    """Return a script that repeats the last response of a connection before the next.

    Args:
        responses: The responses to all requests in their order.
    """
    last: dict[asyncio.StreamWriter, bytes] = {}
    left = iter(responses)

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(last.get(writer, b""))
        last[writer] = next(left)
        writer.write(last[writer])

    return run
