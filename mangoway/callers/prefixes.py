"""Hashes of a prompt's leading blocks, for routing to engines with a warm cache."""

from xxhash import xxh64

from .const import PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS_MAX


def hash_prefixes(artifact: str, prompt: str) -> tuple[int, ...]:
    """Return one hash per complete block; each covers the prompt up to its block's end.

    The artifact is part of each hash, since caches are not shared between models.
    """
    blocks = min(len(prompt) // PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCKS_MAX)
    state = xxh64(artifact.encode())
    hashes: list[int] = []
    for index in range(blocks):
        start = index * PREFIX_BLOCK_CHARACTERS
        state.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(state.intdigest())
    return tuple(hashes)
