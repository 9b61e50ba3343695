"""Tests of the decoding of documents in the store and of reports."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoway.coordination.members import MemberError, decode_member
from mangoway.models.customer import Customer, Quota, make_credential
from mangoway.models.fleet import Member
from mangoway.models.routing import RouteKind, RoutingTable
from mangoway.models.runner import RunnerReport
from mangoway.platform.documents import decode_configuration, decode_runner
from mangoway.platform.fields import DocumentError
from mangoway.platform.runners import decode_report
from mangoway.scheduling.codec import CodecError, decode_payload

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

REPORT = {
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "busy": False,
    "seq": 2,
    "queued": 1,
    "active": 12,
    "kv_used": 41000,
    "kv_total": 90000,
    "pending": ["m0/a1@1"],
    "available": {"in_memory": ["m0"], "on_disk": []},
    "runs": [["9c41d07be2a35f68", 826, 3, 5]],
}


CUSTOMER = {
    "name": "acme",
    "api_keys": ["k1", "k2"],
    "priority": 1,
    "unit": "token_stream",
    "plain_tokens": 200,
    "rate_per_s": 150390,
    "burst": 1000,
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
    """Decoding of the operator's configuration."""

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

    def test_missing_limits_have_defaults(self) -> None:
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
    def test_invalid_document_raises_error(self, document: bytes) -> None:
        with pytest.raises(DocumentError):
            decode_configuration(document)


class TestRunner:
    """Decoding of a runner's entry."""

    def test_entry_is_decoded(self) -> None:
        entry = decode_runner("servers/i-1", orjson.dumps(ENTRY))
        assert (entry.runner_id, entry.address) == ("i-1", "10.0.0.1:80")
        assert not entry.draining
        assert entry.models[0].adapters == frozenset({"a1", "a2"})

    def test_heartbeat_number_is_ignored(self) -> None:
        """Using it as the count of accepted orders makes runners reject all orders."""
        one = decode_runner("servers/i-1", orjson.dumps(ENTRY))
        other = decode_runner("servers/i-1", orjson.dumps({**ENTRY, "seq": 5}))
        assert one == other

    def test_draining_runner_whose_time_is_over_has_none_left(self) -> None:
        document = {**ENTRY, "state": "draining", "remaining_ms": -40}
        entry = decode_runner("servers/i-1", orjson.dumps(document))
        assert entry.seconds_left == 0.0

    def test_remaining_time_of_draining_runner_is_decoded(self) -> None:
        document = {**ENTRY, "state": "draining", "remaining_ms": 1500}
        entry = decode_runner("servers/i-1", orjson.dumps(document))
        assert entry.draining
        assert entry.seconds_left == 1.5

    def test_empty_entry_raises_error(self) -> None:
        with pytest.raises(DocumentError):
            decode_runner("servers/i-1", b"{}")

    def test_start_of_incarnation_is_decoded(self) -> None:
        document = {**ENTRY, "born": 1_771_816_803_316}
        entry = decode_runner("servers/i-1", orjson.dumps(document))
        assert entry.started_ms == 1_771_816_803_316
        assert decode_runner("servers/i-1", orjson.dumps(ENTRY)).started_ms == 0

    @pytest.mark.parametrize(
        ("version", "expected"),
        [("v1.2", "v1.2"), (3, "3"), (None, ""), (True, ""), ([1], ""), ({}, "")],
    )
    def test_software_version_is_decoded(self, version: object, expected: str) -> None:
        document = {**ENTRY, "version": version}
        entry = decode_runner("servers/i-1", orjson.dumps(document))
        assert entry.software_version == expected

    @pytest.mark.parametrize(
        "document", [b"null", b"7", b'"text"', b"[]", b"[1]", b"true", b"\xff\x00", b""]
    )
    def test_entry_that_is_not_an_object_raises_error(self, document: bytes) -> None:
        with pytest.raises(DocumentError):
            decode_runner("servers/i-1", document)

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"state": None},
            {"service": 5},
            {"service": ""},
            {"address": None},
            {"address": "nowhere"},
            {"address": "10.0.0.1:http"},
            {"zone": {}},
            {"slots": "64"},
            {"slots": 0},
            {"slots": True},
            {"models": "m0"},
            {"models": ["m0"]},
            {"models": [{"name": 3}]},
            {"models": [{"name": "m0", "adapters": 1}]},
            {"remaining_ms": "soon"},
            {"born": "1771816803316"},
            {"born": 1.5},
        ],
    )
    def test_invalid_field_raises_error(self, change: dict[str, object]) -> None:
        """Other writers may store invalid entries; an unknown state is not ready."""
        with pytest.raises(DocumentError):
            decode_runner("servers/i-1", orjson.dumps({**ENTRY, **change}))

    @pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state"])
    def test_missing_field_raises_error(self, name: str) -> None:
        document = {key: value for key, value in ENTRY.items() if key != name}
        with pytest.raises(DocumentError):
            decode_runner("servers/i-1", orjson.dumps(document))


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from([*ENTRY, *ROUTE, *ENGINE, "routes", "services"])
            | st.text(max_size=4),
            children,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def corrupt(document: dict[str, object]) -> st.SearchStrategy[bytes]:
    """Generate encodings of a document with arbitrary values in some fields."""
    changes = st.dictionaries(st.sampled_from(sorted(document)), json_values)
    return changes.map(lambda each: orjson.dumps({**document, **each}))


