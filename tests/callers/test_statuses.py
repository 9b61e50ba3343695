"""Tests of the HTTP status of each error code."""

import pytest

from mangoway.callers.statuses import find_status
from mangoway.models.errors import ErrorCode


class TestStatuses:
    """Tests of the table of statuses."""

    @pytest.mark.parametrize("code", list(ErrorCode))
    def test_every_code_has_an_error_status(self, code: ErrorCode) -> None:
        assert 400 <= find_status(code) < 600
