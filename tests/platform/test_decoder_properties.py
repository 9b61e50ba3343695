"""Properties of the decoders of values that other processes write.

Any bytes give a value or the decoder's own error. A value that is accepted can be
connected to, compared, hashed, sent in a header field, logged and encoded for links.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import h11
import orjson
from attrs import asdict
from hypothesis import example, given
from hypothesis import strategies as st

from mangoway.coordination.crashes import (
    StatementError,
    decode_statement,
    encode_statement,
)
from mangoway.coordination.members import MemberError, decode_member, encode_member
from mangoway.coordination.store import Item, StoreRevision
from mangoway.coordination.view import FleetView
from mangoway.edge.origin_codec import DatagramError, decode_message
from mangoway.http1.messages import Request
from mangoway.models.signals import LeavingReport
from mangoway.platform.documents import decode_configuration, decode_runner
from mangoway.platform.fields import DocumentError
from mangoway.platform.requests import encode_for_runner
from mangoway.platform.runners import decode_report
from mangoway.platform.signals import decode_signals
from mangoway.policy.crashes.tracker import CrashTracker
from mangoway.scheduling.codec import (
    CodecError,
    FrameReader,
    decode_payload,
    encode_frame,
)
from mangoway.scheduling.messages import StoreSnapshot
from mangoway.util.address import parse_address, split_address

from ..fakes.addresses import UNUSABLE_ADDRESSES
from ..scheduling.test_codec import MESSAGES
from .test_documents import CUSTOMER, ENGINE, ENTRY, REPORT, ROUTE
from .test_odd_values import MEMBER, ODD_ADDRESSES

REQUEST = Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),), body=b"")
ODD_VALUES = st.sampled_from(
    [
        *ODD_ADDRESSES,
        *(each for each in UNUSABLE_ADDRESSES if each.isascii()),
        *(0, -1, 1, 2**53, 2**63, 2**64 - 1, 1.5, -0.0, 1e300, 1e-300),
        *("", " a", "a ", "a\r\nb", "a\0", "x" * 300, "nan", "inf", "5", "é"),
        *(None, True, False, [], {}, [[]], [{}], ["a"]),
        *("10.0.0.1:80", "[::1]:80"),
    ]
)
VALUES = st.recursive(
    ODD_VALUES | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from([*ENTRY, *MEMBER, *REPORT]), children)
    ),
    max_leaves=6,
)


def mutate(document: Mapping[str, Any]) -> st.SearchStrategy[bytes]:
    """Generate encodings of a valid document with odd values in one or two fields."""
    changes = st.dictionaries(
        st.sampled_from(sorted(document)), VALUES, min_size=1, max_size=2
    )
    return changes.map(lambda each: orjson.dumps({**document, **each}))


def nest(value: bytes, depth: int) -> bytes:
    """Return a value within nested lists."""
    return b"[" * depth + value + b"]" * depth


ANY_BYTES = (
    st.binary(max_size=40)
    | VALUES.map(orjson.dumps)
    | st.integers(0, 3000).map(lambda depth: nest(b"1", depth))
    | st.sampled_from([b"1e999", b"NaN", b'"\\ud800"', b"9" * 5000])
)


def is_usable(address: str) -> bool:
    """Return whether an accepted address is one that a socket takes."""
    host, port = split_address(address)
    return parse_address(address) == address and bool(host) and 0 < port < 65_536


def attempt(decode: Callable[[], Any], error: type[Exception]) -> Any:
    """Return a decoded value; None if the decoder raises its own error."""
    try:
        return decode()
    except error as raised:
        assert len(str(raised)) < 1000
        return None


class TestRunnerEntries:
    """Entries of runners."""

    @given(ANY_BYTES | mutate(ENTRY), st.text(min_size=1, max_size=20))
    @example(orjson.dumps(ENTRY), "i-1")
    def test_accepted_entry_is_usable(self, document: bytes, runner_id: str) -> None:
        entry = attempt(
            lambda: decode_runner(f"servers/{runner_id}", document), DocumentError
        )
        if entry is None:
            return
        assert is_usable(entry.address)
        assert 1 <= entry.slots < 2**31
        assert hash(entry) == hash(entry)
        assert entry == decode_runner(f"servers/{runner_id}", document)
        # It enters the view, which logs it and orders incarnations.
        view = FleetView()
        view.update_runner(entry)
        report = LeavingReport(runner_id=runner_id, started_ms=entry.started_ms)
        view.record_leaving(report)
        [payload] = FrameReader().feed(encode_frame([report]))
        assert decode_payload(payload, "e1") == [report]
        orjson.dumps(asdict(entry), default=list)
        sent = encode_for_runner(
            REQUEST,
            runner_id=entry.runner_id,
            time_left_s=1.0,
            priority=0,
            last_event_id=None,
            copy=f"{entry.address}/h",
            backup_address=entry.address,
        )
        h11.Request(method=b"GET", target=b"/", headers=list(sent.headers))
        if entry.seconds_left is not None:
            loop = asyncio.new_event_loop()
            loop.call_later(entry.seconds_left, print).cancel()
            loop.close()


class TestMembers:
    """Announcements of processes."""

    @given(ANY_BYTES | mutate(MEMBER))
    def test_accepted_member_is_usable(self, value: bytes) -> None:
        member = attempt(lambda: decode_member(value), MemberError)
        if member is None:
            return
        for address in (member.peer_address, member.caller_address):
            assert address == "" or is_usable(address)
        assert decode_member(encode_member(member)) == member
        assert len({member, member}) == 1
        assert sorted([member.host, "a"])


class TestStatements:
    """Crash statements."""

    @given(
        st.sampled_from(["crashes/i-1@0/e1", "crashes/a", "held/c", "cleared/c.v"]),
        ANY_BYTES
        | st.lists(st.lists(ODD_VALUES | st.just("c.v"), max_size=4), max_size=2).map(
            orjson.dumps
        ),
    )
    @example("crashes/i-1@0/e1", b'[["c.v",1,0]]')
    @example("held/c", b'{"i-1@0":[["c.v",1,0]]}')
    @example("cleared/c.v", b'["i-1@0"]')
    def test_accepted_statement_is_usable(self, key: str, value: bytes) -> None:
        statement = attempt(lambda: decode_statement(key, value), StatementError)
        if statement is None:
            return
        statement.apply_to(CrashTracker())
        assert statement.key == key
        encode_statement(statement)


class TestConfigurations:
    """Versions of the operator's configuration."""

    @given(
        ANY_BYTES
        | mutate({"version": 1, "routes": [ROUTE], "services": [], "limits": {}})
        | mutate(ROUTE).map(lambda each: b'{"version":1,"routes":[%b]}' % each)
        | mutate(ENGINE).map(
            lambda each: (
                b'{"version":1,"routes":[],"services":[{"name":"a","engine":%b}]}'
                % each
            )
        )
        | mutate(CUSTOMER).map(
            lambda each: (
                b'{"version":1,"routes":[],"services":[],"tenants":[%b]}' % each
            )
        )
    )
    def test_accepted_configuration_is_usable(self, document: bytes) -> None:
        table = attempt(lambda: decode_configuration(document), DocumentError)
        if table is None:
            return
        FleetView().apply_table(table)
        table.find_route("example.test", "/chat/x")
        for route in table.routes:
            assert 0 < route.timeout_s < 1e9
            assert 0 < route.objective_s < 1e9
        assert 0 < table.limits.header_timeout_s < 1e9
        assert 0 < table.limits.idle_timeout_s < 1e9
        assert table.limits.max_body_bytes > 0


