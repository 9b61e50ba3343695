"""A client that reads slowly while its edge is stopped, and what it gets."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

import stand_ins as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = float(parts.BOUNDS["grace_s"])
CLIENTS = 4
EVENTS, INTERVAL_S, DATA_BYTES = 100, 0.03, 250
"""A stream of 100 events in 3 s, with some 300 bytes an event. On khangai-escort a
stream has up to 191 events of up to 330 bytes."""

PACE = parts.ReadingPace(buffer_bytes=2048, part_bytes=512, pause_s=0.1)
"""A slow client takes 5 kB a second, and never pauses for longer than 0.1 s."""

STOP_AFTER_S = 1.0
"""Time from the requests to the SIGTERM."""


async def async_play(record: parts.Record, logs: Path) -> int:
    """Play the case, and return the exit code."""
    deployment = parts.Deployment(logs, record, parts.BOUNDS)
    for _ in range(2):
        engine = parts.Runner("escort-llm", record, ("m0",))
        engine.async_answer = parts.make_streaming(EVENTS, INTERVAL_S, DATA_BYTES)
        deployment.runners += [engine, parts.Runner("booking-core", record)]
    try:
        await deployment.async_start(parts.make_config())
        await deployment.async_add("scheduler", "front-1")
        edges = [await deployment.async_add("edge", f"front-{n}") for n in (1, 2)]
        for edge in edges:
            await deployment.async_wait_ready(edge)
        await asyncio.sleep(1.0)
        return await async_judge(deployment, edges[0], record)
    finally:
        await deployment.async_stop()


async def async_chat(client: parts.Client, edge: parts.Program) -> parts.Answer:
    """Send a stream's request and read it, slowly with the disruption."""
    address, path = edge.addresses["front"], "/overnight-chat/x"
    headers = {"X-Deadline-Ms": "15000", **parts.CHAT_HEADERS}
    if TROUBLE:
        return await client.async_send_and_read_slowly(address, path, headers, PACE)
    await client.async_connect(address)
    return await client.async_send(path, headers=parts.CHAT_HEADERS, deadline_ms=15_000)


async def async_judge(
    deployment: parts.Deployment, edge: parts.Program, record: parts.Record
) -> int:
    """Send streams before the signal, and judge what the clients got."""
    clients = [parts.Client(f"chat-{n}", record) for n in range(CLIENTS)]
    chats = [asyncio.create_task(async_chat(client, edge)) for client in clients]
    await asyncio.sleep(STOP_AFTER_S)
    record.write(f"platform sends SIGTERM to {edge.name}")
    stopped_at = time.monotonic()
    edge.child.send_signal(signal.SIGTERM)
    answers = await asyncio.gather(*chats)
    ended_s = time.monotonic() - stopped_at
    ran = {each for runner in deployment.runners for each in runner.ran}
    ended_well = {each for runner in deployment.runners for each in runner.ended_well}
    record.write(f"the last answer ended {ended_s:.2f} s after the SIGTERM")
    if not ran:
        record.write("the deployment does not serve: the case can't run")
        return 2
    lost = [
        each
        for each in answers
        if not each.whole and each.request_id in ended_well and ended_s < GRACE_S
    ]
    record.write(f"LOST: {len(lost)} of {len(answers)} streams that ended well")
    return 1 if lost else 0


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
