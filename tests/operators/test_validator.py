"""Tests of the validation of merged configurations."""

import pytest

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.bundle import BASE, ConfigurationBundle, name_overlay
from mangoway.operators.validator import validate_bundle

from .conftest import make_base

RUNNERS = '[[runner_groups]]\ndata_centre = "dc"\ncount = 2\nmemory_mb = 9000\n'


class TestValidator:
    """Tests of invalid configurations whose documents are well formed."""

    def check(self, base: str, overlay: str = "") -> MangowayError:
        bundle = ConfigurationBundle().replace_part(BASE, base, ConfigVersion(1))
        east = name_overlay("east")
        bundle = bundle.replace_part(east, overlay, ConfigVersion(2))
        with pytest.raises(MangowayError) as caught:
            validate_bundle(bundle)
        return caught.value

    def test_unknown_default_version(self) -> None:
        base = make_base().replace('default_version = "1"', 'default_version = "2"')
        assert "base: models.chat.default_version" in str(self.check(base))

    def test_first_token_after_the_deadline(self) -> None:
        error = self.check(make_base(), "[classes.urgent]\nfirst_token_s = 60")
        assert "overlay/east: classes.urgent.first_token_s" in str(error)

    def test_error_names_floors_that_do_not_fit(self) -> None:
        error = self.check(make_base(memory_mb=20_000) + RUNNERS)
        assert error.code is ErrorCode.CONFIG_DOES_NOT_FIT
        assert "models.chat: chat@1 of 20000 MB" in str(error)

    def test_floor_of_an_overlay_that_does_not_fit(self) -> None:
        base = make_base(memory_mb=2_000) + RUNNERS
        error = self.check(base, "[models.chat.versions.1]\nfloor = 30")
        assert error.code is ErrorCode.CONFIG_DOES_NOT_FIT
        assert "overlay/east" in str(error)
