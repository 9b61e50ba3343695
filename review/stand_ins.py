"""Stand-ins of the platform's store, of runners and of clients, and a small deployment.

They use the standard library only and follow PROTOCOL.md. The programs of the project
are started as processes of their own with the commands of deploy/system.toml.
"""

import asyncio
import base64
import copy
import json
import os
import shutil
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "review.example"
Reply = tuple[int, dict[str, str], bytes]


def find_free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """The record of one play: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.file.flush()


class Message:
    """A request as received."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(
            each.split("=", 1) for each in query.split("&") if "=" in each
        )


async def async_read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Message(method, target, headers, body)


def encode_reply(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = f"HTTP/1.1 {status} X\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()
    )
    return head.encode() + b"\r\n" + body


class Server:
    """A server of HTTP/1.1 with kept connections on a loopback port."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await async_read_message(reader)) is not None:
                if not await self.async_handle(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client has left, or the play is over.
            pass
        finally:
            writer.close()

    async def async_handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.era: int | None = None
        """Sent with all answers if it is set; rises when the store is restored."""

        self.is_away = False
        self.on_watched: Callable[[float], None] = lambda took_s: None
        """Called with the time that a watch has waited before it was answered."""

        self._next_lease = 1
        self._changed = asyncio.Event()

    def copy(self) -> dict[str, Any]:
        """Return a copy of the current state."""
        state = {
            "items": self.items,
            "history": self.history,
            "revision": self.revision,
            "leases": self.leases,
            "next_lease": self._next_lease,
        }
        return copy.deepcopy(state)

    def restore(self, state: dict[str, Any]) -> None:
        """Come back from a copy; revisions and leases since are given out again."""
        assert self.era is not None
        self.era += 1
        state = copy.deepcopy(state)
        self.items, self.history = state["items"], state["history"]
        self.revision, self.leases = state["revision"], state["leases"]
        self._next_lease = state["next_lease"]
        self._changed.set()
        self._changed = asyncio.Event()

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._record(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [key for key, (_, end) in self.leases.items() if end < now]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, each in self.items.items() if each["lease"] == lease]:
            self.remove(key)

    async def async_handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call."""
        if self.is_away:
            return False
        self._expire()
        began_at = time.monotonic()
        status, fields = await self._async_answer(message)
        if self.is_away:
            return False
        if message.path == "/v1/kv-watch":
            self.on_watched(time.monotonic() - began_at)
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        writer.write(encode_reply(status, headers, json.dumps(fields).encode()))
        await writer.drain()
        return True

    async def _async_answer(self, message: Message) -> tuple[int, dict[str, Any]]:
        path = message.path
        if path == "/v1/kv-range":
            prefix = _unquote(message.query.get("prefix", ""))
            after = _unquote(message.query.get("after", ""))
            keys = sorted(key for key in self.items if key.startswith(prefix))
            items = [self.items[key] for key in keys if key > after]
            return 200, {
                "items": items,
                "more_pages": False,
                "current_rev": self.revision,
            }
        if path == "/v1/kv-key":
            item = self.items.get(_unquote(message.query["key"]))
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/v1/kv-watch":
            return await self._async_watch(message)
        if path.startswith("/v1/kv-lease-end/"):
            self._end(int(path.rpartition("/")[2]))
            return 200, {}
        if path.startswith("/v1/kv-keep/"):
            return self._renew(int(path.rpartition("/")[2]))
        body = json.loads(message.body or b"{}")
        if path == "/v1/kv-lease":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = float(body["ttl_ms"]) / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if path == "/v1/kv-txn":
            return self._commit(body)
        return 404, {}

    def _renew(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self.leases:
            return 404, {}
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    async def _async_watch(self, message: Message) -> tuple[int, dict[str, Any]]:
        after = int(message.query["after"])
        if after > self.revision:
            return 410, {}
        wait_s = min(30.0, int(message.query["wait_ms"]) / 1000)
        if after == self.revision:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
        events = [each for each in self.history if each["revision"] > after]
        return 200, {"events": events, "current_rev": self.revision}

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for each in body.get("precondition") or []:
            known = self.items.get(each["key"])
            if each["revision"] != (known["revision"] if known else 0):
                return 412, {"items": [known] if known else []}
        writes = body.get("set_keys") or []
        if any(each["lease"] and each["lease"] not in self.leases for each in writes):
            return 404, {}
        for each in writes:
            self.write(each["key"], base64.b64decode(each["value"]), each["lease"])
        for key in body.get("delete_keys") or []:
            self.remove(key)
        return 200, {"revision": self.revision}


def _unquote(text: str) -> str:
    return text.replace("%2F", "/").replace("%3A", ":").replace("%2f", "/")


class Runner(Server):
    """A runner of a service, plain or with an engine that holds one model.

    A subclass or a test sets `async_answer`, which works on a request.
    """

    def __init__(
        self, service: str, record: Record, models: tuple[str, ...] = ()
    ) -> None:
        super().__init__()
        self.service, self.record, self.models = service, record, models
        self.runner_id = f"i-{os.urandom(4).hex()}"
        self.async_answer: Callable[
            [Runner, Message, asyncio.StreamWriter], Awaitable[bool]
        ] = async_answer_at_once
        self.orders = 0
        self.ran: list[str] = []
        self.ended_well: list[str] = []
        """Streams that were written to their end."""

        self.busy = False
        self._count = 0

    def announce(self, store: Store) -> None:
        """Write the entry of the runner."""
        self._count += 1
        fields: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": 1,
            "slots": 64,
            "state": "ready",
            "seq": self._count,
        }
        if self.models:
            fields |= {"phase": "colocated", "models": self._list_models()}
        store.write(f"servers/{self.runner_id}", json.dumps(fields).encode())

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {"name": each, "version": 1, "adapters": self.list_adapters(each)}
            for each in self.models
        ]

    def list_adapters(self, model: str) -> list[str]:
        """Return the adapters of a model that are loaded."""
        return []

    async def async_handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a report request, an order or a request of a client."""
        if message.path == "/v1/report":
            report = {
                "phase": "colocated",
                "models": self._list_models(),
                "busy": self.busy,
                "seq": self.orders,
                "queued": 0,
                "active": 0,
                "kv_used": 0,
                "kv_total": 150_000,
                "handles": 0,
            }
            writer.write(encode_reply(200, {}, json.dumps(report).encode()))
            return True
        if message.path == "/v1/order":
            # No order is needed here: each runner holds every model that is asked for.
            writer.write(encode_reply(409, {}, b"{}"))
            return True
        if message.headers.get("x-expect-instance") not in (None, self.runner_id):
            writer.write(encode_reply(421, {"X-Not-Executed": "1"}, b""))
            return True
        request_id = message.headers.get("x-request-id", "")
        self.ran.append(request_id)
        self.record.write(f"runner {self.runner_id} runs {request_id}")
        kept = await self.async_answer(self, message, writer)
        await writer.drain()
        return kept

    def make_headers(self, message: Message) -> dict[str, str]:
        """Return the header fields of an answer."""
        request_id = message.headers.get("x-request-id", "")
        return {"X-Request-Id": request_id, "X-Response-Signature": f"s.{request_id}"}


async def async_answer_at_once(
    runner: Runner, message: Message, writer: asyncio.StreamWriter
) -> bool:
    """Answer a request at once."""
    writer.write(encode_reply(200, runner.make_headers(message), b"x" * 800))
    return True


def make_streaming(
    events: int, interval_s: float, data_bytes: int = 0
) -> Callable[[Runner, Message, asyncio.StreamWriter], Awaitable[bool]]:
    """Return an answer as a stream with a number of events at an interval."""
    filler = "x" * data_bytes

    async def async_answer(
        runner: Runner, message: Message, writer: asyncio.StreamWriter
    ) -> bool:
        fields = runner.make_headers(message) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = "HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        writer.write(head.encode() + b"\r\n")
        request_id = message.headers.get("x-request-id", "")
        for number in range(1, events + 1):
            await asyncio.sleep(interval_s)
            if writer.transport.is_closing():
                runner.record.write(
                    f"runner {runner.runner_id} sees {request_id} left after "
                    f"{number - 1} of {events} events"
                )
                return False
            event = f"id: {number}\ndata: {request_id} {number} {filler}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        runner.ended_well.append(request_id)
        runner.record.write(f"runner {runner.runner_id} has ended {request_id} well")
        return True

    return async_answer


class Answer:
    """What a client has received for one request."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.error = ""

    def describe(self) -> str:
        """Return a text for the record."""
        whole = "whole" if self.whole else f"not whole ({self.error or 'closed'})"
        return f"status {self.status}, {len(self.body)} bytes, {whole}"


