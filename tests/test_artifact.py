"""Tests of artifact names."""

import pytest

from mangoway.models.artifact import Artifact


class TestArtifact:
    """Tests of parsing, printing and sorting artifact names."""

    @pytest.mark.parametrize("text", ["chat@3", "chat@3+mn"])
    def test_parse_reverses_str(self, text: str) -> None:
        assert str(Artifact.parse(text)) == text

    @pytest.mark.parametrize("text", ["", "chat", "@3", "chat@", "chat@3+"])
    def test_parse_rejects_incomplete_names(self, text: str) -> None:
        with pytest.raises(ValueError, match="not an artifact"):
            Artifact.parse(text)

    def test_base_of_adapter_is_its_model_version(self) -> None:
        assert Artifact.parse("chat@3+mn").base == Artifact.parse("chat@3")

    def test_base_sorts_before_its_adapters(self) -> None:
        names = ["chat@3+mn", "chat@3", "chat@2+mn"]
        artifacts = sorted(Artifact.parse(name) for name in names)
        assert [str(each) for each in artifacts] == ["chat@2+mn", "chat@3", "chat@3+mn"]
