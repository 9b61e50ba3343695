"""A stream that begins just over 3 s after the SIGTERM of its edge."""

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
EXCUSED_UNTIL_S = 3.0
"""Requests that are sent no later than this after a SIGTERM may be cut at its end."""

CLIENTS = 4
EVENTS, INTERVAL_S = 100, 0.06
"""A stream of 100 events in 6 s; overnight-chat has up to 191."""

KEPT_TTLS = 3
"""Some clients keep an answer of the directory for three times its `ttl_s`."""


async def async_play(record: parts.Record, logs: Path) -> int:
    """Play the case, and return the exit code."""
    deployment = parts.Deployment(logs, record, parts.BOUNDS)
    for _ in range(2):
        engine = parts.Runner("escort-llm", record, ("m0",))
        engine.async_answer = parts.make_streaming(EVENTS, INTERVAL_S)
        deployment.runners += [engine, parts.Runner("booking-core", record)]
    try:
        await deployment.async_start(parts.make_config())
        await deployment.async_add("scheduler", "front-1")
        edges = [await deployment.async_add("edge", f"front-{n}") for n in (1, 2)]
        for edge in edges:
            await deployment.async_wait_ready(edge)
        await asyncio.sleep(1.5)
        return await async_judge(deployment, edges, record)
    finally:
        await deployment.async_stop()


async def async_judge(
    deployment: parts.Deployment, edges: list[parts.Program], record: parts.Record
) -> int:
    """Send streams to an address that was resolved at the signal, and judge them."""
    stopping, other = edges
    if TROUBLE:
        record.write(f"platform sends SIGTERM to {stopping.name}")
        stopping.child.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await asyncio.sleep(0.1)
    resolver = parts.Client("resolver", record)
    await resolver.async_connect(other.addresses["directory"])
    addresses, ttl_s = await resolver.async_resolve()
    resolved_at = time.monotonic()
    record.write(
        f"{other.name} names {addresses} for {ttl_s} s, "
        f"{resolved_at - stopped_at:.2f} s after the SIGTERM"
    )
    address = stopping.addresses["front"]
    if address not in addresses:
        record.write("the address is not named any more: the case can't run")
        return 2
    await asyncio.sleep(stopped_at + EXCUSED_UNTIL_S + 0.05 - time.monotonic())
    assert time.monotonic() < resolved_at + KEPT_TTLS * ttl_s
    clients = [parts.Client(f"chat-{n}", record) for n in range(CLIENTS)]
    for client in clients:
        await client.async_connect(address)
    sent_s = time.monotonic() - stopped_at
    answers = await asyncio.gather(
        *(
            client.async_send(
                "/overnight-chat/x", headers=parts.CHAT_HEADERS, deadline_ms=15_000
            )
            for client in clients
        )
    )
    ended_s = time.monotonic() - stopped_at
    ran = {each for runner in deployment.runners for each in runner.ran}
    record.write(f"sent {sent_s:.2f} s and ended {ended_s:.2f} s after the SIGTERM")
    lost = [
        each
        for each in answers
        if not each.whole and each.request_id in ran and ended_s < GRACE_S + 1
    ]
    record.write(f"LOST: {len(lost)} of {len(answers)} streams that runners ran")
    return 1 if lost and sent_s > EXCUSED_UNTIL_S else 0


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
