"""Processor time and memory of pieces of code."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define

US_PER_S = 1_000_000


@define
class CpuMeter:
    """Sums the processor time of the blocks that it measures."""

    seconds: float = 0.0
    blocks: int = 0

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Count the processor time of a block."""
        began_at = time.process_time()
        yield
        self.seconds += time.process_time() - began_at
        self.blocks += 1


def find_cpu_us(step: Callable[[int], object], count: int) -> float:
    """Return the microseconds of processor time of one step.

    Collections of the cyclic garbage collector that fall into the steps count.
    """
    gc.collect()
    began_at = time.process_time()
    for number in range(count):
        step(number)
    return (time.process_time() - began_at) / count * US_PER_S


def find_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that Python allocated for what a call returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after - before
