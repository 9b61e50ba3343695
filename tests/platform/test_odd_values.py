"""Tests that values of other writers are usable, or raise the decoder's own error.

The failure: a value was accepted that nothing could be done with. The error was raised
where it was used, and ended the handler of a request or the task that read the list.
"""

from collections.abc import Callable
from typing import Any

import orjson
import pytest

from mangoway.coordination.crashes import StatementError, decode_statement
from mangoway.coordination.members import MemberError, decode_member
from mangoway.edge.origin_codec import DatagramError, decode_message
from mangoway.platform.documents import decode_configuration, decode_runner
from mangoway.platform.fields import DocumentError
from mangoway.platform.runners import decode_report
from mangoway.scheduling.codec import CodecError, decode_payload

from ..fakes.addresses import UNUSABLE_ADDRESSES
from .test_documents import CUSTOMER, ENGINE, ENTRY, REPORT, ROUTE, encode

HUGE = 2**64 - 1
LONG = "x" * 1_000_000
CONTROLS = "a\r\nX-Hold: 1"

MEMBER = {
    "host": "h1",
    "role": "edge",
    "data_centre": "dc1",
    "incarnation": "e1",
    "peer_address": "",
    "caller_address": "10.0.0.1:80",
}
ODD_ADDRESSES = [
    *(each for each in UNUSABLE_ADDRESSES if each.isascii()),
    "host.example:80",
    "10.0.0.1:0",
    "10.0.0.1:٨٠",
    "10.0.0.1\r\nX-Hold: 1:80",
    "::1:80",
    "[10.0.0.1]:80",
    "[::1:80",
    "[fe80::1%a\r\nX-Hold: 1]:80",
    "10.0.0.1:" + "1" * 5000,
    5,
    ["10.0.0.1:80"],
]


def list_accepted(decode: Callable[[Any], object], values: list[Any]) -> list[str]:
    """Return those of some values that a decoder accepts; other errors are raised."""
    accepted = []
    for value in values:
        try:
            decode(value)
        except (DocumentError, MemberError, StatementError, DatagramError, CodecError):
            continue
        accepted.append(repr(value)[:80])
    return accepted


class TestRunnerEntries:
    """Entries of runners."""

    def decode(self, changes: dict[str, Any]) -> object:
        return decode_runner("servers/i-1", orjson.dumps({**ENTRY, **changes}))

    def test_unusable_address_raises_error(self) -> None:
        values = [{"address": each} for each in ODD_ADDRESSES]
        assert list_accepted(self.decode, values) == []

    def test_number_out_of_range_raises_error(self) -> None:
        values: list[dict[str, Any]] = [
            {"slots": HUGE},
            {"slots": -1},
            {"slots": 65_537},
            {"born": HUGE},
            {"born": 4_102_444_800_001},
            {"remaining_ms": 367 * 86_400_000},
            {"born": -1},
            {"remaining_ms": 1e300},
            {"remaining_ms": -367 * 86_400_000},
            {"models": [{"name": "m0", "version": -1}]},
            {"models": [{"name": "m0", "version": HUGE}]},
        ]
        assert list_accepted(self.decode, values) == []

    def test_unusable_name_raises_error(self) -> None:
        values = [
            {key: text}
            for key in ("service", "zone", "version")
            for text in (LONG, CONTROLS, "a\0")
        ]
        values += [{"models": [{"name": text}]} for text in (LONG, CONTROLS)]
        values += [{"models": [{"name": "m0", "adapters": [LONG]}]}]
        assert list_accepted(self.decode, values) == []

    def test_long_list_raises_error(self) -> None:
        names = [str(each) for each in range(100_000)]
        values: list[dict[str, Any]] = [
            {"models": [{"name": each} for each in names]},
            {"models": [{"name": "m0", "adapters": names}]},
        ]
        assert list_accepted(self.decode, values) == []

    def test_id_that_no_header_can_carry_raises_error(self) -> None:
        """The ID is sent to the runner, whose address may be another one's."""
        document = orjson.dumps(ENTRY)
        keys = ["servers/", "servers/a ", "servers/\r\nX: 1", "servers/a\0"]
        assert list_accepted(lambda key: decode_runner(key, document), keys) == []

    def test_error_is_short(self) -> None:
        """It is logged by each process at each write of the entry."""
        for change in ({"zone": [LONG]}, {"state": LONG}, {"address": LONG}):
            with pytest.raises(DocumentError) as raised:
                self.decode(change)
            assert len(str(raised.value)) < 1000


class TestMembers:
    """Announcements of processes, and the key of the leader."""

    def decode(self, changes: dict[str, Any]) -> object:
        return decode_member(orjson.dumps({**MEMBER, **changes}))

    def test_value_of_another_type_raises_error(self) -> None:
        values = [
            {name: value}
            for name in MEMBER
            for value in (None, 5, ["a"], {"a": 1}, True, LONG, CONTROLS)
        ]
        assert list_accepted(self.decode, values) == []

    def test_unusable_address_raises_error(self) -> None:
        values = [
            {name: address}
            for name in ("peer_address", "caller_address")
            for address in ODD_ADDRESSES
            if address != ""
        ]
        assert list_accepted(self.decode, values) == []

    def test_missing_name_raises_error(self) -> None:
        values = [{"host": ""}, {"incarnation": ""}]
        assert list_accepted(self.decode, values) == []


