"""Engine process that streams tokens immediately or at a requested interval."""

import asyncio
import json
import sys

import orjson
from aiohttp import web

MODEL = "m@1"
PACE_FIELD = "pace_s"
"""Request field: seconds between two tokens; 0 for no delay."""


async def _async_complete(request: web.Request) -> web.StreamResponse:
    body = orjson.loads(await request.read())
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    pace_s = body.get(PACE_FIELD, 0.0)
    last = body["max_tokens"]
    for offset in range(1, last + 1):
        if pace_s:
            await asyncio.sleep(pace_s)
        choice = {"index": 0, "text": " word", "finish_reason": None}
        if offset == last:
            choice["finish_reason"] = "length"
        event = {
            "request_id": body["request_id"],
            "offset": offset,
            "choices": [choice],
        }
        await response.write(b"data: " + orjson.dumps(event) + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    return response


async def _async_describe(_: web.Request) -> web.Response:
    return web.json_response(
        {
            "upstream": "e1",
            "incarnation": "i1",
            "memory_mb": 80_000,
            "max_running": 4096,
            "tokens_per_second": 1e6,
        }
    )


async def _async_report(_: web.Request) -> web.Response:
    resident = {"artifact": MODEL, "memory_mb": 10, "state": "ready"}
    return web.json_response(
        {
            "upstream": "e1",
            "incarnation": "i1",
            "age_s": 0,
            "running": 0,
            "waiting": 0,
            "residents": [resident],
        }
    )


async def _async_main() -> None:
    app = web.Application()
    app.router.add_post("/v1/completions", _async_complete)
    app.router.add_get("/v1/description", _async_describe)
    app.router.add_get("/v1/report", _async_report)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(json.dumps({"address": f"{host}:{port}"}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_async_main())
