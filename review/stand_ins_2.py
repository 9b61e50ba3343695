"""Stand-ins and a launcher for the cases of the second review.

Only the standard library is used. Each stand-in does what the users' pages say of it;
where they are silent, it behaves like a sound one. All addresses are loopback.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

ROOT: Final = Path(__file__).resolve().parents[1]
HOST: Final = "review.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script: the rule held, it was broken, the case could not run."""

BEAT_S: Final = 1.2
"""Interval of the runners' status reports, `heartbeat_ms` of the small sites."""

PAGE_ITEMS: Final = 500
STARTING_S: Final = 0.3
HISTORY_S: Final = 20.0
"""`history_s` of the small sites."""

SMALL_SITE: Final = {
    "limits": {"max_fds": 4200},
    "bounds": {
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 52,
        "budget_window_s": 10,
        "grace_s": 8,
        "drain_ms": 2000,
        "fencing_enforced": "true",
    },
}
"""Settings of the deploy file's placeholders, as in `sites/ccl-mangoway.toml`."""

_ports: set[int] = set()


def find_free_port() -> int:
    """Return a loopback port that is free now, and that no earlier call returned."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port not in _ports and port < 61000:
            _ports.add(port)
            return port


def find_free_address() -> str:
    """Return a free loopback address."""
    return f"127.0.0.1:{find_free_port()}"


class Record:
    """Lines of `record.txt`, with seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text, flush=True)


class HttpRequest:
    """A request that a stand-in received."""

    def __init__(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )
        self.path = urlsplit(target).path
        self.query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}

    def find(self, name: str, default: str = "") -> str:
        """Return the first value of a header field."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def async_read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]] | None:
    """Read a start line and the header fields; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = [tuple(line.split(":", 1)) for line in lines if line]
    return first, [(name.strip(), value.strip()) for name, value in fields]


async def async_read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read a request; None at the end of the connection."""
    message = await async_read_message(reader)
    if message is None:
        return None
    first, headers = message
    method, target, _ = first.split(" ")
    names = {name.lower(): value for name, value in headers}
    body = b""
    if "content-length" in names:
        try:
            body = await reader.readexactly(int(names["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return HttpRequest(method, target, headers, body)


def encode_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(value: Any, status: int = 200) -> bytes:
    """Return a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return encode_response(status, headers, json.dumps(value).encode())


