"""Tests of addresses."""

import pytest

from mangoway.util.address import split_address


class TestSplitAddress:
    """Hosts and ports as sockets take them."""

    @pytest.mark.parametrize(
        ("address", "parts"),
        [("10.0.0.1:80", ("10.0.0.1", 80)), ("[fd00::1]:80", ("fd00::1", 80))],
    )
    def test_brackets_are_left_out(self, address: str, parts: tuple[str, int]) -> None:
        assert split_address(address) == parts
