"""Tests of the engine in virtual time."""

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    AttemptId,
    FenceNumber,
    IncarnationId,
    OrderId,
    UpstreamId,
)
from mangoway.models.order import Order, OrderKind, OrderOutcome

from .engine import (
    AttemptFinished,
    EngineModel,
    EngineSettings,
    SubmitOutcome,
    TokensProduced,
)
from .weight_store import WeightStoreModel, WeightStoreSettings

CHAT = Artifact.parse("chat@1")
LOGS = Artifact.parse("logs@1")
FIRST = IncarnationId("first")
MEMORY_MB = 24_096
WEIGHTS_MB = 15_000


def build_engine(checks_fences: bool = True) -> EngineModel:
    settings = EngineSettings(
        upstream=UpstreamId("a"), memory_mb=MEMORY_MB, checks_fences=checks_fences
    )
    return EngineModel(settings, WeightStoreModel(), FIRST)


def build_order(
    fence: int, artifact: Artifact = CHAT, kind: OrderKind = OrderKind.LOAD
) -> Order:
    return Order(
        id=OrderId(f"{fence}-{artifact}"),
        upstream=UpstreamId("a"),
        incarnation=FIRST,
        fence=FenceNumber(fence),
        kind=kind,
        artifact=artifact,
        memory_mb=WEIGHTS_MB,
    )


def load_chat(engine: EngineModel) -> float:
    engine.order(0.0, build_order(1))
    ready_at = engine.next_event_time()
    engine.advance(ready_at)
    return ready_at


class TestMemory:
    """The engine counts the memory that is in use."""

    def test_memory_is_used_from_the_acceptance_of_the_order(self) -> None:
        engine = build_engine()
        assert engine.order(0.0, build_order(1)) is OrderOutcome.ACCEPTED
        assert engine.memory_mb == 4096 + WEIGHTS_MB
        assert not engine.is_ready(CHAT)
        assert not engine.over_size

    def test_order_beyond_the_memory_size_is_recorded(self) -> None:
        engine = build_engine()
        engine.order(0.0, build_order(1))
        engine.order(0.0, build_order(2, LOGS))
        assert engine.over_size
        assert engine.peak_memory_mb == 4096 + 2 * WEIGHTS_MB

    def test_duplicated_load_counts_once(self) -> None:
        engine = build_engine()
        engine.order(0.0, build_order(1))
        engine.order(0.0, build_order(1))
        assert engine.memory_mb == 4096 + WEIGHTS_MB

    def test_unload_waits_for_attempts_in_progress(self) -> None:
        engine = build_engine()
        now = load_chat(engine)
        engine.submit(now, AttemptId("x"), CHAT, prompt_tokens=8, max_tokens=60)
        engine.order(now, build_order(2, kind=OrderKind.UNLOAD))
        outcome = engine.submit(now, AttemptId("y"), CHAT, 8, 60)
        assert outcome is SubmitOutcome.NOT_READY
        assert engine.memory_mb == 4096 + WEIGHTS_MB
        engine.advance(now + 10.0)
        assert engine.memory_mb == 4096


class TestFences:
    """Old fences and other incarnations."""

    def test_engine_with_the_check_rejects_an_old_fence(self) -> None:
        engine = build_engine()
        engine.order(0.0, build_order(5))
        assert engine.order(0.0, build_order(4, LOGS)) is (
            OrderOutcome.REJECTED_STALE_FENCE
        )

    def test_engine_without_the_check_accepts_an_old_fence(self) -> None:
        engine = build_engine(checks_fences=False)
        engine.order(0.0, build_order(5))
        assert engine.order(0.0, build_order(4, LOGS)) is OrderOutcome.ACCEPTED

    def test_order_for_an_earlier_incarnation_has_no_effect(self) -> None:
        engine = build_engine()
        engine.crash(0.0)
        engine.restart(1.0, IncarnationId("second"))
        assert engine.order(1.0, build_order(1)) is OrderOutcome.REJECTED_INCARNATION
        assert engine.memory_mb == 4096


class TestGeneration:
    """Speed, priority and resumption."""

    def test_streams_share_the_speed_of_the_engine(self) -> None:
        engine = build_engine()
        now = load_chat(engine)
        for number in range(16):
            engine.submit(now, AttemptId(str(number)), CHAT, 8, 301)
        outputs = engine.advance(now + 10.2)
        finished = [each for each in outputs if isinstance(each, AttemptFinished)]
        # 16 streams decode 300 tokens each after the first one: 10 s at 480 tokens per
        # second.
        assert len(finished) == 16

    def test_higher_priority_enters_the_batch_first(self) -> None:
        engine = build_engine()
        now = load_chat(engine)
        for number in range(16):
            engine.submit(now, AttemptId(f"busy-{number}"), CHAT, 8, 100)
        engine.submit(now, AttemptId("low"), CHAT, 8, 10, priority=0)
        engine.submit(now, AttemptId("high"), CHAT, 8, 10, priority=5)
        outputs = engine.advance(now + 60.0)
        order = [o.attempt_id for o in outputs if isinstance(o, AttemptFinished)]
        assert order.index(AttemptId("high")) < order.index(AttemptId("low"))

    def test_resumed_attempt_continues_after_its_offset(self) -> None:
        engine = build_engine()
        now = load_chat(engine)
        engine.submit(now, AttemptId("x"), CHAT, 8, 100, resume_from=90)
        engine.advance(now + 0.05)
        outputs = engine.advance(now + 0.1)
        assert next(o for o in outputs if isinstance(o, TokensProduced)).tokens > 90

    def test_answer_of_one_token_ends_with_its_prefill(self) -> None:
        engine = build_engine()
        now = load_chat(engine)
        engine.submit(now, AttemptId("x"), CHAT, prompt_tokens=64, max_tokens=1)
        prefilled_at = engine.next_event_time()
        outputs = engine.advance(prefilled_at)
        assert AttemptFinished(attempt_id=AttemptId("x"), tokens=1) in outputs
        assert engine.next_event_time() > prefilled_at

    def test_cached_prefix_shortens_the_prefill(self) -> None:
        engine = build_engine()
        now = load_chat(engine)
        hashes = tuple(range(100))
        engine.submit(now, AttemptId("x"), CHAT, 6400, 2, prefix_hashes=hashes)
        engine.advance(now + 5.0)
        engine.submit(now + 5.0, AttemptId("y"), CHAT, 6400, 2, prefix_hashes=hashes)
        outputs = engine.advance(now + 5.1)
        assert [o.attempt_id for o in outputs] == [AttemptId("y")]


class TestWeightStore:
    """Limits of the weight store."""

    def test_loads_beyond_full_speed_share_it(self) -> None:
        settings = WeightStoreSettings(
            loads_per_second=1000.0, loads_at_full_speed=2, mb_per_second=100.0
        )
        store = WeightStoreModel(settings)
        for key in ("a", "b", "c", "d"):
            store.begin(0.0, key, 100.0)
        store.advance(1.5)
        assert not store.is_done("a")
        store.advance(2.1)
        assert all(store.is_done(key) for key in ("a", "b", "c", "d"))

    def test_starts_are_spaced_by_the_rate(self) -> None:
        settings = WeightStoreSettings(loads_per_second=2.0, mb_per_second=1000.0)
        store = WeightStoreModel(settings)
        store.begin(0.0, "a", 1.0)
        store.begin(0.0, "b", 1.0)
        store.advance(0.4)
        assert store.is_done("a")
        assert not store.is_done("b")