class ReadingPace(NamedTuple):
    """How slowly a client reads."""

    buffer_bytes: int
    part_bytes: int
    pause_s: float


class Client:
    """A client with one kept channel."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.answers: list[Answer] = []

    async def async_connect(self, address: str) -> None:
        """Open a channel."""
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def async_send(
        self,
        path: str,
        *,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        body: bytes = b"x" * 200,
        deadline_ms: int = 12_000,
    ) -> Answer:
        """Send a request and read its answer."""
        assert self._reader is not None and self._writer is not None
        request_id = os.urandom(8).hex()
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        answer = Answer(request_id)
        self.answers.append(answer)
        self.record.write(f"client {self.name} sends {request_id} {method} {path}")
        try:
            self._writer.write(head.encode() + b"\r\n" + body)
            await self._async_read(answer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            answer.error = repr(error)
        self.record.write(
            f"client {self.name} got for {request_id}: {answer.describe()}"
        )
        return answer

    async def _async_read(self, answer: Answer) -> None:
        assert self._reader is not None
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                answer.headers[name.strip().lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await self._reader.readline(), 16):
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self._reader.readexactly(length)
        answer.whole = True

    async def async_send_and_read_slowly(
        self, address: str, path: str, headers: dict[str, str], pace: "ReadingPace"
    ) -> Answer:
        """Send a request on a new channel and read its chunked answer in small parts.

        The client's own receive buffer is small, and it pauses after each part.
        """
        loop = asyncio.get_running_loop()
        request_id = os.urandom(8).hex()
        answer = Answer(request_id)
        host, _, port = address.rpartition(":")
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, pace.buffer_bytes)
        sock.setblocking(False)
        self.record.write(f"client {self.name} sends {request_id} POST {path}")
        try:
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, head.encode() + b"Content-Length: 0\r\n\r\n")
            while not answer.body.endswith(b"\r\n0\r\n\r\n"):
                part = await loop.sock_recv(sock, pace.part_bytes)
                if not part:
                    raise ConnectionError("the channel ended within the body")
                answer.body += part
                await asyncio.sleep(pace.pause_s)
            answer.whole = True
        except OSError as error:
            answer.error = repr(error)
        finally:
            sock.close()
        if answer.body:
            answer.status = int(answer.body.split(b" ", 2)[1])
        self.record.write(
            f"client {self.name} got for {request_id}: {answer.describe()}"
        )
        return answer

    async def async_resolve(self) -> tuple[list[str], float]:
        """Ask a directory for the addresses of front nodes, and for how long."""
        assert self._reader is not None and self._writer is not None
        target = f"/v1/resolve?name={HOST}&region=ulaanbaatar&zone=hall-a"
        head = f"GET {target} HTTP/1.1\r\nHost: directory\r\n\r\n"
        self._writer.write(head.encode())
        answer = Answer("")
        await self._async_read(answer)
        fields = json.loads(answer.body)
        return fields["addresses"], float(fields["ttl_s"])

    async def async_is_ready(self) -> bool:
        """Return whether the status check of a front node is answered with 200."""
        assert self._reader is not None and self._writer is not None
        self._writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        line = await self._reader.readline()
        return b" 200 " in line

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()


class Program:
    """A program of the project as a process."""

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name, self.child = name, child
        self.addresses: dict[str, str] = {}

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.child.returncode is None


class Deployment:
    """A store, runners, and the edges and schedulers of a small deployment."""

    def __init__(self, folder: Path, record: Record, bounds: dict[str, str]) -> None:
        self.folder, self.record, self.bounds = folder, record, bounds
        self.store = Store()
        self.runners: list[Runner] = []
        self.programs: list[Program] = []
        self._announcing: asyncio.Task[None] | None = None
        self._seed = ""

    async def async_start(self, config: dict[str, Any]) -> None:
        """Start the store and the runners, and write the first configuration."""
        await self.store.async_start()
        for runner in self.runners:
            await runner.async_start()
            runner.announce(self.store)
        self.store.write("op/config", json.dumps(config).encode())
        self._announcing = asyncio.create_task(self._async_announce())

    async def _async_announce(self) -> None:
        while True:
            for runner in tuple(self.runners):
                await asyncio.sleep(1.2 / len(self.runners))
                if runner in self.runners and not self.store.is_away:
                    runner.announce(self.store)

    async def async_add(self, role: str, name: str) -> Program:
        """Start an edge or a scheduler with the command of the deploy file."""
        ports = {
            each: f"127.0.0.1:{find_free_port()}"
            for each in ("front", "directory", "ready", "control", "metrics")
        }
        if role == "scheduler" and not self._seed:
            self._seed = ports["control"]
        settings = {
            "MANGOWAY_HOST": name,
            "MANGOWAY_DATA_CENTRE": "hall-a",
            "MANGOWAY_SEEDS": self._seed,
            "MANGOWAY_STORE": self.store.address,
            "MANGOWAY_GRACE_S": self.bounds["grace_s"],
            "MANGOWAY_DRAIN_MS": self.bounds["drain_ms"],
            "MANGOWAY_QUOTA_SLACK": "",
            "MANGOWAY_METRICS_LISTEN": ports["metrics"],
        }
        if role == "edge":
            settings |= {
                "MANGOWAY_CALLER_LISTEN": ports["front"],
                "MANGOWAY_DIRECTORY_LISTEN": ports["directory"],
                "MANGOWAY_READY_LISTEN": ports["ready"],
                "MANGOWAY_DATAGRAM_LISTEN": (
                    f"127.0.0.1:{find_free_port(socket.SOCK_DGRAM)}"
                ),
                "MANGOWAY_RETRY_RATIO": self.bounds["retry_budget_ratio"],
                "MANGOWAY_RETRY_SLACK": self.bounds["retry_budget_slack"],
                "MANGOWAY_RETRY_WINDOW_S": self.bounds["budget_window_s"],
                "MANGOWAY_REVOKE_MS": self.bounds.get("revoke_ms", ""),
                "MANGOWAY_REVOKE_CLOSED": self.bounds.get("revoke_closed", ""),
            }
        else:
            settings |= {
                "MANGOWAY_RUNNERS_CHECK_FENCES": "true",
                "MANGOWAY_PEER_LISTEN": ports["control"],
            }
        environment = {
            key: value for key, value in os.environ.items() if key in ("PATH", "HOME")
        }
        environment |= settings
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "mangoway", role),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        program = Program(name, child)
        program.addresses = ports
        self.programs.append(program)
        return program

    async def async_wait_ready(self, edge: Program, timeout_s: float = 15.0) -> None:
        """Wait until an edge answers its status check with 200.

        Raises:
            TimeoutError: If it doesn't in time.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                client = Client("check", self.record)
                await client.async_connect(edge.addresses["ready"])
                if await client.async_is_ready():
                    return
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{edge.name} did not get ready")

    async def async_stop(self) -> None:
        """Kill the processes that were started."""
        if self._announcing is not None:
            self._announcing.cancel()
        for program in self.programs:
            if program.is_running:
                program.child.kill()
            await program.child.wait()


