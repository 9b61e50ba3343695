"""Tests that the page of the configuration matches the types."""

from pathlib import Path

from mangoway.operators.documents import BaseDocument, OverlayDocument
from mangoway.operators.page import list_keys, render_page

PAGE = Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"


class TestPage:
    """Tests of the committed page and its rows."""

    def test_committed_page_matches_the_generated_page(self) -> None:
        assert PAGE.read_text() == render_page()

    def test_every_key_has_a_meaning(self) -> None:
        keys = [*list_keys(BaseDocument), *list_keys(OverlayDocument)]
        assert [key.path for key in keys if not key.meaning] == []

    def test_row_shows_type_unit_default_and_range(self) -> None:
        rows = [key.render() for key in list_keys(BaseDocument)]
        start = "| `site.key_retention_s` | number | s | 600.0 | 1 to 86400 | Time"
        assert any(row.startswith(start) for row in rows)
