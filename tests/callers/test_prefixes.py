"""Tests of the hashes of a prompt's leading blocks."""

from mangoway.callers.const import PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS_MAX
from mangoway.callers.prefixes import hash_prefixes

BLOCK = "x" * PREFIX_BLOCK_CHARACTERS


class TestHashPrefixes:
    """Tests of the prompts that share hashes."""

    def test_only_equal_leading_blocks_share_hashes(self) -> None:
        first = hash_prefixes("m@1", BLOCK * 2 + "a" * PREFIX_BLOCK_CHARACTERS)
        second = hash_prefixes("m@1", BLOCK * 2 + "b" * PREFIX_BLOCK_CHARACTERS)
        assert first[:2] == second[:2]
        assert first[2] != second[2]

    def test_each_hash_covers_all_previous_blocks(self) -> None:
        other = "y" * PREFIX_BLOCK_CHARACTERS
        assert (
            hash_prefixes("m@1", BLOCK + BLOCK)[1]
            != (hash_prefixes("m@1", other + BLOCK)[1])
        )

    def test_models_share_no_hashes(self) -> None:
        assert hash_prefixes("m@1", BLOCK) != hash_prefixes("m@2", BLOCK)

    def test_partial_block_has_no_hash_and_the_number_is_limited(self) -> None:
        assert hash_prefixes("m@1", BLOCK[:-1]) == ()
        assert len(hash_prefixes("m@1", BLOCK * 100)) == PREFIX_BLOCKS_MAX
