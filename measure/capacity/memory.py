"""Memory of what the processes keep, by entries."""

from collections.abc import Callable, Sequence
from itertools import count
from random import Random

from mangoway.models.identifiers import (
    IdempotencyKey,
    IncarnationId,
    RequestId,
    UpstreamId,
)
from mangoway.models.request import Request, WorkClass
from mangoway.peers import peers_pb2 as pb
from mangoway.peers.heartbeat import HeartbeatCodec
from mangoway.peers.reports import ReportBook
from mangoway.policy.dispatch.events import KeyRecord, RequestArrived
from mangoway.policy.dispatch.homes import Homes
from mangoway.policy.dispatch.keys import KeyTable
from mangoway.policy.dispatch.prefixes import PrefixIndex
from mangoway.policy.membership.core import MembershipCore
from mangoway.policy.membership.events import HeartbeatReceived

from .builders import (
    CALLER,
    make_artifact,
    make_configuration,
    make_member,
    make_report,
)
from .cell import MODELS
from .dispatch import GatewayLoad
from .documents import make_follower
from .fit import Point
from .meter import find_bytes
from .placement import ControllerLoad
from .registry import Series, register_measure

MEMBER_SIZES = (10, 20, 40, 62)
RUNNER_SIZES = (10, 50, 150, 308)
MODEL_SIZES = (20, 350, 700, 1400)
KEY_SIZES = (1000, 2000, 4000, 8000)
QUEUE_SIZES = (200, 400, 800, 1600)
BLOCK_SIZES = (5_000, 10_000, 20_000, 40_000)
BLOCKS_PER_PROMPT = 8
PEERS = 4
KB = 1024
FAR_S = 1e6


def build_members(members: int) -> MembershipCore:
    """Return a membership core that knows some members."""
    core = MembershipCore(make_member(0), Random(1))
    others = tuple(make_member(number + 1) for number in range(members))
    event = HeartbeatReceived(sender=others[0].host, members=others, wants_reply=False)
    core.handle(event, 0.0)
    return core


def make_first_heartbeats(runners: int, peers: int) -> list[bytes]:
    """Return the first heartbeats of peers that all know the same runners."""
    sessions = count(10)
    wires = []
    for number in range(peers):
        book = ReportBook()
        # The peers met the runners in different orders.
        order = list(range(runners))
        Random(number).shuffle(order)
        for runner in order:
            book.offer(make_report(runner, MODELS, 1.0))
        sender = HeartbeatCodec(
            make_member(number + 1).incarnation, book, lambda: next(sessions)
        )
        wires.append(sender.encode(1, (), 1.0).SerializeToString())
    return wires


def build_views(wires: list[bytes]) -> HeartbeatCodec:
    """Return a codec that met the senders of first heartbeats, and answered."""
    codec = HeartbeatCodec(make_member(0).incarnation, ReportBook(), lambda: 1)
    for wire in wires:
        heartbeat = pb.Heartbeat.FromString(wire)
        codec.decode(heartbeat, 1.0)
        codec.book.offer(make_report(0, MODELS, 2.0))
        codec.encode(heartbeat.session, (), 1.0)
    return codec


def measure_view(runners: int) -> float:
    """Return the bytes that one more peer takes."""
    few = make_first_heartbeats(runners, 1)
    many = make_first_heartbeats(runners, 1 + PEERS)
    # Texts that this process holds already, so that its table of texts has its size.
    held = build_views(many)
    added = find_bytes(lambda: build_views(many)) - find_bytes(lambda: build_views(few))
    del held
    return added / PEERS


def build_book(runners: int) -> ReportBook:
    """Return a book of reports."""
    book = ReportBook()
    for number in range(runners):
        book.offer(make_report(number, MODELS, 1.0))
    return book


def build_keys(keys: int) -> KeyTable:
    """Return a table of idempotency records whose answers are kept elsewhere."""
    home = make_member(0).incarnation
    own = IncarnationId("successor")
    table = KeyTable(own, Homes(own), 0.0, capacity=keys)
    records = tuple(
        KeyRecord(
            key=IdempotencyKey(f"{home}:1700000000:{number:032x}"),
            caller=CALLER,
            fingerprint=number << 40,
            expires_at=FAR_S,
            verdict=None,
            answer_id=RequestId(f"{home}-{number}"),
        )
        for number in range(keys)
    )
    table.adopt(home, records)
    return table


def build_queue(requests: int) -> GatewayLoad:
    """Return a gateway whose one upstream is full, with requests that wait."""
    load = GatewayLoad(1, 1)
    for number in range(requests):
        request = Request(
            id=RequestId(f"{make_member(0).incarnation}-{number}"),
            caller=CALLER,
            work_class=WorkClass.URGENT,
            target=make_artifact(0),
            arrived_at=0.0,
            deadline=FAR_S,
            prompt_tokens=500,
            max_tokens=200,
            prefix_hashes=tuple((number << 32) + block for block in range(8)),
        )
        load.core.handle(RequestArrived(request=request), 0.0)
    return load


def build_prefixes(blocks: int) -> PrefixIndex:
    """Return an index of prefix blocks over ten upstreams."""
    index = PrefixIndex()
    for number in range(blocks // BLOCKS_PER_PROMPT):
        first = (number * BLOCKS_PER_PROMPT) << 34
        hashes = tuple(first + block for block in range(BLOCKS_PER_PROMPT))
        index.expect(UpstreamId(f"runner-{number % 10}"), hashes)
    return index


@register_measure("memory")
def measure_memory() -> Sequence[Series]:
    """Measure what Python allocates for the state of the processes."""
    return (
        _take("member_memory", "members known", "members", MEMBER_SIZES, build_members),
        _take_values(
            "view_memory",
            "one peer's heartbeat view, both directions",
            "runners",
            RUNNER_SIZES,
            measure_view,
        ),
        _take("book_memory", "book of reports", "runners", RUNNER_SIZES, build_book),
        _take(
            "upstream_memory",
            "upstreams in the dispatch core",
            "upstreams",
            RUNNER_SIZES,
            lambda size: GatewayLoad(size, MODELS),
        ),
        _take(
            "key_memory", "records of idempotency keys", "keys", KEY_SIZES, build_keys
        ),
        _take(
            "queue_memory", "requests that wait", "requests", QUEUE_SIZES, build_queue
        ),
        _take(
            "prefix_memory",
            "prefix blocks in the index",
            "blocks",
            BLOCK_SIZES,
            build_prefixes,
        ),
        _take(
            "offer_memory", "merged offer", "models", MODEL_SIZES, make_configuration
        ),
        _take(
            "follower_memory",
            "configuration with its documents and parsed sections",
            "models",
            MODEL_SIZES,
            make_follower,
        ),
        _take(
            "ledger_memory",
            "placement core, ledgers and demand of 1,400 models",
            "runners",
            RUNNER_SIZES,
            lambda size: ControllerLoad(size, MODELS),
        ),
    )


def _take(
    name: str,
    title: str,
    size_name: str,
    sizes: Sequence[int],
    build: Callable[[int], object],
) -> Series:
    return _take_values(
        name,
        title,
        size_name,
        sizes,
        lambda size: float(find_bytes(lambda: build(size))),
    )


def _take_values(
    name: str,
    title: str,
    size_name: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Series:
    points = tuple(Point(size, measure(size) / KB) for size in sizes)
    return Series(name=name, title=title, size_name=size_name, unit="KB", points=points)
