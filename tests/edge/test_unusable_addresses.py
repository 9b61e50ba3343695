"""Tests of requests to runners and peers whose addresses can't be connected to.

The failure: the error ended the handler of the request, and its caller lost the
connection without a response.
"""

import pytest

from ..fakes.addresses import UNUSABLE_ADDRESSES
from ..fakes.fleet import make_runner
from ..upstreams.raw_server import RawServer, answer
from .test_unreachable_runners import RESPONSES
from .unreachable import make_peer
from .world import EdgeWorld, start_edge


def add_odd_runners(edge: EdgeWorld, address: str) -> None:
    """Add a runner of each service at an address that can't be connected to."""
    for service in ("plain", "llm"):
        entry = make_runner(f"odd-{service}", service=service, address=address)
        edge.view.update_runner(entry)
    edge.grant_provider.runner_ids.append("odd-llm")


@pytest.mark.parametrize("path", list(RESPONSES))
class TestUnusableAddresses:
    """Requests that meet an odd runner, with and without a usable one."""

    async def test_request_goes_to_the_usable_runner(self, path: str) -> None:
        statuses = {}
        for address in UNUSABLE_ADDRESSES:
            runner = RawServer(answer(*RESPONSES[path]))
            async with runner, start_edge() as edge:
                add_odd_runners(edge, address)
                for service in ("plain", "llm"):
                    edge.add(f"usable-{service}", runner, service)
                replies = [await edge.async_call(path) for _ in range(4)]
            statuses[address] = tuple(each.status for each in replies if each.complete)
        assert statuses == dict.fromkeys(UNUSABLE_ADDRESSES, (200,) * 4)

    async def test_request_is_rejected_without_a_usable_runner(self, path: str) -> None:
        """Neither the runners nor the peer can be connected to."""
        statuses = {}
        for address in UNUSABLE_ADDRESSES:
            async with start_edge() as edge:
                add_odd_runners(edge, address)
                edge.view.update_member("members/edge/e2", make_peer("e2", address))
                reply = await edge.async_call(path, headers="X-Deadline-Ms: 300\r\n")
            statuses[address] = (reply.status, reply.complete)
        assert statuses == dict.fromkeys(UNUSABLE_ADDRESSES, (503, True))
