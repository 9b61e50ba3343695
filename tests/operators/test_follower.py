"""Tests of configuration updates by deltas and whole documents."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.bundle import BASE, ConfigurationBundle, name_overlay
from mangoway.operators.delta import apply_delta, make_delta
from mangoway.operators.follower import ConfigurationFollower
from mangoway.operators.repository import ConfigurationRepository
from tests.fakes.key_value import FakeKeyValueStore

from .conftest import make_base, make_edit

LINES = st.lists(st.sampled_from(["a", "b", "", "[c]"]), max_size=12).map("\n".join)


class TestDelta:
    """Tests that a delta gives the next version of a text or is rejected."""

    @given(old=LINES, new=LINES)
    def test_delta_gives_the_new_text(self, old: str, new: str) -> None:
        bundle = ConfigurationBundle().replace_part(BASE, old, ConfigVersion(4))
        delta = make_delta(BASE, ConfigVersion(5), old, new)
        changed = apply_delta(bundle, delta, "east")
        assert (changed.find_text(BASE), changed.version) == (new, 5)

    def test_delta_on_another_text_is_rejected(self) -> None:
        bundle = ConfigurationBundle().replace_part(BASE, "x\ny", ConfigVersion(4))
        delta = make_delta(BASE, ConfigVersion(5), "x\nz", "x\nz\nw")
        with pytest.raises(MangowayError, match="digest"):
            apply_delta(bundle, delta, "east")

    def test_delta_may_not_skip_a_version(self) -> None:
        bundle = ConfigurationBundle().replace_part(BASE, "x", ConfigVersion(3))
        with pytest.raises(MangowayError, match="does not follow"):
            apply_delta(bundle, make_delta(BASE, ConfigVersion(5), "x", "y"), "east")


class TestFollower:
    """Tests that versions never decrease and deltas are preferred."""

    @pytest.fixture
    async def first(self, repository: ConfigurationRepository) -> ConfigurationFollower:
        await repository.async_apply(make_edit(make_base(), "a"), "anna")
        follower = ConfigurationFollower("east")
        await follower.async_fetch(repository, ConfigVersion(1))
        return follower

    async def test_one_edit_costs_one_read(
        self,
        first: ConfigurationFollower,
        repository: ConfigurationRepository,
        store: FakeKeyValueStore,
    ) -> None:
        await repository.async_apply(make_edit(make_base(2), "b"), "anna")
        calls = store.calls
        configuration = await first.async_fetch(repository, ConfigVersion(2))
        assert store.calls == calls + 1
        assert configuration.version == 2
        assert configuration.models["chat"].versions["1"].floor == 2

    async def test_peer_follows_by_deltas_and_by_documents(
        self, first: ConfigurationFollower, repository: ConfigurationRepository
    ) -> None:
        peer, late = ConfigurationFollower("east"), ConfigurationFollower("east")
        peer.accept_update(first.make_update(peer.version))
        west = make_edit("[site]\nmove_price = 3", "b", name_overlay("west"))
        await repository.async_apply(west, "anna")
        await repository.async_apply(make_edit(make_base(2), "c"), "anna")
        await first.async_fetch(repository, ConfigVersion(3))
        assert peer.accept_update(first.make_update(peer.version)) == first.load()
        assert late.accept_update(first.make_update(late.version)) == first.load()
        assert len(first.make_update(ConfigVersion(2))) < 300
        assert peer.make_update(ConfigVersion(1)) == first.make_update(ConfigVersion(1))

    async def test_older_update_changes_nothing(
        self, first: ConfigurationFollower, repository: ConfigurationRepository
    ) -> None:
        old = first.make_update(ConfigVersion(0))
        await repository.async_apply(make_edit(make_base(2), "b"), "anna")
        await first.async_fetch(repository, ConfigVersion(2))
        assert first.accept_update(old).version == 2
        assert first.make_update(ConfigVersion(2)) == b""

    async def test_differing_documents_are_requested_as_a_whole(
        self, first: ConfigurationFollower, repository: ConfigurationRepository
    ) -> None:
        peer = ConfigurationFollower("east")
        peer.bundle = peer.bundle.replace_part(BASE, "", ConfigVersion(1))
        await repository.async_apply(make_edit(make_base(2), "b"), "anna")
        await first.async_fetch(repository, ConfigVersion(2))
        assert peer.known_version == 1
        with pytest.raises(MangowayError, match="digest"):
            peer.accept_update(first.make_update(peer.known_version))
        assert peer.known_version == 0
        assert peer.accept_update(first.make_update(peer.known_version)) == first.load()
        assert peer.known_version == 2

    async def test_differing_documents_are_read_as_a_whole(
        self, first: ConfigurationFollower, repository: ConfigurationRepository
    ) -> None:
        first.bundle = first.bundle.replace_part(BASE, "", ConfigVersion(1))
        await repository.async_apply(make_edit(make_base(2), "b"), "anna")
        configuration = await first.async_fetch(repository, ConfigVersion(2))
        assert configuration.models["chat"].versions["1"].floor == 2

    @pytest.mark.parametrize("data", [b"", b"x", b"p{", b"zz", b"p[]"])
    def test_malformed_update_is_rejected(self, data: bytes) -> None:
        with pytest.raises(MangowayError) as caught:
            ConfigurationFollower("east").accept_update(data)
        assert caught.value.code is ErrorCode.CONFIG_MALFORMED

    async def test_update_of_another_site_is_rejected(
        self, first: ConfigurationFollower
    ) -> None:
        update = evolve(first, site="west").make_update(ConfigVersion(0))
        with pytest.raises(MangowayError, match="west"):
            first.accept_update(update)