BOUNDS = {
    "grace_s": "8",
    "drain_ms": "2000",
    "retry_budget_ratio": "0.2",
    "retry_budget_slack": "58",
    "budget_window_s": "10",
}
"""Bounds of sites/khangai-escort.toml that the deploy file passes on."""

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 10_000,
}


def _make_model(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "weights_mb": 72_700.0,
        "load_s": 1.2,
        "adapters": 0,
        "adapter_mb": 0.0,
    }


def make_config() -> dict[str, Any]:
    """Return a configuration with the kinds of request of khangai-escort."""
    engine = {
        "slots": 64,
        "kv_capacity": 147_978,
        "weights_mb": 230_000.0,
        "adapter_slots": 8,
        "loads_per_s": 2,
        "moves": True,
        "backups": True,
        "kv_token_bytes": 163_840,
        "stride": 5,
        "handle_s": 4,
        "models": [_make_model(f"m{number}") for number in range(4)],
    }
    return {
        "version": 7,
        "routes": [
            make_route("overnight-chat", "streaming", "escort-llm", 15_000, 1_200)
            | {"gap_target_ms": 300},
            make_route(
                "guardian-confirm", "non_idempotent", "booking-core", 1_500, 300
            ),
            make_route("handover-slip", "safe", "booking-core", 1_500, 300),
        ],
        "services": [
            {
                "name": "escort-llm",
                "health_path": "/health",
                "max_conns": 370,
                "engine": engine,
            },
            {"name": "booking-core", "health_path": "/health", "max_conns": 110},
        ],
        "limits": LIMITS,
    }


def make_route(
    name: str, kind: str, service: str, timeout_ms: int, target_ms: int
) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 0,
        "service": service,
        "max_attempts": 1 if kind != "safe" else 2,
    }


async def async_run_in_folder(play: Callable[[Path], Awaitable[int]]) -> int:
    """Run a play with a temporary folder for the logs of the programs.

    With KEEP_LOGS=1 the folder stays.
    """
    folder = Path(tempfile.mkdtemp(prefix="mangoway-review-"))
    try:
        return await play(folder)
    finally:
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(folder, ignore_errors=True)


CHAT_HEADERS = {
    "X-Model": "m0",
    "X-Token-Usage": "826,290",
    "X-Prompt-Prefix": "5c1e07a2:119,91bd3f06:79,e4402b7d:628",
}
