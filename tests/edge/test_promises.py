"""Tests that the statuses 408, 421, 429 and 503, which promise "not run", are true."""

import asyncio

import pytest

from mangoway.edge.delivery import Delivery
from mangoway.http1.exchange import Exchange
from mangoway.http1.messages import Request
from mangoway.models.routing import RouteKind

from ..fakes.fleet import make_route, make_runner
from ..upstreams.raw_server import RawServer, Script, answer, cut, make_response
from .unreachable import make_peer, open_hanging_address
from .world import (
    SIGNED,
    EdgeWorld,
    make_event,
    make_not_run,
    make_ok,
    make_stream,
    start_edge,
)

PROMISES = (408, 421, 429, 503)

ROUTES = [("llm", "/fixed/x"), ("plain", "/once/x")]
"""Services and paths of the routes whose requests may run once only."""

NAMED = "X-Request-Id: q1\r\n"


def add_peer(edge: EdgeWorld, server: RawServer) -> None:
    """Add an edge to the fleet that sends nothing to runners itself."""
    edge.view.update_member("members/edge/e2", make_peer("e2", server.address))


def reject_again(*response: bytes) -> tuple[Script, list[str]]:
    """Return a script that rejects the first request, and a copy of that before others.

    Returns:
        The script, and a list of the requests that run.
    """
    rejection = make_response(503, b"", f"{NAMED}X-Not-Executed: 1\r\n")
    rejected: list[asyncio.StreamWriter] = []
    runs: list[str] = []

    async def run(request: bytes, writer: asyncio.StreamWriter) -> None:
        if not rejected:
            rejected.append(writer)
            writer.write(rejection)
            return
        if writer in rejected:
            writer.write(rejection)
        runs.append(request.decode())
        writer.writelines(response)

    return run, runs


