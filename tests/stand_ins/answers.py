"""Deterministic answers, so that a caller can check each one it receives."""

from hashlib import blake2b

PIECE_BYTES = 4


def make_token(artifact: str, prompt: str, offset: int) -> str:
    """Return the token at an offset of the answer to a prompt, counted from 0."""
    text = f"{artifact}\x00{prompt}\x00{offset}".encode()
    return " " + blake2b(text, digest_size=PIECE_BYTES).hexdigest()


def make_answer(artifact: str, prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return "".join(make_token(artifact, prompt, offset) for offset in range(tokens))
