"""How fast runners read prompts, learned from first events."""

from attrs import define, field

from .const import PACE_RANGE, PACE_WEIGHT, READ_S_PER_TOKEN, ROUND_TRIP_S


@define(eq=False)
class PaceBook:
    """Seconds per prompt token by model."""

    _per_token: dict[str, float] = field(factory=dict, init=False)

    def estimate(self, model: str, tokens: int) -> float:
        """Return the seconds that reading so many tokens takes."""
        return tokens * self._per_token.get(model, READ_S_PER_TOKEN)

    def learn(self, model: str, tokens: int, seconds: float) -> None:
        """Learn from one prompt that was read without others before it.

        Args:
            model: Name of the model.
            tokens: Tokens that the runner had to read.
            seconds: Time from the grant to the first event.
        """
        if tokens <= 0:
            return
        sample = max(0.0, seconds - ROUND_TRIP_S) / tokens
        low, high = READ_S_PER_TOKEN / PACE_RANGE, READ_S_PER_TOKEN * PACE_RANGE
        sample = min(high, max(low, sample))
        known = self._per_token.get(model, READ_S_PER_TOKEN)
        self._per_token[model] = known + PACE_WEIGHT * (sample - known)
