"""Tests of hashes of leading blocks."""

from mangoway.callers.const import PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS_MAX
from mangoway.callers.prefixes import hash_prefixes

BLOCK = "x" * PREFIX_BLOCK_CHARACTERS


class TestHashPrefixes:
    """Which prompts share hashes."""

    def test_shared_blocks_share_hashes_and_no_more(self) -> None:
        first = hash_prefixes("m@1", BLOCK * 2 + "a" * PREFIX_BLOCK_CHARACTERS)
        second = hash_prefixes("m@1", BLOCK * 2 + "b" * PREFIX_BLOCK_CHARACTERS)
        assert first[:2] == second[:2]
        assert first[2] != second[2]

    def test_each_hash_covers_all_before_it(self) -> None:
        other = "y" * PREFIX_BLOCK_CHARACTERS
        assert (
            hash_prefixes("m@1", BLOCK + BLOCK)[1]
            != (hash_prefixes("m@1", other + BLOCK)[1])
        )

    def test_models_share_nothing(self) -> None:
        assert hash_prefixes("m@1", BLOCK) != hash_prefixes("m@2", BLOCK)

    def test_partial_block_has_none_and_the_number_is_bounded(self) -> None:
        assert hash_prefixes("m@1", BLOCK[:-1]) == ()
        assert len(hash_prefixes("m@1", BLOCK * 100)) == PREFIX_BLOCKS_MAX
