"""The prompt of a generation, as its caller describes it."""

from attrs import frozen


@frozen
class PromptPart:
    """A part that other requests may share, such as instructions or a document."""

    part_id: str
    tokens: int


@frozen(kw_only=True)
class Prompt:
    """Sizes of a prompt and of its answer in tokens; 0 where not known."""

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    """The caller's own estimate; right at the median, often far off."""

    parts: tuple[PromptPart, ...]
    """All parts in order; the last one belongs to the request or its session."""
