"""Tests that parsing by sections gives the same result as parsing as a whole."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoway.models.errors import MangowayError
from mangoway.operators import sections
from mangoway.operators.documents import BaseDocument
from mangoway.operators.parser import parse_base
from mangoway.operators.sections import SectionParser

EXAMPLES = Path(__file__).parents[2] / "examples"
PIECES = [
    '[models.a]\ndefault_version = "1"\n',
    "[models.a.versions.1]\nmemory_mb = 5\n",
    '[models.b]\ndefault_version = "1"\nversions = { 1 = { memory_mb = 6 } }\n',
    "[models.a.adapters]\nx = { memory_mb = 1 }\n",
    "# a note\n",
    "[callers]\n",
    "desk = { weight = 2 }\n",
    "[callers.desk]\nburst = 3\n",
    "[site]\nmove_price = 4\n",
    "[[runner_groups]]\ndata_centre = 'x'\ncount = 1\nmemory_mb = 9\n",
    "site.move_price = 2\n",
    "x = '''\n[site]\n'''\n",
    "[ models . a ]\n",
    "[\n",
]


def parse(parser: SectionParser | None, text: str) -> BaseDocument | str:
    try:
        return parser.parse(text) if parser else parse_base(text)
    except MangowayError as error:
        return str(error)


class TestSectionParser:
    """Tests of successive texts of a file; only changed sections are parsed."""

    @given(
        texts=st.lists(
            st.lists(st.sampled_from(PIECES), max_size=7).map("".join),
            min_size=1,
            max_size=4,
        )
    )
    def test_result_is_that_of_parsing_as_a_whole(self, texts: list[str]) -> None:
        parser = SectionParser()
        for text in texts:
            assert parse(parser, text) == parse(None, text)

    def test_edit_parses_one_section(self, monkeypatch: pytest.MonkeyPatch) -> None:
        parsed: list[str] = []

        def record_parsed(text: str, file: str = "") -> BaseDocument:
            parsed.append(text)
            return parse_base(text, file)

        monkeypatch.setattr(sections, "parse_base", record_parsed)
        text = (EXAMPLES / "booking-assistant" / "base.toml").read_text()
        parser = SectionParser()
        parser.parse(text)
        parsed.clear()
        changed = text.replace("memory_mb = 9000", "memory_mb = 9001", 1)
        assert parser.parse(changed) == parse_base(changed)
        assert len(parsed) == 1
