"""The form of idempotency keys that name their home."""

from typing import Self

from attrs import frozen

from .identifiers import IdempotencyKey, IncarnationId

KEY_SEPARATOR = ":"


@frozen(kw_only=True)
class HomedKey:
    """A key `<incarnation>:<issue time>:<own id>` as a caller makes it.

    The home keeps the record of a key until a time that follows from the issue
    time in the key alone. So it can tell a key whose record it has dropped from
    a new one without remembering it, and however wrong the caller's clock is.
    """

    home: IncarnationId
    issued_at: int
    """Unix seconds at which the caller made the key."""

    own_id: str

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse a key.

        Raises:
            ValueError: If a part is missing or the issue time is not a number.
        """
        home, _, rest = text.partition(KEY_SEPARATOR)
        issued_at, _, own_id = rest.partition(KEY_SEPARATOR)
        if not home or not own_id or not issued_at.isascii() or not issued_at.isdigit():
            raise ValueError(f"not <incarnation>:<unix seconds>:<own id>: {text!r}")
        return cls(home=IncarnationId(home), issued_at=int(issued_at), own_id=own_id)

    def format(self) -> IdempotencyKey:
        """Return the key as callers send it."""
        parts = (self.home, str(self.issued_at), self.own_id)
        return IdempotencyKey(KEY_SEPARATOR.join(parts))
