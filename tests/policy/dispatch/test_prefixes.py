"""Tests of the index of prefix blocks."""

import pytest

from mangoway.models.identifiers import UpstreamId
from mangoway.policy.dispatch import prefixes
from mangoway.policy.dispatch.prefixes import PrefixIndex


class TestBounds:
    """Limit of the index over all upstreams."""

    def test_upstreams_share_the_limit_and_drop_the_oldest_blocks(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(prefixes, "PREFIX_MAX_TOTAL", 200)
        index = PrefixIndex()
        names = [UpstreamId(f"runner-{number}") for number in range(4)]
        for block in range(300):
            for name in names:
                index.add_expected(name, (block,))
        for name in names:
            cached = [
                block for block in range(300) if name in index.list_holders(block)
            ]
            assert cached == list(range(250, 300))
