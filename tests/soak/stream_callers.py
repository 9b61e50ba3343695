"""Callers that resume streams at other edges, and what their streams consist of."""

import asyncio
import time
from itertools import count
from random import Random

import aiohttp
from attrs import define, field

from .callers import CONNECT_ERRORS, HOST
from .order import EVENT_COUNT, parse_events
from .records import Call, Kind
from .world import World

STREAM_PAUSE_S = 0.07
"""Time between the starts of two streams."""

MAX_RESUMPTIONS = 3
"""Maximum number of requests for the rest of a stream."""

MIXED_ALLOWED = 2
"""Streams that may hold events of two software versions."""

MIN_RESUMED = 12
"""Streams that callers must have resumed for a judgement on their share."""

MIN_SHARE = 0.5
"""Least share of the resumed streams that goes on, relative to the share of new
streams that begin."""

DEADLINE_S = 3.0
MAX_RETRY_WAIT_S = 1.0
TRIES_TO_BEGIN = 3

_request_numbers = count(1)


def _make_set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@define(eq=False)
class CallerStream:
    """A stream over all requests of its caller."""

    began_at: float = 0.0
    """Time of the first request."""

    versions: dict[int, str] = field(factory=dict, init=False)
    """Software version that wrote each received event, by the event's number."""

    last_event_id: str = field(default="", init=False)
    """ID of the last received event that has one."""

    calls: list[Call] = field(factory=list, init=False)
    """All requests for it."""

    resumed: bool = False
    """Whether its caller has sent a request for the rest."""

    went_on: bool = False
    """Whether such a request brought events."""

    @property
    def is_mixed(self) -> bool:
        """Return whether it holds events of several software versions."""
        return len(set(self.versions.values())) > 1

    @property
    def is_whole(self) -> bool:
        """Return whether the caller has received all events."""
        return len(self.versions) == EVENT_COUNT


