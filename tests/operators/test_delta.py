"""Tests that deltas turn one text into another and are short."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mangoway.models.identifiers import ConfigVersion
from mangoway.operators import delta
from mangoway.operators.bundle import BASE, ConfigurationBundle, Part
from mangoway.operators.delta import ConfigurationDelta, apply_delta, make_delta

LINES = st.lists(st.sampled_from(["[a]", "[b]", "[c]", "[d]", "x = 1", "x = 2", ""]))


def change(old: str, new: str) -> tuple[ConfigurationDelta, str]:
    """Return the delta between two texts, and the old text with the delta applied."""
    made = make_delta(BASE, ConfigVersion(2), old, new)
    before = ConfigurationBundle(
        version=ConfigVersion(1),
        parts={BASE: Part(version=ConfigVersion(1), text=old)},
    )
    return made, apply_delta(before, made, "north").find_text(BASE)


def write_base(models: int, **floors: int) -> str:
    """Return a base file of models m0, m1 and so on; a floor that is not given is 1."""
    tables = [
        f"[models.m{number}]\nmemory_mb = 10\nfloor = {floors.get(f'm{number}', 1)}\n"
        for number in range(models)
    ]
    return "\n".join(tables)


class TestDelta:
    """Tests of deltas of texts of any length."""

    @pytest.mark.parametrize("longest", [2000, 2, 0])
    @given(old=LINES, new=LINES)
    def test_applied_delta_gives_the_new_text(
        self, longest: int, old: list[str], new: list[str]
    ) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(delta, "MAX_DIFF_LINES", longest)
            _, text = change("\n".join(old), "\n".join(new))
        assert text == "\n".join(new)

    def test_distant_changes_in_a_long_file_make_a_short_delta(self) -> None:
        old = write_base(1400)
        new = write_base(1400, m3=2, m1390=4)
        made, text = change(old, new)
        assert text == new
        assert len(made.hunks) == 2
        assert sum(len(hunk.inserted) for hunk in made.hunks) == 2

    def test_delta_of_moved_tables_gives_the_new_text(self) -> None:
        old = write_base(900)
        new = "\n\n".join(reversed(old.split("\n\n")))
        assert change(old, new)[1] == new
