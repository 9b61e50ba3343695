"""No model is loaded any more after a config that retires a popular one."""

import asyncio
import sys
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_ins_2 as stand_ins

MODELS = [f"m{number}" for number in range(10)]
RETIRED = "m0"
HELD = MODELS[1:5]
"""Models that runners hold beside the popular one."""

RISING = MODELS[5:]
"""Models that no runner holds; demand moves to them after the change."""

ENGINES = 6
LOAD_S = 1.2
CALM_S = 8.0
RISES_AFTER_S = 2.0
ASKED_S = 13.0
MIN_REQUESTS, MIN_SPAN_S = 4, 8.0
"""The rule counts models that are asked for so often, over so long."""

ALLOWED, ALLOWED_SHARE = 1, 0.1
"""Models that may go without service: 1 + 10 in 100 of those that are asked for."""


class Case:
    """What each client got."""

    def __init__(self, record: stand_ins.Record) -> None:
        self.record = record
        self.sent: dict[str, tuple[float, str, str]] = {}
        self.statuses: dict[str, int] = {}
        self.numbers = count(1)

    async def async_call(self, machine: stand_ins.Machine, model: str) -> None:
        """Send one request for a model to an edge."""
        number = next(self.numbers)
        request_id = f"{number:016x}"
        self.sent[request_id] = (time.monotonic(), machine.name, model)
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "12000",
            "X-Model": model,
            "X-Token-Usage": "628,60",
            "X-Prompt-Prefix": f"a{model[1:]}:119,{number:08x}:509",
        }
        answer = await stand_ins.async_call(
            machine.front, "POST", "/drafts/x", headers, b"a prompt", 13.0
        )
        self.statuses[request_id] = answer.status

    async def async_send(
        self, world: stand_ins.World, models: list[str], each_s: float
    ) -> None:
        """Send requests for models in turn, at a rate."""
        for number in count():
            machine = world.machines[number % len(world.machines)]
            model = models[number % len(models)]
            world.start_task(self.async_call(machine, model))
            await asyncio.sleep(each_s)


async def async_play(
    world: stand_ins.World, record: stand_ins.Record, trouble: bool
) -> int:
    """Play the case."""
    case, store = Case(record), world.store
    for number in range(ENGINES):
        held = [RETIRED, "m1", MODELS[2 + number % 3]]
        engine = stand_ins.Engine(
            store, "drafting", f"i-e{number:07x}", lambda *_: None, held, LOAD_S
        )
        await engine.async_announce()
    drafts = stand_ins.make_route(
        "drafts", "streaming", "drafting", resumable=True, sticky=True
    )
    drafts |= {"timeout_ms": 12000, "gap_target_ms": 300}
    offered = {"drafting": stand_ins.make_engine(MODELS, LOAD_S)}
    await world.async_start(stand_ins.make_config(1, [drafts], ["drafting"], offered))
    popular = world.start_task(case.async_send(world, [RETIRED], 0.1))
    world.start_task(case.async_send(world, HELD, 0.05))
    await asyncio.sleep(CALM_S)
    kept = [each for each in MODELS if each != RETIRED or not trouble]
    offered = {"drafting": stand_ins.make_engine(kept, LOAD_S)}
    popular.cancel()
    await asyncio.sleep(1.0)
    store.write("op/config", stand_ins.make_config(2, [drafts], ["drafting"], offered))
    record.say(
        f"the store has accepted version 2, which offers {len(kept)} of {len(MODELS)} "
        f"models; requests for {RETIRED} ended a second before"
    )
    await asyncio.sleep(RISES_AFTER_S)
    record.say(f"requests for {', '.join(RISING)} begin")
    world.start_task(case.async_send(world, RISING, 0.1))
    await asyncio.sleep(ASKED_S)
    return judge(case)


def judge(case: Case) -> int:
    """Return the result: models that are asked for and never served."""
    asked: dict[str, list[float]] = {}
    served: dict[str, int] = {}
    for request_id, (sent_at, edge, model) in case.sent.items():
        status = case.statuses.get(request_id, 0)
        asked.setdefault(model, []).append(sent_at)
        served[model] = served.get(model, 0) + (status == 200)
        case.record.write(
            f"{request_id} for {model} sent to {edge} at "
            f"{sent_at - case.record.began_at:.3f}: {status}"
        )
    counted = [
        model
        for model, times in asked.items()
        if len(times) >= MIN_REQUESTS and max(times) - min(times) >= MIN_SPAN_S
    ]
    for model in sorted(asked):
        case.record.say(f"{model}: {served[model]} of {len(asked[model])} served")
    starved = [each for each in counted if not served[each]]
    bound = ALLOWED + ALLOWED_SHARE * len(counted)
    case.record.say(
        f"{len(starved)} of {len(counted)} models were never served; the rule allows "
        f"{bound:.1f}"
    )
    return stand_ins.BROKEN if len(starved) > bound else stand_ins.HELD


if __name__ == "__main__":
    stand_ins.run_case(Path(__file__).resolve().parent, async_play)
