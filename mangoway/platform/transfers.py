"""Calls that copy the memory of a running request from one runner to another."""

from collections.abc import Mapping
from typing import Any, Final

from attrs import define, field

from ..http1.json_client import CallFailedError, JsonClient
from ..models.transfers import MoveAnswer, MoveResult

MOVE_PATH: Final = "/v1/kv-move"
HANDLE_PATH: Final = "/v1/kv-handle/"

COPY_TIMEOUT_S: Final = 1.0
"""Timeout of a call that copies the whole memory. The stream continues meanwhile, but
its runner may be gone within three seconds."""

STOP_TIMEOUT_S: Final = 0.4
"""Timeout of a call that stops the run. It copies what a few steps have added. The
stream pauses meanwhile, and callers leave after a pause of two seconds."""

FREE_TIMEOUT_S: Final = 0.5
"""Timeout of a call that frees a copy. A copy that isn't freed expires by itself."""

ANSWERS_BY_STATUS: Final = {
    200: MoveAnswer.MOVED,
    404: MoveAnswer.NO_RUN,
    409: MoveAnswer.BUSY,
    503: MoveAnswer.NO_ROOM,
}


@define(eq=False)
class RunnerTransfers:
    """Copies the memory of running requests, and frees copies."""

    client: JsonClient = field(factory=JsonClient)

    async def async_move(
        self, address: str, request_id: str, target_address: str, *, last: bool
    ) -> MoveResult:
        """Copy the memory of a run; repeated calls copy only what is new.

        Args:
            address: Address of the runner that runs the request.
            request_id: ID of the request, as sent to the runner.
            target_address: Address of the runner that receives the copy.
            last: Whether to stop the run first.
        """
        try:
            reply = await self.client.async_call(
                address,
                "POST",
                MOVE_PATH,
                body={"id": request_id, "to": target_address, "last": last},
                timeout_s=STOP_TIMEOUT_S if last else COPY_TIMEOUT_S,
            )
        except CallFailedError:
            return MoveResult(answer=MoveAnswer.NO_ANSWER)
        return _decode_result(reply.status, reply.body)

    async def async_free(self, address: str, handle: str) -> None:
        """Free a copy at both ends; one that can't be freed expires.

        Args:
            address: Address of the runner from which it was copied.
            handle: Handle of the copy.
        """
        try:
            await self.client.async_call(
                address, "DELETE", HANDLE_PATH + handle, timeout_s=FREE_TIMEOUT_S
            )
        except CallFailedError:
            pass


def encode_copy(source_address: str, name: str) -> str:
    """Return the value that tells a runner from which copy to continue a run.

    Args:
        source_address: Address of the runner that made the copy, or of the runner that
            holds it as a backup.
        name: Handle of the copy; ID of the request for a backup.
    """
    return f"{source_address}/{name}"


def _decode_result(status: int, body: Any) -> MoveResult:
    answer = ANSWERS_BY_STATUS.get(status, MoveAnswer.NO_ANSWER)
    fields: Mapping[str, Any] = body if isinstance(body, Mapping) else {}
    handle, created = fields.get("handle"), fields.get("created")
    result = MoveResult(
        answer=answer,
        handle=handle if isinstance(handle, str) else "",
        created=created if isinstance(created, int) else 0,
    )
    if answer is MoveAnswer.MOVED and not result.handle:
        return MoveResult(answer=MoveAnswer.NO_ANSWER)
    return result