class TestReports:
    """Reports and signals of runners."""

    @given(VALUES | mutate(REPORT).map(orjson.loads))
    def test_accepted_report_is_usable(self, fields: object) -> None:
        report = attempt(lambda: decode_report(fields), DocumentError)
        if report is None:
            return
        assert hash(report) == hash(report)
        orjson.dumps(asdict(report), default=list)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [b"Server-Limit", b"server-brittle", b"Server-Leaving"]
                    + [b"Retry-After"]
                ),
                st.binary(max_size=20)
                | st.sampled_from([b"9" * 300, b"-1", b"nan", b"1e5", b"0"]),
            ),
            max_size=4,
        ),
        st.sampled_from([200, 503]),
    )
    def test_signals_are_usable(
        self, headers: list[tuple[bytes, bytes]], status: int
    ) -> None:
        signals = decode_signals(tuple(headers), status)
        assert signals.limit is None or 0 <= signals.limit < float("inf")
        assert 0 <= signals.rest_s <= 86_400
        orjson.dumps(asdict(signals))


class TestLinks:
    """Frames and datagrams between processes."""

    @given(ANY_BYTES, st.sampled_from([b"\0", b"\1", b"\2", b""]))
    def test_any_frame(self, body: bytes, mark: bytes) -> None:
        messages = attempt(lambda: decode_payload(mark + body, "e1"), CodecError)
        if messages:
            encode_frame(messages)

    @given(st.sampled_from(MESSAGES), st.integers(0, 25), VALUES)
    def test_message_with_an_odd_value(
        self, message: Any, index: int, value: object
    ) -> None:
        """Such a message can be encoded again, or the link closes."""
        rows = orjson.loads(encode_frame([message])[5:])
        rows[0][index % len(rows[0])] = value
        messages = attempt(
            lambda: decode_payload(b"\0" + orjson.dumps(rows), "e1"), CodecError
        )
        if messages:
            encode_frame(messages)

    @given(st.binary(max_size=50), st.integers(0, 2**64 - 1))
    def test_any_item_of_the_store_is_relayed(self, value: bytes, number: int) -> None:
        revision = StoreRevision(0, number)
        item = Item(key="servers/odd", value=value, revision=revision)
        snapshot = StoreSnapshot(
            keys=("servers/odd",), items=(item,), revision=revision, retention_s=0.0
        )
        [payload] = FrameReader().feed(encode_frame([snapshot]))
        assert decode_payload(payload, "e1") == [snapshot]

    @given(
        ANY_BYTES
        | st.tuples(st.sampled_from(["q", "r", "a"]), VALUES, VALUES, VALUES).map(
            orjson.dumps
        )
    )
    def test_any_datagram(self, data: bytes) -> None:
        message = attempt(lambda: decode_message(data), DatagramError)
        assert message is None or hash(message) == hash(message)
