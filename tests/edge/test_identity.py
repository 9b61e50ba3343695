"""Tests of the identities of requests."""

import pytest

from mangoway.edge.identity import identify_request
from mangoway.http1.messages import Request
from mangoway.models.crash import RequestIdentity
from mangoway.platform.requests import decode_request


def make_identity(
    target: bytes = b"/chat/1",
    body: bytes = b"b",
    method: bytes = b"POST",
    **headers: str,
) -> RequestIdentity:
    fields = {"Host": "h.example", "X-Model": "a", "X-Prompt-Prefix": "1:2", **headers}
    request = Request(
        method=method,
        target=target,
        headers=tuple((name.encode(), text.encode()) for name, text in fields.items()),
        body=body,
    )
    return identify_request(request, decode_request(request))


class TestSameRequest:
    """The same request, sent several times."""

    @pytest.mark.parametrize(
        "name", ["X-Request-Id", "X-Deadline-Ms", "Last-Event-Id", "traceparent"]
    )
    def test_header_that_changes_when_resent_is_ignored(self, name: str) -> None:
        assert make_identity(**{name: "1"}) == make_identity(**{name: "2"})


class TestOtherRequest:
    """Requests that differ in content or variant."""

    @pytest.mark.parametrize(
        "other",
        [
            make_identity(target=b"/chat/2"),
            make_identity(body=b"c"),
            make_identity(method=b"PUT"),
            make_identity(Host="i.example"),
        ],
    )
    def test_content_differs(self, other: RequestIdentity) -> None:
        assert other.content != make_identity().content

    @pytest.mark.parametrize(
        "other",
        [
            make_identity(**{"X-Model": "b"}),
            make_identity(**{"X-Prompt-Prefix": "1:2,3:4"}),
            make_identity(Authorization="Bearer x"),
        ],
    )
    def test_variant_differs(self, other: RequestIdentity) -> None:
        known = make_identity()
        assert other.content == known.content
        assert other.variant != known.variant

    def test_boundary_between_two_values_matters(self) -> None:
        one = make_identity(target=b"/chat/1", body=b"2b")
        assert one.content != make_identity(target=b"/chat/12", body=b"b").content
