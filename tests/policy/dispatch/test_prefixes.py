"""Tests of the index of prefix blocks."""

import pytest

from mangoway.models.identifiers import UpstreamId
from mangoway.policy.dispatch import prefixes
from mangoway.policy.dispatch.prefixes import PrefixIndex


class TestBounds:
    """The index stays bounded however many upstreams there are."""

    def test_upstreams_share_the_blocks_and_the_oldest_go_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(prefixes, "PREFIX_MAX_TOTAL", 200)
        index = PrefixIndex()
        names = [UpstreamId(f"runner-{number}") for number in range(4)]
        for block in range(300):
            for name in names:
                index.expect(name, (block,))
        for name in names:
            held = [block for block in range(300) if name in index.list_holders(block)]
            assert held == list(range(250, 300))
