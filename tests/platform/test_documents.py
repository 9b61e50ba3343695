"""Tests of the documents of the store."""

import orjson
import pytest

from mangoway.models.routing import RouteKind
from mangoway.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_runner,
)

ROUTE = {
    "name": "r-1",
    "host": "example.test",
    "prefix": "/chat/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 400,
    "priority": 0,
    "service": "llm",
    "max_attempts": 2,
    "resumable": True,
    "gap_target_ms": 300,
}
ENGINE = {
    "slots": 64,
    "kv_capacity": 1000,
    "weights_mb": 230000.0,
    "adapter_slots": 8,
    "loads_per_s": 2.0,
    "models": [
        {
            "name": "m0",
            "weights_mb": 65000.0,
            "load_s": 1.2,
            "adapters": 42,
            "adapter_mb": 12.0,
            "warm_s": 0.45,
            "disk_s": 0.59,
        }
    ],
}
ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "dc1",
    "slots": 64,
    "state": "ready",
    "seq": 4,
    "models": [{"name": "m0", "version": 1, "adapters": ["a1", {"name": "a2@1"}]}],
}


def encode(**changes: object) -> bytes:
    document = {
        "version": 7,
        "routes": [ROUTE],
        "services": [{"name": "llm", "health_path": "/health", "engine": ENGINE}],
        "limits": {"max_header_bytes": 100, "idle_timeout_ms": 9000},
    }
    return orjson.dumps({**document, **changes})


class TestConfiguration:
    """The operator's configuration."""

    def test_route_is_decoded(self) -> None:
        table = decode_configuration(encode())
        [route] = table.routes
        assert (table.version, route.kind) == (7, RouteKind.STREAMING)
        assert (route.timeout_s, route.objective_s) == (15.0, 0.4)
        assert route.idempotent
        assert route.patience_s == 2.4

    def test_engine_is_decoded(self) -> None:
        engine = decode_configuration(encode()).services["llm"].engine
        assert engine is not None
        model = engine.models["m0"]
        assert (model.load_s, model.memory_load_s, model.disk_load_s) == (
            1.2,
            0.45,
            0.59,
        )

    def test_split_route_has_shares(self) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = {key: value for key, value in ROUTE.items() if key != "service"}
        table = decode_configuration(encode(routes=[{**route, "traffic_split": split}]))
        assert [each.weight for each in table.routes[0].shares] == [90, 10]

    def test_missing_limits_are_the_usual(self) -> None:
        limits = decode_configuration(encode()).limits
        assert limits.max_header_bytes == 100
        assert limits.idle_timeout_s == 9.0
        assert limits.max_body_bytes == 1 << 22

    def test_longest_prefix_of_the_host_is_chosen(self) -> None:
        longer = {**ROUTE, "name": "r-2", "prefix": "/chat/deep/"}
        other = {**ROUTE, "name": "r-3", "host": "other.test", "prefix": "/"}
        table = decode_configuration(encode(routes=[ROUTE, longer, other]))
        found = table.find_route("example.test", "/chat/deep/x")
        assert found is not None
        assert found.name == "r-2"
        assert table.find_route("example.test", "/else/") is None

    @pytest.mark.parametrize("document", [b"", b"{", b"[]", b'{"version": 1}'])
    def test_unreadable_document_is_an_error(self, document: bytes) -> None:
        with pytest.raises(DocumentError):
            decode_configuration(document)


class TestRunner:
    """A runner's entry."""

    def test_entry_is_decoded(self) -> None:
        entry = decode_runner("servers/i-1", orjson.dumps(ENTRY))
        assert (entry.runner_id, entry.address) == ("i-1", "10.0.0.1:80")
        assert not entry.draining
        assert entry.models[0].adapters == frozenset({"a1", "a2"})

    def test_heartbeat_number_is_no_part_of_it(self) -> None:
        """It was once taken for the count of orders, and all orders were refused."""
        one = decode_runner("servers/i-1", orjson.dumps(ENTRY))
        other = decode_runner("servers/i-1", orjson.dumps({**ENTRY, "seq": 5}))
        assert one == other

    def test_notice_of_a_short_end_is_decoded(self) -> None:
        document = {**ENTRY, "state": "draining", "remaining_ms": 1500}
        entry = decode_runner("servers/i-1", orjson.dumps(document))
        assert entry.draining
        assert entry.seconds_left == 1.5

    def test_unreadable_entry_is_an_error(self) -> None:
        with pytest.raises(DocumentError):
            decode_runner("servers/i-1", b"{}")
