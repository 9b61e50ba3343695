"""Prompt of a generation request, as described by its caller."""

from attrs import frozen


@frozen
class PromptPart:
    """A part that other requests may share, such as instructions or a document."""

    part_id: str
    tokens: int


@frozen(kw_only=True)
class Prompt:
    """Sizes of a prompt and its output in tokens; 0 where unknown."""

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    """Estimate of the caller; correct at the median, but often far off."""

    parts: tuple[PromptPart, ...]
    """All parts in order; the last one is specific to the request or its session."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share: all but the last one."""
        return self.parts[:-1]
