"""Estimates which prompt prefixes each runner has cached."""

from collections import OrderedDict

from attrs import define, field

from ...models.prompt import Prompt

PartKey = tuple[str, str, str]
"""Model, adapter and the joined ids of all parts up to one."""

SizedPart = tuple[PartKey, int]
"""A part with its number of tokens."""


@define(eq=False)
class PrefixCache:
    """The parts that a runner has prefilled, oldest first, up to its capacity."""

    capacity_tokens: int
    _parts: OrderedDict[PartKey, int] = field(factory=OrderedDict, init=False)
    _tokens: int = field(default=0, init=False)

    def count_cached_tokens(self, parts: tuple[SizedPart, ...]) -> int:
        """Return the leading tokens of a prompt that need no prefill."""
        cached = 0
        for key, tokens in parts:
            if key not in self._parts:
                break
            cached += tokens
        return cached

    def add(self, parts: tuple[SizedPart, ...]) -> None:
        """Add the parts of a prompt; the least recently used ones are evicted."""
        for key, tokens in parts:
            if key not in self._parts:
                self._tokens += tokens
            self._parts[key] = tokens
            self._parts.move_to_end(key)
        while self._tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def remove_model(self, model: str) -> None:
        """Remove the parts of a model that was unloaded."""
        for key in [each for each in self._parts if each[0] == model]:
            self._tokens -= self._parts.pop(key)


def list_parts(model: str, adapter: str, prompt: Prompt) -> tuple[SizedPart, ...]:
    """Return the key and size of each part; a key covers all earlier parts."""
    chain = ""
    listed = []
    for part in prompt.parts:
        chain = f"{chain}/{part.part_id}"
        listed.append(((model, adapter, chain), part.tokens))
    return tuple(listed)
