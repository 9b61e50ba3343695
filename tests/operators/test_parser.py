"""Tests of parsing and merging of the operators' documents."""

import re
from pathlib import Path

import pytest
from attrs import fields, has

from mangoway.models import offer
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import ConfigVersion
from mangoway.models.offer import Configuration, SitePolicy
from mangoway.models.request import WorkClass
from mangoway.operators import documents
from mangoway.operators.merger import load_configuration
from mangoway.operators.ranges import RANGES

EXAMPLES = Path(__file__).parents[2] / "examples"
MODEL = '[models.chat]\ndefault_version = "1"\n[models.chat.versions.1]\n'


def read_type(kind: object) -> str:
    """Return the text of a field's type."""
    return kind.__name__ if isinstance(kind, type) else str(kind)


def load(base: str, overlay: str = "") -> Configuration:
    return load_configuration(base, overlay, ConfigVersion(1))


class TestParser:
    """Tests of the rejection of faulty documents."""

    @pytest.mark.parametrize(
        ("text", "code", "named"),
        [
            ("x =\ny = 1", ErrorCode.CONFIG_MALFORMED, "line 1"),
            ("x = 1", ErrorCode.CONFIG_UNKNOWN_KEY, "base: x: unknown key"),
            (
                MODEL + "memory = 5",
                ErrorCode.CONFIG_UNKNOWN_KEY,
                "models.chat.versions.1.memory: unknown key",
            ),
            (MODEL, ErrorCode.CONFIG_INVALID, "versions.1.memory_mb: required"),
            (MODEL + 'memory_mb = "5"', ErrorCode.CONFIG_INVALID, "whole number"),
            (MODEL + "memory_mb = true", ErrorCode.CONFIG_INVALID, "whole number"),
            (MODEL + "memory_mb = 0", ErrorCode.CONFIG_INVALID, "out of range 1 to"),
            (MODEL + "memory_mb = 5\nfloor = 0", ErrorCode.CONFIG_INVALID, "1.floor"),
            ("[site]\nmove_price = nan", ErrorCode.CONFIG_INVALID, "site.move_price"),
            ("[classes.soon]\ndeadline_s = 1", ErrorCode.CONFIG_INVALID, "soon"),
            ('[callers."a b"]', ErrorCode.CONFIG_INVALID, "not a valid name"),
            ("models = 3", ErrorCode.CONFIG_INVALID, "models: expected a table"),
            ("[[runner_groups]]\ncount = 1", ErrorCode.CONFIG_INVALID, "groups.0."),
        ],
    )
    def test_fault_is_named(self, text: str, code: ErrorCode, named: str) -> None:
        with pytest.raises(MangowayError) as caught:
            load(text)
        assert caught.value.code is code
        assert caught.value.failure.detail.startswith("base: ")
        assert named in caught.value.failure.detail

    def test_overlay_may_not_offer_models(self) -> None:
        with pytest.raises(MangowayError) as caught:
            load(MODEL + "memory_mb = 5", "[models.other]\nfloor_data_centres = 2")
        assert caught.value.code is ErrorCode.CONFIG_INVALID
        assert "overlay: models.other" in caught.value.failure.detail

    def test_every_number_has_a_range(self) -> None:
        kinds = [*vars(documents).values(), *vars(offer).values()]
        numbers = {
            entry.name
            for kind in kinds
            if isinstance(kind, type) and has(kind) and kind is not Configuration
            for entry in fields(kind)
            if re.fullmatch(r"(int|float)( \| None)?", read_type(entry.type))
        }
        assert numbers == set(RANGES)


class TestMerger:
    """Tests of what an overlay changes, and of the example files."""

    def test_overlay_overrides_only_what_it_names(self) -> None:
        base = MODEL + "memory_mb = 5\n[callers.desk]\nweight = 2\nburst = 9\n"
        overlay = (
            "[models.chat.versions.1]\nfloor = 3\n[callers.desk]\nweight = 5\n"
            "[classes.urgent]\ndeadline_s = 7\n[site]\nmove_price = 6"
        )
        merged = load(base, overlay)
        assert merged.models["chat"].versions["1"].floor == 3
        assert merged.models["chat"].versions["1"].memory_mb == 5
        assert merged.callers["desk"].weight == 5
        assert merged.callers["desk"].burst == 9
        assert merged.classes[WorkClass.URGENT].deadline_s == 7
        assert merged.classes[WorkClass.PATIENT] == load("").classes[WorkClass.PATIENT]
        assert merged.site == SitePolicy(move_price=6)

    @pytest.mark.parametrize("site", ["booking-assistant", "coupon-testing"])
    def test_examples_have_the_expected_size(self, site: str) -> None:
        folder = EXAMPLES / site
        merged = load(
            (folder / "base.toml").read_text(), (folder / "overlay.toml").read_text()
        )
        assert len(merged.models) == 20
        assert sum(len(model.adapters) for model in merged.models.values()) == 75
        assert sum(group.count for group in merged.runner_groups) == 6
