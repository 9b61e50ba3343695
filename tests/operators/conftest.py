"""Documents and fixtures for the tests of the package operators."""

import pytest

from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.bundle import BASE, PartName
from mangoway.operators.repository import ConfigurationRepository, Edit
from tests.fakes.key_value import FakeKeyValueStore


def make_base(floor: int = 1, memory_mb: int = 5) -> str:
    """Return a base file with one model."""
    return (
        '[models.chat]\ndefault_version = "1"\n\n[models.chat.versions.1]\n'
        f"memory_mb = {memory_mb}\nfloor = {floor}\n"
    )


def make_edit(
    text: str, nonce: str, part: PartName = BASE, based_on: int | None = None
) -> Edit:
    """Return an edit of a document."""
    return Edit(
        part=part,
        text=text,
        nonce=nonce,
        edited_at=1.0,
        based_on=None if based_on is None else ConfigVersion(based_on),
    )


@pytest.fixture
def store() -> FakeKeyValueStore:
    return FakeKeyValueStore()


@pytest.fixture
def repository(store: FakeKeyValueStore) -> ConfigurationRepository:
    return ConfigurationRepository(store)
