"""Tests of the page's verdicts and markers."""

from pathlib import Path

import pytest

from measure.capacity.page import judge
from measure.capacity.rows import Role, Row
from measure.report import BEGIN, END, write_section

PAGE = Path(__file__).resolve().parents[3] / "docs" / "CAPACITY.md"


class TestJudge:
    """Whether a role fits its budget."""

    def test_sum_of_the_rows_is_held_against_the_budget(self) -> None:
        row = Row(what="w", mechanism="m", core_share=0.02, sent=1000, memory_mb=8)
        verdict = judge(Role(name="r", rows=(row, row)))
        assert "processor time does **not** fit, 1.3 times the budget" in verdict
        assert "memory fits (50% of the budget)" in verdict
        assert "bytes sent fits (67% of the budget)" in verdict

    def test_data_path_is_held_against_one_process(self) -> None:
        row = Row(what="w", mechanism="m", core_share=0.6)
        one = judge(Role(name="r", rows=(row,), is_control=False))
        two = judge(Role(name="r", rows=(row, row), is_control=False))
        assert one.endswith(": fits one process.")
        assert two.endswith("does not fit one process.")


class TestMarkers:
    """The page's generated part."""

    def test_page_has_one_pair_of_markers_with_tables(self) -> None:
        text = PAGE.read_text()
        assert (text.count(BEGIN), text.count(END)) == (1, 1)
        measured = text.partition(BEGIN)[2].partition(END)[0]
        for heading in ("Roles", "Key-value service", "Failures", "Slopes"):
            assert f"### {heading}" in measured

    def test_only_the_measured_part_is_replaced(self, tmp_path: Path) -> None:
        page = tmp_path / "page.md"
        page.write_text(f"before\n{BEGIN}\nold\n{END}\nafter\n")
        write_section(page, "new")
        assert page.read_text() == f"before\n{BEGIN}\n\nnew\n\n{END}\nafter\n"
        page.write_text("no markers")
        with pytest.raises(ValueError, match="no markers"):
            write_section(page, "new")
