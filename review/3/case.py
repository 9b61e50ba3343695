"""A runner that leaves without draining, and its streams that go on elsewhere.

The entry of the runner is removed while it goes on serving. One of its streams pauses
for longer than a second, as it is preempted and read anew. The edge then goes on from
the copy at another runner, though the runner before still works on the stream.
"""

import asyncio
import os
import sys
import time
from itertools import pairwise
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS, INTERVAL_S = 58, 0.05
PAUSED_AT, PAUSE_S = 20, 1.3
"""The event before which a stream is preempted, and how long that takes: less than the
two seconds after which clients leave."""

FIRST = 10
"""Streams before, from which the edge earns the credit to send one again."""

LEAVES_AT = 15
"""The event after which the runner leaves."""

OVERLAP_S = 0.4
"""Time after which the runner before must not work on a stream that went on."""


class EngineRunner(parts.Runner):
    """A runner that keeps copies, and doesn't drop a run when its channel closes."""

    def __init__(self, record: parts.Record, copies: set[str]) -> None:
        super().__init__("escort-llm", record, ("m0",))
        self._copies = copies
        """All copies, as address of the runner and request, at any runner."""

        self.begins: dict[str, float] = {}
        """When it began to run each request."""

        self.worked_at: dict[str, float] = {}
        """When it last worked on each request."""

        self.preempts = False
        self.on_event = lambda number: None
        self.async_answer = self._async_stream

    async def _async_stream(
        self,
        runner: parts.Runner,
        message: parts.Message,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write the events of a run, or of the rest of one."""
        request_id = message.headers["x-request-id"]
        source = message.headers.get("kv-from", "")
        fields = self.make_headers(message)
        if source and source not in self._copies:
            self.ran.pop()
            self.record.write(f"runner {self.runner_id} has no copy {source}")
            fields["X-Not-Executed"] = "1"
            writer.write(parts.encode_reply(503, fields, b""))
            return True
        backup = message.headers.get("x-kv-backup", "")
        if backup:
            self._copies.add(f"{backup}/{request_id}")
            self.record.write(
                f"runner {self.runner_id} copies {request_id} to {backup}"
            )
        if source:
            self.record.write(f"runner {self.runner_id} goes on with {request_id}")
        self.begins[request_id] = time.monotonic()
        fields |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        head = "HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        writer.write(head.encode() + b"\r\n")
        first = int(message.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            pauses = self.preempts and number == PAUSED_AT
            if pauses:
                self.record.write(f"runner {self.runner_id} preempts {request_id}")
            await asyncio.sleep(PAUSE_S if pauses else INTERVAL_S)
            self.worked_at[request_id] = time.monotonic()
            if not writer.transport.is_closing():
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            self.on_event(number)
        self.record.write(f"runner {self.runner_id} has ended {request_id}")
        if writer.transport.is_closing():
            return False
        writer.write(b"0\r\n\r\n")
        return True


async def async_play(record: parts.Record, logs: Path) -> int:
    """Play the case, and return the exit code."""
    deployment = parts.Deployment(logs, record, parts.BOUNDS)
    copies: set[str] = set()
    engines = [EngineRunner(record, copies) for _ in range(6)]
    plain = [parts.Runner("booking-core", record) for _ in range(3)]
    deployment.runners += [*engines, *plain]
    try:
        await deployment.async_start(parts.make_config())
        await deployment.async_add("scheduler", "front-1")
        edges = [await deployment.async_add("edge", f"front-{n}") for n in (1, 2)]
        for edge in edges:
            await deployment.async_wait_ready(edge)
        await asyncio.sleep(3.5)
        return await async_judge(deployment, engines, edges[0])
    finally:
        await deployment.async_stop()


async def async_judge(
    deployment: parts.Deployment, engines: list[EngineRunner], edge: parts.Program
) -> int:
    """Send a stream, let its runner leave, and judge who worked on it."""
    record = deployment.record

    def leave(runner: EngineRunner, number: int) -> None:
        if number == LEAVES_AT and TROUBLE and runner in deployment.runners:
            record.write(f"store removes the entry of {runner.runner_id}, which leaves")
            deployment.runners.remove(runner)
            deployment.store.remove(f"servers/{runner.runner_id}")

    first = [parts.Client(f"first-{n}", record) for n in range(FIRST)]
    for each in first:
        await each.async_connect(edge.addresses["front"])
    warm_up = await asyncio.gather(*(async_chat(each) for each in first))
    if not all(each.whole and each.status == 200 for each in warm_up):
        record.write("the deployment does not serve: the case can't run")
        return 2
    for each in engines:
        each.begins.clear()
    client = parts.Client("chat", record)
    await client.async_connect(edge.addresses["front"])
    chat = asyncio.create_task(async_chat(client))
    await asyncio.sleep(INTERVAL_S * 5)
    for each in engines:
        if each.begins:
            each.preempts = True
            each.on_event = lambda number, each=each: leave(each, number)
    answer = await chat
    await asyncio.sleep(PAUSE_S + EVENTS * INTERVAL_S)
    request_id = answer.request_id
    ran = sorted(
        (each for each in engines if request_id in each.begins),
        key=lambda each: each.begins[request_id],
    )
    if not ran:
        record.write("no runner ran it: the case can't run")
        return 2
    broken = False
    for before, after in pairwise(ran):
        overlap_s = before.worked_at[request_id] - after.begins[request_id]
        record.write(
            f"{before.runner_id} worked on it until {overlap_s:.2f} s after "
            f"{after.runner_id} had gone on with it"
        )
        broken |= overlap_s > OVERLAP_S
    record.write(f"TWICE: {'broken' if broken else 'held'}, {len(ran)} runners")
    return 1 if broken else 0


async def async_chat(client: parts.Client) -> parts.Answer:
    """Send the request of a stream that can't be resumed."""
    return await client.async_send(
        "/overnight-chat/x", headers=parts.CHAT_HEADERS, deadline_ms=15_000
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
