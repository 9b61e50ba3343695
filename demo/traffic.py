"""Mixed traffic of several callers, seeded."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from attrs import define, field

from mangoway.models.artifact import Artifact
from tests.stand_ins.caller import AddressBook, Caller, Result, make_id

from .tally import Tally

URGENT_EVERY_S = 0.04
TRICKLE_EVERY_S = 0.1
PATIENT_EVERY_S = 0.2
ONCE_EVERY_S = 0.06
READ_EVERY_S = 0.1
URGENT_TOKENS = 24
PATIENT_TOKENS = 80
DEADLINE_S = 20.0
PATIENT_DEADLINE_S = 60.0

HOT_MODEL = "escort-chat"
DRAFT_MODEL = "policy-summary"
SERVICE = "booking-records"
ONCE_CALLS = ("confirm-guardian", "print-handover-slip")
READ_CALL = "read-booking"


@define
class Traffic:
    """Sends requests until it is told to stop, and waits for each to end."""

    book: AddressBook
    artifacts: tuple[Artifact, ...]
    tally: Tally
    rng: random.Random
    _open: set[asyncio.Task[None]] = field(factory=set)
    _streams: list[asyncio.Task[None]] = field(factory=list)

    def start(self) -> None:
        """Start every kind of work."""
        kinds: tuple[tuple[float, Callable[[], Awaitable[None]]], ...] = (
            (URGENT_EVERY_S, self._async_urgent),
            (TRICKLE_EVERY_S, self._async_trickle),
            (PATIENT_EVERY_S, self._async_patient),
            (ONCE_EVERY_S, self._async_once),
            (READ_EVERY_S, self._async_read),
        )
        for every_s, send in kinds:
            stream = asyncio.create_task(self._async_repeat(every_s, send))
            self._streams.append(stream)

    async def async_finish(self) -> None:
        """Send nothing new, and wait for what is open."""
        for stream in self._streams:
            stream.cancel()
        await asyncio.gather(*self._streams, return_exceptions=True)
        await asyncio.gather(*self._open)

    @property
    def open_count(self) -> int:
        """Return the requests that have not ended."""
        return len(self._open)

    async def _async_repeat(
        self, every_s: float, send: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            task = asyncio.ensure_future(send())
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            await asyncio.sleep(self.rng.expovariate(1 / every_s))

    async def _async_urgent(self) -> None:
        await self._async_complete(
            "urgent, hot model", "counter-agents", HOT_MODEL, URGENT_TOKENS
        )

    async def _async_trickle(self) -> None:
        artifact = str(self.rng.choice(self.artifacts))
        await self._async_complete(
            "urgent, any model", "counter-agents", artifact, URGENT_TOKENS
        )

    async def _async_patient(self) -> None:
        await self._async_complete(
            "patient", "morning-summaries", DRAFT_MODEL, PATIENT_TOKENS
        )

    async def _async_complete(
        self, kind: str, caller: str, model: str, tokens: int
    ) -> None:
        is_patient = kind == "patient"
        result = await Caller(caller, self.book).async_complete(
            model,
            prompt=f"{kind} {make_id()}",
            tokens=tokens,
            deadline_s=PATIENT_DEADLINE_S if is_patient else DEADLINE_S,
            work_class="patient" if is_patient else "urgent",
            stream=not is_patient,
            artifact=self._find_artifact(model),
        )
        self.tally.add(kind, result)

    def _find_artifact(self, name: str) -> str:
        """Return the artifact that answers under a model's or artifact's name."""
        return name if "@" in name else f"{name}@1"

    async def _async_once(self) -> None:
        call = self.rng.choice(ONCE_CALLS)
        body_id = make_id()
        result = await self._async_call(call, body_id, idempotent=False)
        self.tally.add("not repeatable", result)
        self.tally.once[f"{call}/{body_id}"] = result

    async def _async_read(self) -> None:
        result = await self._async_call(READ_CALL, make_id(), idempotent=True)
        self.tally.add("repeatable call", result)

    async def _async_call(self, call: str, body_id: str, idempotent: bool) -> Result:
        caller = Caller("handover-desk", self.book)
        return await caller.async_call(SERVICE, call, body_id, DEADLINE_S, idempotent)
