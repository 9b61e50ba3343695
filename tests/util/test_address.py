"""Tests of splitting addresses."""

import pytest

from mangoway.util.address import split_address


class TestSplitAddress:
    """IP address and port in the form that sockets take."""

    @pytest.mark.parametrize(
        ("address", "parts"),
        [("10.0.0.1:80", ("10.0.0.1", 80)), ("[fd00::1]:80", ("fd00::1", 80))],
    )
    def test_brackets_are_removed(self, address: str, parts: tuple[str, int]) -> None:
        assert split_address(address) == parts
