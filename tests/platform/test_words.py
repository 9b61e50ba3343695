"""Tests that the platform's names stay in its folder."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "mangoway"
WORDS = re.compile(
    r"kv-(txn|watch|range|keep|lease)|X-(Expect-Instance|Not-Executed)|"
    r"x-(expect-instance|not-executed|model|token-usage)|op/config|"
    r"current_rev|set_keys|model_(un)?load\"|/v1/(ready|resolve)"
)


class TestWords:
    """Names on the wire are decoded once."""

    def test_no_other_package_knows_them(self) -> None:
        found = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if "platform" not in path.relative_to(PACKAGE).parts
            and WORDS.search(path.read_text())
        ]
        assert found == []