class TestStatements:
    """Crash statements."""

    def test_value_of_another_type_raises_error(self) -> None:
        rows: list[Any] = [
            "c.v",
            {"c.v": 1},
            [["c.v", 1, "x"]],
            [["c.v", 1, [0]]],
            [["c.v", 1, 2]],
            [["c.v", "1", 0]],
            [["c.v", True, 0]],
            [["c.v", 1.0, 0]],
            [["c.v", 9, 0]],
            [["c.v", 1]],
            [[5, 1, 0]],
            [[LONG + ".v", 1, 0]],
        ]
        values = [("crashes/i-1@0/e1", each) for each in rows]
        values += [("held/c", {"i-1@0": each}) for each in rows]
        values += [("cleared/c.v", each) for each in ([5], "text", {"a": 1}, [LONG])]

        def decode(value: tuple[str, Any]) -> object:
            return decode_statement(value[0], orjson.dumps(value[1]))

        usable = [["c.v", 1, 0]]
        assert len(list_accepted(decode, [("crashes/i-1@0/e1", usable)])) == 1
        assert list_accepted(decode, values) == []


class TestConfigurations:
    """Versions of the operator's configuration."""

    def decode(self, changes: dict[str, Any]) -> object:
        return decode_configuration(encode(**changes))

    def test_number_out_of_range_raises_error(self) -> None:
        routes = [
            {"timeout_ms": -1},
            {"timeout_ms": 1e300},
            {"timeout_ms": 8 * 86_400_000},
            {"target_latency_ms": 8 * 86_400_000},
            {"timeout_ms": "nan"},
            {"timeout_ms": "inf"},
            {"target_latency_ms": -5},
            {"target_latency_ms": "nan"},
            {"gap_target_ms": -1},
            {"priority": HUGE},
            {"max_attempts": HUGE},
            {"traffic_split": [{"service": "llm", "weight": "nan"}]},
            {"traffic_split": [{"service": "llm", "weight": -1}]},
        ]
        limits = [
            {name: value}
            for name in ("max_header_bytes", "max_body_bytes")
            for value in (-1, HUGE, "5", 1e300)
        ]
        limits += [
            {name: value}
            for name in ("header_timeout_ms", "idle_timeout_ms")
            for value in (-1, 1e300, 8 * 86_400_000, "nan", "inf")
        ]
        engines = [
            {name: value}
            for name in ("slots", "kv_capacity", "weights_mb", "loads_per_s")
            for value in (-1, 1e300, "nan")
        ]
        values: list[dict[str, Any]] = [{"version": -1}, {"version": HUGE}]
        values += [{"routes": [{**ROUTE, **each}]} for each in routes]
        values += [{"limits": each} for each in limits]
        values += [
            {"services": [{"name": "llm", "engine": {**ENGINE, **each}}]}
            for each in engines
        ]
        values += [
            {"tenants": [{**CUSTOMER, **each}]}
            for each in ({"rate_per_s": 1e308}, {"burst": -1}, {"name": CONTROLS})
        ]
        assert list_accepted(self.decode, values) == []


class TestReports:
    """Reports of runners."""

    def test_unusable_value_raises_error(self) -> None:
        values = [
            {**REPORT, name: value}
            for name in ("seq", "queued", "active", "kv_used", "kv_total")
            for value in (-1, HUGE, 1e300, "5")
        ]
        values += [{**REPORT, "born": HUGE}]
        values += [{**REPORT, "available": {"in_memory": [each]}} for each in (1, LONG)]
        values += [{**REPORT, "runs": [each]} for each in ([5], "text", [LONG])]
        values += [{**REPORT, "pending": [each]} for each in (5, LONG)]
        assert list_accepted(decode_report, values) == []


class TestMessages:
    """Messages on links, and datagrams."""

    def test_frame_with_a_value_of_another_type_raises_error(self) -> None:
        """The error was raised where the value was used, after others had been."""
        rows: list[list[Any]] = [
            ["hello", 5, "h", "dc1", True, 1, 0],
            ["hello", "e1", "h", "dc1", True, "x", 0],
            ["beat", True, "x", 0.1, 0.0],
            ["beat", True, 0.1, None, 0.0],
            ["beat", True, 0.1, 0.1, 0.0, [["acme", "x"]]],
            ["clock?", "x"],
            ["clock", 1.0, None],
            ["told", "key", 5],
            ["first", 5],
            ["end", ["q1"], "served", 1, 0.1],
            ["end", "q1", "served", "x", 0.1],
            ["spent", "acme", "much"],
            ["spending", [["acme", "x", 1.0]]],
            ["state", "x", [], [], 0.0, 0],
            ["state", 1, [5], [], 0.0, 0],
            ["changes", 1, [["k", 1, ["k", 1, 0, 5]]], 0.0, 0],
            ["short", "plain", "x"],
        ]
        assert (
            list_accepted(
                lambda row: decode_payload(b"\0" + orjson.dumps([row]), "e1"), rows
            )
            == []
        )

    def test_datagram_with_a_value_of_another_type_raises_error(self) -> None:
        rows: list[Any] = [
            "q5xy",
            5,
            None,
            {},
            {"0": "q"},
            ["a", 1, "llm", [], True],
            ["q", "5", "d", ["llm"]],
            ["q", 1e300, "d", ["llm"]],
            ["q", 1, 5, ["llm"]],
            ["q", 1, "d", "llm"],
            ["q", 1, "d", [5]],
            ["r", [[1, "v1", "r1", "d" * 11]]],
            ["r", ["llm1"]],
            ["a", 1, None, [["llm", 5]], True],
            ["a", 1, [["llm"], "v1", ""], [], True],
        ]
        assert list_accepted(lambda row: decode_message(orjson.dumps(row)), rows) == []
