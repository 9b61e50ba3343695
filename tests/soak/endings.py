"""Responses without a length or chunks, which end with their connection."""

from http import HTTPStatus

from aiohttp import web
from attrs import define, field


@define(eq=False)
class UnframedResponse:
    """Writes a response that ends when its connection is closed."""

    request: web.Request
    headers: dict[str, str]
    content_type: str = "text/plain"
    is_cut: bool = field(default=False, init=False)
    """Whether its connection was closed before its end."""

    async def prepare(self, request: web.Request) -> None:
        """Write the head."""
        lines = [f"HTTP/1.1 {HTTPStatus.OK.value} {HTTPStatus.OK.phrase}"]
        fields = self.headers | {"Content-Type": self.content_type}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        await self.write("\r\n".join([*lines, "", ""]).encode())

    async def write(self, data: bytes) -> None:
        """Write a part of the body.

        Raises:
            ConnectionResetError: If the connection is closed.
        """
        transport = self.request.transport
        if transport is None or transport.is_closing():
            self.is_cut = True
            raise ConnectionResetError("the connection is closed")
        transport.write(data)

    async def write_eof(self) -> None:
        """End the response by closing the connection."""
        await self.write(b"")
        if self.request.transport is not None:
            self.request.transport.close()
