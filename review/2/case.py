"""An adapter that is unloaded while a run still uses it, and one more that is loaded.

A client leaves its stream. The runner is one that goes on with such a run, so that the
adapter stays in use there. The scheduler takes it for unused and orders its unload,
which the runner carries out once the run has ended, and at once orders another load.
"""

import asyncio
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADAPTER_SLOTS = 8
"""As on khangai-escort."""

LONG_EVENTS, SHORT_EVENTS, INTERVAL_S = 100, 5, 0.05
LEAVES_AFTER_S = 0.6


class EngineRunner(parts.Runner):
    """A runner with adapters that doesn't drop a run when its channel closes."""

    def __init__(self, record: parts.Record) -> None:
        super().__init__("escort-llm", record, ("m0",))
        self.adapters: dict[str, int] = {}
        """Loaded adapters, with the number of runs that use each."""

        self.leaving: set[str] = set()
        """Adapters whose unload waits for the end of their runs."""

        self.overfilled: list[str] = []
        """Adapters that it was ordered to load without a free slot."""

    def list_adapters(self, model: str) -> list[str]:
        """Return the loaded adapters."""
        return sorted(self.adapters)

    async def async_handle(
        self,
        message: parts.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a report request, an order or a request of a client."""
        if message.path == "/v1/order":
            status = self._accept_order(json.loads(message.body))
            writer.write(parts.encode_reply(status, {}, b"{}"))
            return True
        adapter = message.headers.get("x-model", "").partition("/")[2]
        if adapter and (adapter not in self.adapters or adapter in self.leaving):
            request_id = message.headers["x-request-id"]
            fields = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            writer.write(parts.encode_reply(421, fields, b""))
            return True
        return await super().async_handle(message, reader, writer)

    def _accept_order(self, order: dict[str, object]) -> int:
        """Return the status of the answer to an order."""
        adapter = str(order.get("adapter") or "")
        if order.get("precondition") not in (None, self.orders) or not adapter:
            return 409
        self.orders += 1
        status = 202
        if order["operation"] == "model_load":
            if len(self.adapters) >= ADAPTER_SLOTS:
                self.overfilled.append(adapter)
            self.adapters[adapter] = 0
        elif self.adapters.get(adapter, 0):
            self.leaving.add(adapter)
        else:
            self.adapters.pop(adapter, None)
            status = 200
        self.record.write(
            f"runner answers {status} to {order['operation']} of {adapter}, "
            f"holds {len(self.adapters)} adapters"
        )
        return status

    def begin_use(self, adapter: str) -> None:
        """Count a run that uses an adapter."""
        self.adapters[adapter] += 1

    def end_use(self, adapter: str) -> None:
        """Count the end of a run, and carry out an unload that waits for it."""
        self.adapters[adapter] -= 1
        if adapter in self.leaving and not self.adapters[adapter]:
            self.leaving.discard(adapter)
            del self.adapters[adapter]
            self.record.write(f"runner has unloaded {adapter}")


async def async_stream(
    runner: parts.Runner, message: parts.Message, writer: asyncio.StreamWriter
) -> bool:
    """Write the events of a run; go on with it after the client has left."""
    assert isinstance(runner, EngineRunner)
    adapter = message.headers["x-model"].partition("/")[2]
    request_id = message.headers["x-request-id"]
    is_long = message.headers["x-token-usage"] == LONG_USAGE
    head = "HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in runner.make_headers(message).items()
    )
    head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head.encode())
    runner.begin_use(adapter)
    try:
        for number in range(1, (LONG_EVENTS if is_long else SHORT_EVENTS) + 1):
            await asyncio.sleep(INTERVAL_S)
            if not writer.transport.is_closing():
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
    finally:
        runner.end_use(adapter)
    if writer.transport.is_closing():
        return False
    writer.write(b"0\r\n\r\n")
    return True


LONG_USAGE, SHORT_USAGE = "826,500", "826,25"


async def async_play(record: parts.Record, logs: Path) -> int:
    """Play the case, and return the exit code."""
    deployment = parts.Deployment(logs, record, parts.BOUNDS)
    engine = EngineRunner(record)
    engine.async_answer = async_stream
    deployment.runners += [engine, parts.Runner("booking-core", record)]
    config = parts.make_config()
    config["services"][0]["engine"]["models"][0] |= {"adapters": 42, "adapter_mb": 12.0}
    try:
        await deployment.async_start(config)
        await deployment.async_add("scheduler", "front-1")
        edges = [await deployment.async_add("edge", f"front-{n}") for n in (1, 2)]
        for edge in edges:
            await deployment.async_wait_ready(edge)
        await asyncio.sleep(3.5)
        return await async_judge(engine, edges[0], record)
    finally:
        await deployment.async_stop()


async def async_judge(
    engine: EngineRunner, edge: parts.Program, record: parts.Record
) -> int:
    """Use one adapter more than there are slots, and judge the orders."""
    first = parts.Client("first", record)
    await first.async_connect(edge.addresses["front"])
    leaving = asyncio.create_task(async_chat(first, "a1", LONG_USAGE))
    await asyncio.sleep(LEAVES_AFTER_S)
    if TROUBLE:
        record.write("client first leaves")
        first.close()
    served = 0
    for number in range(2, ADAPTER_SLOTS + 2):
        client = parts.Client(f"client-{number}", record)
        await client.async_connect(edge.addresses["front"])
        answer = await async_chat(client, f"a{number}", SHORT_USAGE)
        served += answer.whole and answer.status == 200
    await asyncio.gather(leaving, return_exceptions=True)
    if served < ADAPTER_SLOTS - 1:
        record.write("the deployment does not serve: the case can't run")
        return 2
    record.write(
        f"LIMIT: ordered to load {engine.overfilled} while all "
        f"{ADAPTER_SLOTS} slots were taken"
    )
    return 1 if engine.overfilled else 0


async def async_chat(client: parts.Client, adapter: str, usage: str) -> parts.Answer:
    """Send the request of a stream that uses an adapter."""
    headers = parts.CHAT_HEADERS | {"X-Model": f"m0/{adapter}", "X-Token-Usage": usage}
    return await client.async_send(
        "/overnight-chat/x", headers=headers, deadline_ms=15_000
    )


async def async_main() -> int:
    """Play the case in a temporary folder for the logs."""
    record = parts.Record(FOLDER)
    try:
        return await parts.async_run_in_folder(lambda logs: async_play(record, logs))
    except (OSError, TimeoutError) as error:
        record.write(f"the case can't run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
