"""Prints the core's processor time per request by fleet size and queue length."""

import argparse
from typing import Final

from .fleet import Fleet, Size

SIZES: Final = (
    Size(runners=6, models=13),
    Size(runners=20, models=50),
    Size(runners=70, models=171),
    Size(runners=200, models=500),
)
LOW_UTILIZATION: Final = 0.25
OVERLOAD_UTILIZATION: Final = 1.1
"""Requested prefill as a share of the prefill capacity of all runners.

The higher value exceeds the servable load, as popular models would need copies on all
runners to use their share of the capacity.
"""


def main() -> None:
    """Simulate each fleet size at both utilizations and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="duration in virtual time"
    )
    seconds = parser.parse_args().seconds
    print("| runners, models | low load | overload | waiting, share granted |")
    print("|---|---|---|---|")
    for size in SIZES:
        low = Fleet(size, LOW_UTILIZATION).simulate(seconds)
        high = Fleet(size, OVERLOAD_UTILIZATION).simulate(seconds)
        print(
            f"| {size.runners}, {size.models} | {low.ms_per_request:.3f} ms "
            f"({low.mean_waiting:.1f} waiting) | {high.ms_per_request:.3f} ms | "
            f"{high.mean_waiting:.0f}, {high.granted / high.requests:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