@define(eq=False, kw_only=True)
class StreamCaller:
    """Starts one stream after the other, and resumes those that break."""

    world: World
    random: Random
    leave_after: int = EVENT_COUNT + 1
    """Events of a first response after which the caller leaves it, to resume the stream
    elsewhere."""

    names_origin: bool = True
    """Whether requests for the rest name the request that brought the first event; if
    not, they name one that nobody has sent."""

    resumes: asyncio.Event = field(factory=_make_set_event)
    """Set once callers may resume their streams."""

    patience_s: float = 0.0
    """Time for which callers send further requests for the rest if none brings
    events."""

    max_pause_s: float = 0.0
    """Longest time between the break of a stream and the first request for the rest."""

    stopped: bool = field(default=False, init=False)
    """Whether no further streams are started."""

    streams: list[CallerStream] = field(factory=list, init=False)

    async def async_run(self) -> None:
        """Start streams until stopped, and return when all of them have ended."""
        tasks = []
        async with aiohttp.ClientSession() as session:
            while not self.stopped:
                tasks.append(self.world.start_task(self._async_stream(session)))
                await asyncio.sleep(STREAM_PAUSE_S)
            await asyncio.gather(*tasks)

    async def _async_stream(self, session: aiohttp.ClientSession) -> None:
        stream = CallerStream(began_at=time.monotonic())
        self.streams.append(stream)
        models = self.world.engine_models or self.world.popular_models
        model = self.random.choice(models)
        origin, address = "", ""
        for _ in range(TRIES_TO_BEGIN):
            origin, address = _make_request_id(), self._choose_edge(address)
            headers = self._make_headers(origin, model)
            await self._async_send(session, stream, address, headers, self.leave_after)
            if stream.versions:
                break
        if not stream.versions:
            return
        named = origin if self.names_origin else _make_request_id()
        await self.resumes.wait()
        if self.max_pause_s:
            await asyncio.sleep(self.random.uniform(0.0, self.max_pause_s))
        until = time.monotonic() + self.patience_s
        for number in count():
            is_over = number >= MAX_RESUMPTIONS and (
                stream.went_on or time.monotonic() > until
            )
            if stream.is_whole or is_over:
                return
            stream.resumed = True
            received, address = len(stream.versions), self._choose_edge(address)
            headers = self._make_headers(_make_request_id(), model)
            headers |= {"Last-Event-Id": stream.last_event_id, "Resumes": named}
            await self._async_send(session, stream, address, headers, EVENT_COUNT + 1)
            stream.went_on |= len(stream.versions) > received

    def _choose_edge(self, avoided: str) -> str:
        """Return the address of a running edge, if possible of another one."""
        edges = [each.caller_address for each in self.world.list_nodes("edge")]
        others = [each for each in edges if each != avoided]
        return self.random.choice(others or edges or [avoided])

    def _make_headers(self, request_id: str, model: str) -> dict[str, str]:
        return {
            "Host": HOST,
            "X-Request-Id": request_id,
            "Authorization": f"Bearer {self.world.records.customers.get_first_key()}",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Model": model,
            "X-Token-Usage": "100,40",
            "X-Prompt-Prefix": f"a1:60,{request_id.lstrip('0')}:40",
        }

    async def _async_send(
        self,
        session: aiohttp.ClientSession,
        stream: CallerStream,
        address: str,
        headers: dict[str, str],
        leave_after: int,
    ) -> None:
        """Send one request and record the events that its response brings."""
        call = Call(
            request_id=headers["X-Request-Id"],
            kind=Kind.STREAM,
            edge=address,
            sent_at=time.monotonic(),
            key=headers["Authorization"].removeprefix("Bearer "),
            model=headers["X-Model"],
            resumes=next((each.request_id for each in stream.calls if each.events), ""),
            after=self.world.event_ids.find(headers.get("Last-Event-Id", "")),
        )
        self.world.records.calls[call.request_id] = call
        stream.calls.append(call)
        wait_s = self.random.uniform(0.02, 0.1)
        try:
            async with (
                asyncio.timeout(DEADLINE_S + 1.0),
                session.post(
                    f"http://{address}/stream/x", headers=headers, data=b"x" * 50
                ) as response,
            ):
                call.status = response.status
                call.signature = response.headers.get("X-Response-Signature", "")
                if call.status == 200:
                    await _async_read_events(response, stream, call, leave_after)
                    call.whole = True
                    wait_s = 0.0
                else:
                    call.reason = (await response.read()).decode()
                    retry_after_s = float(response.headers.get("Retry-After") or 0)
                    wait_s += min(retry_after_s, MAX_RETRY_WAIT_S)
        except CONNECT_ERRORS:
            # Nothing was sent, so that there is nothing to check.
            del self.world.records.calls[call.request_id]
        except TimeoutError:
            call.given_up = True
        except (aiohttp.ClientError, ConnectionError):
            call.was_disconnected = True
        call.ended_at = time.monotonic()
        await asyncio.sleep(wait_s)


def count_mixed(streams: list[CallerStream]) -> int:
    """Return the streams that hold events of several software versions."""
    return sum(each.is_mixed for each in streams)


def find_shortfall(streams: list[CallerStream]) -> str:
    """Return why too few resumed streams go on; empty if enough do."""
    resumed = [each for each in streams if each.resumed]
    went_on = sum(each.went_on for each in resumed)
    begun = sum(bool(each.versions) for each in streams)
    if len(resumed) < MIN_RESUMED:
        return ""
    if went_on / len(resumed) >= MIN_SHARE * begun / len(streams):
        return ""
    return f"{went_on} of {len(resumed)} went on, {begun} of {len(streams)} began"


async def _async_read_events(
    response: aiohttp.ClientResponse,
    stream: CallerStream,
    call: Call,
    leave_after: int,
) -> None:
    data = b""
    async for part in response.content.iter_any():
        data += part
        call.events, _ = parse_events(data.decode(errors="replace"))
        for each in call.events:
            stream.versions[each.number] = each.version
            stream.last_event_id = each.event_id or stream.last_event_id
        if len(stream.versions) >= leave_after:
            response.close()
            return
    call.has_ended = True


def _make_request_id() -> str:
    return f"5{next(_request_numbers):07x}"