class TestArbitraryInput:
    """Arbitrary input is decoded or raises the decoder's error, and no other error."""

    @given(st.binary() | json_values.map(orjson.dumps) | corrupt(ENTRY))
    def test_entry(self, document: bytes) -> None:
        try:
            entry = decode_runner("servers/i-1", document)
        except DocumentError:
            return
        assert entry.service
        assert entry.slots >= 1
        assert ":" in entry.address

    @given(
        st.binary()
        | json_values.map(orjson.dumps)
        | corrupt({"version": 7, "routes": [ROUTE], "services": [], "limits": {}})
        | corrupt(dict(ROUTE)).map(lambda each: b'{"routes":[%b],"version":1}' % each)
    )
    def test_configuration(self, document: bytes) -> None:
        try:
            assert isinstance(decode_configuration(document), RoutingTable)
        except DocumentError:
            return

    @given(json_values | corrupt(REPORT).map(orjson.loads))
    def test_report(self, fields: object) -> None:
        try:
            assert isinstance(decode_report(fields), RunnerReport)
        except DocumentError:
            return

    @given(st.binary() | json_values.map(orjson.dumps))
    def test_member(self, value: bytes) -> None:
        try:
            assert isinstance(decode_member(value), Member)
        except MemberError:
            return

    @given(st.binary() | json_values.map(orjson.dumps))
    def test_frame_between_processes(self, body: bytes) -> None:
        try:
            decode_payload(b"\x00" + body, "e1")
        except CodecError:
            return


class TestReport:
    """Decoding of the reports of runners."""

    def test_runs_are_listed_by_their_ids(self) -> None:
        assert decode_report(REPORT).run_ids == {"9c41d07be2a35f68"}

    def test_report_without_runs(self) -> None:
        """An empty list would show that all runs have ended."""
        fields = {key: value for key, value in REPORT.items() if key != "runs"}
        assert decode_report(fields).run_ids is None


class TestCustomers:
    """Decoding of customers and their API keys."""

    def decode(self, **changes: object) -> RoutingTable:
        return decode_configuration(encode(tenants=[{**CUSTOMER, **changes}]))

    def find(self, table: RoutingTable, key: str) -> Customer | None:
        assert table.customers is not None
        return table.customers.find_by_credential(make_credential(key))

    def test_customer_is_found_by_each_key(self) -> None:
        table = self.decode()
        for key in ("k1", "k2"):
            customer = self.find(table, key)
            assert customer is not None
            assert (customer.name, customer.priority) == ("acme", 1)
            assert customer.quota == Quota(rate_per_s=150390.0, burst=1000.0)
            assert customer.compute_cost(1540) == 1540
            assert customer.compute_cost(None) == 200
        assert self.find(table, "k3") is None

    @pytest.mark.parametrize("rate", [0, None])
    def test_customer_without_rate_has_no_quota(self, rate: int | None) -> None:
        customer = self.find(self.decode(rate_per_s=rate), "k1")
        assert customer is not None
        assert customer.quota is None

    def test_quota_in_other_units_counts_requests(self) -> None:
        customer = self.find(self.decode(unit="request"), "k1")
        assert customer is not None
        assert customer.compute_cost(1540) == 1

    def test_configuration_without_customers_needs_no_keys(self) -> None:
        assert decode_configuration(encode()).customers is None
        assert decode_configuration(encode(tenants=[])).customers is None

    def test_public_routes_are_decoded(self) -> None:
        routes = [{**ROUTE, "public": True}, {**ROUTE, "name": "r-2"}]
        table = decode_configuration(encode(routes=routes))
        assert [each.public for each in table.routes] == [True, False]

    @pytest.mark.parametrize(
        "changes",
        [
            {"name": ""},
            {"name": None},
            {"api_keys": "k1"},
            {"api_keys": [["k1-secret"]]},
            {"api_keys": [{"k1-secret": 1}]},
            {"rate_per_s": "many"},
            {"priority": []},
        ],
    )
    def test_decoding_error_contains_no_key(self, changes: dict[str, object]) -> None:
        with pytest.raises(DocumentError) as raised:
            self.decode(**changes)
        assert "k1" not in str(raised.value)

    def test_error_on_a_key_of_two_customers_does_not_contain_it(self) -> None:
        with pytest.raises(DocumentError) as raised:
            decode_configuration(
                encode(tenants=[CUSTOMER, {**CUSTOMER, "name": "other"}])
            )
        assert "k1" not in str(raised.value)