class TestFailureOfRunner:
    """A runner that ran a request and fails it with a status that promises "not run".

    The edge sent the status on, since it is the runner's own.
    """

    @pytest.mark.parametrize("status", PROMISES)
    @pytest.mark.parametrize("named", [NAMED, ""], ids=["named", "unnamed"])
    @pytest.mark.parametrize(("service", "path"), ROUTES)
    async def test_failure_promises_nothing(
        self, service: str, path: str, named: str, status: int
    ) -> None:
        response = make_response(status, b"failed", named + SIGNED)
        async with RawServer(answer(response)) as runner, start_edge() as edge:
            edge.add("r1", runner, service)
            reply = await edge.async_call(path)
        assert len(runner.requests) == 1
        assert reply.status == 502
        assert "x-response-signature" not in reply.headers
        assert "retry-after" not in reply.headers

    @pytest.mark.parametrize("status", PROMISES)
    async def test_request_does_not_run_again(self, status: int) -> None:
        response = make_response(status, b"failed", NAMED + SIGNED)
        await self.async_check_single_run(answer(response))

    async def test_request_without_a_response_does_not_run_again(self) -> None:
        await self.async_check_single_run(cut())

    async def async_check_single_run(self, script: Script) -> None:
        """Check that a request runs once though its route allows several attempts."""
        route = make_route(
            RouteKind.NON_IDEMPOTENT, service="plain", prefix="/many/", max_attempts=3
        )
        async with (
            RawServer(script) as first,
            RawServer(script) as second,
            start_edge(routes=(route,)) as edge,
        ):
            edge.add("r1", first, "plain")
            edge.add("r2", second, "plain")
            reply = await edge.async_call("/many/x")
        assert len(first.requests) + len(second.requests) == 1
        assert reply.status == 502

    async def test_other_failure_is_returned_unchanged(self) -> None:
        response = make_response(500, b"failed", NAMED + SIGNED)
        async with RawServer(answer(response)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/once/x")
        assert (reply.status, reply.body) == (500, b"failed")
        assert reply.headers["x-response-signature"] == "s1"


class TestRepeatedId:
    """A caller that sends a rejected request again with the same ID.

    A copy of the rejection passed for the response to the second request.
    """

    @pytest.mark.parametrize(
        ("service", "path", "response"),
        [
            ("llm", "/fixed/x", make_stream(make_event(1))),
            ("plain", "/once/x", [make_ok()]),
        ],
    )
    async def test_copy_of_a_rejection_decides_nothing(
        self, service: str, path: str, response: list[bytes]
    ) -> None:
        script, runs = reject_again(*response)
        async with RawServer(script) as runner, start_edge() as edge:
            edge.grant_provider.drops_rejecting = True
            edge.add("r1", runner, service)
            first = await edge.async_call(path)
            edge.add("r1", runner, service)
            second = await edge.async_call(path)
        assert first.status == 503
        assert len(runs) == 1
        assert (second.status, second.complete) == (200, True)


class TestFailureThroughPeer:
    """A failure of a runner that a peer of an earlier release sends on."""

    @pytest.mark.parametrize("status", PROMISES)
    async def test_failure_promises_nothing(self, status: int) -> None:
        response = make_response(status, b"failed", NAMED + SIGNED)
        async with RawServer(answer(response)) as peer, start_edge() as edge:
            edge.forwarder.connector.reach.lost_at = 0.0
            add_peer(edge, peer)
            reply = await edge.async_call("/once/x")
        assert len(peer.requests) == 1
        assert reply.status == 502

    @pytest.mark.parametrize("status", [408, 429, 503])
    async def test_rejection_of_the_peer_is_returned(self, status: int) -> None:
        response = make_response(status, b"full", "Retry-After: 0.50\r\n")
        async with RawServer(answer(response)) as peer, start_edge() as edge:
            edge.forwarder.connector.reach.lost_at = 0.0
            add_peer(edge, peer)
            reply = await edge.async_call("/once/x")
        assert (reply.status, reply.headers["retry-after"]) == (status, "0.50")


class TestEarlierAttempt:
    """A rejection after an attempt that may have run."""

    async def test_rejection_does_not_hide_it(self) -> None:
        async with (
            RawServer(cut()) as first,
            RawServer(answer(make_not_run())) as second,
            start_edge() as edge,
        ):
            edge.add("r1", first, "plain")
            edge.add("r2", second, "plain")
            edge.forwarder.plain_grant_provider.in_flight.add("r2")
            reply = await edge.async_call("/safe/x")
        assert first.requests
        assert second.requests
        assert reply.status == 502

    async def test_promise_is_withheld(self) -> None:
        """The last check before the caller, whatever decided on the promise."""
        async with start_edge() as edge:

            async def async_promise(request: Request, exchange: Exchange) -> None:
                delivery = Delivery(exchange, 0.0, "q1")
                delivery.history.record_sent()
                delivery.send_response(503, ((b"Retry-After", b"1"),), b"full")

            edge.options.handle = async_promise
            reply = await edge.async_call("/once/x")
        assert reply.status == 502
        assert "retry-after" not in reply.headers


class TestTimeLimit:
    """The time limit of a route that ends before a response."""

    async def test_request_at_a_runner_may_have_run(self) -> None:
        async with RawServer(answer()) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/short/x")
        assert len(runner.requests) == 1
        assert reply.status == 504

    async def test_request_that_was_not_sent_is_rejected(self) -> None:
        async with open_hanging_address() as address, start_edge() as edge:
            entry = make_runner("r1", service="plain", address=address)
            edge.view.update_runner(entry)
            reply = await edge.async_call("/short/x")
        assert reply.status == 503


class TestBrokenRejection:
    """A rejection that isn't a whole response, or comes before it is due."""

    @pytest.mark.parametrize(
        "response",
        [
            make_response(503, b"full", f"{NAMED}X-Not-Executed: 1\r\n")[:-2],
            f"HTTP/1.1 503 X\r\n{NAMED}X-Not-Executed: 1\r\n".encode(),
            f"HTTP/1.1 103 X\r\n{NAMED}X-Not-Executed: 1\r\n\r\n".encode(),
        ],
        ids=["body", "head", "interim"],
    )
    async def test_it_promises_nothing(self, response: bytes) -> None:
        async with RawServer(cut(response)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/once/x")
        assert reply.status == 502


class TestMalformedRequest:
    """A request that its runner rejects as malformed, and states not to have run."""

    async def test_it_is_returned_and_not_sent_again(self) -> None:
        response = make_response(400, b"bad", f"{NAMED}X-Not-Executed: 1\r\n")
        async with RawServer(answer(response)) as runner, start_edge() as edge:
            edge.add("r1", runner, "plain")
            reply = await edge.async_call("/safe/x")
        assert (reply.status, reply.body) == (400, b"bad")
        assert len(runner.requests) == 1
