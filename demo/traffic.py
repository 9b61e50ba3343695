"""Seeded mixed traffic of several callers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from attrs import define, field

from mangoway.models.artifact import Artifact
from tests.stand_ins.caller import AddressBook, Caller, Result, make_id

from .tally import Tally

URGENT_PERIOD_S = 0.04
ANY_MODEL_PERIOD_S = 0.1
PATIENT_PERIOD_S = 0.2
NON_IDEMPOTENT_PERIOD_S = 0.06
READ_PERIOD_S = 0.1
"""Mean times between two requests of each kind."""

URGENT_TOKENS = 24
PATIENT_TOKENS = 80
DEADLINE_S = 20.0
PATIENT_DEADLINE_S = 60.0

HOT_MODEL = "escort-chat"
SUMMARY_MODEL = "policy-summary"
SERVICE = "booking-records"
NON_IDEMPOTENT_CALLS = ("confirm-guardian", "print-handover-slip")
READ_CALL = "read-booking"


@define
class Traffic:
    """Sends requests of all kinds until it is stopped, and waits for each to end."""

    address_book: AddressBook
    artifacts: tuple[Artifact, ...]
    tally: Tally
    rng: random.Random
    _open_requests: set[asyncio.Task[None]] = field(factory=set)
    _senders: list[asyncio.Task[None]] = field(factory=list)

    def start(self) -> None:
        """Start sending requests of each kind."""
        kinds: tuple[tuple[float, Callable[[], Awaitable[None]]], ...] = (
            (URGENT_PERIOD_S, self._async_complete_urgent),
            (ANY_MODEL_PERIOD_S, self._async_complete_any_model),
            (PATIENT_PERIOD_S, self._async_complete_patient),
            (NON_IDEMPOTENT_PERIOD_S, self._async_call_non_idempotent),
            (READ_PERIOD_S, self._async_call_idempotent),
        )
        for period_s, send in kinds:
            sender = asyncio.create_task(self._async_send_periodically(period_s, send))
            self._senders.append(sender)

    async def async_finish(self) -> None:
        """Stop sending requests, and wait until the open requests have ended."""
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)
        await asyncio.gather(*self._open_requests)

    @property
    def open_count(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._open_requests)

    async def _async_send_periodically(
        self, period_s: float, send: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            task = asyncio.ensure_future(send())
            self._open_requests.add(task)
            task.add_done_callback(self._open_requests.discard)
            await asyncio.sleep(self.rng.expovariate(1 / period_s))

    async def _async_complete_urgent(self) -> None:
        await self._async_complete(
            "urgent, hot model", "counter-agents", HOT_MODEL, URGENT_TOKENS
        )

    async def _async_complete_any_model(self) -> None:
        artifact = str(self.rng.choice(self.artifacts))
        await self._async_complete(
            "urgent, any model", "counter-agents", artifact, URGENT_TOKENS
        )

    async def _async_complete_patient(self) -> None:
        await self._async_complete(
            "patient", "morning-summaries", SUMMARY_MODEL, PATIENT_TOKENS
        )

    async def _async_complete(
        self, kind: str, caller: str, model: str, tokens: int
    ) -> None:
        is_patient = kind == "patient"
        result = await Caller(caller, self.address_book).async_complete(
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
        """Return the artifact of a model name or an artifact name."""
        return name if "@" in name else f"{name}@1"

    async def _async_call_non_idempotent(self) -> None:
        call = self.rng.choice(NON_IDEMPOTENT_CALLS)
        body_id = make_id()
        result = await self._async_call(call, body_id, idempotent=False)
        self.tally.add("non-idempotent call", result)
        self.tally.non_idempotent[f"{call}/{body_id}"] = result

    async def _async_call_idempotent(self) -> None:
        result = await self._async_call(READ_CALL, make_id(), idempotent=True)
        self.tally.add("idempotent call", result)

    async def _async_call(self, call: str, body_id: str, idempotent: bool) -> Result:
        caller = Caller("handover-desk", self.address_book)
        return await caller.async_call(SERVICE, call, body_id, DEADLINE_S, idempotent)