class Server:
    """An HTTP server; `async_answer` writes the response to one request."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def async_start(self, address: str = "") -> str:
        """Listen on an address, or on a free one, and return it."""
        self.address = address or find_free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._async_accept, host, int(port), limit=1 << 20
        )
        return self.address

    async def async_answer(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write the response to a request."""
        raise NotImplementedError

    def stop(self) -> None:
        """Close the listening socket and all connections at once."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await async_read_request(reader)) is not None:
                await self.async_answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 10
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._discarded = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 77_000
        self._changed = asyncio.Event()

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, and return its revision."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._add(dict(self.items[key]))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "removed": True})

    def read(self, key: str) -> Any:
        """Return the decoded JSON value of a key; None without it."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _add(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self._history.append((now, event))
        while self._history[0][0] < now - HISTORY_S:
            self._discarded = self._history.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [key for key, (_, end) in self._leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def async_answer(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        await asyncio.sleep(0.004)
        self.expire()
        call = request.path.split("/")[2]
        if call == "kv-watch":
            writer.write(await self._async_watch(request))
            return
        body = json.loads(request.body) if request.body else {}
        answers: dict[str, Callable[[], bytes]] = {
            "kv-key": lambda: self._get(request),
            "kv-range": lambda: self._list(request),
            "kv-txn": lambda: self._commit(body),
            "kv-lease": lambda: self._grant(body),
            "kv-keep": lambda: self._renew(int(request.path.split("/")[3])),
            "kv-lease-end": lambda: self._drop(int(request.path.split("/")[3])),
        }
        writer.write(answers[call]())

    def _get(self, request: HttpRequest) -> bytes:
        item = self.items.get(request.query["key"])
        if item is None:
            return encode_json({}, 404)
        return encode_json({**item, "current_rev": self.revision})

    def _list(self, request: HttpRequest) -> bytes:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE_ITEMS]
        return encode_json(
            {
                "items": [self.items[key] for key in page],
                "more_pages": len(keys) > len(page),
                "current_rev": self.revision,
            }
        )

    async def _async_watch(self, request: HttpRequest) -> bytes:
        after = int(request.query["after"])
        prefix = request.query.get("prefix", "")
        end = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            if after < self._discarded:
                return encode_json({}, 410)
            events = [
                event
                for _, event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return encode_json({"events": events, "current_rev": self.revision})
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            self.expire()

    def _commit(self, body: dict[str, Any]) -> bytes:
        rows = body.get("precondition") or []
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [each["key"] for each in rows]
                found = [self.items[key] for key in keys if key in self.items]
                return encode_json({"items": found}, 412)
        writes = body.get("set_keys") or []
        if any(each.get("lease") not in (0, None, *self._leases) for each in writes):
            return encode_json({}, 404)
        for each in writes:
            value = base64.b64decode(each["value"])
            self.write(each["key"], value, each.get("lease") or 0)
        for key in body.get("delete_keys") or []:
            self.remove(key)
        return encode_json({"revision": self.revision})

    def _grant(self, body: dict[str, Any]) -> bytes:
        self._next_lease += 1
        ttl_s = body["ttl_ms"] / 1000
        self._leases[self._next_lease] = (ttl_s, time.monotonic() + ttl_s)
        return encode_json({"lease": self._next_lease, "ttl_ms": body["ttl_ms"]})

    def _renew(self, lease: int) -> bytes:
        if lease not in self._leases:
            return encode_json({}, 404)
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return encode_json({"lease": lease, "ttl_ms": int(ttl_s * 1000)})

    def _drop(self, lease: int) -> bytes:
        if lease not in self._leases:
            return encode_json({}, 404)
        self._end_lease(lease)
        return encode_json({})


class Link:
    """A machine's path to another address, which can be cut.

    While it is cut, bytes are held up in both directions, and new connections get no
    answer. They arrive when the path is back, as a network sends them again, unless
    their sender has reset the connection meanwhile.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> str:
        """Listen on a free address, and return it."""
        self.address = find_free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._async_accept, host, int(port))
        return self.address

    def cut(self) -> None:
        """Cut the path."""
        self._open.clear()

    def heal(self) -> None:
        """End the cut."""
        self._open.set()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._open.wait()
            host, _, port = self.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        with suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._async_copy(reader, far_writer),
                self._async_copy(far_reader, writer),
            )

    async def _async_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
            writer.close()
        except OSError:
            writer.transport.abort()


class Runner(Server):
    """A plain runner: it announces itself, and answers after `work_s`."""

    def __init__(
        self,
        store: Store,
        service: str,
        runner_id: str,
        on_run: Callable[[str, HttpRequest], None],
        work_s: float = 0.02,
        zone: str = "hall-a",
    ) -> None:
        super().__init__()
        self.store, self.service, self.runner_id = store, service, runner_id
        self.on_run, self.work_s, self.zone = on_run, work_s, zone
        self.state = "ready"
        self.slots = 64
        self.beats = True
        self.born = int(time.time() * 1000)
        self.fields: dict[str, Any] = {}
        """Further fields of its status reports."""

        self._seq = 0
        self._task: asyncio.Task[None] | None = None

    async def async_announce(self) -> None:
        """Listen, and write status reports to the store until `leave`."""
        await self.async_start()
        self._task = asyncio.get_running_loop().create_task(self._async_beat())

    async def _async_beat(self) -> None:
        while self.beats:
            self.report()
            await asyncio.sleep(BEAT_S)

    def report(self) -> None:
        """Write one status report."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self.born,
            **self.fields,
        }
        self.store.write(f"servers/{self.runner_id}", json.dumps(entry).encode())

    def leave_unannounced(self) -> None:
        """Leave without a draining report: the entry is removed, and it serves on."""
        self.beats = False
        self.store.remove(f"servers/{self.runner_id}")

    async def async_answer(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, or answer a status check."""
        expected = request.find("x-expect-instance", self.runner_id)
        if expected != self.runner_id:
            names = {"X-Not-Executed": "1", "X-Instance-Id": self.runner_id}
            names |= {"X-Request-Id": request.find("x-request-id")}
            writer.write(encode_response(421, names))
            return
        if request.path == "/health":
            writer.write(encode_response(200, {"X-Instance-Id": self.runner_id}))
            return
        self.on_run(self.runner_id, request)
        await self.async_run(request, writer)

    async def async_run(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Work on a request, and answer it."""
        await asyncio.sleep(self.work_s)
        request_id = request.find("x-request-id")
        writer.write(self.encode_answer(request_id, b"done " + request_id.encode()))

    def encode_answer(self, request_id: str, body: bytes) -> bytes:
        """Return a success with the runner's signature."""
        signature = f"{self.runner_id}.{request_id}"
        names = {"X-Request-Id": request_id, "X-Response-Signature": signature}
        return encode_response(200, names, body)


class Engine(Runner):
    """A model runner: it takes orders, and answers with a stream of events."""

    def __init__(
        self,
        store: Store,
        service: str,
        runner_id: str,
        on_run: Callable[[str, HttpRequest], None],
        models: list[str],
        load_s: float = 5.0,
        events: int = 10,
        gap_s: float = 0.02,
        zone: str = "hall-a",
    ) -> None:
        super().__init__(store, service, runner_id, on_run, zone=zone)
        self.models = list(models)
        self.load_s, self.events, self.gap_s = load_s, events, gap_s
        self.loaded_at = 0.0
        self.loading = ""
        self.orders = 0
        self.fence = 0
        self.uses: dict[str, int] = {}
        self.on_disk = list(models)

    def report(self) -> None:
        """Write one status report, with the models that it holds."""
        self._finish()
        self.fields = {"phase": "colocated", "models": self._list_models()}
        super().report()

    def _finish(self) -> None:
        if self.loading and time.monotonic() >= self.loaded_at:
            self.models.append(self.loading)
            self.on_disk.append(self.loading)
            self.loading = ""

    def _list_models(self) -> list[dict[str, Any]]:
        return [{"name": each, "version": 1, "adapters": []} for each in self.models]

    async def async_answer(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a report or an order, or run a request."""
        self._finish()
        if request.path == "/v1/report":
            writer.write(encode_json(self._make_report()))
        elif request.path == "/v1/order":
            writer.write(encode_json({}, self._order(request)))
        else:
            await super().async_answer(request, writer)

    def _make_report(self) -> dict[str, Any]:
        return {
            "phase": "colocated",
            "models": self._list_models(),
            "busy": bool(self.loading),
            "seq": self.orders,
            "queued": 0,
            "active": sum(self.uses.values()),
            "kv_used": 0,
            "kv_total": 158_254,
            "handles": 0,
            "available": {"in_memory": [], "on_disk": self.on_disk},
            "born": self.born,
        }

    def _order(self, request: HttpRequest) -> int:
        """Carry out an order, and return the status of the answer."""
        order = json.loads(request.body)
        if request.find("x-expect-instance", self.runner_id) != self.runner_id:
            return 421
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if self.loading or order.get("precondition", self.orders) != self.orders:
            return 409
        self.orders += 1
        if order["operation"] == "model_load":
            self.loading = order["model"]
            is_local = self.loading in self.on_disk
            self.loaded_at = time.monotonic() + (1.0 if is_local else self.load_s)
        elif order["model"] in self.models:
            self.models.remove(order["model"])
        return 202

    async def async_run(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with a stream of events, unless the model isn't here."""
        request_id, model = request.find("x-request-id"), request.find("x-model")
        if model not in self.models:
            names = {"X-Not-Executed": "1", "X-Request-Id": request_id}
            writer.write(encode_response(421, names))
            return
        self.uses[model] = self.uses.get(model, 0) + 1
        try:
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    f"X-Request-Id: {request_id}\r\nX-Weight-Versions: 1\r\n"
                    f"X-Response-Signature: {self.runner_id}.{request_id}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.uses[model] -= 1


class Answer:
    """What a client got: a status, or 0 if the channel ended before a whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


async def async_read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks to its end."""
    data = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return data


async def async_call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Make one call on a new channel."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": HOST, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await async_read_message(reader)
            if message is None:
                return Answer(0, {}, b"")
            first, pairs = message
            names = {name.lower(): value for name, value in pairs}
            if names.get("transfer-encoding") == "chunked":
                data = await async_read_chunks(reader)
            else:
                length = int(names.get("content-length", "0"))
                data = await reader.readexactly(length)
            return Answer(int(first.split(" ")[1]), names, data)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            writer.transport.abort()


class Program:
    """One process of the project, with its command and variables."""

    def __init__(self, name: str, command: list[str], env: dict[str, str]) -> None:
        self.name, self.command, self.env = name, command, env
        self.child: asyncio.subprocess.Process | None = None
        self.log = Path(tempfile.gettempdir())

    async def async_start(self, folder: Path) -> None:
        """Start the process; its log goes to a temporary folder."""
        self.log = folder / f"{self.name}.log"
        with self.log.open("ab") as output:
            self.child = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=ROOT,
                env=self.env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.child is not None and self.child.returncode is None:
            with suppress(ProcessLookupError):
                self.child.send_signal(number)

    async def async_wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if it does not end in time."""
        assert self.child is not None
        try:
            return await asyncio.wait_for(self.child.wait(), timeout_s)
        except TimeoutError:
            return None


class Machine:
    """A machine with an edge and a scheduler, as the deploy file starts them."""

    def __init__(self, name: str, zone: str, store: str) -> None:
        self.name, self.zone = name, zone
        self.store_link = Link(store)
        self.front = find_free_address()
        self.ready = find_free_address()
        self.directory = find_free_address()
        self.control = find_free_address()
        self.edge: Program
        self.scheduler: Program

    async def async_prepare(self, seeds: list[str]) -> None:
        """Open the machine's path to the store, and fill in the deploy file."""
        await self.store_link.async_start()
        fields: dict[str, Any] = {
            **SMALL_SITE,
            "node_name": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "seeds": ",".join(seeds),
            "platform": {"address": self.store_link.address},
            "port_range": [find_free_port()],
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "directory": self.directory,
                "control": self.control,
            },
        }
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.edge = self._make_program("edge", roles["edge"], fields)
        self.scheduler = self._make_program("scheduler", roles["scheduler"], fields)

    def _make_program(
        self, role: str, table: dict[str, Any], fields: dict[str, Any]
    ) -> Program:
        env = {name: fill_in(text, fields) for name, text in table["env"].items()}
        # Machines have addresses of their own; here they share one.
        env["MANGOWAY_METRICS_LISTEN"] = find_free_address()
        env |= {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        command = [fill_in(word, fields) for word in table["run"].split()]
        return Program(f"{self.name}-{role}", command, env)


def fill_in(text: str, fields: dict[str, Any]) -> str:
    """Return a text of the deploy file with its placeholders filled in."""

    def find(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
            if value is None:
                return ""
        return str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", find, text)


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's config with the path `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        **fields,
    }


def make_engine(
    models: list[str], load_s: float = 5.0, **fields: Any
) -> dict[str, Any]:
    """Return the `engine` of a service whose runners hold three models."""
    return {
        "slots": 64,
        "kv_capacity": 158_254,
        "kv_token_bytes": 163_840,
        "weights_mb": 220_000.0,
        "adapter_slots": 8,
        "loads_per_s": 1.8,
        "stride": 6,
        "models": [
            {
                "name": name,
                "weights_mb": 72_700.0,
                "load_s": load_s,
                "disk_s": 1.0,
                "adapters": 0,
                "adapter_mb": 12.0,
            }
            for name in models
        ],
        **fields,
    }


def make_config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    engines: dict[str, dict[str, Any]] | None = None,
    **limits: int,
) -> bytes:
    """Return a config of the operator."""
    bounds = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
        **limits,
    }
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": 360,
                    "protocol": "h1",
                    "tls": False,
                    **(
                        {"engine": engines[name]} if engines and name in engines else {}
                    ),
                }
                for name in services
            ],
            "limits": bounds,
        }
    ).encode()


