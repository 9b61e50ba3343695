"""Ranges of numbers in documents; a key has the same range in all tables."""

from collections.abc import Mapping
from typing import Final

from attrs import frozen


@frozen
class Range:
    """Inclusive range of allowed values of a number."""

    lowest: float
    highest: float

    def __str__(self) -> str:
        return f"{self.lowest:.12g} to {self.highest:.12g}"


RANGES: Final[Mapping[str, Range]] = {
    "accelerators": Range(1, 64),
    "address_validity_s": Range(0.5, 60),
    "burst": Range(1, 1_000_000),
    "claim_writes_per_second": Range(0, 10_000),
    "count": Range(1, 100_000),
    "deadline_s": Range(0.01, 604_800),
    "first_token_s": Range(0.01, 3_600),
    "floor": Range(1, 10_000),
    "floor_data_centres": Range(1, 100),
    "key_capacity": Range(1, 100_000_000),
    "key_retention_s": Range(1, 86_400),
    "kv_cache_floor_mb": Range(0, 10_000_000),
    "loads_at_full_speed": Range(1, 10_000),
    "loads_per_second": Range(0.001, 10_000),
    "memory_mb": Range(1, 10_000_000),
    "move_price": Range(0, 1_000_000),
    "order_lateness_bound_s": Range(1, 3_600),
    "requests_per_second": Range(0.001, 1_000_000),
    "stop_deadline_s": Range(1, 86_400),
    "timeout_s": Range(0.01, 3_600),
    "weight": Range(0.001, 1_000),
}
"""Range of each number by its key; a test checks that none is missing."""
