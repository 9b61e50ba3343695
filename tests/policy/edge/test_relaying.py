"""Tests of the selection of peers through which requests are sent."""

from collections import Counter
from random import Random

import pytest

from mangoway.models.fleet import Member, Role
from mangoway.policy.edge.const import MAX_RELAY_PEERS, PEER_AVOIDED_S
from mangoway.policy.edge.relaying import RelayPeers

DATA_CENTRES = 3
REQUESTS = 300


def make_edges(count: int) -> list[Member]:
    """Return edges, spread over the data centres."""
    return [
        Member(
            host=f"h{number}",
            role=Role.EDGE,
            data_centre=f"dc{number % DATA_CENTRES}",
            incarnation=f"e{number}",
            peer_address="",
            caller_address=f"10.0.0.{number}:80",
        )
        for number in range(count)
    ]


def relay(
    peers: RelayPeers, edges: list[Member], cut: set[str], now: float
) -> tuple[str | None, int]:
    """Return the peer that serves a request, and the peers that were tried."""
    tried: list[str] = []
    while len(tried) < MAX_RELAY_PEERS:
        peer = peers.choose(edges, tried, now)
        if peer is None:
            break
        tried.append(peer.incarnation)
        if peer.incarnation not in cut:
            return peer.incarnation, len(tried)
        peers.avoid(peer, now)
    return None, len(tried)


class TestRelayPeers:
    """Selections of one edge, e0."""

    def test_peer_of_the_own_data_centre_is_preferred(self) -> None:
        peers = RelayPeers("e0", "dc0", Random(1))
        edges = make_edges(9)
        chosen = {relay(peers, edges, set(), 0.0)[0] for _ in range(REQUESTS)}
        assert chosen == {"e3", "e6"}

    def test_own_edge_is_never_chosen(self) -> None:
        peers = RelayPeers("e0", "dc0", Random(1))
        assert peers.choose(make_edges(1), [], 0.0) is None

    def test_avoided_peer_is_tried_again_later(self) -> None:
        peers = RelayPeers("e0", "dc0", Random(1))
        edges = make_edges(2)
        peers.avoid(edges[1], 0.0)
        assert peers.choose(edges, [], PEER_AVOIDED_S / 2) is None
        assert peers.choose(edges, [], PEER_AVOIDED_S) is edges[1]

    @pytest.mark.parametrize("count", [9, 73, 2400])
    def test_data_centre_that_is_cut_off_is_served_by_the_others(
        self, count: int
    ) -> None:
        peers = RelayPeers("e0", "dc0", Random(1))
        edges = make_edges(count)
        cut = {each.incarnation for each in edges if each.data_centre == "dc0"}
        results = [relay(peers, edges, cut, number / 100) for number in range(REQUESTS)]
        assert all(served is not None for served, _ in results)
        tries = sum(tried for _, tried in results)
        assert tries <= 1.05 * REQUESTS

    @pytest.mark.parametrize("count", [9, 73])
    def test_peers_share_the_requests_of_a_data_centre(self, count: int) -> None:
        edges = make_edges(count)
        cut = {each.incarnation for each in edges if each.data_centre == "dc0"}
        per_peer: Counter[str | None] = Counter()
        for incarnation in sorted(cut):
            peers = RelayPeers(incarnation, "dc0", Random(incarnation))
            for number in range(REQUESTS):
                per_peer[relay(peers, edges, cut, number / 100)[0]] += 1
        mean = REQUESTS * len(cut) / (count - len(cut))
        assert max(per_peer.values()) <= 1.5 * mean

    @pytest.mark.parametrize("count", [9, 73, 2400])
    def test_request_finds_the_few_peers_that_reach_runners(self, count: int) -> None:
        peers = RelayPeers("e0", "dc0", Random(1))
        edges = make_edges(count)
        cut = {each.incarnation for each in edges[: 2 * count // 3]}
        results = [relay(peers, edges, cut, number / 100) for number in range(REQUESTS)]
        served = sum(served is not None for served, _ in results)
        assert served >= 2 / 3 * REQUESTS
