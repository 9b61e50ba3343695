"""Marks the tests of this folder, which run one at a time and apart from others."""

from pathlib import Path

import pytest

pytest.register_assert_rewrite("tests.crowds.host")

FOLDER = Path(__file__).parent


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark each test of this folder."""
    for item in items:
        if item.path.is_relative_to(FOLDER):
            item.add_marker(pytest.mark.alone)
            item.add_marker(pytest.mark.process)