class World:
    """The store, the machines and their processes."""

    def __init__(self, machines: int = 3) -> None:
        self.store = Store()
        self.count = machines
        self.machines: list[Machine] = []
        self.folder = Path(tempfile.mkdtemp(prefix="mangoway-review-"))
        self._tasks: set[asyncio.Task[Any]] = set()

    async def async_start(self, config: bytes) -> None:
        """Start all, and wait until the edges are ready and a scheduler leads."""
        self.store.write("op/config", config)
        zones = ("hall-a", "hall-b", "annex")
        for number in range(self.count):
            zone = zones[number % len(zones)]
            name = f"front-{zone}-{number // len(zones) + 1}"
            self.machines.append(Machine(name, zone, self.store.address))
        seeds = [each.control for each in self.machines[:3]]
        for machine in self.machines:
            await machine.async_prepare(seeds)
        for machine in self.machines:
            await machine.edge.async_start(self.folder)
            await machine.scheduler.async_start(self.folder)
        self.start_task(self._async_expire())
        end = time.monotonic() + 30
        while time.monotonic() < end:
            ready = [await async_is_ready(each) for each in self.machines]
            if all(ready) and self.find_leader() is not None:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the edges did not get ready, or no scheduler leads")

    def find_leader(self) -> Machine | None:
        """Return the machine of the scheduler that leads, as the store has it."""
        holder = self.store.read("mangoway/scheduler")
        names = {each.name: each for each in self.machines}
        return None if holder is None else names.get(holder["host"])

    def start_task(self, run: Any) -> "asyncio.Task[Any]":
        """Run a coroutine until the end of the world."""
        task = asyncio.get_running_loop().create_task(run)
        self._tasks.add(task)
        return task

    async def _async_expire(self) -> None:
        while True:
            self.store.expire()
            await asyncio.sleep(0.05)

    async def async_stop(self) -> None:
        """Kill the processes that this world started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # A process that was being started is known by then.
        await asyncio.sleep(STARTING_S)
        programs = [p for each in self.machines for p in (each.edge, each.scheduler)]
        for program in programs:
            program.send(signal.SIGKILL)
        for program in programs:
            if program.child is not None:
                await program.child.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


async def async_is_ready(machine: Machine) -> bool:
    """Return whether the edge of a machine says that it is ready."""
    answer = await async_call(machine.ready, "GET", "/v1/ready", timeout_s=1.0)
    return answer.status == 200


def run_case(
    folder: Path, play: Callable[[World, Record, bool], Awaitable[int]]
) -> None:
    """Run a case, and exit with its result.

    `TROUBLE=0` in the environment leaves out the disruption.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target" / "deps").is_dir():
        record.say("the build of the deploy file is missing")
        sys.exit(NOT_RUN)

    async def async_run() -> int:
        world = World()
        await world.store.async_start()
        try:
            async with asyncio.timeout(110):
                return await play(world, record, trouble)
        except (TimeoutError, OSError) as error:
            record.say(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.async_stop()

    code = asyncio.run(async_run())
    record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "-"))
    sys.exit(code)
