"""A second SIGTERM during the grace period of an edge, and what its clients see."""

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
STREAMS = 6
EVENTS, INTERVAL_S = 58, 0.06
"""A stream of 58 events, the mean of overnight-chat, in 3.5 s."""

CONFIRM_WORK_S = 0.3
SECOND_AFTER_S = 1.0
"""Time from the first to the second SIGTERM, well within the grace period."""


async def async_confirm(
    runner: parts.Runner, message: parts.Message, writer: asyncio.StreamWriter
) -> bool:
    """Work on a confirmation for some time, and answer it."""
    await asyncio.sleep(CONFIRM_WORK_S)
    if writer.transport.is_closing():
        request_id = message.headers["x-request-id"]
        runner.record.write(f"runner {runner.runner_id} sees {request_id} left")
        return False
    return await parts.async_answer_at_once(runner, message, writer)


async def async_play(record: parts.Record, logs: Path) -> int:
    """Play the case, and return the exit code."""
    deployment = parts.Deployment(logs, record, parts.BOUNDS)
    for _ in range(2):
        engine = parts.Runner("escort-llm", record, ("m0",))
        engine.async_answer = parts.make_streaming(EVENTS, INTERVAL_S)
        plain = parts.Runner("booking-core", record)
        plain.async_answer = async_confirm
        deployment.runners += [engine, plain]
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


async def async_judge(
    deployment: parts.Deployment, edge: parts.Program, record: parts.Record
) -> int:
    """Send requests around the signals, and judge what the clients got."""
    clients = [parts.Client(f"chat-{n}", record) for n in range(STREAMS)]
    confirming = [parts.Client(f"confirm-{n}", record) for n in range(3)]
    for client in clients + confirming:
        await client.async_connect(edge.addresses["front"])
    # The confirming clients keep their channels from a first request on.
    firsts = [
        await client.async_send("/guardian-confirm/x", deadline_ms=3000)
        for client in confirming
    ]
    if not all(each.whole and each.status == 200 for each in firsts):
        record.write("the deployment does not serve: the case can't run")
        return 2
    chats = [
        asyncio.create_task(
            client.async_send("/overnight-chat/x", headers=parts.CHAT_HEADERS)
        )
        for client in clients
    ]
    await asyncio.sleep(1.0)
    record.write(f"platform sends SIGTERM to {edge.name}")
    stopped_at = time.monotonic()
    edge.child.send_signal(signal.SIGTERM)
    await asyncio.sleep(SECOND_AFTER_S - CONFIRM_WORK_S / 2)
    confirms = [
        asyncio.create_task(client.async_send("/guardian-confirm/x", deadline_ms=3000))
        for client in confirming
    ]
    await asyncio.sleep(CONFIRM_WORK_S / 2)
    if TROUBLE and edge.is_running:
        record.write(f"platform sends SIGTERM to {edge.name} again")
        edge.child.send_signal(signal.SIGTERM)
    answers = await asyncio.gather(*chats, *confirms)
    ended_s = time.monotonic() - stopped_at
    ran = {each for runner in deployment.runners for each in runner.ran}
    record.write(f"the last answer ended {ended_s:.2f} s after the first SIGTERM")
    # Excused is only what was still at work in the last sixth of the grace period.
    lost = [
        each
        for each in answers
        if not each.whole and each.request_id in ran and ended_s < GRACE_S * 5 / 6
    ]
    record.write(f"LOST: {len(lost)} of {len(answers)} requests that runners ran")
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
