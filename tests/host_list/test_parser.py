"""Tests of parsing the host list."""

import json
from typing import Any

import pytest

from mangoway.host_list.listing import HostListing
from mangoway.host_list.parser import parse_listing
from mangoway.models.member import ProcessRole
from mangoway.models.upstream import UpstreamKind
from tests.stand_ins.host_list import make_group


def parse(*groups: Any) -> HostListing:
    return parse_listing(json.dumps(groups).encode())


class TestParseListing:
    """Entries, their labels, and unusable entries."""

    def test_runner_service_and_processes(self) -> None:
        listing = parse(
            make_group("10.0.0.1:80", "runner", "r1"),
            make_group("10.0.0.2:80", "service", "s1", service="slips"),
            make_group("10.0.0.3:70", "gateway", "g1"),
            make_group("10.0.0.4:70", "controller", "c1", state="leaving"),
        )
        runner, service = listing.upstreams
        assert (runner.id, runner.kind) == ("r1", UpstreamKind.ENGINE)
        assert (service.service, service.kind) == ("slips", UpstreamKind.SERVICE)
        gateway, controller = listing.processes
        assert (gateway.role, gateway.leaving) == (ProcessRole.GATEWAY, False)
        assert (controller.peer_address, controller.leaving) == ("10.0.0.4:70", True)

    @pytest.mark.parametrize(
        ("group", "reason"),
        [
            (make_group("runner-1:80", "runner", "r1"), "IP number"),
            (make_group("10.0.0.1:80", "runner", ""), "no label 'host'"),
            (make_group("10.0.0.1:80", "service", "s1"), "no label 'service'"),
            (make_group("10.0.0.1:80", "printer", "p1"), "unknown role"),
            (make_group("10.0.0.1:80", "runner", "r1", state="ill"), "unknown state"),
            (make_group("10.0.0.1:81", "runner", "r0"), "r0 is listed twice"),
        ],
    )
    def test_unusable_entry_is_left_out(self, group: Any, reason: str) -> None:
        listing = parse(make_group("10.0.0.9:80", "runner", "r0"), group)
        assert [upstream.id for upstream in listing.upstreams] == ["r0"]
        assert len(listing.skipped) == 1
        assert reason in listing.skipped[0]

    def test_leaving_wins_where_a_host_is_listed_twice(self) -> None:
        listing = parse(
            make_group("10.0.0.1:80", "runner", "r1", state="leaving"),
            make_group("10.0.0.1:80", "runner", "r1"),
        )
        assert [upstream.leaving for upstream in listing.upstreams] == [True]

    @pytest.mark.parametrize("body", [b"", b"{}", b"[1]", b'[{"targets": 1}]'])
    def test_other_format_is_rejected(self, body: bytes) -> None:
        with pytest.raises(ValueError, match=r"expected|unexpected|empty"):
            parse_listing(body)
