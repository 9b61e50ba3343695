"""A key that is taken away just before the store comes back from a copy."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

import stand_ins as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_S = 5.0
BOUNDS = parts.BOUNDS | {"revoke_ms": "5000", "revoke_closed": "true"}
"""The last two bounds are those of shifted/khangai-escort-now-grown.toml."""

KEY, OTHER_KEY = "key-taken-away", "key-kept"
WATCH_INTERVAL_S, UNSEEN_S = 0.25, 0.1
"""Time between the starts of two watches of the leader, and that from the ack of the
change, written just after a watch was answered, until the store is away."""

AWAY_S = 0.7
REWRITTEN_S = 4.5
"""Time from the store's return until the operator has written the change again."""

SEND_EVERY_S = 0.05
SENT_FOR_S = 8.0


def make_config(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    config = parts.make_config() | {"version": version}
    config["tenants"] = [{"name": "hule930", "api_keys": keys}]
    return config


async def async_play(record: parts.Record, logs: Path) -> int:
    """Play the case, and return the exit code."""
    deployment = parts.Deployment(logs, record, BOUNDS)
    deployment.store.era = 1
    deployment.runners += [parts.Runner("booking-core", record) for _ in range(9)]
    try:
        await deployment.async_start(make_config(7, [KEY, OTHER_KEY]))
        await deployment.async_add("scheduler", "front-1")
        edges = [await deployment.async_add("edge", f"front-{n}") for n in (1, 2)]
        for edge in edges:
            await deployment.async_wait_ready(edge)
        await asyncio.sleep(3.5)
        return await async_judge(deployment, edges)
    finally:
        await deployment.async_stop()


async def async_judge(deployment: parts.Deployment, edges: list[parts.Program]) -> int:
    """Take the key away, restore the store, and judge which requests run."""
    store, record = deployment.store, deployment.record
    sent: dict[str, float] = {}
    sending = [asyncio.create_task(async_send(each, record, sent)) for each in edges]
    await asyncio.sleep(1.0)
    state = store.copy()
    await asyncio.sleep(1.0)
    # The leader is between two watches, as it is for most of the time where more
    # runners write their entries.
    watched = asyncio.Event()

    def handle_watched(took_s: float) -> None:
        if took_s < WATCH_INTERVAL_S - UNSEEN_S - 0.03:
            watched.set()

    store.on_watched = handle_watched
    await watched.wait()
    store.on_watched = lambda took_s: None
    document = json.dumps(make_config(8, [OTHER_KEY])).encode()
    store.write("op/config", document)
    acked_at = time.monotonic()
    record.write("the store acknowledges version 8, which takes the key away")
    if TROUBLE:
        await asyncio.sleep(UNSEEN_S)
        store.is_away = True
        record.write("the store is away")
        await asyncio.sleep(AWAY_S)
        store.restore(state)
        store.is_away = False
        record.write(f"the store is back from a copy, era {store.era}")
        await asyncio.sleep(REWRITTEN_S)
        store.write("op/config", document)
        record.write("the operator has written version 8 again")
    await asyncio.sleep(acked_at + SENT_FOR_S - time.monotonic())
    for task in sending:
        task.cancel()
    ran = {each for runner in deployment.runners for each in runner.ran}
    if not any(request_id in ran and at < acked_at for request_id, at in sent.items()):
        record.write("the deployment does not serve: the case can't run")
        return 2
    late = [
        at - acked_at
        for request_id, at in sent.items()
        if request_id in ran and at > acked_at + REVOKE_S
    ]
    record.write(
        f"CONFIG: {len(late)} requests with the key ran that were sent later than "
        f"{REVOKE_S} s after the ack, the last one {max(late, default=0.0):.2f} s"
    )
    return 1 if late else 0


async def async_send(
    edge: parts.Program, record: parts.Record, sent: dict[str, float]
) -> None:
    """Send requests with the key to an edge, each on a new channel."""
    while True:
        client = parts.Client(edge.name, record)
        try:
            await client.async_connect(edge.addresses["front"])
            at = time.monotonic()
            answer = await client.async_send(
                "/guardian-confirm/x",
                headers={"Authorization": f"Bearer {KEY}"},
                deadline_ms=3000,
            )
            sent[answer.request_id] = at
        finally:
            client.close()
        await asyncio.sleep(SEND_EVERY_S)


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
